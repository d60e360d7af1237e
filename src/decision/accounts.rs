//! Accounts of service: cumulative counters that processes exchange.
//!
//! Each direction of a link between two nodes carries counters that only increase, identified by
//! the sender's node, incarnation and link number. Merging takes the maximum of each counter, so it
//! is idempotent and commutative, and lost, repeated or reordered reports do not corrupt the
//! counters. The units received on a link stay counted after the link has ended.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::AccountKey;

/// Maximum number of counters in one report. At 17 bytes each, a report stays within 5 KB.
pub const MAX_REPORT_ENTRIES: usize = 256;

/// Returns the key of a team's account at a service.
pub fn account_key(service: &str, team: &str) -> AccountKey {
    let mut bytes = Vec::with_capacity(service.len() + team.len() + 1);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(team.as_bytes());
    xxh3_64(&bytes)
}

/// Cumulative units of service per account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountVector {
    counters: IndexMap<AccountKey, u64>,
}

impl AccountVector {
    /// Returns an account's counter.
    pub fn get(&self, account: AccountKey) -> u64 {
        self.counters.get(&account).copied().unwrap_or(0)
    }

    /// Adds units to an account.
    pub fn add(&mut self, account: AccountKey, units: u64) {
        *self.counters.entry(account).or_insert(0) += units;
    }

    /// Raises a counter to `units` if it is lower, and returns the increase.
    pub fn raise_to(&mut self, account: AccountKey, units: u64) -> u64 {
        let counter = self.counters.entry(account).or_insert(0);
        let growth = units.saturating_sub(*counter);
        *counter += growth;
        growth
    }

    /// Raises each counter to the maximum of both vectors.
    pub fn merge(&mut self, other: &Self) {
        for (account, units) in &other.counters {
            self.raise_to(*account, *units);
        }
    }

    /// Iterates over the accounts.
    pub fn iter(&self) -> impl Iterator<Item = (AccountKey, u64)> {
        self.counters.iter().map(|(account, units)| (*account, *units))
    }
}

impl FromIterator<(AccountKey, u64)> for AccountVector {
    fn from_iter<I: IntoIterator<Item = (AccountKey, u64)>>(entries: I) -> Self {
        let mut vector = Self::default();
        for (account, units) in entries {
            vector.raise_to(account, units);
        }
        vector
    }
}

/// One account in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountEntry {
    /// Key of the account.
    pub account: AccountKey,
    /// Cumulative units since the link was opened.
    pub units: u64,
    /// Whether requests of the team are waiting.
    pub backlogged: bool,
}

/// Report of the counters of one direction of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlowReport {
    /// Accounts that are backlogged or whose counter the receiver has not acknowledged.
    pub entries: Vec<AccountEntry>,
    /// Whether accounts were omitted because the report was full.
    pub partial: bool,
}

/// Sending end of one direction of a link.
///
/// It sends the increase of a source vector since `base`, and only counters that the receiver has
/// not acknowledged.
#[derive(Clone, Debug)]
pub struct FlowSender {
    base: AccountVector,
    acknowledged: AccountVector,
    sent: Option<(u64, Vec<(AccountKey, u64)>)>,
    last_length: usize,
    next_start: usize,
}

impl FlowSender {
    /// Creates a sender of the increase since `base`.
    pub fn new(base: AccountVector) -> Self {
        Self {
            base,
            acknowledged: AccountVector::default(),
            sent: None,
            last_length: 0,
            next_start: 0,
        }
    }

    /// Composes the report with number `sequence`. `source` contains the total of every account.
    pub fn compose(
        &mut self,
        source: &AccountVector,
        is_backlogged: impl Fn(AccountKey) -> bool,
        sequence: u64,
    ) -> FlowReport {
        let mut entries: Vec<AccountEntry> = source
            .iter()
            .map(|(account, total)| AccountEntry {
                account,
                units: total.saturating_sub(self.base.get(account)),
                backlogged: is_backlogged(account),
            })
            .filter(|entry| entry.backlogged || entry.units > self.acknowledged.get(entry.account))
            .collect();
        let partial = entries.len() > MAX_REPORT_ENTRIES;
        if partial {
            // Successive reports start at successive entries, so that every account is reported
            // eventually.
            let start = self.next_start % entries.len();
            entries.rotate_left(start);
            entries.truncate(MAX_REPORT_ENTRIES);
            self.next_start = self.next_start.wrapping_add(MAX_REPORT_ENTRIES);
        }
        let sent = entries.iter().map(|entry| (entry.account, entry.units)).collect();
        self.last_length = entries.len();
        self.sent = Some((sequence, sent));
        FlowReport { entries, partial }
    }

    /// Records that the receiver has received the report with number `sequence`.
    pub fn acknowledge(&mut self, sequence: u64) {
        if self.sent.as_ref().is_none_or(|(sent, _)| *sent != sequence) {
            return;
        }
        for (account, units) in self.sent.take().into_iter().flat_map(|(_, entries)| entries) {
            self.acknowledged.raise_to(account, units);
        }
    }

    /// Number of entries in the last report.
    pub fn last_length(&self) -> usize {
        self.last_length
    }

    /// Totals of the source that the receiver has acknowledged.
    pub fn acknowledged_totals(&self) -> AccountVector {
        let mut totals = self.base.clone();
        for (account, units) in self.acknowledged.iter() {
            totals.add(account, units);
        }
        totals
    }
}
