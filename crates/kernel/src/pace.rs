//! Paces requests to endpoints that name the rate at which all hosts together may send them.

use std::fmt;
use std::time::Duration;

/// Lowest rate that is kept to, in requests per second. An endpoint that names less, or zero, is
/// still asked now and then whether its limit holds.
const MIN_PER_SECOND: f64 = 0.2;
/// Highest rate that makes a difference, in requests per second.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// A rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate {
    per_second: f64,
}

impl Rate {
    /// Creates a rate; `None` if the number is negative or not a number.
    #[must_use]
    pub fn per_second(number: f64) -> Option<Self> {
        let per_second = number.clamp(MIN_PER_SECOND, MAX_PER_SECOND);
        (number >= 0.0).then_some(Self { per_second })
    }

    /// Returns the requests per second.
    #[must_use]
    pub const fn as_per_second(self) -> f64 {
        self.per_second
    }

    /// Returns the time between two requests.
    #[must_use]
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second.fmt(formatter)
    }
}

/// What a response says about the limit of its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// Nothing: it is not the endpoint's, or cannot be read.
    #[default]
    Unknown,
    /// The endpoint names no limit.
    Unlimited,
    /// The endpoint accepts requests at this rate from all hosts together.
    Limited(Rate),
}
