//! State of one engine: its loads, and the times and memory derived from them.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::speed::Speed;
use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;
use crate::outlier::Health;
use crate::pace::Pacer;

/// Upper limit for the tokens of a request or load: a thousand times the longest prompts, and small
/// enough that sums do not overflow.
pub(super) const MAX_TOKENS: u64 = 1_000_000_000;

/// Identifies the loads of one request: the host's incarnation and a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadId {
    /// Incarnation of the host that placed the load.
    pub holder: u64,
    /// Sequence number assigned by that host.
    pub sequence: u32,
}

/// Share of one request that is placed on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Memory used, in tokens.
    pub tokens: u64,
    /// Prefill time on this engine without other loads.
    pub prefill_time: Duration,
    /// Predicted end of the prefill.
    pub prefilled_by: Instant,
    /// Whether the prefill has finished.
    pub prefilled: bool,
    /// Predicted end of the load.
    pub ends_by: Instant,
    /// Whether the answer is decoded here after the prefill; false for helper parts.
    pub decodes: bool,
    /// Maximum pause between its events that meets the objective.
    pub pause: Duration,
    /// Number of the snapshot that last reported the load. If an update reported it later, number
    /// of the last snapshot before that update. Zero for loads of this host.
    pub snapshot: u32,
}

/// One engine and its loads.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Identity of the engine's current incarnation.
    pub identity: Identity,
    /// Failure domain of the engine.
    pub domain: Domain,
    /// Recent health of the engine.
    pub health: Health,
    /// The limit that the engine names, if any, and the next turn.
    pub pacer: Pacer,
    /// Position in the order in which engines are filled, from 0 to 1; the same on every host.
    pub fill_order: f64,
    loads: HashMap<LoadId, Load>,
}

impl Engine {
    /// Creates an engine without loads.
    #[must_use]
    pub fn new(identity: Identity, domain: Domain) -> Self {
        /// Number of distinct values of the fill order.
        const FILL_STEPS: u32 = 1_000;
        let fill_order = u32::try_from(identity.0 % u64::from(FILL_STEPS)).unwrap_or(0);
        Self {
            identity,
            domain,
            health: Health::default(),
            pacer: Pacer::default(),
            fill_order: f64::from(fill_order) / f64::from(FILL_STEPS),
            loads: HashMap::new(),
        }
    }

    /// Returns the time until the engine accepts a request from this host.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        let backoff = self.health.backoff(now).unwrap_or_default();
        backoff.max(self.pacer.wait(now))
    }

    /// Returns the predicted end of all current loads, or `now` if there are none.
    #[must_use]
    pub fn free_at(&self, now: Instant) -> Instant {
        let ends = self.loads.values().map(|load| load.ends_by);
        ends.max().unwrap_or(now).max(now)
    }

    /// Inserts or overwrites a load without delaying other loads.
    pub fn overwrite(&mut self, id: LoadId, load: Load) {
        self.loads.insert(id, load);
    }

    /// Inserts or overwrites a load.
    ///
    /// Engines prefill helper parts before their own prompts, and the part that arrived last before
    /// the others, so a new part delays all unread prompts.
    pub fn put(&mut self, id: LoadId, load: Load, now: Instant) {
        let new = self.loads.insert(id, load).is_none();
        if !new || load.decodes {
            return;
        }
        for (other, unread) in &mut self.loads {
            if *other != id && !unread.prefilled && unread.prefilled_by > now {
                unread.prefilled_by = unread.prefilled_by + load.prefill_time;
                unread.ends_by = unread.ends_by.max(unread.prefilled_by);
            }
        }
    }

    /// Removes a load; returns whether it existed.
    pub fn remove(&mut self, id: LoadId) -> bool {
        self.loads.remove(&id).is_some()
    }

    /// Marks the prefill of a load as finished.
    pub fn finish_prefill(&mut self, id: LoadId, now: Instant) {
        if let Some(load) = self.loads.get_mut(&id) {
            load.prefilled = true;
            load.prefilled_by = load.prefilled_by.min(now);
        }
    }

    /// Removes the loads for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(LoadId, &Load) -> bool) {
        self.loads.retain(|id, load| keep(*id, load));
    }

    /// Returns all loads with their IDs.
    pub fn loads(&self) -> impl Iterator<Item = (LoadId, &Load)> {
        self.loads.iter().map(|(id, load)| (*id, load))
    }

    /// Returns the milliseconds until all current loads are prefilled.
    #[must_use]
    pub fn backlog_ms(&self, now: Instant) -> f64 {
        let remaining = self
            .loads
            .values()
            .map(|load| remaining_prefill_ms(load, now));
        remaining.fold(0.0, f64::max)
    }

    /// Returns the number of requests that decode here, now or after their prefill.
    #[must_use]
    pub fn decoding(&self) -> usize {
        self.loads.values().filter(|load| load.decodes).count()
    }

    /// Returns the number of prompt parts that this engine prefills for other engines.
    #[must_use]
    pub fn helper_parts(&self) -> usize {
        self.loads.len() - self.decoding()
    }

    /// Returns the memory used by all loads, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.loads.values().map(|load| load.tokens).sum()
    }

    /// Returns the shortest maximum pause of all requests that decode here.
    #[must_use]
    pub fn shortest_pause(&self) -> Option<Duration> {
        let decoding = self.loads.values().filter(|load| load.decodes);
        decoding.map(|load| load.pause).min()
    }

    /// Returns the milliseconds of a pass without prefill if one more request with `context` tokens
    /// decoded here.
    #[must_use]
    pub fn pass_ms(&self, speed: &Speed, context: u64) -> f64 {
        speed.pass_ms(self.decoding() + 1, self.used_tokens() + context)
    }
}

/// Returns the remaining prefill time of a load in milliseconds.
///
/// An overdue prefill is expected to take as long again as it is overdue, up to a maximum.
fn remaining_prefill_ms(load: &Load, now: Instant) -> f64 {
    /// Maximum for helper parts. An overdue part has usually finished and its request waits for
    /// another part of the same prompt.
    const MAX_PART_OVERDUE_MS: f64 = 50.0;
    /// Maximum for loads that are also decoded on this engine.
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
