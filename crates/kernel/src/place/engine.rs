//! What is known of one engine: its loads and the times that follow from them.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::speed::Speed;
use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;
use crate::outlier::Standing;

/// Names a load: the host's life and a count of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadId {
    /// The life of the host that placed it.
    pub holder: u64,
    /// The host's own count.
    pub sequence: u32,
}

/// The part of one request that lies on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// When its reading should end.
    pub read_by: Instant,
    /// When all of it should have ended.
    pub ends_by: Instant,
    /// Whether it writes an answer here after its reading.
    pub writes: bool,
    /// Longest pause between its events with which it is on time.
    pub pause: Duration,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its present life.
    pub identity: Identity,
    /// Its failure domain.
    pub domain: Domain,
    /// How it answered lately.
    pub standing: Standing,
    /// Place in the order in which engines are filled, from 0 to 1; the same on every host.
    pub rank: f64,
    loads: HashMap<LoadId, Load>,
    reading_until: Instant,
}

impl Engine {
    /// An engine without loads.
    #[must_use]
    pub fn new(identity: Identity, domain: Domain) -> Self {
        /// Steps into which the hash of an identity is divided.
        const RANKS: u32 = 1_000;
        let rank = u32::try_from(identity.0 % u64::from(RANKS)).unwrap_or(0);
        Self {
            identity,
            domain,
            standing: Standing::default(),
            rank: f64::from(rank) / f64::from(RANKS),
            loads: HashMap::new(),
            reading_until: Instant::default(),
        }
    }

    /// Adds or corrects a load.
    pub fn put(&mut self, id: LoadId, load: Load) {
        self.loads.insert(id, load);
        self.refresh();
    }

    /// Removes a load; returns whether it was there.
    pub fn remove(&mut self, id: LoadId) -> bool {
        let removed = self.loads.remove(&id).is_some();
        if removed {
            self.refresh();
        }
        removed
    }

    /// Notes that the reading of a load has ended.
    pub fn has_read(&mut self, id: LoadId, now: Instant) {
        if let Some(load) = self.loads.get_mut(&id) {
            load.read_by = load.read_by.min(now);
            self.refresh();
        }
    }

    /// Removes the loads that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(LoadId, &Load) -> bool) {
        self.loads.retain(|id, load| keep(*id, load));
        self.refresh();
    }

    fn refresh(&mut self) {
        let reading = self.loads.values().map(|load| load.read_by);
        self.reading_until = reading.max().unwrap_or_default();
    }

    /// The loads.
    pub fn loads(&self) -> impl Iterator<Item = (LoadId, &Load)> {
        self.loads.iter().map(|(id, load)| (*id, load))
    }

    /// Milliseconds of reading that were placed before and are not done.
    #[must_use]
    pub fn backlog_ms(&self, now: Instant) -> f64 {
        self.reading_until.since(now).as_secs_f64() * 1_000.0
    }

    /// Requests that write here, now or after their reading.
    #[must_use]
    pub fn writers(&self) -> usize {
        self.loads.values().filter(|load| load.writes).count()
    }

    /// Parts of prompts that are read here for other engines.
    #[must_use]
    pub fn helping(&self) -> usize {
        self.loads.len() - self.writers()
    }

    /// Memory that is taken, in tokens.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.loads.values().map(|load| load.tokens).sum()
    }

    /// The shortest pause that a writer here allows.
    #[must_use]
    pub fn tightest(&self) -> Option<Duration> {
        let writers = self.loads.values().filter(|load| load.writes);
        writers.map(|load| load.pause).min()
    }

    /// Milliseconds of a pass if one more request wrote here, without reading.
    #[must_use]
    pub fn pass_ms(&self, speed: &Speed, context: u64) -> f64 {
        speed.pass_ms(self.writers() + 1, self.used() + context)
    }
}
