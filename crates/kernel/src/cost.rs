//! What a request costs: uncached prefill, decode, and KV memory held until it ends.

use serde::{Deserialize, Serialize};

/// Bytes of prompt text that are counted as one token before an engine has counted them.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text under one prefix hash.
pub const PREFIX_BLOCK_BYTES: usize = 4_096;

/// Tokens under one prefix hash.
pub const PREFIX_BLOCK_TOKENS: u64 = (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// Estimates the tokens of `bytes` bytes of prompt text, without a tokenizer.
#[must_use]
pub const fn estimate_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hashes of the prompt's whole blocks, each covering all text up to the block's end.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut digest = Digest::default();
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .map(|block| {
            digest.update(block);
            digest.value()
        })
        .collect()
}

/// A running hash over prompt text; not for secrets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Self(0x9e37_79b9_7f4a_7c15)
    }
}

impl Digest {
    /// The hash of `text`.
    #[must_use]
    pub fn of(text: &str) -> u64 {
        let mut digest = Self::default();
        digest.update(text.as_bytes());
        digest.value()
    }

    /// Continues from the value of an earlier digest.
    #[must_use]
    pub const fn resume(value: u64) -> Self {
        Self(value)
    }

    /// Adds `bytes`. How a text is split into calls does not change its digest.
    pub fn update(&mut self, bytes: &[u8]) {
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        self.0 = bytes.iter().fold(self.0, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
        });
    }

    /// The hash of everything added so far.
    #[must_use]
    pub const fn value(self) -> u64 {
        self.0
    }
}

/// A range of prompt lengths that is measured and reported together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Band {
    /// The largest prompt of the band, in tokens.
    pub tokens_up_to: u64,
}

/// Upper ends of the reported bands, in tokens.
pub const BAND_LIMITS_TOKENS: [u64; 6] = [2_000, 8_000, 32_000, 128_000, 512_000, 2_000_000];

impl Band {
    /// The band of a prompt of `tokens` tokens.
    #[must_use]
    pub fn of(tokens: u64) -> Self {
        let end = BAND_LIMITS_TOKENS.iter().find(|end| tokens <= **end);
        Self {
            tokens_up_to: *end.unwrap_or(&BAND_LIMITS_TOKENS[BAND_LIMITS_TOKENS.len() - 1]),
        }
    }
}
