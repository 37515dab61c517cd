//! Remembers the endpoints that have left, or have announced that they will.
//!
//! The incarnation of an endpoint that leaves does not return. The store may still list it as
//! ready: because the endpoint has not told the store, or because the store has returned from an
//! older copy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Identity;
use crate::clock::Instant;

/// Time for which a departure is remembered after the entry is gone. It outlasts every outage of
/// the store in which an older copy may still list the endpoint.
const RETENTION: Duration = Duration::from_mins(10);

/// Incarnations that have left, with the time at which this became known.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    leaving: BTreeMap<Identity, Instant>,
    removed: BTreeMap<Identity, Instant>,
}

impl Departures {
    /// Records that an incarnation leaves; returns whether this was unknown.
    pub fn record_leaving(&mut self, identity: Identity, now: Instant) -> bool {
        self.leaving.insert(identity, now).is_none()
    }

    /// Records that the entry of an incarnation was removed.
    pub fn record_removed(&mut self, identity: Identity, now: Instant) {
        self.removed.insert(identity, now);
    }

    /// Records that an incarnation has written its entry, so that it is not gone.
    pub fn record_written(&mut self, identity: Identity) {
        self.removed.remove(&identity);
    }

    /// Whether the incarnation has announced that it leaves.
    pub fn is_leaving(&self, identity: Identity) -> bool {
        self.leaving.contains_key(&identity)
    }

    /// Whether the entry of the incarnation was removed.
    pub fn was_removed(&self, identity: Identity) -> bool {
        self.removed.contains_key(&identity)
    }

    /// Forgets old departures of incarnations that are not `registered`.
    pub fn forget_old(&mut self, registered: &BTreeSet<Identity>, now: Instant) {
        for departures in [&mut self.leaving, &mut self.removed] {
            departures
                .retain(|identity, at| registered.contains(identity) || now.since(*at) < RETENTION);
        }
    }
}
