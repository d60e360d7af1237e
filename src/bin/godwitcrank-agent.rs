//! Program of the agent daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use godwitcrank::daemon::{parse_arguments, run_daemon};
use godwitcrank::settings::NodeRole;

/// Runs callers' requests on one upstream within the upstream's limits.
///
/// Example: godwitcrank-agent --settings agent.toml
#[derive(Debug, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// Settings file (TOML)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = parse_arguments(&daemon_options());
    run_daemon(&options.settings, NodeRole::Agent)
}
