//! Paces requests to endpoints that name the rate at which all hosts together may send them.
//!
//! The hosts tell each other the limits and each request to a limited endpoint. Each of them works
//! out the next turn from these, so that the sum holds without shares: a limit of one request a
//! second is used by whichever host needs it first.

use std::fmt;
use std::time::Duration;

use crate::clock::Instant;
use crate::cold::Phase;

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

    /// Returns the part `share` of this rate, from 0 to 1. It may be lower than the rates that
    /// endpoints can name.
    #[must_use]
    pub fn portion(self, share: f64) -> Self {
        /// Keeps the interval within the range of a duration.
        const MIN_SHARE: f64 = 1e-4;
        let per_second = self.per_second * share.clamp(MIN_SHARE, 1.0);
        Self { per_second }
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

/// Time for which an endpoint's turn is kept for another host that has claimed it. By then its
/// claim is settled, and its request has been announced or the claim was lost.
const CLAIM_HOLD: Duration = Duration::from_millis(25);

/// Part of the full rate with which an endpoint is used again.
const RESTART_SHARE: f64 = 0.5;

/// The rising rate at which an endpoint is used again that may have become cold.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Restart {
    rate: Rate,
    from: Instant,
    duration: Duration,
    /// Time of the next turn.
    next: Instant,
}

impl Restart {
    /// Returns the time between two requests at `at`.
    fn interval(&self, at: Instant) -> Duration {
        let progress = at.since(self.from).as_secs_f64() / self.duration.as_secs_f64();
        let share = RESTART_SHARE + (1.0 - RESTART_SHARE) * progress.clamp(0.0, 1.0);
        self.rate.interval().div_f64(share)
    }

    fn is_over(&self, now: Instant) -> bool {
        now.since(self.from) >= self.duration
    }
}

/// The limit of one endpoint and the next turn at it, as one host knows them.
///
/// Requests are spaced evenly, so that an endpoint that was idle gets no burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pacer {
    limit: Option<Rate>,
    /// Cold time of the endpoint, with the rate that this host may use together with those that it
    /// hears.
    cold: Option<Phase>,
    /// Time of the statement from which the limit is known, or its end.
    stated_at: Option<Instant>,
    /// Time of the next turn.
    next: Instant,
    /// Time until which the turn is kept for another host.
    held_until: Instant,
    /// Bound on the rate of an endpoint that is used again, beside the limit that it names.
    restart: Option<Restart>,
}

impl Pacer {
    /// Records a limit that the endpoint stated at `at`, or with `None` that it stated none in
    /// response to a request that was sent at `at`. Returns whether the limit has changed.
    ///
    /// A statement older than the last one is ignored, because responses overtake each other.
    pub fn observe(&mut self, limit: Option<Rate>, at: Instant) -> bool {
        let relevant = limit.is_some() || self.limit.is_some();
        if !relevant || self.stated_at.is_some_and(|last| at <= last) {
            return false;
        }
        self.stated_at = Some(at);
        let previous = std::mem::replace(&mut self.limit, limit);
        if let Some(rate) = limit {
            let next = at + rate.interval();
            self.next = match previous {
                Some(_) => self.next.min(next),
                None => next,
            };
        }
        limit != previous
    }

    /// Sets until when the endpoint is cold, and at what rate this host may use it until then.
    ///
    /// If this lowers the rate, the next turn is an interval away: other hosts may send meanwhile.
    pub fn set_cold(&mut self, cold: Option<Phase>, now: Instant) {
        let before = self.rate(now);
        self.cold = cold;
        let Some(rate) = self.rate(now) else { return };
        let next = now + rate.interval();
        match before {
            Some(before) if before < rate => self.next = self.next.min(next),
            Some(before) if before == rate => {}
            _ => self.next = self.next.max(next),
        }
    }

    /// Returns whether the endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|cold| cold.until > now)
    }

    /// Returns the rate in force: the lower one of the named limit and, while the endpoint is cold,
    /// its cold rate.
    #[must_use]
    pub fn rate(&self, now: Instant) -> Option<Rate> {
        let cold = self.cold.filter(|cold| cold.until > now);
        match (self.limit, cold.map(|cold| cold.rate)) {
            (Some(limit), Some(cold)) if cold < limit => Some(cold),
            (limit, cold) => limit.or(cold),
        }
    }

    /// Returns the limit that the endpoint names.
    #[must_use]
    pub const fn limit(&self) -> Option<Rate> {
        self.limit
    }

    /// Returns the last statement and its time, if the endpoint has ever named a limit.
    #[must_use]
    pub fn statement(&self) -> Option<(Option<Rate>, Instant)> {
        Some((self.limit, self.stated_at?))
    }

    /// Returns the time until the next request may be sent, which is zero without a limit.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        let turn = self.next.max(self.held_until).since(now);
        let limited = match (self.limit, self.cold) {
            _ if self.rate(now).is_none() => Duration::ZERO,
            // Without a limit of its own, the endpoint is free when it is warm.
            (None, Some(cold)) => turn.min(cold.until.since(now)),
            _ => turn,
        };
        let restarting = self.restarting(now);
        let restarted = restarting.map_or(Duration::ZERO, |restart| {
            restart.next.max(self.held_until).since(now)
        });
        limited.max(restarted)
    }

    /// Spaces requests to an endpoint that is used again from `now` on. The rate rises from a part of
    /// `rate` to the whole of it within `duration`, and is free after that.
    pub fn restart(&mut self, rate: Rate, duration: Duration, now: Instant) {
        let restart = Restart {
            rate,
            from: now,
            duration,
            next: now,
        };
        self.restart = (!duration.is_zero()).then_some(restart);
    }

    fn restarting(&self, now: Instant) -> Option<&Restart> {
        self.restart
            .as_ref()
            .filter(|restart| !restart.is_over(now))
    }

    /// Returns whether requests are spaced, so that hosts tell each other of each of them.
    #[must_use]
    pub fn is_paced(&self, now: Instant) -> bool {
        self.rate(now).is_some() || self.restarting(now).is_some()
    }

    /// Returns whether the turn has come and no request has taken it, even if it is kept for
    /// another host.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        let limited = self.rate(now).is_some() && self.next > now;
        let restarting = self.restarting(now);
        !limited && restarting.is_none_or(|restart| restart.next <= now)
    }

    /// Records that this or another host sends a request at `at`, which takes the turn.
    pub fn record_request(&mut self, at: Instant) {
        if let Some(rate) = self.rate(at) {
            self.next = self.next.max(at) + rate.interval();
        }
        if let Some(restart) = &mut self.restart
            && !restart.is_over(at)
        {
            restart.next = restart.next.max(at) + restart.interval(at);
        }
    }

    /// Keeps the turn for another host that has claimed it.
    pub fn hold(&mut self, now: Instant) {
        self.held_until = self.held_until.max(now + CLAIM_HOLD);
    }
}
