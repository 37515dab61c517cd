//! Decides whether a request is retried after a failed attempt, and sets the timeouts of attempts.

use std::time::Duration;

use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::outcome::{Outcome, Refusal};
use crate::retry::{self, Budget};

/// Maximum number of attempts per request, including the first, on all nodes.
const MAX_ATTEMPTS: u32 = 6;

/// Reason why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The endpoint rejected the attempt before doing any work.
    Refused,
    /// The connection to the endpoint could not be established.
    Unreachable,
    /// The connection was lost during the attempt.
    Broken,
    /// No progress arrived within [`progress_timeout`].
    Silent,
    /// The answer ended without its end marker or has a gap.
    Truncated,
    /// The node to which the request was forwarded gave it up after this many attempts.
    Forwarded(u32),
}

impl Fault {
    /// Returns the name used in journals and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Truncated => "truncated",
            Self::Forwarded(_) => "forwarded",
        }
    }
}

/// Next step of a request after a failed attempt.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Retry after this delay.
    Retry(Duration),
    /// End the request with this refusal.
    End(Refusal),
}

/// Counts the attempts of one idempotent request and decides on retries.
#[derive(Debug)]
pub struct Attempts {
    deadline: Instant,
    count: u32,
    is_forwarded: bool,
}

impl Attempts {
    /// Creates a counter without attempts for a request that must end by `deadline`.
    #[must_use]
    pub const fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            count: 0,
            is_forwarded: false,
        }
    }

    /// Creates a counter for a request that another node has forwarded. It is one attempt of that
    /// node, which retries it and whose budget has counted it.
    #[must_use]
    pub const fn forwarded(deadline: Instant) -> Self {
        Self {
            deadline,
            count: 0,
            is_forwarded: true,
        }
    }

    /// Starts the next attempt and returns its number, counted from one.
    ///
    /// The first attempt adds to the retry `budget`, unless the request was forwarded.
    pub fn start(&mut self, budget: &mut Budget) -> u32 {
        if self.count == 0 && !self.is_forwarded {
            budget.deposit();
        }
        self.count += 1;
        self.count
    }

    /// Decides whether to retry after `fault`.
    ///
    /// The request ends if the retry would not start before the request's deadline, if all attempts
    /// are used, or if the retry `budget` is empty. A retry is taken from the `budget`.
    pub fn next_step(
        &mut self,
        now: Instant,
        fault: Fault,
        budget: &mut Budget,
        random: &mut SmallRng,
    ) -> Step {
        if let Fault::Forwarded(attempts) = fault {
            // The forwarding itself is counted.
            self.count = self.count.saturating_add(attempts.saturating_sub(1));
        }
        let max_attempts = if self.is_forwarded { 1 } else { MAX_ATTEMPTS };
        let wait = retry::backoff(self.count, random);
        if now + wait >= self.deadline {
            return Step::End(Refusal::TimedOut(Outcome::Failed));
        }
        if self.count >= max_attempts || !budget.withdraw() {
            return Step::End(Refusal::Exhausted(self.count, fault.as_str().to_owned()));
        }
        Step::Retry(wait)
    }
}

/// Returns the longest time without progress on a stream before its connection is replaced.
///
/// `remaining` is the time until the deadline of the request. Engines report progress while they
/// prefill a prompt, so the timeout does not depend on the prompt's length.
#[must_use]
pub fn progress_timeout(remaining: Duration) -> Duration {
    const MAX_TIMEOUT: Duration = Duration::from_secs(2);
    MAX_TIMEOUT.min(remaining)
}

/// Returns the timeout for the prefill of one part of a prompt on an engine of a gang.
///
/// `predicted` is the predicted time from the grant to the first token, and `remaining` the time
/// until the deadline of the request.
#[must_use]
pub fn part_timeout(predicted: Duration, remaining: Duration) -> Duration {
    const MIN_TIMEOUT: Duration = Duration::from_secs(3);
    const PREDICTION_FACTOR: u32 = 4;
    predicted
        .saturating_mul(PREDICTION_FACTOR)
        .max(MIN_TIMEOUT)
        .min(remaining)
}
