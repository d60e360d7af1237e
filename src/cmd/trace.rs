//! `godwitcrank trace`: collects the log lines of one call from the logs of all processes.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, positional};
use eyre::WrapErr;
use indexmap::IndexSet;

/// Options of `trace`.
#[derive(Clone, Debug)]
pub struct TraceOptions {
    attempt: String,
    files: Vec<PathBuf>,
}

/// A log line of the call.
struct TraceLine {
    /// Timestamp at the start of the line; ISO 8601 timestamps sort chronologically as text.
    time: String,
    file: String,
    text: String,
}

/// Parser of `trace`.
pub fn parser() -> impl Parser<TraceOptions> {
    let attempt = positional::<String>("ATTEMPT")
        .help("The caller's identifier of the attempt, or the value of any key of a log line");
    let files =
        positional::<PathBuf>("LOG").help("Logs of the processes").some("expected a log file");
    construct!(TraceOptions { attempt, files })
        .to_options()
        .descr("Prints the log lines of one call from all processes, sorted by time")
        .footer("Example: godwitcrank trace 9c41d07be2a35f68 logs/*.log")
        .command("trace")
}

/// Prints the lines; exit code 1 if no log contains the attempt.
pub fn execute(options: &TraceOptions) -> ExitCode {
    match collect_lines(options) {
        Ok(lines) if lines.is_empty() => {
            eprintln!("no log line contains {}", options.attempt);
            ExitCode::FAILURE
        }
        Ok(lines) => {
            for line in lines {
                println!("{}: {}", line.file, line.text);
            }
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

fn collect_lines(options: &TraceOptions) -> eyre::Result<Vec<TraceLine>> {
    let mut call_lines = Vec::new();
    for file in &options.files {
        let name = file.display().to_string();
        let lines = read_lines(file)?;
        let call_ids = find_call_ids(&lines, &options.attempt);
        for text in lines {
            if contains_value(&text, &options.attempt)
                || call_ids.iter().any(|id| contains_pair(&text, id))
            {
                let time = text.split(' ').next().unwrap_or_default().to_owned();
                call_lines.push(TraceLine { time, file: name.clone(), text });
            }
        }
    }
    call_lines.sort_by(|left, right| left.time.cmp(&right.time));
    Ok(call_lines)
}

fn read_lines(file: &PathBuf) -> eyre::Result<Vec<String>> {
    let reader = File::open(file).wrap_err_with(|| format!("cannot open {}", file.display()))?;
    BufReader::new(reader)
        .split(b'\n')
        .map(|line| line.map(|line| String::from_utf8_lossy(&line).into_owned()))
        .collect::<Result<_, _>>()
        .wrap_err_with(|| format!("cannot read {}", file.display()))
}

/// Returns the `id=…` pairs of the lines that contain the attempt. Ids are unique within
/// one process only, so each log is searched with its own.
fn find_call_ids(lines: &[String], attempt: &str) -> IndexSet<String> {
    lines
        .iter()
        .filter(|line| contains_value(line, attempt))
        .filter_map(|line| line.split(' ').find(|pair| pair.starts_with("id=")))
        .map(str::to_owned)
        .collect()
}

fn contains_value(line: &str, value: &str) -> bool {
    line.split(' ').any(|pair| pair.split_once('=').is_some_and(|(_, found)| found == value))
}

fn contains_pair(line: &str, expected: &str) -> bool {
    line.split(' ').any(|pair| pair == expected)
}
