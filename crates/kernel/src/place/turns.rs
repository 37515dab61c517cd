//! Turns at engines that name a limit or are cold.

use std::collections::HashMap;
use std::time::Duration;

use super::engine::LoadId;
use super::plan::Request;
use super::pool::Pool;
use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::cold::Phase;
use crate::name::Domain;
use crate::pace::Rate;

/// Maximum time that is added to the time of a turn.
const MAX_TURN_SPREAD: Duration = Duration::from_secs(2);

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
            let limit = engine.pacer.rate(now);
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

    /// Returns the engines of a request whose requests are spaced.
    #[must_use]
    pub fn paced_engines(&self, id: LoadId, now: Instant) -> Vec<Identity> {
        let engines = self.engines.values();
        let paced = engines.filter(|engine| {
            engine.pacer.is_paced(now) && engine.loads().any(|(other, _)| other == id)
        });
        paced.map(|engine| engine.identity).collect()
    }

    /// Sets which engines are cold.
    pub fn set_cold(&mut self, cold: &HashMap<Identity, Phase>, now: Instant) {
        for engine in self.engines.values_mut() {
            engine
                .pacer
                .set_cold(cold.get(&engine.identity).copied(), now);
        }
    }

    /// Returns the number of cold engines.
    #[must_use]
    pub fn count_cold(&self, now: Instant) -> usize {
        let engines = self.engines.values();
        engines.filter(|engine| engine.pacer.is_cold(now)).count()
    }

    /// Records that the first event of a request came from `primary` after `observed`, predicted
    /// as `predicted`; this tells how much slower cold engines are.
    pub fn record_first_event(
        &mut self,
        primary: Identity,
        observed: Duration,
        predicted: Duration,
        now: Instant,
    ) {
        let engine = self.engines.get(&primary);
        if engine.is_some_and(|engine| engine.pacer.is_cold(now)) {
            self.slowness.observe(observed, predicted, now);
        }
    }

    /// Returns what is added to the time of the next turn for a refused client, so that those
    /// refused by all hosts do not come back together: part of the time in which all cold engines
    /// have a turn. Zero if no engine is cold.
    pub(super) fn turn_spread(&self, ticket: u64, holder: u64, now: Instant) -> Duration {
        /// Number of different parts.
        const STEPS: u64 = 64;
        /// 2^64 divided by the golden ratio; multiplying by it spreads consecutive numbers.
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        let engines = self.engines.values();
        let cold = engines.filter(|engine| engine.pacer.is_cold(now));
        let intervals = cold.filter_map(|engine| Some(engine.pacer.rate(now)?.interval()));
        let longest = intervals.max().unwrap_or_default().min(MAX_TURN_SPREAD);
        let mixed = (holder ^ ticket.wrapping_mul(GOLDEN_RATIO)).wrapping_mul(GOLDEN_RATIO);
        let step = u32::try_from((mixed >> 32) % STEPS).unwrap_or(0);
        longest * step / u32::try_from(STEPS).unwrap_or(1)
    }
}
