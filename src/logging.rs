//! Log format: one event per line, followed by its key-value pairs as `key=value`.

use std::io::{self, Write};

use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{self, Key, Value, VisitSource};

use crate::event_log::{LineWriter, LogBounds};

/// Starts logging to standard error, at level `info` or as `RUST_LOG` says.
pub fn start_logging() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).format(write_record).init();
}

/// Starts logging to standard output, bounded in lines and bytes and without blocking.
pub fn start_event_log() {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    match LineWriter::start(io::stdout(), LogBounds::default()) {
        Ok(writer) => {
            builder.target(env_logger::Target::Pipe(Box::new(writer)));
        }
        Err(error) => eprintln!("cannot start the log thread; logging to standard error: {error}"),
    }
    builder.format(write_record).init();
}

fn write_record(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let timestamp = formatter.timestamp_millis();
    let line = format_record(record);
    writeln!(formatter, "{timestamp} {line}")
}

/// Formats level, target, message and key-value pairs as one line without a timestamp.
pub fn format_record(record: &Record<'_>) -> String {
    let message = single_line(&record.args().to_string());
    let mut line = format!("{} {} {message}", record.level(), record.target());
    // Writing to a string cannot fail.
    let _ = record.key_values().visit(&mut PairWriter { line: &mut line });
    line
}

struct PairWriter<'a> {
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = single_line(&value.to_string());
        let quoted = value.is_empty() || value.contains([' ', '"', '=']);
        let value = if quoted { format!("{value:?}") } else { value };
        self.line.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

/// Joins the lines of a message, such as a list of findings, into one.
fn single_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" | ")
}
