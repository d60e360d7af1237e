//! Stable hashes, from which the stand-ins derive content and random choices.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes `bytes`; the result is the same in every run and on every machine.
pub fn stable_hash(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns the hash of a body in the hexadecimal form that answers and ledgers contain.
pub fn body_hash(bytes: &[u8]) -> String {
    format!("{:016x}", stable_hash(bytes, 0))
}

/// Reproducible sequence of uniformly distributed numbers in `[0, 1)`.
#[derive(Clone, Copy, Debug)]
pub struct UniformSequence {
    seed: u64,
    drawn: u64,
}

impl UniformSequence {
    /// Starts the sequence that belongs to `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    /// Draws the next number.
    pub fn draw(&mut self) -> f64 {
        /// Number of bits that an `f64` represents exactly.
        const MANTISSA_BITS: u32 = 53;
        self.drawn += 1;
        let hash = stable_hash(&self.drawn.to_le_bytes(), self.seed);
        (hash >> (64 - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }
}
