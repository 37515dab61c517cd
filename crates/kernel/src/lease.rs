//! Leases on the log, which decide which node may send orders to endpoints.
//!
//! A lease record names the record that it replaces. The first record that replaces the current
//! one takes the lease, and its offset gives the fencing number, so fencing numbers only grow.
//!
//! A successor waits until the last renewal that it has read is older than [`DURATION`] and
//! [`MAX_ORDER_DELAY`] together. The holder counts its lease from before the append. Clocks of
//! different nodes are never compared.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::name::Host;
use crate::request::Incarnation;

/// Duration of a lease without renewal.
pub const DURATION: Duration = Duration::from_secs(10);
/// Time after an append until the candidate appends the next renewal or retries.
pub const RENEW_AFTER: Duration = Duration::from_secs(3);
/// Last part of a lease, in which the holder sends no more orders.
pub const MARGIN: Duration = Duration::from_secs(3);
/// Maximum time that an order may take to arrive.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);

/// A record of the leases stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the lease.
    pub name: String,
    /// The host that takes or renews the lease.
    pub host: Host,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// The fencing number that the record replaces or renews; 0 for the first.
    pub after: u64,
    /// Whether the record renews the holder's own lease.
    pub renewal: bool,
    /// Time of the append by the appender's own clock; only the appender uses it.
    pub appended: Instant,
}

/// A lease as folded from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The host that holds the lease.
    pub host: Host,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// The fencing number: the offset of the record that took the lease, plus one.
    pub fence: u64,
    /// Time at which this node read the last record of the lease.
    pub read: Instant,
    /// Time at which that record was appended, by the holder's clock.
    pub appended: Instant,
}

/// All leases, folded from the log.
#[derive(Debug, Default)]
pub struct Table {
    next_offset: u64,
    leases: BTreeMap<String, Lease>,
}

impl Table {
    /// The offset of the next record to read.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Skips the records before `first`, which the log no longer retains.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Applies the record at `offset`, read at `now`. A record that does not follow the current one
    /// is ignored.
    pub fn apply(&mut self, now: Instant, offset: u64, record: &str) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        let Ok(record) = serde_json::from_str::<Record>(record) else {
            return;
        };
        let current = self.leases.get_mut(&record.name);
        let fence = current.as_ref().map_or(0, |lease| lease.fence);
        if record.after != fence {
            return;
        }
        if record.renewal {
            if let Some(lease) = current
                && lease.incarnation == record.incarnation
            {
                lease.read = now;
                lease.appended = record.appended;
            }
            return;
        }
        let lease = Lease {
            host: record.host,
            incarnation: record.incarnation,
            fence: offset + 1,
            read: now,
            appended: record.appended,
        };
        self.leases.insert(record.name, lease);
    }

    /// The lease called `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// All leases by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Lease)> {
        self.leases.iter()
    }
}

/// The next step of a candidate for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append this record.
    Append(Record),
    /// Do nothing now.
    Wait,
}

/// A node that competes for one lease and renews it while it holds it.
#[derive(Debug)]
pub struct Candidate {
    name: String,
    host: Host,
    incarnation: Incarnation,
    /// Fencing number of the held lease and the time just before the last append that was
    /// read back.
    held: Option<(u64, Instant)>,
    /// Time of the candidate's last append, read back or not.
    last_append: Option<Instant>,
}

impl Candidate {
    /// A candidate for the lease `name`.
    #[must_use]
    pub fn new(name: &str, host: &Host, incarnation: Incarnation) -> Self {
        Self {
            name: name.to_owned(),
            host: host.clone(),
            incarnation,
            held: None,
            last_append: None,
        }
    }

    /// Decides whether to take or renew the lease. A returned record counts as appended at `now`.
    pub fn step(&mut self, now: Instant, table: &Table) -> Step {
        let current = table.get(&self.name);
        let own = current.filter(|lease| lease.incarnation == self.incarnation);
        // The lease starts before the append of the record that was read, not at a later append.
        self.held = own.map(|lease| (lease.fence, lease.appended));
        if self.last_append.is_some_and(|at| at + RENEW_AFTER > now) {
            return Step::Wait;
        }
        let fence = current.map_or(0, |lease| lease.fence);
        let renewal = own.is_some();
        let free = current.is_none_or(|lease| lease.read + DURATION + MAX_ORDER_DELAY <= now);
        if !renewal && !free {
            return Step::Wait;
        }
        self.last_append = Some(now);
        Step::Append(Record {
            name: self.name.clone(),
            host: self.host.clone(),
            incarnation: self.incarnation,
            after: fence,
            renewal,
            appended: now,
        })
    }

    /// The fencing number with which an order may be sent at `now`, if any.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let (fence, from) = self.held?;
        (now + MARGIN < from + DURATION).then_some(fence)
    }
}
