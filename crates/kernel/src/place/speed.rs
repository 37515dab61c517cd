//! Predicts times from the published formula of an engine.

use std::time::Duration;

use crate::catalogue::Profile;

/// Pairs that the profile prices together.
const PAIRS_PER_UNIT: f64 = 1_000_000.0;

/// Longest predicted time; far beyond every deadline.
const MAX_MS: f64 = 1e9;

/// The published formula of one service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Speed {
    profile: Profile,
}

impl Speed {
    /// Predicts by `profile`.
    #[must_use]
    pub const fn new(profile: Profile) -> Self {
        Self { profile }
    }

    /// The published figures.
    #[must_use]
    pub const fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Milliseconds for reading a whole prompt on one engine without writers.
    #[must_use]
    pub fn prefill_ms(&self, prompt: u64) -> f64 {
        let tokens = as_f64(prompt);
        let pairs = tokens * tokens / 2.0 / PAIRS_PER_UNIT;
        let steps = (tokens / f64::from(self.profile.chunk.max(1))).ceil();
        tokens * 1_000.0 / self.profile.prefill_tokens_per_s.max(1.0)
            + pairs * self.profile.pairs_ms
            + steps * self.profile.step_ms
    }

    /// Milliseconds of a pass with `writers` writers over `context` tokens, without reading.
    #[must_use]
    pub fn pass_ms(&self, sequences: usize, context: u64) -> f64 {
        let sequences = f64::from(u32::try_from(sequences).unwrap_or(u32::MAX));
        let step = self.profile.step_ms
            + self.profile.sequence_ms * sequences
            + self.profile.context_ms * as_f64(context) / 1_000.0;
        step * f64::from(self.profile.stride.max(1))
    }
}

/// A predicted time; what is no time or beyond every bound becomes the nearest one.
pub(super) fn duration_from_ms(millis: f64) -> Duration {
    if millis.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(millis.clamp(0.0, MAX_MS) / 1_000.0)
}

/// Token counts stay far below 2^52, so nothing is lost.
#[allow(clippy::cast_precision_loss)]
pub(super) const fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
