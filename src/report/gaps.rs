//! Times between the tokens of one answer, counted in bounded memory.

use std::time::Duration;

/// Maximum number of distinct gap lengths. Further lengths are counted as the next longer one.
const MAX_DISTINCT_LENGTHS: usize = 64;

/// Number of gaps by length. Lengths are rounded up to milliseconds and sorted in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenGaps {
    counts: Vec<(u64, u64)>,
}

impl TokenGaps {
    /// Records `tokens` tokens that arrived together, `elapsed` after the previous token. The time
    /// is divided evenly between them.
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
            // The new longest gap replaces the previous one, so that a late token remains visible.
            Err(index) if index == self.counts.len() => {
                self.counts[index - 1] = (length, self.counts[index - 1].1 + tokens);
            }
            Err(index) => self.counts[index].1 += tokens,
        }
    }

    /// Iterates over pairs of length in milliseconds and number of gaps.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> {
        self.counts.iter().copied()
    }
}
