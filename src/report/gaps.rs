//! Times between the tokens of one answer, in bounded memory.

use std::time::Duration;

/// Distinct gap lengths that are kept apart; further ones are counted with the nearest longer one.
const MAX_DISTINCT_LENGTHS: usize = 64;

/// Numbers of gaps by length in whole milliseconds, rounded up, sorted by length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenGaps {
    counts: Vec<(u64, u64)>,
}

impl TokenGaps {
    /// Records that `tokens` tokens came `elapsed` after the token before them. Several tokens in
    /// one piece of the answer share the time.
    pub fn record(&mut self, elapsed: Duration, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let shared = elapsed.as_nanos() / u128::from(tokens);
        let length = u64::try_from(shared.div_ceil(1_000_000)).unwrap_or(u64::MAX);
        match self.counts.binary_search_by_key(&length, |(length, _)| *length) {
            Ok(index) => self.counts[index].1 += tokens,
            Err(index) if self.counts.len() < MAX_DISTINCT_LENGTHS => {
                self.counts.insert(index, (length, tokens));
            }
            // The longest gap is never lost, so that a late token stays late.
            Err(index) if index == self.counts.len() => {
                self.counts[index - 1] = (length, self.counts[index - 1].1 + tokens);
            }
            Err(index) => self.counts[index].1 += tokens,
        }
    }

    /// Iterates over (length in milliseconds, number of gaps).
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> {
        self.counts.iter().copied()
    }
}
