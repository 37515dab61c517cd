//! Who runs a deferred request, and which node keeps its second copy.
//!
//! A node owns what it took from a caller. Another node keeps a copy, and owns it as soon as the
//! owner's incarnation is dead: a host that restarts under its old name has forgotten everything.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::request::{Id, Incarnation};

/// How long an answer can be fetched, and an unanswered request is remembered after its time.
pub const RETENTION: Duration = Duration::from_hours(1);
/// Most deferred requests and copies at one node; ten thousand of a few thousand tokens are 200 MB.
pub const MAX_ENTRIES: usize = 10_000;

/// A request with its owner and copy; `T` is what the node stores with it.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// The request itself.
    pub content: T,
    /// The incarnation of the node that runs it.
    pub owner: Incarnation,
    /// The incarnation of the node that keeps the owner's copy, where one is known.
    pub replica: Option<Incarnation>,
    /// When it must have ended.
    pub deadline: Instant,
    /// When its answer was stored.
    pub answered: Option<Instant>,
}

/// What a node became the owner of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The request.
    pub request: Id,
    /// Whether it still has to be run.
    pub unanswered: bool,
}

/// The deferred requests and copies at one node.
#[derive(Debug)]
pub struct Table<T> {
    own: Incarnation,
    entries: BTreeMap<Id, Entry<T>>,
}

impl<T> Table<T> {
    /// A table of the node with the incarnation `own`.
    #[must_use]
    pub const fn new(own: Incarnation) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
        }
    }

    /// Takes a request of this node's caller; returns false when the table is full.
    pub fn accept(&mut self, now: Instant, id: Id, content: T, remaining: Duration) -> bool {
        let own = self.own;
        self.insert(now, id, content, own, now + remaining)
    }

    /// Keeps a copy for `owner`; returns false when the table is full.
    ///
    /// Two nodes can own one request after a cut that each took for the other's death. The lower
    /// incarnation goes on, so that both decide alike.
    pub fn store_copy(
        &mut self,
        now: Instant,
        id: Id,
        content: T,
        owner: Incarnation,
        remaining: Duration,
    ) -> bool {
        match self.entries.get(&id) {
            Some(known) if known.answered.is_some() => true,
            Some(known) if known.owner == self.own && self.own < owner => true,
            _ => self.insert(now, id, content, owner, now + remaining),
        }
    }

    fn insert(
        &mut self,
        now: Instant,
        id: Id,
        content: T,
        owner: Incarnation,
        deadline: Instant,
    ) -> bool {
        self.expire(now);
        if !self.entries.contains_key(&id) && self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        let entry = Entry {
            content,
            owner,
            replica: None,
            deadline,
            answered: None,
        };
        self.entries.insert(id, entry);
        true
    }

    /// Stores an answer, from this node or from another; the first one stays.
    pub fn store_answer(&mut self, now: Instant, id: Id, content: T, owner: Incarnation) -> bool {
        if self
            .entries
            .get(&id)
            .is_some_and(|known| known.answered.is_some())
        {
            return true;
        }
        let kept = self.insert(now, id, content, owner, now);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.answered = Some(now);
        }
        kept
    }

    /// Notes which node keeps the copy of a request.
    pub fn set_replica(&mut self, id: Id, replica: Incarnation) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.replica = Some(replica);
        }
    }

    /// Forgets a request that was not accepted.
    pub fn remove(&mut self, id: Id) {
        self.entries.remove(&id);
    }

    /// A request or copy at this node.
    #[must_use]
    pub fn find(&self, id: Id) -> Option<&Entry<T>> {
        self.entries.get(&id)
    }

    /// Whether this node owns the request.
    #[must_use]
    pub fn owns(&self, id: Id) -> bool {
        self.find(id).is_some_and(|entry| entry.owner == self.own)
    }

    /// Takes over what nodes outside `live` owned, and returns it.
    pub fn adopt(&mut self, now: Instant, live: &[Incarnation]) -> Vec<Orphan> {
        self.expire(now);
        let own = self.own;
        let orphans = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| !live.contains(&entry.owner) && entry.owner != own);
        orphans
            .map(|(id, entry)| {
                entry.owner = own;
                entry.replica = None;
                Orphan {
                    request: *id,
                    unanswered: entry.answered.is_none() && entry.deadline > now,
                }
            })
            .collect()
    }

    /// What this node owns without a copy at a node of `live`.
    #[must_use]
    pub fn unreplicated(&self, live: &[Incarnation]) -> Vec<Id> {
        let copied =
            |entry: &Entry<T>| entry.replica.is_some_and(|replica| live.contains(&replica));
        let unreplicated = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.owner == self.own && !copied(entry));
        unreplicated.map(|(id, _)| *id).collect()
    }

    fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| entry.answered.unwrap_or(entry.deadline) + RETENTION > now);
    }
}
