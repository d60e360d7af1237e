//! Cache of prompt prefixes with a limited number of tokens.

use indexmap::IndexSet;

use crate::hash::stable_hash;

/// Tokens per cached block.
const BLOCK_TOKENS: u64 = 16;

/// Bytes per cached block, at four bytes per token.
const BLOCK_BYTES: usize = 64;

/// Cached blocks of prompts. A block is identified by the hash of the prompt from its start to the
/// end of the block. The least recently used blocks are evicted first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks: IndexSet<u64>,
    capacity: usize,
}

impl PrefixCache {
    pub(super) fn new(tokens: u64) -> Self {
        let capacity = usize::try_from(tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
        Self { blocks: IndexSet::new(), capacity }
    }

    /// Adds `prompt` to the cache; returns how many of its leading tokens were already cached.
    pub(super) fn admit(&mut self, prompt: &str) -> u64 {
        let mut prefix = 0;
        let mut hits = 0;
        let mut contiguous = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            prefix = stable_hash(block, prefix);
            let known = self.blocks.shift_remove(&prefix);
            contiguous &= known;
            hits += u64::from(contiguous);
            self.blocks.insert(prefix);
        }
        let excess = self.blocks.len().saturating_sub(self.capacity);
        self.blocks.drain(..excess);
        hits * BLOCK_TOKENS
    }

    pub(super) fn clear(&mut self) {
        self.blocks.clear();
    }
}
