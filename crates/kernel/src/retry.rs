//! Limits retries with a budget over many requests and a jittered backoff per request.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Retries that each first attempt adds to a default budget.
const BUDGET_RATIO: f64 = 0.2;
/// Retries in a new default budget, available before any first attempt adds to it.
const BUDGET_INITIAL: f64 = 20.0;
/// Maximum number of retries in a default budget.
const BUDGET_MAX: f64 = 200.0;
/// Delay before the first retry, without jitter.
const BACKOFF_INITIAL: Duration = Duration::from_millis(20);
/// Maximum delay before a retry, without jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Limits retries to a fraction of first attempts, so that failures cannot multiply the load.
#[derive(Debug)]
pub struct Budget {
    retries: f64,
    ratio: f64,
    max_retries: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            retries: BUDGET_INITIAL,
            ratio: BUDGET_RATIO,
            max_retries: BUDGET_MAX,
        }
    }
}

impl Budget {
    /// Creates a full budget of `max_retries`, to which each first attempt adds `ratio` retries up
    /// to that maximum.
    ///
    /// In any period it allows at most `max_retries` plus `ratio` for each first attempt.
    #[must_use]
    pub const fn new(ratio: f64, max_retries: f64) -> Self {
        Self {
            retries: max_retries,
            ratio,
            max_retries,
        }
    }

    /// Adds the fraction of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + self.ratio).min(self.max_retries);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Returns the delay before retry `number`, counted from one.
///
/// The delay doubles from 20 ms up to 2 s and is multiplied by a random factor from 0.5 to 1.
pub fn backoff(number: u32, random: &mut SmallRng) -> Duration {
    let doubled = BACKOFF_INITIAL.saturating_mul(1 << number.saturating_sub(1).min(16));
    doubled
        .min(BACKOFF_MAX)
        .mul_f64(random.random_range(0.5..1.0))
}
