//! Turns at engines that name a limit.

use std::time::Duration;

use super::plan::Request;
use super::pool::Pool;
use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;
use crate::pace::Rate;

impl Pool {
    /// Returns the time until the request's turn can come, if no engine that it may use accepts
    /// requests now: some want none for a while, or the next turn at them is later. `ahead` is the
    /// number of requests of this host whose turn comes before.
    pub(super) fn next_turn(
        &self,
        request: &Request,
        ahead: u32,
        now: Instant,
    ) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        let mut turns_per_second = 0.0;
        for engine in self.open_engines() {
            let excluded = request.excluded.contains(&engine.identity);
            let wait = engine.wait(now);
            if wait.is_zero() {
                if excluded {
                    continue;
                }
                return None;
            }
            let limit = engine.pacer.limit();
            turns_per_second += limit.map_or(0.0, Rate::as_per_second);
            shortest = Some(shortest.map_or(wait, |least| least.min(wait)));
        }
        let behind = if turns_per_second > 0.0 {
            Duration::from_secs_f64(f64::from(ahead) / turns_per_second)
        } else {
            Duration::ZERO
        };
        shortest.map(|wait| wait + behind)
    }

    /// Records a limit that an engine stated at `at`, or that it stated none; returns whether this
    /// changes its limit, or `None` if the engine is unknown. See [`Pacer::observe`].
    ///
    /// [`Pacer::observe`]: crate::pace::Pacer::observe
    pub fn observe_limit(
        &mut self,
        identity: Identity,
        limit: Option<Rate>,
        at: Instant,
    ) -> Option<bool> {
        let engine = self.engines.get_mut(&identity)?;
        Some(engine.pacer.observe(limit, at))
    }

    /// Records that another host sends a request to an engine; returns whether the engine is known.
    pub fn record_request(&mut self, identity: Identity, now: Instant) -> bool {
        let engine = self.engines.get_mut(&identity);
        engine.is_some_and(|engine| {
            engine.pacer.record_request(now);
            true
        })
    }

    /// Returns the engines that have named limits, with what they stated last and when.
    pub fn limits(&self) -> impl Iterator<Item = (Identity, Option<Rate>, Instant)> {
        self.engines.values().filter_map(|engine| {
            let (limit, at) = engine.pacer.statement()?;
            Some((engine.identity, limit, at))
        })
    }

    /// Returns whether the requests to an engine are spaced.
    #[must_use]
    pub fn is_paced(&self, identity: Identity, now: Instant) -> bool {
        let engine = self.engines.get(&identity);
        engine.is_some_and(|engine| engine.pacer.is_paced(now))
    }

    /// Uses the engines of `domain` again at a rising rate. See [`Pacer::restart`].
    ///
    /// [`Pacer::restart`]: crate::pace::Pacer::restart
    pub fn restart(&mut self, domain: &Domain, rate: Rate, duration: Duration, now: Instant) {
        let engines = self.engines.values_mut();
        for engine in engines.filter(|engine| engine.domain == *domain) {
            engine.pacer.restart(rate, duration, now);
        }
    }
}
