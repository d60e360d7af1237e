//! The command `godwitcrank trace`.

use std::path::PathBuf;
use std::process::Command;

use googletest::prelude::*;

const FIRST: &str = "\
2026-01-01T00:00:02.000Z WARN relay stream broke id=7 upstream=i-1 last_event=9
2026-01-01T00:00:02.100Z INFO call_log call ended: broken off id=7 attempt=9c41 upstream=i-1
2026-01-01T00:00:03.000Z INFO call_log call ended: completed id=77 attempt=9c42 upstream=i-1
";

/// Logs of another router, where the same call id belongs to another call.
const SECOND: &str = "\
2026-01-01T00:00:01.000Z INFO call_log call ended: refused no-capacity id=4 attempt=9c41
2026-01-01T00:00:01.500Z INFO call_log call ended: completed id=7 attempt=9c43
";

fn write_logs(case: &str) -> Vec<PathBuf> {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    [("first", FIRST), ("second", SECOND)]
        .into_iter()
        .map(|(name, text)| {
            let path = directory.join(format!("trace-{case}-{name}.log"));
            std::fs::write(&path, text).expect("the log can be written");
            path
        })
        .collect()
}

fn trace(attempt: &str, logs: &[PathBuf]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_godwitcrank"))
        .args(["trace", attempt])
        .args(logs)
        .output()
        .expect("the command runs");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Guards against lines of other calls, missing lines and lines out of order.
#[gtest]
fn trace_attempt_over_two_logs() {
    let (code, text) = trace("9c41", &write_logs("attempt"));
    let lines: Vec<&str> = text.lines().collect();
    expect_that!(code, some(eq(0)));
    expect_that!(
        lines,
        elements_are![
            contains_substring("refused no-capacity"),
            contains_substring("stream broke id=7"),
            contains_substring("broken off"),
        ]
    );
}

/// Guards against reporting success when no line is found.
#[gtest]
fn trace_unknown_attempt_fails() {
    let (code, text) = trace("9c4", &write_logs("unknown"));
    expect_that!(code, some(eq(1)));
    expect_that!(text.as_str(), eq(""));
}
