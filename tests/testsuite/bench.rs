//! Load tool on a fleet of real processes.

use std::process::Stdio;

use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::process::Command;

use super::support::programs;

/// Guards against a scenario that does not start, and a report or plot in the wrong format.
#[gtest]
#[tokio::test]
async fn steady_one_second() {
    let folder = programs().standin.parent().expect("a folder").to_owned();
    let plot = std::env::temp_dir().join(format!("steady-{}.svg", std::process::id()));
    let output = Command::new(folder.join("godwitcrank-bench"))
        .args(["--seconds", "1", "--seed", "7", "--json", "--plot"])
        .arg(&plot)
        .args(["steady", "--engines", "1"])
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .expect("the tool runs");
    expect_that!(output.status.code(), some(eq(0)));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    expect_that!(report["seed"], eq(&json!(7)));
    for team in ["team-1", "team-2"] {
        expect_that!(report["figures"]["service"][team].as_f64(), some(gt(0.0)));
    }
    let drawn = std::fs::read_to_string(&plot).expect("a plot");
    std::fs::remove_file(&plot).expect("a plot");
    expect_that!(drawn, contains_substring("<svg"));
}
