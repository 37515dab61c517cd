//! Directory of registered endpoints, which tolerates outages of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::name::{Domain, Endpoint, Service, rendezvous};

/// Time after a store outage in which entries that expired during the outage may be renewed.
///
/// Live endpoints write about every 1.2 s. An endpoint that leaves right after the outage must
/// receive no requests 2 s later, so the grace period is shorter than that.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_800);

/// State reported by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// Identifies one incarnation of an endpoint, because a name may be reused after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(pub u64);

/// Registration entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the endpoint.
    pub name: Endpoint,
    /// Start time in milliseconds of the endpoint's own wall clock; distinguishes incarnations with
    /// the same name.
    pub started_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: Service,
    /// Network address; may be reused by other endpoints.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: Domain,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// State that the endpoint reports.
    pub state: State,
}

impl Entry {
    /// Returns the identity of this incarnation, which is the same on every host.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity(rendezvous(self.name.as_str(), &self.started_ms.to_string()))
    }
}

#[derive(Clone, Debug)]
struct Record {
    entry: Entry,
    /// Time at which the entry is dropped unless it is renewed.
    expires_at: Option<Instant>,
}

/// All registered endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    records: BTreeMap<Endpoint, Record>,
    /// End of the grace period in which a removed entry may belong to a live endpoint.
    grace_until: Option<Instant>,
}

impl Directory {
    /// Inserts or updates an entry from the store; returns whether the directory changed.
    pub fn put(&mut self, entry: Entry) -> bool {
        let known = self.records.get(&entry.name);
        let changed =
            known.is_none_or(|record| record.entry != entry || record.expires_at.is_some());
        if changed {
            let record = Record {
                entry: entry.clone(),
                expires_at: None,
            };
            self.records.insert(entry.name, record);
        }
        changed
    }

    /// Handles the removal of an entry from the store; returns whether the endpoint was removed
    /// immediately.
    ///
    /// During the grace period after a store outage, a ready endpoint is kept until the period
    /// ends.
    pub fn remove(&mut self, name: &Endpoint, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        let until = self.grace_until.filter(|until| *until > now);
        match until {
            Some(until) if record.entry.state == State::Ready => {
                record.expires_at.get_or_insert(until);
                false
            }
            _ => self.records.remove(name).is_some(),
        }
    }

    /// Starts the grace period after a store outage in which entries may have expired.
    pub fn store_recovered(&mut self, now: Instant) {
        self.grace_until = Some(now + EXPIRY_GRACE);
    }

    /// Replaces all entries by those of the store; missing ones are removed as by
    /// [`Directory::remove`].
    pub fn replace(&mut self, entries: Vec<Entry>, now: Instant) {
        let missing: Vec<Endpoint> = self
            .records
            .keys()
            .filter(|name| entries.iter().all(|entry| entry.name != **name))
            .cloned()
            .collect();
        for name in &missing {
            self.remove(name, now);
        }
        for entry in entries {
            self.put(entry);
        }
    }

    /// Drops entries that expired and were not renewed; returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<Endpoint> {
        let expired: Vec<Endpoint> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.records.remove(name);
        }
        expired
    }

    /// Returns the next time at which [`Directory::expire`] will drop an entry.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let records = self.records.values();
        records.filter_map(|record| record.expires_at).min()
    }

    /// Returns the entry of the endpoint `name`.
    #[must_use]
    pub fn get(&self, name: &Endpoint) -> Option<&Entry> {
        self.records.get(name).map(|record| &record.entry)
    }

    /// Returns the endpoints of `service` that accept requests.
    pub fn ready<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Entry> {
        let entries = self.records.values().map(|record| &record.entry);
        entries.filter(move |entry| entry.service == *service && entry.state == State::Ready)
    }

    /// Returns all entries, including those of draining endpoints.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.records.values().map(|record| &record.entry)
    }
}
