//! Estimate of the prompt parts that an upstream keeps in its cache.

use indexmap::IndexMap;

use super::call::PromptShape;
use crate::ids::PromptPartId;

/// Estimate of the shared prompt parts in an upstream's cache, with the least recently sent part
/// evicted first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: IndexMap<PromptPartId, u32>,
    tokens: u64,
}

impl PrefixCache {
    /// Records that the upstream reads a prompt, whose shared parts it caches.
    pub fn record(&mut self, prompt: &PromptShape, capacity: u64) {
        for part in prompt.shared_parts() {
            if let Some(tokens) = self.parts.shift_remove(&part.id) {
                self.tokens -= u64::from(tokens);
            }
            self.parts.insert(part.id, part.tokens);
            self.tokens += u64::from(part.tokens);
        }
        while self.tokens > capacity {
            let Some((_, tokens)) = self.parts.shift_remove_index(0) else { break };
            self.tokens -= u64::from(tokens);
        }
    }

    /// Returns the tokens of a prompt that the upstream has to read: all after the first uncached
    /// part.
    pub fn uncached_tokens(&self, prompt: &PromptShape) -> u64 {
        let kept: u64 = prompt
            .shared_parts()
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| u64::from(part.tokens))
            .sum();
        u64::from(prompt.tokens_in).saturating_sub(kept)
    }

    /// Empties the cache, as a restart of the upstream does.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
