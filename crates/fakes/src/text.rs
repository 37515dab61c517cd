//! Answers that can be checked: each token is a function of the prompt and its place.

use kernel::cost::Digest;

/// Fewest tokens of an answer that is not cut by its limit.
const MIN_LENGTH_TOKENS: u64 = 8;
/// Answers differ in length by less than this many tokens.
const LENGTH_RANGE_TOKENS: u64 = 56;

/// The digest of a prompt.
#[must_use]
pub fn digest(prompt: &str) -> u64 {
    Digest::of(prompt)
}

/// Token number `index` of the answer to the prompt with this digest.
#[must_use]
pub fn token(digest: u64, index: u64) -> String {
    let mixed =
        (digest ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    format!("{:05x} ", mixed >> 44)
}

/// Tokens of the answer to the prompt with this digest, given the caller's limit.
#[must_use]
pub const fn length(digest: u64, limit: u64) -> u64 {
    let unlimited = MIN_LENGTH_TOKENS + digest % LENGTH_RANGE_TOKENS;
    if unlimited < limit { unlimited } else { limit }
}

/// The whole answer to `prompt`.
#[must_use]
pub fn answer(prompt: &str, limit: u64) -> String {
    let digest = digest(prompt);
    (0..length(digest, limit))
        .map(|index| token(digest, index))
        .collect()
}
