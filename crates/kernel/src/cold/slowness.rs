//! How much slower cold engines are than their published profile.

use std::time::Duration;

use crate::clock::Instant;

/// Factor without observations.
const PRIOR: f64 = 1.5;
/// Bounds of the factor. Beyond the upper one, a late first event has other causes.
const BOUNDS: (f64, f64) = (1.0, 4.0);
/// Weight of one observation.
const WEIGHT: f64 = 0.2;
/// Time in which the distance from the prior halves without observations.
const HALF_LIFE: Duration = Duration::from_mins(2);

/// Factor by which the prefill and pass times of cold engines exceed the published ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    learnt: Option<(f64, Instant)>,
}

impl Slowness {
    /// Returns the factor, at least 1.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        let Some((factor, at)) = self.learnt else {
            return PRIOR;
        };
        let halvings = now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        PRIOR + (factor - PRIOR) * 0.5_f64.powf(halvings)
    }

    /// Records that a first event on a cold engine came after `observed`, predicted with the
    /// present factor as `predicted`.
    pub fn observe(&mut self, observed: Duration, predicted: Duration, now: Instant) {
        if predicted.is_zero() {
            return;
        }
        let factor = self.factor(now);
        let (least, most) = BOUNDS;
        let ratio = observed.as_secs_f64() / predicted.as_secs_f64();
        let seen = (factor * ratio).clamp(least, most);
        self.learnt = Some((factor + (seen - factor) * WEIGHT, now));
    }
}
