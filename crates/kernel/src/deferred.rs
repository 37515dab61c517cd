//! Ownership and replication of deferred requests.
//!
//! The node that accepts a request from a caller owns and runs it. Another node keeps a copy and
//! becomes the owner once the owner's incarnation is dead. The incarnation decides, not the host: a
//! restarted host keeps its name but has lost its requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::request::{Id, Incarnation};

/// How long an answer is kept after it is stored, and an unanswered request after its deadline.
pub const RETENTION: Duration = Duration::from_hours(1);
/// Maximum number of deferred requests and copies at one node. Ten thousand requests of a few
/// thousand tokens each take 200 MB.
pub const MAX_ENTRIES: usize = 10_000;

/// A deferred request with its owner and replica; `T` is the node's own record of the request.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// The node's record of the request and its answer.
    pub content: T,
    /// The incarnation of the node that owns the request.
    pub owner: Incarnation,
    /// The incarnation of the node that keeps the copy, if known.
    pub replica: Option<Incarnation>,
    /// Time by which the request must have ended.
    pub deadline: Instant,
    /// Time at which the answer was stored.
    pub answered: Option<Instant>,
}

/// A request that a node took over from a dead owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The request.
    pub request: Id,
    /// Whether the request still has to be run.
    pub unanswered: bool,
}

/// The deferred requests and copies at one node.
#[derive(Debug)]
pub struct Table<T> {
    own: Incarnation,
    entries: BTreeMap<Id, Entry<T>>,
}

impl<T> Table<T> {
    /// An empty table for the node with the incarnation `own`.
    #[must_use]
    pub const fn new(own: Incarnation) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
        }
    }

    /// Adds a request from a caller of this node that must end within `remaining`; returns false if
    /// the table is full.
    pub fn accept(&mut self, now: Instant, id: Id, content: T, remaining: Duration) -> bool {
        let own = self.own;
        self.insert(now, id, content, own, now + remaining)
    }

    /// Stores a copy for `owner`; returns false if the table is full.
    ///
    /// After a partition in which each node considered the other dead, two nodes can own the same
    /// request. The lower incarnation stays the owner, so that both nodes agree.
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

    /// Stores an answer from this node or another one, unless one is stored already; returns false
    /// if the table is full.
    pub fn store_answer(&mut self, now: Instant, id: Id, content: T, owner: Incarnation) -> bool {
        if self
            .entries
            .get(&id)
            .is_some_and(|known| known.answered.is_some())
        {
            return true;
        }
        let stored = self.insert(now, id, content, owner, now);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.answered = Some(now);
        }
        stored
    }

    /// Records which node keeps the copy of a request.
    pub fn set_replica(&mut self, id: Id, replica: Incarnation) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.replica = Some(replica);
        }
    }

    /// Removes a request that was not accepted.
    pub fn remove(&mut self, id: Id) {
        self.entries.remove(&id);
    }

    /// Whether this node has no request and no copy.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry of a request or copy at this node.
    #[must_use]
    pub fn find(&self, id: Id) -> Option<&Entry<T>> {
        self.entries.get(&id)
    }

    /// Whether this node owns the request.
    #[must_use]
    pub fn owns(&self, id: Id) -> bool {
        self.find(id).is_some_and(|entry| entry.owner == self.own)
    }

    /// Takes over the requests whose owners are not in `live`, and returns them.
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

    /// The requests that this node owns and that have no copy at a node in `live`.
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
