//! Limits retries with budgets over many requests and a jittered backoff per request.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::fleet::{Fleet, STARTING_USES};

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

    /// Sets the maximum number of retries in the budget.
    pub const fn set_max(&mut self, max_retries: f64) {
        self.max_retries = max_retries;
        self.retries = self.retries.min(max_retries);
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

    /// Returns one retry to the budget, up to its maximum.
    pub const fn refund(&mut self) {
        self.retries = (self.retries + 1.0).min(self.max_retries);
    }
}

/// Number of slices into which a [`Window`] divides its length.
const SLICES: u64 = 10;

/// Uses in one slice of a window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    uses: u32,
}

/// Limits the uses of something in a sliding window.
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

    /// Returns whether the window has room for one more use within `limit`.
    ///
    /// A slice that overlaps the window only partly counts as a whole.
    #[must_use]
    pub fn has_room(&self, limit: f64, now: Instant) -> bool {
        let number = self.number(now);
        let recent = self
            .slices
            .iter()
            .filter(|slice| slice.number + SLICES >= number);
        let uses: u32 = recent.map(|slice| slice.uses).sum();
        f64::from(uses) + 1.0 <= limit
    }

    /// Counts a use if there is room for it within `limit`; returns whether there is.
    pub fn withdraw(&mut self, limit: f64, now: Instant) -> bool {
        if !self.has_room(limit, now) {
            return false;
        }
        let number = self.number(now);
        while let Some(oldest) = self.slices.front()
            && oldest.number + SLICES < number
        {
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some(last) if last.number >= number => last.uses += 1,
            _ => self.slices.push_back(Slice { number, uses: 1 }),
        }
        true
    }
}

/// Part of a host's share of the floor that is left for retries which arrive in a later window than
/// they are counted in.
const LATE_PART: f64 = 0.1;
/// Part of a host's share of the floor up to which it saves what first attempts earn.
const SAVED_PART: f64 = 0.5;
/// Retries that a host saves at least, since a part of one cannot be sent.
const MIN_SAVED: f64 = 1.0;

/// How one host divides its share of a budget's floor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Maximum number of retries that the host saves of those that first attempts earn.
    pub saved: f64,
    /// Retries that it may make within each window in addition.
    pub floor: f64,
}

impl Division {
    /// Divides the share of a host that counts the other hosts with `fleet`, of a floor of `limit`
    /// retries for all hosts.
    ///
    /// A host without a share makes no retries beyond those that it earns, but for those of a fleet's
    /// first start. While it is announced it may save as many as with a share: either the process
    /// before it has left that share unused since, or the other hosts' shares leave room for new hosts.
    #[must_use]
    pub fn new(fleet: &Fleet, limit: f64, now: Instant) -> Self {
        let allowance = fleet.allowance(limit, now);
        let has_share = fleet.sharers(now).is_some();
        let share = if has_share {
            allowance
        } else {
            let announced = fleet.size(now).filter(|_| fleet.holds_lease(now));
            announced.map_or(0.0, |hosts| limit / f64::from(hosts) - STARTING_USES)
        };
        let saved = (share * SAVED_PART).max(MIN_SAVED);
        let floor = if has_share {
            (share * (1.0 - LATE_PART) - saved).max(0.0)
        } else {
            allowance
        };
        Self { saved, floor }
    }
}

/// One host's part of a retry budget that is limited for all hosts together, by the first attempts of
/// all hosts in the same window and a floor.
///
/// In any window the hosts together make at most what the first attempts of that window earn, what
/// they had saved when it began, and what each may make in addition. So a host's savings count as a
/// part of its share of the floor, and the limit holds however requests move between hosts.
#[derive(Debug)]
pub struct Share {
    earned: Budget,
    floor: Window,
}

impl Share {
    /// Creates the part of a host that has just started, in a budget of `ratio` retries for each
    /// first attempt. It has nothing saved: the process before it may have used it.
    #[must_use]
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            earned: Budget {
                retries: 0.0,
                ratio,
                max_retries: 0.0,
            },
            floor: Window::new(window),
        }
    }

    /// Adds the fraction of a retry that a first attempt earns.
    pub fn deposit(&mut self, division: Division) {
        self.earned.set_max(division.saved);
        self.earned.deposit();
    }

    /// Whether there is a retry to take.
    pub fn has_left(&mut self, division: Division, now: Instant) -> bool {
        self.earned.set_max(division.saved);
        self.earned.retries >= 1.0 || self.floor.has_room(division.floor, now)
    }

    /// Returns a retry that was taken and not sent. It is saved, as far as there is room.
    pub const fn refund(&mut self) {
        self.earned.refund();
    }

    /// Takes one retry; returns false if none is left.
    pub fn withdraw(&mut self, division: Division, now: Instant) -> bool {
        self.earned.set_max(division.saved);
        self.earned.withdraw() || self.floor.withdraw(division.floor, now)
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
