//! Splitting of event streams, and bounded log output.

use std::io::Write;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use godwitcrank::event_log::{LineWriter, LogBounds};
use godwitcrank::gateway::EventFrames;
use googletest::prelude::*;
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";

/// Guards against relaying part of an event when its stream breaks.
#[gtest]
fn take_complete_holds_partial_event() {
    let mut frames = EventFrames::default();
    frames.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("the event is short");
    expect_that!(frames.take_complete().as_deref(), some(eq(b"id: 1\ndata: a\n\n".as_slice())));
    expect_that!(frames.take_complete(), none());
    expect_that!(frames.has_partial(), eq(true));
    expect_that!(frames.last_id(), some(eq("1")));
}

proptest! {
    /// Guards against lost, repeated or reordered bytes, wherever the stream is split.
    #[test]
    fn take_complete_any_cuts(cuts in proptest::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        let mut frames = EventFrames::default();
        let mut passed = Vec::new();
        let mut from = 0;
        for cut in cuts {
            frames.push(&STREAM[from..cut]).expect("the stream is short");
            from = cut;
            if let Some(events) = frames.take_complete() {
                prop_assert!(events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n"));
                passed.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(passed.as_slice(), STREAM);
        prop_assert!(!frames.has_partial());
        prop_assert_eq!(frames.last_id(), Some("3"));
    }
}

/// Output whose reader has stopped reading.
struct StuckOutput(mpsc::Receiver<()>);

impl Write for StuckOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Ends when the test drops the sender.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Output that the test reads.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("no writer panicked")).into_owned()
    }
}

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no reader panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against blocking the caller of the logger when nobody reads the log.
#[gtest]
fn write_stuck_output_never_blocks() {
    let (release, stuck) = mpsc::channel();
    let bounds = LogBounds { lines: 100_000, bytes: 64 << 20 };
    let mut writer = LineWriter::start(StuckOutput(stuck), bounds).expect("the thread starts");
    let started = Instant::now();
    for _ in 0..20_000 {
        writer.write_all(b"a line that nobody reads\n").expect("writing never fails");
    }
    expect_that!(started.elapsed(), lt(Duration::from_secs(1)));
    drop(release);
}

/// Guards against unbounded log volume, and against dropping lines without a count.
#[gtest]
fn write_beyond_bounds_counts_dropped() {
    let output = SharedOutput::default();
    let bounds = LogBounds { lines: 10, bytes: 1 << 20 };
    let mut writer = LineWriter::start(output.clone(), bounds).expect("the thread starts");
    for _ in 0..25 {
        writer.write_all(b"line\n").expect("writing never fails");
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    let dropped = loop {
        assert!(Instant::now() < deadline, "no count of dropped lines: {}", output.text());
        std::thread::sleep(Duration::from_millis(100));
        writer.write_all(b"later\n").expect("writing never fails");
        if let Some(count) = dropped_count(&output.text()) {
            break count;
        }
    };
    // Lines of the same second as the burst are dropped too.
    expect_that!(dropped, ge(15));
    expect_that!(output.text().matches("line\n").count(), eq(10));
}

/// Output that counts the bytes of each write.
#[derive(Clone, Default)]
struct SizedOutput(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for SizedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no reader panicked").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that mix with those of other processes on the same pipe, which keeps only
/// writes of up to 4096 bytes in one piece.
#[gtest]
fn write_burst_in_whole_lines() {
    let output = SizedOutput::default();
    let mut writer =
        LineWriter::start(output.clone(), LogBounds::default()).expect("the thread starts");
    for _ in 0..200 {
        writer.write_all(&[[b'x'; 149].as_slice(), b"\n"].concat()).expect("writing never fails");
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    let writes = loop {
        assert!(Instant::now() < deadline, "the lines are not written");
        std::thread::sleep(Duration::from_millis(100));
        let writes = output.0.lock().expect("no writer panicked").clone();
        if writes.iter().map(Vec::len).sum::<usize>() == 200 * 150 {
            break writes;
        }
    };
    for write in writes {
        expect_that!(write.len(), le(4096));
        expect_that!(write.last(), some(eq(&b'\n')));
    }
}

fn dropped_count(log: &str) -> Option<u64> {
    let (_, rest) = log.split_once("dropped count=")?;
    rest.lines().next()?.parse().ok()
}
