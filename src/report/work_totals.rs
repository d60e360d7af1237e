//! What became of each team's work at one router, in the form in which its log states it.

use std::fmt::{self, Display, Formatter};

use derive_more::{Display, Error};
use indexmap::IndexMap;

use crate::decision::direct::WorkCount;
use crate::ids::TeamId;

/// Maximum number of teams that one line lists; those that asked for less are summed.
const MAX_LISTED_TEAMS: usize = 128;

/// Name of the sum of the teams beyond the limit.
const OTHER_TEAMS: &str = "*";

/// Characters that separate teams and numbers, or that a log line would quote.
const RESERVED_CHARACTERS: [char; 5] = [',', ':', ' ', '"', '='];

/// Work by team since the start of a process, so that a dropped log line loses nothing.
///
/// Written as `TEAM:SENT:REFUSED:SHED:REPEATED` in tokens, separated by commas, most work asked for first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamTotals {
    teams: IndexMap<TeamId, WorkCount>,
}

/// Error for a list of teams that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("not TEAM:SENT:REFUSED:SHED:REPEATED: {entry:?}")]
pub struct TotalsError {
    /// The entry that cannot be read.
    pub entry: String,
}

impl TeamTotals {
    /// Adds work of a team.
    pub fn add(&mut self, team: &TeamId, count: WorkCount) {
        *self.teams.entry(TeamId::clone(team)).or_default() += count;
    }

    /// Returns the work by team.
    pub fn teams(&self) -> &IndexMap<TeamId, WorkCount> {
        &self.teams
    }
}

impl Display for TeamTotals {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut teams: Vec<(&TeamId, &WorkCount)> = self.teams.iter().collect();
        teams.sort_by(|(_, left), (_, right)| right.asked().total_cmp(&left.asked()));
        let (listed, others) = teams.split_at(teams.len().min(MAX_LISTED_TEAMS));
        for (index, (team, count)) in listed.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            let name = team.replace(RESERVED_CHARACTERS, "_");
            write!(formatter, "{separator}{name}:{}", format_count(count))?;
        }
        if others.is_empty() {
            return Ok(());
        }
        let mut sum = WorkCount::default();
        for (_, count) in others {
            sum += **count;
        }
        write!(formatter, ",{OTHER_TEAMS}:{}", format_count(&sum))
    }
}

fn format_count(count: &WorkCount) -> String {
    [count.sent, count.refused, count.shed, count.repeated]
        .map(|tokens| (tokens as u64).to_string())
        .join(":")
}

impl TryFrom<&str> for TeamTotals {
    type Error = TotalsError;

    fn try_from(list: &str) -> Result<Self, Self::Error> {
        let mut totals = Self::default();
        for entry in list.split(',').filter(|entry| !entry.is_empty()) {
            let (team, count) =
                parse_entry(entry).ok_or_else(|| TotalsError { entry: entry.to_owned() })?;
            totals.add(&team, count);
        }
        Ok(totals)
    }
}

fn parse_entry(entry: &str) -> Option<(TeamId, WorkCount)> {
    let (team, counts) = entry.split_once(':')?;
    let mut counts = counts.split(':').map(|count| count.parse::<u64>().ok());
    let mut next_count = || counts.next().flatten().map(|count| count as f64);
    let count = WorkCount {
        sent: next_count()?,
        refused: next_count()?,
        shed: next_count()?,
        repeated: next_count()?,
    };
    counts.next().is_none().then(|| (team.into(), count))
}
