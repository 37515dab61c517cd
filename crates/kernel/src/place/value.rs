//! Measures what the delay or the refusal of a request costs its callers.
//!
//! The measure is in *worth per millisecond of engine time*. A request of mean size with priority 0
//! and one millisecond of work has the worth 1. See `docs/design/value.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::plan::Request;
use super::speed::{Speed, as_f64};
use crate::clock::Instant;
use crate::name::Workspace;

/// Worth of a request that does not depend on its size, relative to one of the mean size.
const FIXED_WORTH: f64 = 0.3;
/// Worth of a request that grows with its size, relative to one of the mean size.
const SIZE_WORTH: f64 = 0.7;
/// Maximum size relative to the mean of its kind that adds to the worth.
const MAX_SIZE: f64 = 4.0;
/// Share of the measure that a request keeps while it has much time left. It is above zero so that
/// requests with equal time left are ordered by worth.
const MIN_PRESSURE: f64 = 0.05;
/// Factor for a request whose client was sent away before and returned at its time.
const RETURNED_FACTOR: f64 = 1.25;
/// Weight of a new size in the moving mean of a kind.
const MEAN_WEIGHT: f64 = 0.02;
/// Number of sizes up to which the plain mean is used.
const MIN_SAMPLES: u32 = 50;

/// Where a request comes from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// Name of the kind of requests with which its size is compared: its route.
    pub kind: String,
    /// Workspace of the caller.
    pub workspace: Option<Workspace>,
    /// Time that the client waited before this attempt, most likely because it was sent away.
    pub prior_wait: Duration,
}

/// How the weights of requests are derived. Units: factors without a dimension.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Worth of a request relative to an equal one of the next, less urgent priority; at least 1.
    pub rank: f64,
    /// Worth of a late answer relative to one in time, from 0 to 1.
    pub late_share: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            rank: 4.0,
            late_share: 0.3,
        }
    }
}

/// What a delay or refusal of one request costs at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Value {
    /// Engine time that the request needs, in milliseconds, over all engines.
    pub work_ms: f64,
    /// Worth of serving the request now, per millisecond of engine time.
    pub density: f64,
    /// Loss of delaying the request now, per millisecond of engine time. It is at most `density`.
    pub urgency: f64,
    /// Whether the request can still meet its objective.
    pub in_time: bool,
}

impl Value {
    /// Returns the worth of serving the request now.
    #[must_use]
    pub fn worth(&self) -> f64 {
        self.density * self.work_ms
    }
}

/// Returns the engine time of a request in milliseconds: its prefill and its share of the passes
/// that decode its answer on an engine with all slots in use.
#[must_use]
pub fn work_ms(speed: &Speed, request: &Request) -> f64 {
    let profile = speed.profile();
    let passes = as_f64(
        request
            .answer_tokens
            .div_ceil(u64::from(profile.stride.max(1))),
    );
    let slots = profile.slots.max(1);
    let pass_ms = speed.pass_ms(slots as usize, 0) / f64::from(slots);
    (speed.prefill_ms(request.prompt_tokens) + passes * pass_ms).max(1.0)
}

/// Mean sizes of the requests of each kind, in prompt tokens; recent ones weigh more.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    means: BTreeMap<String, (u32, f64)>,
}

impl Sizes {
    /// Records the size of a request.
    pub fn record(&mut self, kind: &str, tokens: u64) {
        let size = as_f64(tokens);
        if let Some((count, mean)) = self.means.get_mut(kind) {
            *count = count.saturating_add(1);
            let weight = if *count < MIN_SAMPLES {
                1.0 / f64::from(*count)
            } else {
                MEAN_WEIGHT
            };
            *mean += (size - *mean) * weight;
        } else {
            self.means.insert(kind.to_owned(), (1, size));
        }
    }

    /// Returns the size of a request relative to the mean of its kind; 1 if none is known.
    #[must_use]
    pub fn relative(&self, kind: &str, tokens: u64) -> f64 {
        let mean = self.means.get(kind).map_or(0.0, |(_, mean)| *mean);
        if mean <= 0.0 {
            return 1.0;
        }
        as_f64(tokens) / mean
    }

    /// Drops the kinds that are no longer served.
    pub fn retain(&mut self, served: impl Fn(&str) -> bool) {
        self.means.retain(|kind, _| served(kind));
    }
}

/// Returns the worth of a request of this size relative to one of the mean size of its kind.
#[must_use]
pub fn size_worth(relative: f64) -> f64 {
    FIXED_WORTH + SIZE_WORTH * relative.clamp(0.0, MAX_SIZE)
}

impl Weights {
    /// Measures a request.
    ///
    /// `relative` is its size relative to the mean of its kind. `first_event` is the predicted time
    /// to its first event if it starts now. `horizon` is the time that the work ahead of it takes;
    /// with less time left than that, a delay is likely to make it late.
    #[must_use]
    pub fn measure(
        &self,
        speed: &Speed,
        request: &Request,
        relative: f64,
        first_event: Duration,
        horizon: Duration,
        now: Instant,
    ) -> Value {
        let work_ms = work_ms(speed, request);
        let rank = self.rank.max(1.0);
        let priority = i32::try_from(request.priority.min(100)).unwrap_or(100);
        // Within a kind the worth grows with the size. Between kinds it grows with the square root
        // of the work, between "all requests are alike" and "all work is alike". The correction
        // stays within one priority's factor, so that at equal work it never reverses two of them.
        let correction =
            size_worth(relative) / relative.clamp(FIXED_WORTH / SIZE_WORTH, MAX_SIZE).sqrt();
        let returned = if request.origin.prior_wait.is_zero() {
            1.0
        } else {
            RETURNED_FACTOR
        };
        let factor = (correction * returned).clamp(1.0, rank);
        let density = rank.powi(-priority) * factor / work_ms.sqrt();
        let ready = now + first_event;
        let in_time = ready <= request.due;
        let share = if request.answer_started || in_time {
            1.0
        } else if ready < request.deadline {
            self.late_share
        } else {
            0.0
        };
        let left = request.due.since(ready).as_secs_f64();
        let pressure = if request.answer_started || !in_time {
            1.0
        } else {
            let horizon = horizon.as_secs_f64().max(0.001);
            MIN_PRESSURE + (1.0 - MIN_PRESSURE) * (-left / horizon).exp()
        };
        let density = density * share;
        Value {
            work_ms,
            density,
            urgency: density * pressure,
            in_time,
        }
    }
}
