//! Directory of registered endpoints, which tolerates outages of the store and its return from an
//! older copy.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::departure::Departures;
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
    /// Time until the endpoint is warm, at the time when it wrote the entry; `None` if the entry
    /// does not say.
    pub cold: Option<Duration>,
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
    identity: Identity,
    /// Time at which the entry is dropped unless it is renewed.
    expires_at: Option<Instant>,
}

/// An entry from an older copy of the store, whose endpoint had left before.
#[derive(Clone, Debug)]
struct Suspect {
    entry: Entry,
    /// Time at which the store would have removed the entry of an endpoint that is gone.
    trusted_at: Instant,
}

/// All registered endpoints.
#[derive(Debug)]
pub struct Directory {
    records: BTreeMap<Endpoint, Record>,
    suspects: BTreeMap<Endpoint, Suspect>,
    departures: Departures,
    registration_ttl: Duration,
    /// End of the grace period in which a removed entry may belong to a live endpoint.
    grace_until: Option<Instant>,
}

impl Directory {
    /// Creates an empty directory. The store removes the entry of an endpoint that has been silent
    /// for `registration_ttl`.
    #[must_use]
    pub fn new(registration_ttl: Duration) -> Self {
        Self {
            records: BTreeMap::new(),
            suspects: BTreeMap::new(),
            departures: Departures::default(),
            registration_ttl,
            grace_until: None,
        }
    }

    /// Inserts or updates an entry that was written to the store; returns whether the directory
    /// changed.
    ///
    /// An incarnation that has started to leave stays out of use, whatever its entry says.
    pub fn put(&mut self, entry: Entry, now: Instant) -> bool {
        let identity = entry.identity();
        self.suspects.remove(&entry.name);
        self.departures.record_written(identity);
        if entry.state == State::Draining {
            self.departures.record_leaving(identity, now);
        }
        let known = self.records.get(&entry.name);
        let changed =
            known.is_none_or(|record| record.entry != entry || record.expires_at.is_some());
        if changed {
            let record = Record {
                entry: entry.clone(),
                identity,
                expires_at: None,
            };
            let previous = self.records.insert(entry.name, record);
            if let Some(previous) = previous.filter(|previous| previous.identity != identity) {
                self.departures.record_removed(previous.identity, now);
            }
        }
        changed
    }

    /// Records that an incarnation announced that it leaves; returns whether this was unknown.
    pub fn mark_leaving(&mut self, identity: Identity, now: Instant) -> bool {
        self.departures.record_leaving(identity, now)
    }

    /// Handles the removal of an entry from the store; returns whether the endpoint was removed
    /// immediately.
    ///
    /// During the grace period after a store outage, a ready endpoint is kept until the period
    /// ends.
    pub fn remove(&mut self, name: &Endpoint, now: Instant) -> bool {
        self.suspects.remove(name);
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        let leaving = self.departures.is_leaving(record.identity);
        match self.grace_until.filter(|until| *until > now) {
            Some(until) if !leaving => {
                record.expires_at.get_or_insert(until);
                false
            }
            _ => self.drop_record(name, now),
        }
    }

    fn drop_record(&mut self, name: &Endpoint, now: Instant) -> bool {
        let dropped = self.records.remove(name);
        if let Some(record) = &dropped {
            self.departures.record_removed(record.identity, now);
        }
        dropped.is_some()
    }

    /// Starts the grace period after a store outage in which entries may have expired.
    pub fn store_recovered(&mut self, now: Instant) {
        self.grace_until = Some(now + EXPIRY_GRACE);
    }

    /// Replaces all entries by those of the store; missing ones are removed as by
    /// [`Directory::remove`].
    pub fn replace(&mut self, entries: Vec<Entry>, now: Instant) {
        self.remove_missing(&entries, now);
        for entry in entries {
            self.put(entry, now);
        }
    }

    /// Replaces all entries by those of a store that has returned from an older copy.
    ///
    /// The copy lacks the entries that were written after it was made, and live endpoints write
    /// theirs again: missing entries are kept for the grace period. It also has entries that were
    /// removed in the meantime. Such an entry is not used until its endpoint writes it again, or
    /// until it has outlived the time after which the store removes those of silent endpoints.
    pub fn restore(&mut self, entries: Vec<Entry>, now: Instant) {
        self.store_recovered(now);
        self.remove_missing(&entries, now);
        for entry in entries {
            if !self.departures.was_removed(entry.identity()) {
                self.put(entry, now);
            } else if self.records.contains_key(&entry.name) {
                // The copy has an earlier incarnation instead of the current one.
                self.remove(&entry.name, now);
            } else {
                let suspect = Suspect {
                    trusted_at: now + self.registration_ttl,
                    entry,
                };
                self.suspects.insert(suspect.entry.name.clone(), suspect);
            }
        }
    }

    fn remove_missing(&mut self, entries: &[Entry], now: Instant) {
        let present: BTreeSet<&Endpoint> = entries.iter().map(|entry| &entry.name).collect();
        let known = self.records.keys().chain(self.suspects.keys());
        let missing: Vec<Endpoint> = known
            .filter(|name| !present.contains(name))
            .cloned()
            .collect();
        for name in &missing {
            self.remove(name, now);
        }
    }

    /// Drops entries that expired and were not renewed, and accepts suspected ones that the store
    /// has kept. Returns the names of the dropped ones.
    pub fn expire(&mut self, now: Instant) -> Vec<Endpoint> {
        let expired: Vec<Endpoint> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.drop_record(name, now);
        }
        let trusted = self
            .suspects
            .extract_if(.., |_, suspect| suspect.trusted_at <= now);
        let trusted: Vec<_> = trusted.map(|(_, suspect)| suspect.entry).collect();
        for entry in trusted {
            self.put(entry, now);
        }
        let records = self.records.values().map(|record| record.identity);
        self.departures.forget_old(&records.collect(), now);
        expired
    }

    /// Returns the next time at which [`Directory::expire`] will drop or accept an entry.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let expiries = self.records.values().filter_map(|record| record.expires_at);
        let trusted = self.suspects.values().map(|suspect| suspect.trusted_at);
        expiries.chain(trusted).min()
    }

    /// Returns the entry of the endpoint `name`.
    #[must_use]
    pub fn get(&self, name: &Endpoint) -> Option<&Entry> {
        self.records.get(name).map(|record| &record.entry)
    }

    /// Returns the endpoints of `service` that accept requests.
    pub fn ready<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Entry> {
        let records = self.records.values();
        let ready = records.filter(move |record| self.is_ready(record, service));
        ready.map(|record| &record.entry)
    }

    /// Returns the endpoint of `service` with this identity, if it accepts requests.
    #[must_use]
    pub fn find_ready(&self, service: &Service, identity: Identity) -> Option<&Entry> {
        let mut records = self.records.values();
        let record = records.find(|record| record.identity == identity)?;
        self.is_ready(record, service).then_some(&record.entry)
    }

    fn is_ready(&self, record: &Record, service: &Service) -> bool {
        record.entry.service == *service && !self.departures.is_leaving(record.identity)
    }

    /// Returns all entries, including those of endpoints that leave.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.records.values().map(|record| &record.entry)
    }
}
