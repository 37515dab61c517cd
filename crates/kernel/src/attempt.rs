//! What to do after an attempt ended without a whole answer.

use std::time::Duration;

use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::outcome::{Outcome, Refusal};
use crate::retry::{self, Budget};

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 6;

/// Why an attempt ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint refused the attempt before it took any work.
    Refused,
    /// The connection could not be made.
    Unreachable,
    /// The connection broke.
    Broken,
    /// No progress arrived within the bound.
    Silent,
    /// The answer ended without its end marker or with a gap.
    Truncated,
}

impl Fault {
    /// The word used in journals and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Truncated => "truncated",
        }
    }
}

/// The next step of a request.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Try again after the wait.
    Retry(Duration),
    /// End the request.
    End(Refusal),
}

/// The attempts of one idempotent request.
#[derive(Debug)]
pub struct Attempts {
    deadline: Instant,
    count: u32,
}

impl Attempts {
    /// A plan without attempts that ends at `deadline`.
    #[must_use]
    pub const fn new(deadline: Instant) -> Self {
        Self { deadline, count: 0 }
    }

    /// Starts the next attempt and returns its number, from one.
    pub fn start(&mut self, budget: &mut Budget) -> u32 {
        if self.count == 0 {
            budget.deposit();
        }
        self.count += 1;
        self.count
    }

    /// Decides what follows `fault`.
    pub fn next_step(
        &self,
        now: Instant,
        fault: Fault,
        budget: &mut Budget,
        random: &mut SmallRng,
    ) -> Step {
        let wait = retry::backoff(self.count, random);
        if now + wait >= self.deadline {
            return Step::End(Refusal::TimedOut(Outcome::Failed));
        }
        if self.count >= MAX_ATTEMPTS || !budget.withdraw() {
            return Step::End(Refusal::Exhausted(self.count, fault.as_str().to_owned()));
        }
        Step::Retry(wait)
    }
}

/// Longest silence on a stream before its connection is replaced.
///
/// Engines report progress while they work on a prompt, so the bound does not grow with its length.
#[must_use]
pub fn progress_timeout(remaining: Duration) -> Duration {
    const MAX_TIMEOUT: Duration = Duration::from_secs(2);
    MAX_TIMEOUT.min(remaining)
}

/// Longest time for one part of a gang, whose prefill is predicted to take `predicted`.
#[must_use]
pub fn part_timeout(predicted: Duration, remaining: Duration) -> Duration {
    const MIN_TIMEOUT: Duration = Duration::from_secs(3);
    const PREDICTION_FACTOR: u32 = 4;
    predicted
        .saturating_mul(PREDICTION_FACTOR)
        .max(MIN_TIMEOUT)
        .min(remaining)
}
