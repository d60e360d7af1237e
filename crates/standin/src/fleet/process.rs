//! Child processes that are killed when their handle is dropped.

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

/// Time limit for a process to start or exit, and for a condition to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signals that tests send to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Asks the process to stop (SIGTERM).
    Terminate,
    /// Kills the process (SIGKILL).
    Kill,
    /// Pauses the process (SIGSTOP).
    Pause,
    /// Resumes a paused process (SIGCONT).
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

/// Polls `condition` until it holds; fails with `what` after `WAIT_TIMEOUT`.
pub async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F) -> eyre::Result<()>
where
    F: Future<Output = bool>,
{
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = timeout(WAIT_TIMEOUT, waiting).await;
    waited.wrap_err_with(|| format!("not within {WAIT_TIMEOUT:?}: {what}"))
}

/// Temporary folder for settings files and logs; it is kept when a test panics.
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

/// A process that has not yet printed its start-up report, a JSON line with its addresses.
pub(super) struct StartingProcess {
    name: String,
    child: Child,
    log_file: PathBuf,
}

impl StartingProcess {
    /// Starts a program; its standard error is appended to a log file in the folder.
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

    /// Waits for the start-up report.
    pub(super) async fn wait_report(mut self) -> eyre::Result<ChildProcess> {
        let name = self.name;
        let stdout = self.child.stdout.take().ok_or_eyre("standard output is not piped")?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(WAIT_TIMEOUT, lines.next_line()).await;
        let line = line.wrap_err_with(|| format!("{name} did not report its addresses"))?;
        let line = line.wrap_err_with(|| format!("cannot read the start-up report of {name}"))?;
        let Some(line) = line else {
            let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
            bail!("{name} exited before it reported its addresses:\n{log}");
        };
        let report = serde_json::from_str(&line)
            .wrap_err_with(|| format!("the start-up report of {name} is not JSON: {line}"))?;
        Ok(ChildProcess { name, child: self.child, report, _stdout: lines })
    }
}

/// A process that has reported its addresses; dropping this value kills it.
pub struct ChildProcess {
    name: String,
    child: Child,
    report: Value,
    // Kept open, because a process that writes to a closed pipe fails.
    _stdout: Lines<BufReader<ChildStdout>>,
}

impl ChildProcess {
    /// Returns an address from the start-up report.
    pub fn address(&self, field: &str) -> eyre::Result<SocketAddr> {
        let text = self.report[field].as_str();
        let text = text.ok_or_eyre(format!("{} reported no {field}", self.name))?;
        text.parse().wrap_err_with(|| format!("{} reported {text:?} as {field}", self.name))
    }

    /// Returns the process id, or `None` after the process has exited.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: ProcessSignal) -> eyre::Result<()> {
        let id = self.child.id().ok_or_eyre(format!("{} has exited", self.name))?;
        let id = Pid::from_raw(i32::try_from(id)?).ok_or_eyre("process id 0")?;
        kill_process(id, signal.into()).wrap_err_with(|| format!("cannot signal {}", self.name))
    }

    /// Waits for the process to exit; returns its exit code, or `None` if a signal killed it.
    pub async fn wait_exit(&mut self) -> eyre::Result<Option<i32>> {
        let exited = timeout(WAIT_TIMEOUT, self.child.wait()).await;
        let status = exited.wrap_err_with(|| format!("{} did not exit", self.name))?;
        let status = status.wrap_err_with(|| format!("cannot wait for {}", self.name))?;
        Ok(status.code())
    }

    /// Kills the process if it still runs, and waits for it to exit.
    pub async fn close(mut self) -> eyre::Result<()> {
        self.child.kill().await.wrap_err_with(|| format!("cannot kill {}", self.name))
    }
}
