//! Balances requests over the endpoints of a plain service, which has no engines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::{Entry, Identity};
use crate::clock::Instant;
use crate::cold::Phase;
use crate::name::Domain;
use crate::outlier::{DomainHealth, Health, Observation};
use crate::pace::{Pacer, Rate};
use crate::place::path::Paths;

/// Load penalty of an endpoint in another failure domain without samples of its path, in running
/// requests.
const REMOTE_DOMAIN_REQUESTS: f64 = 0.25;

/// Load penalty of a cold endpoint, in running requests: warm ones come first while they have room.
const COLD_REQUESTS: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct Stats {
    running: u32,
    health: Health,
    pacer: Pacer,
}

/// Tracks the running requests and the health of endpoints, as seen by one host.
#[derive(Debug, Default)]
pub struct Balancer {
    endpoints: HashMap<Identity, Stats>,
    domains: DomainHealth,
    paths: Option<Arc<Paths>>,
}

impl Balancer {
    /// Replaces the estimates of the paths to the endpoints.
    pub fn set_paths(&mut self, paths: Arc<Paths>) {
        self.paths = Some(paths);
    }

    /// Returns the endpoint with the fewest running requests per slot, preferring those in
    /// `domain`. An endpoint that names a limit is only used if all others are full.
    ///
    /// Endpoints in `excluded`, those that want no requests, and those whose next turn is later are
    /// never returned. Ejected endpoints are skipped unless all others are ejected too.
    #[must_use]
    pub fn pick<'a>(
        &self,
        entries: impl Iterator<Item = &'a Entry>,
        excluded: &[Identity],
        domain: &Domain,
        now: Instant,
    ) -> Option<&'a Entry> {
        let all: Vec<_> = entries
            .filter(|entry| !excluded.contains(&entry.identity()))
            .filter(|entry| self.wait(entry.identity(), now).is_zero())
            .collect();
        let healthy: Vec<_> = all
            .iter()
            .copied()
            .filter(|entry| !self.is_ejected(entry.identity(), now))
            .filter(|entry| !self.domains.is_ejected(&entry.domain, now))
            .collect();
        let candidates = if healthy.is_empty() { all } else { healthy };
        let (limited, unlimited): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|entry| self.is_limited(entry.identity()));
        let has_room = |entry: &&Entry| self.running(entry) < entry.slots;
        let candidates = if limited.is_empty() || unlimited.iter().any(has_room) {
            unlimited
        } else {
            limited
        };
        candidates
            .into_iter()
            .map(|entry| (self.load(entry, domain, now), entry))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, entry)| entry)
    }

    /// Records that `reached` of `probed` endpoints of `domain` accepted a connection.
    pub fn record_probes(&mut self, domain: &Domain, reached: usize, probed: usize, now: Instant) {
        self.domains.record_probes(domain, reached, probed, now);
    }

    fn running(&self, entry: &Entry) -> u32 {
        let stats = self.endpoints.get(&entry.identity());
        stats.map_or(0, |stats| stats.running)
    }

    fn load(&self, entry: &Entry, domain: &Domain, now: Instant) -> f64 {
        let constant = f64::from(u8::from(entry.domain != *domain));
        let paths = self.paths.as_ref();
        let relative = paths.map(|paths| paths.relative_call_price(&entry.domain, now));
        let mut penalty = relative.unwrap_or(constant) * REMOTE_DOMAIN_REQUESTS;
        if self.is_cold(entry.identity(), now) {
            penalty += COLD_REQUESTS;
        }
        (f64::from(self.running(entry)) + penalty) / f64::from(entry.slots.max(1))
    }

    fn is_ejected(&self, identity: Identity, now: Instant) -> bool {
        self.endpoints
            .get(&identity)
            .is_some_and(|stats| stats.health.is_ejected(now))
    }

    /// Returns whether an endpoint names a limit.
    fn is_limited(&self, identity: Identity) -> bool {
        let stats = self.endpoints.get(&identity);
        stats.is_some_and(|stats| stats.pacer.limit().is_some())
    }

    /// Returns whether an endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, identity: Identity, now: Instant) -> bool {
        let stats = self.endpoints.get(&identity);
        stats.is_some_and(|stats| stats.pacer.is_cold(now))
    }

    /// Returns whether the requests to an endpoint are spaced.
    #[must_use]
    pub fn is_paced(&self, identity: Identity, now: Instant) -> bool {
        let stats = self.endpoints.get(&identity);
        stats.is_some_and(|stats| stats.pacer.is_paced(now))
    }

    /// Sets which endpoints are cold.
    pub fn set_cold(&mut self, cold: &HashMap<Identity, Phase>, now: Instant) {
        for identity in cold.keys() {
            self.endpoints.entry(*identity).or_default();
        }
        for (identity, stats) in &mut self.endpoints {
            stats.pacer.set_cold(cold.get(identity).copied(), now);
        }
    }

    /// Uses an endpoint again at a rising rate. See [`Pacer::restart`].
    pub fn restart(&mut self, identity: Identity, rate: Rate, duration: Duration, now: Instant) {
        let stats = self.endpoints.entry(identity).or_default();
        stats.pacer.restart(rate, duration, now);
    }

    /// Returns the time until an endpoint accepts a request from this host.
    fn wait(&self, identity: Identity, now: Instant) -> Duration {
        let stats = self.endpoints.get(&identity);
        stats.map_or(Duration::ZERO, |stats| {
            let backoff = stats.health.backoff(now).unwrap_or_default();
            backoff.max(stats.pacer.wait(now))
        })
    }

    /// Returns the time after which a refused client may come back: when the first of the endpoints
    /// that want no requests, or whose next turn is later, accepts one. Returns `None` if there is
    /// no such endpoint.
    ///
    /// All hosts work out the same next turn. So that the clients that they refuse meanwhile do not
    /// all come back at that turn, they are spread over the time to the turn after it by `random`,
    /// from 0 to 1.
    pub fn retry_after<'a>(
        &self,
        entries: impl Iterator<Item = &'a Entry>,
        random: f64,
        now: Instant,
    ) -> Option<Duration> {
        let waits = entries.filter_map(|entry| {
            let identity = entry.identity();
            let wait = self.wait(identity, now);
            let stats = self.endpoints.get(&identity)?;
            let interval = stats.pacer.rate(now).map(Rate::interval);
            (!wait.is_zero()).then_some((wait, interval.unwrap_or_default()))
        });
        let (wait, interval) = waits.min()?;
        Some(wait + interval.mul_f64(random.clamp(0.0, 1.0)))
    }

    /// Records a limit that an endpoint stated at `at`, or that it stated none; returns whether
    /// this changes its limit. See [`Pacer::observe`].
    pub fn observe_limit(&mut self, identity: Identity, limit: Option<Rate>, at: Instant) -> bool {
        let stats = self.endpoints.entry(identity).or_default();
        stats.pacer.observe(limit, at)
    }

    /// Records that a request is sent to an endpoint, by this or another host.
    pub fn record_request(&mut self, identity: Identity, now: Instant) {
        if let Some(stats) = self.endpoints.get_mut(&identity) {
            stats.pacer.record_request(now);
        }
    }

    /// Returns the endpoints that have named limits, with what they stated last and when.
    pub fn limits(&self) -> impl Iterator<Item = (Identity, Option<Rate>, Instant)> {
        self.endpoints.iter().filter_map(|(identity, stats)| {
            let (limit, at) = stats.pacer.statement()?;
            Some((*identity, limit, at))
        })
    }

    /// Records that an endpoint wants no requests for `time`.
    pub fn back_off(&mut self, identity: Identity, time: Duration, now: Instant) {
        let stats = self.endpoints.entry(identity).or_default();
        stats.health.back_off(time, now);
    }

    /// Increments the number of running requests of an endpoint.
    pub fn record_start(&mut self, identity: Identity) {
        self.endpoints.entry(identity).or_default().running += 1;
    }

    /// Decrements the number of running requests of an endpoint.
    pub fn record_end(&mut self, identity: Identity) {
        if let Some(stats) = self.endpoints.get_mut(&identity) {
            stats.running = stats.running.saturating_sub(1);
        }
    }

    /// Records the result of a request for outlier detection.
    pub fn record(&mut self, identity: Identity, observation: Observation, now: Instant) {
        let stats = self.endpoints.entry(identity).or_default();
        stats.health.record(observation, now);
    }

    /// Drops failures recorded at `since` or later, which were due to this host's own link.
    pub fn forgive(&mut self, since: Instant) {
        for stats in self.endpoints.values_mut() {
            stats.health.forgive(since);
        }
    }

    /// Removes endpoints for which `keep` returns false and that have no running requests.
    pub fn retain(&mut self, keep: impl Fn(Identity) -> bool) {
        self.endpoints
            .retain(|identity, stats| stats.running > 0 || keep(*identity));
    }
}
