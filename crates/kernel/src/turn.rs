//! Decides when a host reads a topic of the store that the hosts of its failure domain read in turn.
//!
//! Every host must know a state of the topic that is no older than an interval. A host that reads
//! reports it to the others of its domain, which then need not read. Nobody is elected: hosts rank
//! themselves among the hosts that they hear, and a lower rank waits a little longer. So the first
//! host alone reads, and when it dies, is cut off or is refused by the store, the next one reads
//! without having to notice why.

use std::time::Duration;

use crate::clock::Instant;
use crate::name::{Host, rendezvous};

/// Additional wait of each rank, as a fraction of the interval. It is longer than a read and its
/// report take.
const RANK_SHARE: f64 = 0.1;
/// Ranks from which on the wait does not grow, so that a state never becomes much older than the
/// interval.
const MAX_RANK: usize = 3;

/// Returns the rank of `own` among the `others` that read a topic in turn, from 0 for the first.
/// Each topic has another order.
pub fn rank<'a>(topic: &str, own: &Host, others: impl Iterator<Item = &'a Host>) -> usize {
    let weight = |host: &Host| rendezvous(topic, host.as_str());
    let own_weight = weight(own);
    others
        .filter(|other| *other != own && weight(other) > own_weight)
        .count()
}

/// When the state of one topic was last confirmed.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    interval: Duration,
    confirmed_at: Option<Instant>,
}

impl Turn {
    /// Creates the turn of a topic whose state must be confirmed every `interval`.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            confirmed_at: None,
        }
    }

    /// Records that a read that was sent at `sent_at`, by this host or another one, returned the
    /// state that this host knows.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns when a host of this rank must read, or `None` if it must read now.
    #[must_use]
    pub fn due_at(&self, rank: usize) -> Option<Instant> {
        let rank = u32::try_from(rank.min(MAX_RANK)).unwrap_or(0);
        let wait = self.interval.mul_f64(1.0 + RANK_SHARE * f64::from(rank));
        self.confirmed_at.map(|at| at + wait)
    }
}
