//! Bounds the number of open connections of callers.
//!
//! If there are too many, the one that has been idle for the longest time is closed, so that
//! connections that are kept open without requests cannot shut out new callers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Steps in which the time-out of a connection changes, so that the system is not told of each change.
const TIMEOUT_STEP: Duration = Duration::from_secs(1);

/// For how long the peer of a connection may stop to read what was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pause {
    /// No longer than it takes to notice that the peer is gone.
    #[default]
    None,
    /// Each time for this long.
    For(Duration),
    /// Until this time.
    Until(Instant),
}

impl Pause {
    /// Returns the time after which a connection is closed if what was sent is not read. It is never less
    /// than `least`, in which a peer that is gone is noticed.
    #[must_use]
    pub fn timeout(self, now: Instant, least: Duration) -> Duration {
        let allowed = match self {
            Self::None => Duration::ZERO,
            Self::For(time) => time,
            Self::Until(end) => {
                let steps = end.since(now).div_duration_f64(TIMEOUT_STEP).ceil();
                TIMEOUT_STEP.mul_f64(steps)
            }
        };
        allowed.max(least)
    }
}

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Admitted(Id),
    /// It is served, and an idle one is closed in its place.
    Instead {
        /// The new connection.
        admitted: Id,
        /// The connection to close.
        closed: Id,
    },
    /// It is closed, since requests run on all others.
    Refused,
}

/// The open connections.
#[derive(Clone, Debug)]
pub struct Table {
    limit: usize,
    /// Time since which a connection is idle; `None` while a request runs on it.
    open: BTreeMap<Id, Option<Instant>>,
    next: u64,
}

impl Table {
    /// Creates a table for at most `limit` connections, and at least one.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            limit: if limit == 0 { 1 } else { limit },
            open: BTreeMap::new(),
            next: 0,
        }
    }

    /// Number of open connections, without those that are to be closed.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Adds a new connection, which is idle.
    pub fn admit(&mut self, now: Instant) -> Admission {
        let closed = if self.open.len() < self.limit {
            None
        } else {
            match self.close_idle() {
                Some(closed) => Some(closed),
                None => return Admission::Refused,
            }
        };
        let admitted = Id(self.next);
        self.next += 1;
        self.open.insert(admitted, Some(now));
        closed.map_or(Admission::Admitted(admitted), |closed| Admission::Instead {
            admitted,
            closed,
        })
    }

    /// Removes the connection that has been idle for the longest time, which is to be closed.
    pub fn close_idle(&mut self) -> Option<Id> {
        let idle = self
            .open
            .iter()
            .filter_map(|(id, since)| Some((*id, (*since)?)));
        let (id, _) = idle.min_by_key(|(_, since)| *since)?;
        self.open.remove(&id);
        Some(id)
    }

    /// Records that a request runs on a connection.
    pub fn record_busy(&mut self, id: Id) {
        if let Some(since) = self.open.get_mut(&id) {
            *since = None;
        }
    }

    /// Records that no request runs on a connection any more.
    pub fn record_idle(&mut self, id: Id, now: Instant) {
        if let Some(since) = self.open.get_mut(&id) {
            *since = Some(now);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: Id) {
        self.open.remove(&id);
    }
}
