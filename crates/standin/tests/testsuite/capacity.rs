//! Capacity measurement: process readings, line fits, metrics and the grid.

use std::time::{Duration, Instant};

use godwitcrank_standin::capacity::{
    CapacityFactor, ProcessReading, capacity_grid, fit_line, parse_metric_line,
};
use googletest::prelude::*;

/// Guards against wrong coefficients, and against a fit through points whose factor does not vary.
#[gtest]
fn fit_line_known_points() {
    let line = fit_line(&[(0.0, 1.0), (10.0, 3.0), (20.0, 5.0)]).expect("the factor varies");
    expect_that!(line.base, near(1.0, 1e-9));
    expect_that!(line.slope, near(0.2, 1e-9));
    expect_that!(line.explained, near(1.0, 1e-9));
    expect_that!(fit_line(&[(5.0, 1.0), (5.0, 2.0)]), none());
    expect_that!(fit_line(&[]), none());
}

/// Guards against lost tags, which would count messages for the wrong process.
#[gtest]
fn parse_metric_line_with_tags() {
    let line = "godwitcrank.peer.bytes:512|c|#node:router-1,message:/peer/offer";
    let (name, value, tags) = parse_metric_line(line).expect("the line is a metric");
    expect_that!(name, eq("godwitcrank.peer.bytes"));
    expect_that!(value, eq("512"));
    expect_that!(tags.get("node").copied(), some(eq("router-1")));
    expect_that!(tags.get("message").copied(), some(eq("/peer/offer")));
    expect_that!(parse_metric_line("nothing"), none());
}

/// Guards against readings that miss the control thread or the memory of the process.
#[gtest]
fn read_control_thread() {
    let busy = |length: Duration| {
        let started = Instant::now();
        while started.elapsed() < length {
            std::hint::black_box(started);
        }
    };
    let (ready_tx, ready_rx) = std::sync::mpsc::channel();
    let (end_tx, end_rx) = std::sync::mpsc::channel::<()>();
    let control = std::thread::Builder::new().name("test-control".to_owned());
    let control = control.spawn(move || {
        busy(Duration::from_millis(50));
        ready_tx.send(()).expect("the test waits");
        // `/proc` lists only threads that still run.
        let _ = end_rx.recv();
    });
    let control = control.expect("a thread can be started");
    ready_rx.recv().expect("the thread has been busy");
    let reading = ProcessReading::read(std::process::id()).expect("this process can be read");
    drop(end_tx);
    control.join().expect("the thread ends");
    expect_that!(reading.control, gt(Duration::from_millis(1)));
    expect_that!(reading.process, ge(reading.control));
    expect_that!(reading.resident, gt(1 << 20));
}

/// Guards against a grid without one of the factors, or without the largest sizes that
/// `docs/CAPACITY.md` reports.
#[gtest]
fn capacity_grid_varies_each_factor() {
    use CapacityFactor::{Rate, Routers, Teams, Upstreams};
    for (factor, most) in [(Teams, 810.0), (Upstreams, 32.0), (Routers, 8.0), (Rate, 200.0)] {
        let points = capacity_grid().into_iter().filter(|(varied, _)| *varied == factor);
        let values: Vec<f64> = points.map(|(_, point)| point.value(factor)).collect();
        expect_that!(values.len(), ge(4), "{factor}");
        expect_that!(values.last().copied(), some(near(most, 0.0)), "{factor}");
    }
}
