//! Balances requests over the endpoints of a plain service, which has no engines.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalogue::{Entry, Identity};
use crate::clock::Instant;
use crate::name::Domain;
use crate::outlier::{Health, Observation};

/// Load penalty of an endpoint in another failure domain, in running requests.
const REMOTE_DOMAIN_REQUESTS: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Stats {
    running: u32,
    health: Health,
}

/// Tracks the running requests and the health of endpoints, as seen by one host.
#[derive(Debug, Default)]
pub struct Balancer {
    endpoints: HashMap<Identity, Stats>,
}

impl Balancer {
    /// Returns the endpoint with the fewest running requests per slot, preferring those in
    /// `domain`.
    ///
    /// Endpoints in `excluded` and those that want no requests are never returned. Ejected
    /// endpoints are skipped unless all others are ejected too.
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
            .filter(|entry| self.backoff(entry.identity(), now).is_none())
            .collect();
        let healthy: Vec<_> = all
            .iter()
            .copied()
            .filter(|entry| !self.is_ejected(entry.identity(), now))
            .collect();
        let candidates = if healthy.is_empty() { all } else { healthy };
        candidates
            .into_iter()
            .map(|entry| (self.load(entry, domain), entry))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, entry)| entry)
    }

    fn load(&self, entry: &Entry, domain: &Domain) -> f64 {
        let running = self
            .endpoints
            .get(&entry.identity())
            .map_or(0, |stats| stats.running);
        let penalty = if entry.domain == *domain {
            0.0
        } else {
            REMOTE_DOMAIN_REQUESTS
        };
        (f64::from(running) + penalty) / f64::from(entry.slots.max(1))
    }

    fn is_ejected(&self, identity: Identity, now: Instant) -> bool {
        self.endpoints
            .get(&identity)
            .is_some_and(|stats| stats.health.is_ejected(now))
    }

    fn backoff(&self, identity: Identity, now: Instant) -> Option<Duration> {
        let stats = self.endpoints.get(&identity)?;
        stats.health.backoff(now)
    }

    /// Returns the time after which the first of the endpoints that want no requests accepts them
    /// again, or `None` if there is no such endpoint.
    pub fn shortest_backoff<'a>(
        &self,
        entries: impl Iterator<Item = &'a Entry>,
        now: Instant,
    ) -> Option<Duration> {
        let backoffs = entries.filter_map(|entry| self.backoff(entry.identity(), now));
        backoffs.min()
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

    /// Removes endpoints for which `keep` returns false and that have no running requests.
    pub fn retain(&mut self, keep: impl Fn(Identity) -> bool) {
        self.endpoints
            .retain(|identity, stats| stats.running > 0 || keep(*identity));
    }
}
