//! Upstreams with their agents that a test adds to a running fleet, for services and versions that
//! a [`FleetPlan`](godwitcrank_standin::fleet::FleetPlan) cannot express.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;

use godwitcrank_standin::fleet::RunningFleet;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

use super::programs;

/// Description of an upstream to be started.
pub struct UpstreamPlan<'a> {
    /// Id of the upstream.
    pub upstream: &'a str,
    /// Service that the upstream belongs to.
    pub service: &'a str,
    /// Version that the engine runs when it starts.
    pub version: &'a str,
    /// Version in the entry of the VM list: the one that the platform started the VM for.
    pub listed_version: &'a str,
}

/// A running engine with its agent; both are killed when this value is dropped.
pub struct ExtraUpstream {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Peer address of the agent.
    pub agent: SocketAddr,
    _processes: [RunningProcess; 2],
}

/// A child process with its standard output. The pipe has to stay open, since a process that prints
/// into a closed pipe fails.
struct RunningProcess {
    _child: Child,
    _stdout: Lines<BufReader<ChildStdout>>,
}

impl ExtraUpstream {
    /// Starts the engine and its agent and adds the agent to the VM list.
    pub async fn start(fleet: &RunningFleet, plan: &UpstreamPlan<'_>) -> Self {
        let programs = programs();
        let log = fleet.folder().join(format!("{}.log", plan.upstream));
        let arguments = ["engine", "--slots", "16", "--version", plan.version];
        let arguments = arguments.map(str::to_owned);
        let (engine_process, report) = start_process(&programs.standin, &arguments, &log).await;
        let engine = parse_address(&report, "address");
        let agent = ExtraAgent::start(fleet, plan, engine).await;
        Self { engine, agent: agent.address, _processes: [engine_process, agent._process] }
    }

    /// Reads the engine's counters.
    pub async fn read_counters(&self, fleet: &RunningFleet) -> Value {
        fleet.client().get_json(self.engine, "/control/counters").await.expect("counters")
    }

    /// Returns the number of requests that the engine has received from `team-1`.
    pub async fn received_requests(&self, fleet: &RunningFleet) -> u64 {
        self.read_counters(fleet).await["by-team"]["team-1"]["requests"].as_u64().unwrap_or(0)
    }
}

/// A running agent; it is killed when this value is dropped.
pub struct ExtraAgent {
    /// Peer address.
    pub address: SocketAddr,
    _process: RunningProcess,
}

impl ExtraAgent {
    /// Starts the agent of an engine and adds it to the VM list.
    pub async fn start(fleet: &RunningFleet, plan: &UpstreamPlan<'_>, engine: SocketAddr) -> Self {
        let programs = programs();
        let platform = fleet.platform_address().expect("a platform");
        let settings = format!(
            "[node]\nid = \"agent-{name}\"\ndata-centre = \"caerdydd\"\n\
             [platform]\ntable = \"http://{platform}\"\nvm-list = \"http://{platform}\"\n\
             poll-interval = \"500ms\"\n[listen]\npeer = \"127.0.0.1:0\"\n\
             [upstream]\nid = \"{name}\"\nservice = \"{service}\"\nurl = \"http://{engine}\"\n\
             slots = 16\nversion = \"{version}\"\n",
            name = plan.upstream,
            service = plan.service,
            version = plan.version,
        );
        let file = fleet.folder().join(format!("agent-{}.toml", plan.upstream));
        std::fs::write(&file, settings).expect("a settings file");
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let log = fleet.folder().join(format!("agent-{}.log", plan.upstream));
        let (process, report) = start_process(&programs.agent, &arguments, &log).await;
        let address = parse_address(&report, "peer");
        let entry = json!({
            "node": format!("agent-{}", plan.upstream), "role": "agent", "address": address,
            "data-centre": "caerdydd", "state": "live",
            "labels": {
                "service": plan.service, "upstream": plan.upstream, "version": plan.listed_version,
            },
        });
        let path = format!("/vms/agent-{}", plan.upstream);
        fleet.client().put_json(platform, &path, &entry).await.expect("a listed agent");
        Self { address, _process: process }
    }
}

/// Starts a program and returns it with the addresses that it prints as its first line.
async fn start_process(
    program: &Path,
    arguments: &[String],
    log: &Path,
) -> (RunningProcess, Value) {
    let log = std::fs::File::create(log).expect("a log file");
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .expect("a process");
    let stdout = child.stdout.take().expect("a pipe");
    let mut lines = BufReader::new(stdout).lines();
    let line = lines.next_line().await.expect("a report").expect("a report");
    let report = serde_json::from_str(&line).expect("JSON");
    (RunningProcess { _child: child, _stdout: lines }, report)
}

fn parse_address(report: &Value, field: &str) -> SocketAddr {
    report[field].as_str().expect("an address").parse().expect("an address")
}
