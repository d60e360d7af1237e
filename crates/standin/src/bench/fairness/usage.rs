//! Traffic and processor time of the control threads.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use indexmap::IndexMap;

use crate::fleet::RunningFleet;

/// Names of the control threads.
const CONTROL_THREADS: [&str; 2] = ["agent-control", "router-control"];

/// Control traffic and processor time of one process since its start.
#[derive(Clone, Copy, Debug, Default)]
struct NodeUsage {
    bytes: f64,
    cpu: Duration,
}

/// A reading of all processes, by name and process id; a restart changes the process id.
pub(super) struct ControlUsage {
    at: Instant,
    nodes: IndexMap<(String, Option<u32>), NodeUsage>,
}

/// Control traffic and processor time per second: mean and maximum over the processes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsageRates {
    pub(super) mean_bytes: f64,
    pub(super) max_bytes: f64,
    pub(super) mean_cpu: f64,
    pub(super) max_cpu: f64,
}

impl ControlUsage {
    pub(super) async fn read(fleet: &RunningFleet) -> eyre::Result<Self> {
        let mut nodes = IndexMap::new();
        for node in fleet.nodes() {
            let peer = node.process.address("peer")?;
            let usage = fleet.client().get_json(peer, "/peer/usage").await?;
            let bytes = usage["exchange-bytes"].as_f64().unwrap_or(0.0);
            let cpu = node.process.id().map(control_time).transpose()?.unwrap_or_default();
            nodes.insert((node.name.clone(), node.process.id()), NodeUsage { bytes, cpu });
        }
        Ok(Self { at: Instant::now(), nodes })
    }

    /// Returns the rates since an earlier reading, over the processes that ran at both times.
    pub(super) fn since(&self, earlier: &Self) -> UsageRates {
        let seconds = self.at.duration_since(earlier.at).as_secs_f64().max(f64::EPSILON);
        let mut rates = UsageRates::default();
        let mut count = 0.0;
        for (node, now) in &self.nodes {
            let Some(before) = earlier.nodes.get(node) else { continue };
            let bytes = (now.bytes - before.bytes) / seconds;
            let cpu = now.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds;
            count += 1.0;
            rates.mean_bytes += (bytes - rates.mean_bytes) / count;
            rates.mean_cpu += (cpu - rates.mean_cpu) / count;
            rates.max_bytes = rates.max_bytes.max(bytes);
            rates.max_cpu = rates.max_cpu.max(cpu);
        }
        rates
    }
}

/// Returns the processor time of a process's control thread, as counted by the kernel.
fn control_time(process: u32) -> eyre::Result<Duration> {
    let tasks = format!("/proc/{process}/task");
    let mut total = Duration::ZERO;
    for task in std::fs::read_dir(&tasks).wrap_err_with(|| format!("cannot read {tasks}"))? {
        let task = task.wrap_err("cannot read a task")?.path();
        // A thread may exit between listing the folder and reading its name.
        let name = std::fs::read_to_string(task.join("comm")).unwrap_or_default();
        if CONTROL_THREADS.contains(&name.trim()) {
            total += thread_time(&task);
        }
    }
    Ok(total)
}

fn thread_time(task: &Path) -> Duration {
    let text = std::fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    let running = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(running.unwrap_or(0))
}
