//! Spreads requests over the endpoints of a plain service.

use std::collections::HashMap;

use crate::catalogue::{Entry, Identity};
use crate::clock::Instant;
use crate::name::Domain;
use crate::outlier::{Judgement, Standing};

/// Running requests that one more failure domain's distance counts as.
const DISTANCE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    running: u32,
    standing: Standing,
}

/// What one host knows of the endpoints that it sends to.
#[derive(Debug, Default)]
pub struct Balancer {
    known: HashMap<Identity, Known>,
}

impl Balancer {
    /// The endpoint with the least running requests for its slots, near ones first.
    ///
    /// Endpoints that failed lately are left out unless that would leave too few.
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
        let sound: Vec<_> = all
            .iter()
            .copied()
            .filter(|entry| !self.avoided(entry.identity(), now))
            .collect();
        let candidates = if sound.is_empty() { all } else { sound };
        candidates
            .into_iter()
            .map(|entry| (self.load(entry, domain), entry))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, entry)| entry)
    }

    fn load(&self, entry: &Entry, domain: &Domain) -> f64 {
        let running = self
            .known
            .get(&entry.identity())
            .map_or(0, |known| known.running);
        let distance = if entry.domain == *domain {
            0.0
        } else {
            DISTANCE
        };
        (f64::from(running) + distance) / f64::from(entry.slots.max(1))
    }

    fn avoided(&self, identity: Identity, now: Instant) -> bool {
        self.known
            .get(&identity)
            .is_some_and(|known| known.standing.avoided(now))
    }

    /// Counts a request that is sent.
    pub fn started(&mut self, identity: Identity) {
        self.known.entry(identity).or_default().running += 1;
    }

    /// Counts a request that has ended.
    pub fn ended(&mut self, identity: Identity) {
        if let Some(known) = self.known.get_mut(&identity) {
            known.running = known.running.saturating_sub(1);
        }
    }

    /// Notes how an endpoint dealt with a request.
    pub fn judge(&mut self, identity: Identity, how: Judgement, now: Instant) {
        let known = self.known.entry(identity).or_default();
        known.standing.note(how, now);
    }

    /// Forgets endpoints that `keep` refuses and that run nothing.
    pub fn retain(&mut self, keep: impl Fn(Identity) -> bool) {
        self.known
            .retain(|identity, known| known.running > 0 || keep(*identity));
    }
}
