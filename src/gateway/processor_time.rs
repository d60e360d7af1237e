//! Processor time of the process.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Directory in which Linux lists the threads of the process.
const THREADS: &str = "/proc/self/task";

/// Returns the processor time that the threads of the process have used; `None` where the system
/// does not state it.
pub(super) fn processor_time() -> Option<Duration> {
    let threads = fs::read_dir(THREADS).ok()?;
    threads.map(|thread| thread_time(&thread.ok()?.path())).sum()
}

/// Reads the processor time of one thread: the first number of its scheduler statistics, in
/// nanoseconds.
fn thread_time(thread: &Path) -> Option<Duration> {
    let statistics = fs::read_to_string(thread.join("schedstat")).ok()?;
    let nanoseconds = statistics.split(' ').next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}
