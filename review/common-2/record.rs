//! Record of what was sent, answered and run, written to a file line by line.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Shared record; each line starts with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    pub started: Instant,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(BufWriter::new(file))), started: Instant::now() }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.now_ms(), line.as_ref());
        let _ = file.flush();
    }

    /// Writes a line that is also shown on the terminal.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.note(line);
    }
}
