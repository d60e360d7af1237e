//! Work of all routers by second, summed from their log lines.

use std::time::Duration;

use indexmap::IndexMap;

use super::work_line::WorkLine;
use crate::decision::direct::WorkCount;
use crate::ids::{NodeId, TeamId};

const SECOND: Duration = Duration::from_secs(1);

/// Work of one team by second, in tokens.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamSeconds {
    /// Work of the calls that were no retries, as far as each router can tell.
    pub asked: Vec<f64>,
    /// Work that was sent to upstreams.
    pub got: Vec<f64>,
}

/// Processor time of one router by second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouterSeconds {
    /// Fraction of a processor core that it may use.
    pub processor_share: f64,
    /// Processor time that it used; zero where the system does not state it.
    pub processor_time: Vec<Duration>,
}

/// Work and processor time of a fleet by second, from the first second with work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetWork {
    /// The teams.
    pub teams: IndexMap<TeamId, TeamSeconds>,
    /// The routers.
    pub routers: IndexMap<NodeId, RouterSeconds>,
    /// Number of seconds.
    pub seconds: usize,
    /// Work of the largest call, in tokens.
    pub largest: f64,
}

impl FleetWork {
    /// Sums the lines of all routers. Work between two lines of a router is spread evenly over the
    /// time between them; sums that fall mean that the process was started again.
    pub fn new(lines: impl IntoIterator<Item = WorkLine>) -> Self {
        let mut by_router: IndexMap<NodeId, Vec<WorkLine>> = IndexMap::new();
        for line in lines {
            by_router.entry(NodeId::clone(&line.node)).or_default().push(line);
        }
        by_router.sort_unstable_keys();
        let Some(start) = first_second(&by_router) else { return Self::default() };
        let mut work = Self::default();
        for (node, mut lines) in by_router {
            lines.sort_by_key(|line| line.time);
            for pair in lines.windows(2) {
                work.add_interval(&node, &pair[0], &pair[1], start);
            }
        }
        work.fill_seconds();
        work
    }

    fn add_interval(&mut self, node: &NodeId, last: &WorkLine, next: &WorkLine, start: Duration) {
        self.largest = self.largest.max(next.largest);
        let shares = second_shares(last.time, next.time, start);
        for (team, total) in next.totals.teams() {
            let before = last.totals.teams().get(team).copied().unwrap_or_default();
            let count = difference(&before, total);
            let seconds = self.teams.entry(TeamId::clone(team)).or_default();
            for (second, share) in &shares {
                add_at(&mut seconds.asked, *second, count.asked_first() * share);
                add_at(&mut seconds.got, *second, count.sent * share);
            }
        }
        let used = next.processor_time.unwrap_or_default();
        let used = used.saturating_sub(last.processor_time.unwrap_or_default());
        let router = self.routers.entry(NodeId::clone(node)).or_default();
        router.processor_share = next.processor_share;
        for (second, share) in &shares {
            add_at(&mut router.processor_time, *second, used.mul_f64(*share));
        }
    }

    /// Gives all teams and routers values for all seconds.
    fn fill_seconds(&mut self) {
        let lengths = self.routers.values().map(|router| router.processor_time.len());
        self.seconds = lengths.max().unwrap_or_default();
        for team in self.teams.values_mut() {
            team.asked.resize(self.seconds, 0.0);
            team.got.resize(self.seconds, 0.0);
        }
        for router in self.routers.values_mut() {
            router.processor_time.resize(self.seconds, Duration::ZERO);
        }
    }
}

/// Returns the start of the second in which a router first reports work. A line at the end of a
/// second belongs to it.
fn first_second(by_router: &IndexMap<NodeId, Vec<WorkLine>>) -> Option<Duration> {
    by_router
        .values()
        .flatten()
        .filter(|line| line.totals.teams().values().any(|count| count.asked() > 0.0))
        .map(|line| line.time.saturating_sub(Duration::from_nanos(1)))
        .map(|time| Duration::from_secs(time.as_secs()))
        .min()
}

/// Returns the share of the time from `from` to `to` that each second after `start` has.
fn second_shares(from: Duration, to: Duration, start: Duration) -> Vec<(usize, f64)> {
    let from = from.saturating_sub(start);
    let Some(to) = to.checked_sub(start).filter(|to| *to > from) else { return Vec::new() };
    let length = to - from;
    (from.as_secs()..=to.as_secs())
        .map(|second| {
            let begin = Duration::from_secs(second);
            let overlap = to.min(begin + SECOND).saturating_sub(from.max(begin));
            (second as usize, overlap.div_duration_f64(length))
        })
        .filter(|(_, share)| *share > 0.0)
        .collect()
}

fn add_at<T>(values: &mut Vec<T>, index: usize, value: T)
where
    T: Clone + Default + std::ops::AddAssign,
{
    if values.len() <= index {
        values.resize(index + 1, T::default());
    }
    values[index] += value;
}

/// Returns the growth of a team's sums.
fn difference(before: &WorkCount, after: &WorkCount) -> WorkCount {
    if after.asked() < before.asked() {
        return *after;
    }
    WorkCount {
        sent: (after.sent - before.sent).max(0.0),
        refused: (after.refused - before.refused).max(0.0),
        shed: (after.shed - before.shed).max(0.0),
        repeated: (after.repeated - before.repeated).max(0.0),
    }
}
