//! Hashes of bearer keys, so that keys are not stored in plain text.

use std::str::FromStr;

use derive_more::Display;
use sha2::{Digest, Sha256};

const HASH_BYTES: usize = 32;

/// SHA-256 hash (FIPS 180-4) of a bearer key. Keys are long random strings, so no salt is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[display("{}", self.to_hex())]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl FromStr for KeyHash {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "expected 64 hexadecimal digits (SHA-256 of the key)";
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(EXPECTED);
        }
        let mut hash = [0; HASH_BYTES];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| EXPECTED)?;
        }
        Ok(Self(hash))
    }
}
