//! Limits retries with budgets over many requests and a jittered backoff per request.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::Instant;

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

/// Number of slices into which a [`Window`] divides its length.
const SLICES: u64 = 10;

/// Requests and retries in one slice of a window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Limits the retries in a sliding window to a fraction of the first attempts in it plus a fixed
/// number.
#[derive(Clone, Debug)]
pub struct Window {
    slice: Duration,
    /// The slices that overlap the window, oldest first.
    slices: VecDeque<Slice>,
}

impl Window {
    /// Creates an empty window of this length.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        let slice = length / u32::try_from(SLICES).unwrap_or(1);
        Self {
            slice: slice.max(Duration::from_millis(1)),
            slices: VecDeque::new(),
        }
    }

    fn number(&self, now: Instant) -> u64 {
        let micros = u64::try_from(self.slice.as_micros()).unwrap_or(u64::MAX);
        now.as_micros() / micros
    }

    /// Returns the current slice, after removing those that have left the window.
    fn current(&mut self, now: Instant) -> &mut Slice {
        let number = self.number(now);
        while let Some(oldest) = self.slices.front()
            && oldest.number + SLICES < number
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(Slice {
                number,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self, now: Instant) {
        let current = self.current(now);
        current.requests = current.requests.saturating_add(1);
    }

    /// Counts a retry if the window has at most `ratio` retries for each first attempt plus
    /// `floor`, this one included; returns whether it may be sent.
    ///
    /// A slice that overlaps the window only partly counts as a whole for the retries, and not at
    /// all for the first attempts.
    pub fn withdraw(&mut self, ratio: f64, floor: f64, now: Instant) -> bool {
        let number = self.current(now).number;
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let whole = self
            .slices
            .iter()
            .filter(|slice| slice.number + SLICES > number);
        let requests: u32 = whole.map(|slice| slice.requests).sum();
        if f64::from(retries) + 1.0 > f64::from(requests) * ratio + floor {
            return false;
        }
        self.current(now).retries += 1;
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
