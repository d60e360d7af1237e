//! Processes that end with the value that owns them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::{OptionExt, WrapErr, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Longest time that a start, an end or a condition is waited for.
const DEADLINE: Duration = Duration::from_secs(20);

/// Interval at which a condition is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Signals that tests send to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Asks the process to stop (SIGTERM).
    Terminate,
    /// Ends the process at once (SIGKILL).
    Kill,
    /// Pauses the process (SIGSTOP).
    Pause,
    /// Lets a paused process run again (SIGCONT).
    Resume,
}

impl From<ProcessSignal> for Signal {
    fn from(signal: ProcessSignal) -> Self {
        match signal {
            ProcessSignal::Terminate => Self::TERM,
            ProcessSignal::Kill => Self::KILL,
            ProcessSignal::Pause => Self::STOP,
            ProcessSignal::Resume => Self::CONT,
        }
    }
}

/// Waits until `condition` holds; fails at the deadline.
pub async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F) -> eyre::Result<()>
where
    F: Future<Output = bool>,
{
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    };
    timeout(DEADLINE, waiting).await.wrap_err_with(|| format!("not within {DEADLINE:?}: {what}"))
}

/// Temporary folder for settings files and logs; it is kept when a test fails.
pub(super) struct ProcessFolder {
    path: PathBuf,
}

impl ProcessFolder {
    pub(super) fn create(name: &str) -> eyre::Result<Self> {
        static CREATED: AtomicU64 = AtomicU64::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let folder = format!("godwitcrank-{name}-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&path)
            .wrap_err_with(|| format!("cannot create {}", path.display()))?;
        Ok(Self { path })
    }

    pub(super) fn path(&self) -> PathBuf {
        self.path.clone()
    }

    pub(super) fn log_file(&self, name: &str) -> PathBuf {
        self.path.join(format!("{name}.log"))
    }

    pub(super) fn write(&self, file: &str, text: &str) -> eyre::Result<PathBuf> {
        let path = self.path.join(file);
        std::fs::write(&path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
        Ok(path)
    }
}

impl Drop for ProcessFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.path.display());
        } else if let Err(error) = std::fs::remove_dir_all(&self.path) {
            log::warn!("cannot remove {}: {error}", self.path.display());
        }
    }
}

/// A process that has not yet printed the JSON line with its addresses.
pub(super) struct StartingProcess {
    name: String,
    child: Child,
    log_file: PathBuf,
}

impl StartingProcess {
    /// Starts a program whose log goes to a file of the folder.
    pub(super) fn spawn(
        folder: &ProcessFolder,
        name: &str,
        program: &Path,
        arguments: &[String],
    ) -> eyre::Result<Self> {
        let log_file = folder.log_file(name);
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log_file)
            .wrap_err_with(|| format!("cannot open {}", log_file.display()))?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        Ok(Self { name: name.to_owned(), child, log_file })
    }

    /// Waits for the JSON line.
    pub(super) async fn wait_report(mut self) -> eyre::Result<ChildProcess> {
        let name = self.name;
        let stdout = self.child.stdout.take().ok_or_eyre("no pipe")?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(DEADLINE, lines.next_line()).await;
        let line = line.wrap_err_with(|| format!("{name} did not report its addresses"))?;
        let Some(line) = line.wrap_err("cannot read the report")? else {
            let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
            bail!("{name} ended without a report:\n{log}");
        };
        let report = serde_json::from_str(&line)
            .wrap_err_with(|| format!("{name} reported no JSON: {line}"))?;
        Ok(ChildProcess { name, child: self.child, report, _stdout: lines })
    }
}

/// A process that has reported its addresses; it is killed when this value is dropped.
pub struct ChildProcess {
    name: String,
    child: Child,
    report: Value,
    // Kept open: a process that prints into a closed pipe would fail.
    _stdout: Lines<BufReader<ChildStdout>>,
}

impl ChildProcess {
    /// Returns an address from the process's report.
    pub fn address(&self, field: &str) -> eyre::Result<SocketAddr> {
        let text = self.report[field].as_str();
        let text = text.ok_or_eyre(format!("{} reported no {field}", self.name))?;
        text.parse().wrap_err_with(|| format!("{} reported {text:?} as {field}", self.name))
    }

    /// Returns the process id while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: ProcessSignal) -> eyre::Result<()> {
        let id = self.child.id().ok_or_eyre(format!("{} has ended", self.name))?;
        let id = Pid::from_raw(i32::try_from(id)?).ok_or_eyre("process id 0")?;
        kill_process(id, signal.into()).wrap_err_with(|| format!("cannot signal {}", self.name))
    }

    /// Waits until the process has ended; returns its exit code, `None` after a signal.
    pub async fn wait_exit(&mut self) -> eyre::Result<Option<i32>> {
        let ended = timeout(DEADLINE, self.child.wait()).await;
        let status = ended.wrap_err_with(|| format!("{} does not end", self.name))?;
        Ok(status.wrap_err("cannot wait for a process")?.code())
    }

    /// Kills the process if it still runs, and waits for its end.
    pub async fn close(mut self) -> eyre::Result<()> {
        self.child.kill().await.wrap_err_with(|| format!("cannot kill {}", self.name))
    }
}
