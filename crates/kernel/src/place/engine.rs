//! What is known of one engine: its loads and the times that follow from them.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::speed::Speed;
use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;
use crate::outlier::Health;

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
    /// Reading that it takes here, alone.
    pub prefill_time: Duration,
    /// When its reading should end.
    pub prefilled_by: Instant,
    /// Whether its reading is known to have ended.
    pub prefilled: bool,
    /// When all of it should have ended.
    pub ends_by: Instant,
    /// Whether it writes an answer here after its reading.
    pub decodes: bool,
    /// Longest pause between its events with which it is on time.
    pub pause: Duration,
    /// Number of the account of its host that told of it last; zero for the own host's.
    pub snapshot: u32,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its present life.
    pub identity: Identity,
    /// Its failure domain.
    pub domain: Domain,
    /// How it answered lately.
    pub health: Health,
    /// Place in the order in which engines are filled, from 0 to 1; the same on every host.
    pub fill_order: f64,
    loads: HashMap<LoadId, Load>,
}

impl Engine {
    /// An engine without loads.
    #[must_use]
    pub fn new(identity: Identity, domain: Domain) -> Self {
        /// Steps into which the hash of an identity is divided.
        const FILL_STEPS: u32 = 1_000;
        let fill_order = u32::try_from(identity.0 % u64::from(FILL_STEPS)).unwrap_or(0);
        Self {
            identity,
            domain,
            health: Health::default(),
            fill_order: f64::from(fill_order) / f64::from(FILL_STEPS),
            loads: HashMap::new(),
        }
    }

    /// When all that lies here now should have ended.
    #[must_use]
    pub fn free_at(&self, now: Instant) -> Instant {
        let ends = self.loads.values().map(|load| load.ends_by);
        ends.max().unwrap_or(now).max(now)
    }

    /// Corrects a load, or adds one that delays nothing.
    pub fn overwrite(&mut self, id: LoadId, load: Load) {
        self.loads.insert(id, load);
    }

    /// Adds or corrects a load.
    ///
    /// Parts that an engine reads for others go ahead of its own prompts, which they delay.
    pub fn put(&mut self, id: LoadId, load: Load, now: Instant) {
        let new = self.loads.insert(id, load).is_none();
        if new && !load.decodes {
            for (other, own) in &mut self.loads {
                if *other != id && own.decodes && !own.prefilled && own.prefilled_by > now {
                    own.prefilled_by = own.prefilled_by + load.prefill_time;
                }
            }
        }
    }

    /// Removes a load; returns whether it was there.
    pub fn remove(&mut self, id: LoadId) -> bool {
        self.loads.remove(&id).is_some()
    }

    /// Notes that the reading of a load has ended.
    pub fn finish_prefill(&mut self, id: LoadId, now: Instant) {
        if let Some(load) = self.loads.get_mut(&id) {
            load.prefilled = true;
            load.prefilled_by = load.prefilled_by.min(now);
        }
    }

    /// Removes the loads that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(LoadId, &Load) -> bool) {
        self.loads.retain(|id, load| keep(*id, load));
    }

    /// The loads.
    pub fn loads(&self) -> impl Iterator<Item = (LoadId, &Load)> {
        self.loads.iter().map(|(id, load)| (*id, load))
    }

    /// Milliseconds until the prompts that were placed before are read.
    #[must_use]
    pub fn backlog_ms(&self, now: Instant) -> f64 {
        let remaining = self
            .loads
            .values()
            .map(|load| remaining_prefill_ms(load, now));
        remaining.fold(0.0, f64::max)
    }

    /// Milliseconds until the parts for other engines are read, which go ahead of own prompts.
    #[must_use]
    pub fn helper_backlog_ms(&self, now: Instant) -> f64 {
        let parts = self.loads.values().filter(|load| !load.decodes);
        parts
            .map(|load| remaining_prefill_ms(load, now))
            .fold(0.0, f64::max)
    }

    /// Requests that write here, now or after their reading.
    #[must_use]
    pub fn decoding(&self) -> usize {
        self.loads.values().filter(|load| load.decodes).count()
    }

    /// Parts of prompts that are read here for other engines.
    #[must_use]
    pub fn helper_parts(&self) -> usize {
        self.loads.len() - self.decoding()
    }

    /// Memory that is taken, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.loads.values().map(|load| load.tokens).sum()
    }

    /// The shortest pause that a writer here allows.
    #[must_use]
    pub fn shortest_pause(&self) -> Option<Duration> {
        let decoding = self.loads.values().filter(|load| load.decodes);
        decoding.map(|load| load.pause).min()
    }

    /// Milliseconds of a pass if one more request wrote here, without reading.
    #[must_use]
    pub fn pass_ms(&self, speed: &Speed, context: u64) -> f64 {
        speed.pass_ms(self.decoding() + 1, self.used_tokens() + context)
    }
}

/// Milliseconds of reading that are left of a load.
///
/// Reading that should have ended and has not is expected to take as long again as it is late.
fn remaining_prefill_ms(load: &Load, now: Instant) -> f64 {
    /// A late part is mostly done: another part of the same prompt is what is waited for.
    const MAX_PART_OVERDUE_MS: f64 = 50.0;
    /// Longest time that is expected of late reading.
    const MAX_OVERDUE_MS: f64 = 400.0;
    if load.prefilled {
        return 0.0;
    }
    let remaining = load.prefilled_by.since(now).as_secs_f64() * 1_000.0;
    let overdue = now.since(load.prefilled_by).as_secs_f64() * 1_000.0;
    let max_overdue = if load.decodes {
        MAX_OVERDUE_MS
    } else {
        MAX_PART_OVERDUE_MS
    };
    remaining + overdue.min(max_overdue)
}
