//! Log output with bounded volume: a thread of its own writes the lines to standard output, so that
//! logging never blocks.

use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Maximum number of lines that wait for the output thread.
const MAX_QUEUED_LINES: usize = 4096;

/// Time for which the output thread collects lines before it writes them, so that it wakes a few
/// times a second and not for every line.
const BATCH_TIME: Duration = Duration::from_millis(25);

/// Maximum number of bytes of one write. Linux keeps writes up to this size to a pipe in one piece,
/// so that the lines of processes that share a pipe do not mix.
const MAX_WRITE_BYTES: usize = 4096;

/// Number of lines not yet written, over all writers of the process.
static PENDING_LINES: AtomicUsize = AtomicUsize::new(0);

/// Bounds on the log volume of one second; lines beyond either are dropped and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBounds {
    /// Maximum number of lines.
    pub lines: u32,
    /// Maximum number of bytes.
    pub bytes: usize,
}

impl Default for LogBounds {
    fn default() -> Self {
        Self { lines: 600, bytes: 256 << 10 }
    }
}

/// Writer that passes each line to the output thread, or drops it.
#[derive(Debug)]
pub struct LineWriter {
    queue: SyncSender<Vec<u8>>,
    bounds: LogBounds,
    second: Instant,
    lines: u32,
    bytes: usize,
    dropped: u64,
}

impl LineWriter {
    /// Starts the output thread, which writes to `output`.
    pub fn start(output: impl Write + Send + 'static, bounds: LogBounds) -> io::Result<Self> {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &lines))?;
        let second = Instant::now();
        Ok(Self { queue, bounds, second, lines: 0, bytes: 0, dropped: 0 })
    }

    fn enqueue_bounded(&mut self, line: Vec<u8>) {
        let now = Instant::now();
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.lines = 0;
            self.bytes = 0;
            self.report_dropped();
        }
        if self.lines >= self.bounds.lines || self.bytes + line.len() > self.bounds.bytes {
            self.dropped += 1;
            return;
        }
        self.lines += 1;
        self.bytes += line.len();
        self.send(line);
    }

    fn report_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            self.send(format!("WARN log lines dropped count={dropped}\n").into_bytes());
        }
    }

    fn send(&mut self, line: Vec<u8>) {
        match self.queue.try_send(line) {
            Ok(()) => {
                PENDING_LINES.fetch_add(1, Ordering::Relaxed);
            }
            // The reader of the output is slow, or the output is closed.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.enqueue_bounded(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines in batches until the queue or the output is closed.
fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_TIME);
        let batch: Vec<Vec<u8>> = std::iter::once(first).chain(lines.try_iter()).collect();
        let written = write_batch(&mut output, &batch);
        PENDING_LINES.fetch_sub(batch.len(), Ordering::Relaxed);
        if written.is_err() {
            return;
        }
    }
}

/// Writes whole lines, as many at a time as fit into one write; a longer line is written alone.
fn write_batch(output: &mut impl Write, batch: &[Vec<u8>]) -> io::Result<()> {
    let mut chunk: Vec<u8> = Vec::with_capacity(MAX_WRITE_BYTES);
    for line in batch {
        if !chunk.is_empty() && chunk.len() + line.len() > MAX_WRITE_BYTES {
            output.write_all(&chunk)?;
            chunk.clear();
        }
        chunk.extend_from_slice(line);
    }
    output.write_all(&chunk)?;
    output.flush()
}

/// Waits until all lines are written, at most for `limit`. Called before the process ends.
pub fn flush_pending(limit: Duration) {
    let deadline = Instant::now() + limit;
    while PENDING_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(BATCH_TIME);
    }
}
