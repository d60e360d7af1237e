//! Reads the log lines in which routers state what became of their teams' work.

use std::time::Duration;

use derive_more::{Display, Error, From};

use super::work_totals::{TeamTotals, TotalsError};
use crate::ids::NodeId;

/// Message of the lines.
const WORK_MESSAGE: &str = "work of all teams";

/// Work of one router from the start of its process up to a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkLine {
    /// The router.
    pub node: NodeId,
    /// Time at which the line was written, since the Unix epoch.
    pub time: Duration,
    /// Fraction of a processor core that the process may use.
    pub processor_share: f64,
    /// Processor time that it has used, where the system states it.
    pub processor_time: Option<Duration>,
    /// Work of the largest call, in tokens.
    pub largest: f64,
    /// Work by team.
    pub totals: TeamTotals,
}

/// Error for a line of teams' work that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum WorkLineError {
    /// A key is missing or its value cannot be read.
    #[display("no valid {key}")]
    #[from(skip)]
    InvalidKey {
        /// The key.
        key: &'static str,
    },
    /// The list of teams cannot be read.
    InvalidTotals(TotalsError),
}

impl WorkLine {
    /// Reads a log line, with or without text before its timestamp; `None` if it is another line.
    pub fn read(line: &str) -> Option<Result<Self, WorkLineError>> {
        let (head, pairs) = line.split_once(WORK_MESSAGE)?;
        Some(Self::parse(head, pairs))
    }

    fn parse(head: &str, pairs: &str) -> Result<Self, WorkLineError> {
        let time = head.split(' ').find_map(parse_time).ok_or_else(|| invalid("timestamp"))?;
        let processor_ms: i64 = parse_value(pairs, "processor_ms")?;
        Ok(Self {
            node: find_value(pairs, "node")?.into(),
            time,
            processor_share: parse_value(pairs, "share")?,
            processor_time: u64::try_from(processor_ms).ok().map(Duration::from_millis),
            largest: parse_value(pairs, "largest")?,
            totals: TeamTotals::try_from(find_value(pairs, "teams")?)?,
        })
    }
}

fn invalid(key: &'static str) -> WorkLineError {
    WorkLineError::InvalidKey { key }
}

/// Returns the value of a key; an empty one is quoted in the log.
fn find_value<'line>(pairs: &'line str, key: &'static str) -> Result<&'line str, WorkLineError> {
    pairs
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value.trim_matches('"'))
        .ok_or_else(|| invalid(key))
}

fn parse_value<T: std::str::FromStr>(pairs: &str, key: &'static str) -> Result<T, WorkLineError> {
    find_value(pairs, key)?.parse().map_err(|_| invalid(key))
}

/// Parses a timestamp such as `2026-01-01T00:00:02.000Z`.
fn parse_time(text: &str) -> Option<Duration> {
    let time = humantime::parse_rfc3339(text).ok()?;
    time.duration_since(std::time::UNIX_EPOCH).ok()
}
