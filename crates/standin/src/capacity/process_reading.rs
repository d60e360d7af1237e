//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::path::Path;
use std::time::Duration;

use eyre::{OptionExt, WrapErr};

/// Suffix of the names of control threads.
const CONTROL_SUFFIX: &str = "-control";

/// Processor time and memory that a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessReading {
    /// Processor time of the control thread.
    pub control: Duration,
    /// Processor time of all threads that still run.
    pub process: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

impl ProcessReading {
    /// Reads the usage of the process with the given id, which the caller must have started.
    pub fn read(id: u32) -> eyre::Result<Self> {
        let folder = Path::new("/proc").join(id.to_string());
        let mut reading = Self { resident: read_resident(&folder)?, ..Self::default() };
        let tasks = fs::read_dir(folder.join("task"))
            .wrap_err_with(|| format!("cannot read the threads of process {id}"))?;
        for task in tasks {
            let task = task?.path();
            // A thread may exit between listing the folder and reading its files.
            let Ok(name) = fs::read_to_string(task.join("comm")) else { continue };
            let Ok(time) = read_run_time(&task) else { continue };
            reading.process += time;
            if name.trim_end().ends_with(CONTROL_SUFFIX) {
                reading.control += time;
            }
        }
        Ok(reading)
    }
}

/// Reads the first field of a thread's `schedstat`, its processor time in nanoseconds.
fn read_run_time(task: &Path) -> eyre::Result<Duration> {
    let text = fs::read_to_string(task.join("schedstat"))?;
    let field = text.split_whitespace().next().ok_or_eyre("empty schedstat")?;
    Ok(Duration::from_nanos(field.parse()?))
}

fn read_resident(folder: &Path) -> eyre::Result<u64> {
    let text = fs::read_to_string(folder.join("status"))
        .wrap_err_with(|| format!("cannot read {}/status", folder.display()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()).ok_or_eyre("no VmRSS")?;
    Ok(kib.parse::<u64>()? * 1024)
}
