//! Balances requests over the endpoints of a plain service, which has no engines.

use std::collections::HashMap;

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
    /// Endpoints in `excluded` are never returned. Ejected endpoints are skipped unless every
    /// endpoint that is not excluded is ejected.
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
