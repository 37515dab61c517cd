//! The endpoints that registered themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::name::{Domain, Endpoint, Service, rendezvous};

/// Time after an outage of the store for which an entry that lapsed meanwhile may come back.
///
/// Live endpoints write about every 1.2 s. An endpoint that leaves right after the outage must get
/// nothing more 2 s later, so the grace ends before that.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_800);

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Ends what it has and takes nothing new.
    Draining,
}

/// One life of an endpoint: a name may be used again after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity(pub u64);

/// An endpoint's own entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: Endpoint,
    /// When it started, in milliseconds of its own wall clock; tells two lives of a name apart.
    pub started_ms: u64,
    /// The service that it serves.
    pub service: Service,
    /// Where it is reached; addresses are used again by others.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: State,
}

impl Entry {
    /// Names this life of the endpoint, the same on every host.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity(rendezvous(self.name.as_str(), &self.started_ms.to_string()))
    }
}

#[derive(Clone, Debug)]
struct Record {
    entry: Entry,
    /// When the entry is dropped unless it comes back.
    expires_at: Option<Instant>,
}

/// All known endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    records: BTreeMap<Endpoint, Record>,
    /// Until when removals may be lapses of live endpoints.
    grace_until: Option<Instant>,
}

impl Directory {
    /// Takes an entry that the store holds; returns whether anything about it is new.
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

    /// Takes the removal of an entry; returns whether the endpoint is gone at once.
    ///
    /// While removals may be lapses, a ready endpoint stays for a grace time.
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

    /// Notes that the store answers again after an outage in which entries may have lapsed.
    pub fn store_recovered(&mut self, now: Instant) {
        self.grace_until = Some(now + EXPIRY_GRACE);
    }

    /// Takes a full reading of the store: entries that it does not hold are removed.
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

    /// Drops entries that lapsed and did not come back; returns their names.
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

    /// When [`Directory::expire`] next has something to drop.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let records = self.records.values();
        records.filter_map(|record| record.expires_at).min()
    }

    /// The entry of `name`.
    #[must_use]
    pub fn get(&self, name: &Endpoint) -> Option<&Entry> {
        self.records.get(name).map(|record| &record.entry)
    }

    /// The endpoints of `service` that take requests.
    pub fn ready<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Entry> {
        let entries = self.records.values().map(|record| &record.entry);
        entries.filter(move |entry| entry.service == *service && entry.state == State::Ready)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.records.values().map(|record| &record.entry)
    }
}
