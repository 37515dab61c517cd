//! Deterministic answers: each token is a function of the prompt and the token's index.

use kernel::cost::Digest;

/// Minimum length of an answer that the caller's limit does not truncate.
const MIN_LENGTH_TOKENS: u64 = 8;
/// Number of different lengths, from the minimum on.
const LENGTH_RANGE_TOKENS: u64 = 56;

/// Returns the digest of `prompt`, from which the answer's length and tokens are derived.
#[must_use]
pub fn digest(prompt: &str) -> u64 {
    Digest::of(prompt)
}

/// Returns the token at `index`, from zero, of the answer to the prompt with this digest.
#[must_use]
pub fn token(digest: u64, index: u64) -> String {
    let mixed =
        (digest ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    format!("{:05x} ", mixed >> 44)
}

/// Returns the length, in tokens, of the answer to the prompt with this digest. The caller's
/// `limit` truncates the answer.
#[must_use]
pub const fn length(digest: u64, limit: u64) -> u64 {
    let unlimited = MIN_LENGTH_TOKENS + digest % LENGTH_RANGE_TOKENS;
    if unlimited < limit { unlimited } else { limit }
}

/// Returns the whole answer to `prompt`, truncated to `limit` tokens.
#[must_use]
pub fn answer(prompt: &str, limit: u64) -> String {
    let digest = digest(prompt);
    (0..length(digest, limit))
        .map(|index| token(digest, index))
        .collect()
}
