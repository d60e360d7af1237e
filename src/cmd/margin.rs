//! `godwitcrank report margin`: how near each team came to less than its fair share.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, positional};
use eyre::WrapErr;
use godwitcrank::report::{FairMargins, FleetWork, WorkLine, render_margins};

/// Options of `report margin`.
#[derive(Clone, Debug)]
pub struct MarginOptions {
    files: Vec<PathBuf>,
}

/// Parser of `report margin`.
pub fn parser() -> impl Parser<MarginOptions> {
    let files =
        positional::<PathBuf>("LOG").help("Logs of all routers").some("expected a log file");
    construct!(MarginOptions { files })
        .to_options()
        .descr("Prints the margin of each team's fair share, and the routers' processor time")
        .footer("Example: godwitcrank report margin logs/*.log")
        .command("margin")
}

/// Prints the report; exit code 1 if a log cannot be read or has no line of teams' work.
pub fn execute(options: &MarginOptions) -> ExitCode {
    match read_lines(options) {
        Ok(lines) if lines.is_empty() => {
            eprintln!("no log has a line of teams' work");
            ExitCode::FAILURE
        }
        Ok(lines) => {
            let work = FleetWork::new(lines);
            print!("{}", render_margins(&work, &FairMargins::from(&work)));
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_lines(options: &MarginOptions) -> eyre::Result<Vec<WorkLine>> {
    let mut work_lines = Vec::new();
    for file in &options.files {
        let bytes =
            std::fs::read(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
        let text = String::from_utf8_lossy(&bytes);
        for line in text.lines().filter_map(WorkLine::read) {
            match line {
                Ok(line) => work_lines.push(line),
                Err(error) => eprintln!("{}: left out a line: {error}", file.display()),
            }
        }
    }
    Ok(work_lines)
}
