//! Detects engines that are slower than their kind by their first events.

use std::time::Duration;

use crate::clock::Instant;

/// Time in which an observed slowness falls to 1/e without new samples.
const AGING: Duration = Duration::from_secs(5);
/// Maximum factor.
const MAX: f64 = 4.0;
/// Factors below this one are within the error of the predictions.
const MIN_NOTICEABLE: f64 = 1.5;
/// Time by which a first event may exceed its prediction on any engine, in milliseconds.
const TOLERANCE_MS: f64 = 30.0;
/// Maximum step of the factor per sample.
const MAX_STEP: f64 = 1.0;

/// Factor by which the first events of one engine take longer than predicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness {
    factor: f64,
    /// Last observed ratio. One late first event may be due to a lost packet, so a sample counts
    /// only as far as the one before it agrees.
    last: f64,
    at: Instant,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            factor: 1.0,
            last: 1.0,
            at: Instant::default(),
        }
    }
}

impl Slowness {
    /// Records a first event that arrived after `observed`; `predicted` assumes the speed of the
    /// engine's kind.
    pub fn record(&mut self, observed: Duration, predicted: Duration, now: Instant) {
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        let ratio = (millis(observed) - TOLERANCE_MS) / millis(predicted).max(1.0);
        let ratio = ratio.clamp(1.0, MAX);
        let current = 1.0 + (self.factor - 1.0) * kept(self.at, now);
        let step = (ratio.min(self.last) - current).clamp(-MAX_STEP, MAX_STEP);
        *self = Self {
            factor: current + step,
            last: ratio,
            at: now,
        };
    }

    /// Returns the factor, from 1 to 4.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        let factor = 1.0 + (self.factor - 1.0) * kept(self.at, now);
        if factor < MIN_NOTICEABLE { 1.0 } else { factor }
    }
}

/// Returns the share of an observation's weight that is left.
fn kept(since: Instant, now: Instant) -> f64 {
    (-now.since(since).as_secs_f64() / AGING.as_secs_f64()).exp()
}
