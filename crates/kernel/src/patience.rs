//! Estimates how long a client has waited before an attempt.
//!
//! An attempt states the time that its client still waits. Clients differ in the time that they give
//! a request, so a time below the route's timeout does not by itself tell an earlier attempt. It is
//! compared with what recent attempts on the same route stated, most of which are first ones.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent attempts that are compared.
const WINDOW: usize = 64;
/// Number of attempts below which every one counts as a first attempt.
const MIN_ATTEMPTS: usize = 8;
/// Share of the recent attempts that may be repeated ones without moving the estimate far.
const LOW_QUANTILE: f64 = 0.1;

/// The times that recent attempts on one route stated, as shares of the route's timeout.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    shares: VecDeque<f64>,
}

impl Patience {
    /// Records an attempt whose client still waits for `remaining`, and returns for how long the
    /// client has waited before it; zero for a first attempt.
    ///
    /// First attempts are taken to lie as far below their median as above it.
    pub fn observe(&mut self, remaining: Duration, timeout: Duration) -> Duration {
        if timeout.is_zero() {
            return Duration::ZERO;
        }
        let share = remaining.div_duration_f64(timeout).min(1.0);
        let mut sorted: Vec<_> = self.shares.iter().copied().collect();
        self.shares.push_back(share);
        if self.shares.len() > WINDOW {
            self.shares.pop_front();
        }
        if sorted.len() < MIN_ATTEMPTS {
            return Duration::ZERO;
        }
        sorted.sort_by(f64::total_cmp);
        let median = quantile(&sorted, 0.5);
        let lowest = 2.0 * quantile(&sorted, LOW_QUANTILE) - median;
        if share >= lowest {
            return Duration::ZERO;
        }
        timeout.mul_f64(median - share)
    }
}

/// Returns the quantile of a sorted list that is not empty.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}
