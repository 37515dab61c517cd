//! Bounds the memory that a host holds for its callers and endpoints.
//!
//! Each body that is read, collected or kept has a hold on one account of bytes. A hold takes its bytes
//! before they are read. Small holds may use the whole account and large ones all but a reserve, so that
//! large bodies cannot shut out ordinary requests. If the account is full, holds whose bytes have
//! stopped coming are revoked first.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;

/// Largest size of a small hold, in bytes.
pub const SMALL_BYTES: u64 = 64 * 1_024;
/// Share of the account that only small holds use: one part of so many.
const RESERVE_PARTS: u64 = 4;
/// Time without progress after which a hold may be revoked while others need its bytes.
pub const STALL_TIME: Duration = Duration::from_millis(500);
/// Number of bytes that count as progress. Fewer in [`STALL_TIME`] are a stalled body.
const PROGRESS_BYTES: u64 = 16 * 1_024;

/// Identifies a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// What becomes of a request for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The hold has the bytes.
    Granted,
    /// The account is full. A hold that has stalled is revoked: once its owner has closed it, there may
    /// be room.
    Revoke,
    /// The account is full, and no hold has stalled.
    Full,
    /// The hold cannot become so large, or is revoked.
    Never,
}

#[derive(Clone, Debug)]
struct Hold {
    bytes: u64,
    /// Bytes that arrived since the last progress.
    arrived: u64,
    /// Time of the last progress; `None` if nothing is expected for the hold.
    progressed: Option<Instant>,
    is_revoked: bool,
    /// Whether it waits for room. Meanwhile nothing is read for it.
    is_waiting: bool,
}

/// The bytes that a host holds, against their limit.
#[derive(Clone, Debug)]
pub struct Account {
    limit: u64,
    held: u64,
    holds: BTreeMap<Id, Hold>,
    next: u64,
    /// Large holds that wait for room, in order of arrival.
    waiting: VecDeque<Id>,
}

impl Account {
    /// Opens an account of `limit` bytes.
    #[must_use]
    pub const fn new(limit: u64) -> Self {
        Self {
            limit,
            held: 0,
            holds: BTreeMap::new(),
            next: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Number of bytes that are held.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Maximum number of bytes that can be held.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.limit
    }

    /// Maximum size of one hold.
    #[must_use]
    pub const fn max_hold(&self) -> u64 {
        self.limit - self.limit / RESERVE_PARTS
    }

    /// Opens a hold of no bytes. If it `is_incoming`, its bytes have to keep coming.
    pub fn open(&mut self, is_incoming: bool, now: Instant) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let hold = Hold {
            bytes: 0,
            arrived: 0,
            progressed: is_incoming.then_some(now),
            is_revoked: false,
            is_waiting: false,
        };
        self.holds.insert(id, hold);
        id
    }

    /// Takes more bytes for a hold if there is room now. Does not wait in turn, and revokes no hold.
    pub fn try_take(&mut self, id: Id, bytes: u64) -> bool {
        let Some(size) = self.grown(id, bytes) else {
            return false;
        };
        let fits = self.held.saturating_add(bytes) <= self.limit - self.reserve(size);
        if fits {
            self.grant(id, bytes);
        }
        fits
    }

    /// Returns the size of a hold with `bytes` more; `None` if it is revoked.
    fn grown(&self, id: Id, bytes: u64) -> Option<u64> {
        let hold = self.holds.get(&id).filter(|hold| !hold.is_revoked)?;
        Some(hold.bytes.saturating_add(bytes))
    }

    /// Returns what a hold of this size must leave to others.
    const fn reserve(&self, size: u64) -> u64 {
        if size <= SMALL_BYTES {
            0
        } else {
            self.limit / RESERVE_PARTS
        }
    }

    fn grant(&mut self, id: Id, bytes: u64) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.bytes += bytes;
            self.held += bytes;
        }
    }

    /// Takes more bytes for a hold. Large holds get theirs in turn.
    pub fn take(&mut self, id: Id, bytes: u64, now: Instant) -> Verdict {
        let Some(size) = self.grown(id, bytes) else {
            return Verdict::Never;
        };
        let is_small = size <= SMALL_BYTES;
        let room = self.limit - self.reserve(size);
        if size > room {
            return Verdict::Never;
        }
        let fits = self.held.saturating_add(bytes) <= room;
        let is_first = self.waiting.front().is_none_or(|first| *first == id);
        if fits && (is_small || is_first) {
            self.stop_waiting(id, now);
            self.grant(id, bytes);
            return Verdict::Granted;
        }
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.is_waiting = true;
        }
        if !is_small && !self.waiting.contains(&id) {
            self.waiting.push_back(id);
        }
        if fits {
            return Verdict::Full;
        }
        self.revoke_stalled(id, now)
    }

    /// Revokes the largest hold, other than `id`, that has stalled, unless another one is revoked and has
    /// not given its bytes back yet.
    fn revoke_stalled(&mut self, id: Id, now: Instant) -> Verdict {
        if self.holds.values().any(|hold| hold.is_revoked) {
            return Verdict::Full;
        }
        let stalled = self.holds.iter().filter(|(other, hold)| {
            let since = hold.progressed.map(|progressed| now.since(progressed));
            let is_stalled = since.is_some_and(|since| since >= STALL_TIME);
            **other != id && hold.bytes > 0 && !hold.is_waiting && is_stalled
        });
        let stalled = stalled.max_by_key(|(_, hold)| hold.bytes);
        let Some(stalled) = stalled.map(|(stalled, _)| *stalled) else {
            return Verdict::Full;
        };
        if let Some(hold) = self.holds.get_mut(&stalled) {
            hold.is_revoked = true;
        }
        Verdict::Revoke
    }

    /// Whether a hold is revoked, so that its owner has to close it.
    #[must_use]
    pub fn is_revoked(&self, id: Id) -> bool {
        self.holds.get(&id).is_some_and(|hold| hold.is_revoked)
    }

    /// Records that `bytes` have arrived for a hold.
    pub fn record_arrival(&mut self, id: Id, bytes: u64, now: Instant) {
        let Some(hold) = self.holds.get_mut(&id) else {
            return;
        };
        hold.arrived = hold.arrived.saturating_add(bytes);
        if hold.arrived >= PROGRESS_BYTES && hold.progressed.is_some() {
            hold.arrived = 0;
            hold.progressed = Some(now);
        }
    }

    /// Records that all bytes of a hold have arrived, so that it is not revoked any more.
    pub fn settle(&mut self, id: Id) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.is_revoked = false;
            hold.progressed = None;
        }
    }

    /// Gives bytes of a hold back.
    pub fn give_back(&mut self, id: Id, bytes: u64) {
        if let Some(hold) = self.holds.get_mut(&id) {
            let returned = bytes.min(hold.bytes);
            hold.bytes -= returned;
            self.held -= returned;
        }
    }

    /// Records that a hold no longer waits for room.
    pub fn stop_waiting(&mut self, id: Id, now: Instant) {
        self.waiting.retain(|waiting| *waiting != id);
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.is_waiting = false;
            hold.progressed = hold.progressed.map(|_| now);
        }
    }

    /// Closes a hold and gives all its bytes back.
    pub fn close(&mut self, id: Id) {
        self.waiting.retain(|waiting| *waiting != id);
        if let Some(hold) = self.holds.remove(&id) {
            self.held -= hold.bytes;
        }
    }
}
