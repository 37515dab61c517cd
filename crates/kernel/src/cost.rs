//! Estimates of a request's size: prompt tokens, prefix hashes and the reported length bands.
//!
//! A request costs the prefill of its uncached tokens, the decode of its answer, and KV memory
//! until it ends.

use serde::{Deserialize, Serialize};

/// Bytes of prompt text that count as one token until an engine reports the actual count.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text that each prefix hash adds to the previous one.
pub const PREFIX_BLOCK_BYTES: usize = 4_096;

/// Estimated tokens in a block of [`PREFIX_BLOCK_BYTES`] bytes.
pub const PREFIX_BLOCK_TOKENS: u64 = (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// Estimates the number of tokens in `bytes` bytes of prompt text, without a tokenizer.
#[must_use]
pub const fn estimate_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns one hash for each whole block of the prompt, over all text up to the end of the block.
///
/// A last block shorter than [`PREFIX_BLOCK_BYTES`] is ignored.
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

/// An incremental, non-cryptographic hash of prompt text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Self(0x9e37_79b9_7f4a_7c15)
    }
}

impl Digest {
    /// Returns the hash of `text`.
    #[must_use]
    pub fn of(text: &str) -> u64 {
        let mut digest = Self::default();
        digest.update(text.as_bytes());
        digest.value()
    }

    /// Continues from `value`, the result of an earlier digest.
    #[must_use]
    pub const fn resume(value: u64) -> Self {
        Self(value)
    }

    /// Appends `bytes` to the hashed text.
    ///
    /// Splitting a text over several calls does not change its digest.
    pub fn update(&mut self, bytes: &[u8]) {
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        self.0 = bytes.iter().fold(self.0, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
        });
    }

    /// Returns the hash of all bytes added so far.
    #[must_use]
    pub const fn value(self) -> u64 {
        self.0
    }
}

/// A range of prompt lengths that share one series in metrics and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Band {
    /// Upper limit of the band, inclusive, in tokens.
    pub tokens_up_to: u64,
}

/// Upper limits of the bands, inclusive, in tokens.
pub const BAND_LIMITS_TOKENS: [u64; 6] = [2_000, 8_000, 32_000, 128_000, 512_000, 2_000_000];

impl Band {
    /// Returns the band of a prompt of `tokens` tokens; longer prompts fall into the last band.
    #[must_use]
    pub fn of(tokens: u64) -> Self {
        let end = BAND_LIMITS_TOKENS.iter().find(|end| tokens <= **end);
        Self {
            tokens_up_to: *end.unwrap_or(&BAND_LIMITS_TOKENS[BAND_LIMITS_TOKENS.len() - 1]),
        }
    }
}
