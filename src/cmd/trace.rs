//! `godwitcrank trace`: gathers what all processes logged about one call.

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

/// A line of a log that concerns the call.
struct TraceLine {
    /// Time as written at the beginning of the line; ISO 8601 sorts as text.
    time: String,
    file: String,
    text: String,
}

/// Parser of `trace`.
pub fn parser() -> impl Parser<TraceOptions> {
    let attempt = positional::<String>("ATTEMPT")
        .help("The caller's identifier of the attempt, or any value of a line's keys");
    let files =
        positional::<PathBuf>("LOG").help("Logs of the processes").some("expected a log file");
    construct!(TraceOptions { attempt, files })
        .to_options()
        .descr("Prints the lines of one call from the logs of all processes, in order of time")
        .footer("Example: godwitcrank trace 9c41d07be2a35f68 logs/*.log")
        .command("trace")
}

/// Prints the lines; exit code 1 when no log names the call.
pub fn execute(options: &TraceOptions) -> ExitCode {
    match gather(options) {
        Ok(lines) if lines.is_empty() => {
            eprintln!("no line names {}", options.attempt);
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

fn gather(options: &TraceOptions) -> eyre::Result<Vec<TraceLine>> {
    let mut found = Vec::new();
    for file in &options.files {
        let name = file.display().to_string();
        let lines = read_lines(file)?;
        let calls = call_ids(&lines, &options.attempt);
        for text in lines {
            if has_value(&text, &options.attempt) || calls.iter().any(|id| has_pair(&text, id)) {
                let time = text.split(' ').next().unwrap_or_default().to_owned();
                found.push(TraceLine { time, file: name.clone(), text });
            }
        }
    }
    found.sort_by(|left, right| left.time.cmp(&right.time));
    Ok(found)
}

fn read_lines(file: &PathBuf) -> eyre::Result<Vec<String>> {
    let reader = File::open(file).wrap_err_with(|| format!("cannot open {}", file.display()))?;
    BufReader::new(reader)
        .split(b'\n')
        .map(|line| line.map(|line| String::from_utf8_lossy(&line).into_owned()))
        .collect::<Result<_, _>>()
        .wrap_err_with(|| format!("cannot read {}", file.display()))
}

/// The router's own ids of the call, as `id=…` pairs of the lines that name the attempt.
fn call_ids(lines: &[String], attempt: &str) -> IndexSet<String> {
    lines
        .iter()
        .filter(|line| has_value(line, attempt))
        .filter_map(|line| line.split(' ').find(|pair| pair.starts_with("id=")))
        .map(str::to_owned)
        .collect()
}

fn has_value(line: &str, value: &str) -> bool {
    line.split(' ').any(|pair| pair.split_once('=').is_some_and(|(_, held)| held == value))
}

fn has_pair(line: &str, wanted: &str) -> bool {
    line.split(' ').any(|pair| pair == wanted)
}
