//! Predicts prefill and pass times from the published profile of an engine.

use std::time::Duration;

use crate::catalogue::Profile;

/// Number of token pairs to which `Profile::pairs_ms` refers.
const PAIRS_PER_UNIT: f64 = 1_000_000.0;

/// Maximum predicted time, far beyond every deadline.
const MAX_MS: f64 = 1e9;

/// Performance model of the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Speed {
    profile: Profile,
}

impl Speed {
    /// Creates a model from `profile`.
    #[must_use]
    pub const fn new(profile: Profile) -> Self {
        Self { profile }
    }

    /// Returns the published profile.
    #[must_use]
    pub const fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Returns the milliseconds to prefill `prompt` tokens on one engine without decoding requests.
    #[must_use]
    pub fn prefill_ms(&self, prompt: u64) -> f64 {
        let tokens = as_f64(prompt);
        let pairs = tokens * tokens / 2.0 / PAIRS_PER_UNIT;
        let steps = (tokens / f64::from(self.profile.chunk.max(1))).ceil();
        tokens * 1_000.0 / self.profile.prefill_tokens_per_s.max(1.0)
            + pairs * self.profile.pairs_ms
            + steps * self.profile.step_ms
    }

    /// Returns the milliseconds of a pass without prefill for `sequences` decoding requests with
    /// `context` tokens in total.
    #[must_use]
    pub fn pass_ms(&self, sequences: usize, context: u64) -> f64 {
        let sequences = f64::from(u32::try_from(sequences).unwrap_or(u32::MAX));
        let step = self.profile.step_ms
            + self.profile.sequence_ms * sequences
            + self.profile.context_ms * as_f64(context) / 1_000.0;
        step * f64::from(self.profile.stride.max(1))
    }
}

/// Converts milliseconds to a duration, clamped to the range from 0 to `MAX_MS`; NaN becomes 0.
pub(super) fn duration_from_ms(millis: f64) -> Duration {
    if millis.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(millis.clamp(0.0, MAX_MS) / 1_000.0)
}

/// Converts a token count without loss, because counts stay far below 2^52.
#[allow(clippy::cast_precision_loss)]
pub(super) const fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
