//! `godwitcrank check`: checks settings files without starting a daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, long, positional};
use godwitcrank::daemon::{EXIT_USAGE, load_settings};
use godwitcrank::settings::NodeRole;

/// Options of `check`.
#[derive(Clone, Debug)]
pub struct CheckOptions {
    role: NodeRole,
    files: Vec<PathBuf>,
}

/// Parser of `check`.
pub fn parser() -> impl Parser<CheckOptions> {
    let role = long("role")
        .help("Daemon that reads the files: router or agent")
        .argument::<String>("ROLE")
        .parse(|text| match text.as_str() {
            "router" => Ok(NodeRole::Router),
            "agent" => Ok(NodeRole::Agent),
            _ => Err(format!("expected router or agent, found {text:?}")),
        });
    let files = positional::<PathBuf>("FILE").help("Settings files").some("expected a file");
    construct!(CheckOptions { role, files })
        .to_options()
        .descr("Checks settings files and reports every finding with file, line and key")
        .footer("Example: godwitcrank check --role agent agent.toml")
        .command("check")
}

/// Checks the files; exit code 2 if there are findings.
pub fn execute(options: &CheckOptions) -> ExitCode {
    let mut valid = true;
    for file in &options.files {
        match load_settings(file, options.role) {
            Ok(_) => println!("{}: valid", file.display()),
            Err(report) => {
                valid = false;
                eprintln!("{report:#}");
            }
        }
    }
    if valid { ExitCode::SUCCESS } else { ExitCode::from(EXIT_USAGE) }
}
