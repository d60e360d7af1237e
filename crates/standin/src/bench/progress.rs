//! Progress of an experiment on standard error.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

/// Shortest interval between two lines when standard error is not a terminal.
const PLAIN_INTERVAL: Duration = Duration::from_secs(5);

/// A progress line that is overwritten in place on a terminal; elsewhere, a new line is printed at
/// most once per `PLAIN_INTERVAL`.
pub struct ProgressLine {
    terminal: bool,
    printed: Option<Instant>,
}

impl Default for ProgressLine {
    fn default() -> Self {
        Self { terminal: std::io::stderr().is_terminal(), printed: None }
    }
}

impl ProgressLine {
    /// Replaces the text of the line.
    pub fn update(&mut self, text: &str) {
        let mut stderr = std::io::stderr();
        let written = if self.terminal {
            write!(stderr, "\r\x1b[K{text}").and_then(|()| stderr.flush())
        } else if self.printed.is_none_or(|printed| printed.elapsed() >= PLAIN_INTERVAL) {
            self.printed = Some(Instant::now());
            writeln!(stderr, "{text}")
        } else {
            Ok(())
        };
        // Write errors are ignored: a closed standard error must not end the experiment.
        drop(written);
    }

    /// Ends the line on a terminal.
    pub fn finish(self) {
        if self.terminal {
            eprintln!();
        }
    }
}
