//! Bounds on repeated work: a budget for each node and a jittered backoff for each request.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Retries allowed for each first attempt, over all requests of a node.
const BUDGET_RATIO: f64 = 0.2;
/// Retries that a node may always make after a quiet time.
const BUDGET_INITIAL: f64 = 20.0;
/// Largest number of saved-up retries.
const BUDGET_MAX: f64 = 200.0;
/// Wait before the first retry, before jitter.
const BACKOFF_INITIAL: Duration = Duration::from_millis(20);
/// Longest wait before a retry, before jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Limits retries to a share of first attempts, so that failures cannot multiply the load.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
    ratio: f64,
    max_tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: BUDGET_INITIAL,
            ratio: BUDGET_RATIO,
            max_tokens: BUDGET_MAX,
        }
    }
}

impl Budget {
    /// A full budget: over any time it gives `ceiling` retries and `ratio` for each first attempt.
    #[must_use]
    pub const fn new(ratio: f64, max_tokens: f64) -> Self {
        Self {
            tokens: max_tokens,
            ratio,
            max_tokens,
        }
    }

    /// Counts a first attempt, which earns a part of a retry.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max_tokens);
    }

    /// Takes one retry from the budget, or returns false when none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The wait before retry `number` (from one): exponential, with full jitter.
pub fn backoff(number: u32, random: &mut SmallRng) -> Duration {
    let doubled = BACKOFF_INITIAL.saturating_mul(1 << number.saturating_sub(1).min(16));
    doubled
        .min(BACKOFF_MAX)
        .mul_f64(random.random_range(0.5..1.0))
}
