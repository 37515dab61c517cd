//! The current configuration and the registered endpoints.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::catalogue::{Catalogue, Configuration, Directory, Entry, Identity};
use kernel::clock::Instant;
use kernel::evacuation::Evacuations;
use kernel::name::{Domain, Endpoint, Service};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The configuration, the endpoints and the evacuated failure domains.
///
/// Nothing may be sent to an endpoint that the registry does not return.
///
/// At most one of the locks is held at a time, and none across an `await`.
#[derive(Debug)]
pub struct Registry {
    catalogue: Mutex<Catalogue>,
    directory: Mutex<Directory>,
    evacuations: Mutex<Evacuations>,
    /// Wakes the requests that wait until the host can serve.
    changed: Notify,
}

impl Registry {
    /// Creates a registry without a configuration. The store removes the entry of an endpoint that
    /// has been silent for `registration_ttl`.
    #[must_use]
    pub fn new(registration_ttl: Duration) -> Self {
        Self {
            catalogue: Mutex::default(),
            directory: Mutex::new(Directory::new(registration_ttl)),
            evacuations: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the configuration in force; `None` before the first one.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.catalogue.lock().current()
    }

    /// Returns the version in force, or zero before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalogue.lock().version()
    }

    /// Puts a configuration in force if its version is newer; returns whether it was.
    pub fn update(&self, configuration: Configuration) -> bool {
        let updated = self.catalogue.lock().update(configuration);
        self.changed.notify_waiters();
        updated
    }

    /// Calls `access` with the endpoints locked.
    pub fn with_directory<T>(&self, access: impl FnOnce(&mut Directory) -> T) -> T {
        let result = access(&mut self.directory.lock());
        self.changed.notify_waiters();
        result
    }

    /// Calls `access` with the evacuated failure domains locked.
    pub fn with_evacuations<T>(&self, access: impl FnOnce(&mut Evacuations) -> T) -> T {
        let result = access(&mut self.evacuations.lock());
        self.changed.notify_waiters();
        result
    }

    /// Returns the evacuated failure domains.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<Domain> {
        let evacuations = self.evacuations.lock();
        let domains = evacuations.evacuated();
        domains.map(|(domain, _)| domain.clone()).collect()
    }

    /// Returns the endpoints of a service that accept requests, including those of evacuated failure
    /// domains, to which nothing new may be sent.
    #[must_use]
    pub fn registered(&self, service: &Service) -> Vec<Entry> {
        self.directory.lock().ready(service).cloned().collect()
    }

    /// Returns the endpoints of a service that accept requests.
    #[must_use]
    pub fn ready(&self, service: &Service) -> Vec<Entry> {
        let evacuated = self.evacuated();
        let mut entries = self.registered(service);
        entries.retain(|entry| !evacuated.contains(&entry.domain));
        entries
    }

    /// Returns whether a service has endpoints, but all of them are in evacuated failure domains.
    #[must_use]
    pub fn is_evacuated(&self, service: &Service) -> bool {
        let evacuated = self.evacuated();
        if evacuated.is_empty() {
            return false;
        }
        let directory = self.directory.lock();
        let mut entries = directory.ready(service).peekable();
        entries.peek().is_some() && entries.all(|entry| evacuated.contains(&entry.domain))
    }

    /// Returns the number of endpoints of a service that accept requests.
    #[must_use]
    pub fn count_ready(&self, service: &Service) -> usize {
        let evacuated = self.evacuated();
        let directory = self.directory.lock();
        let entries = directory.ready(service);
        entries
            .filter(|entry| !evacuated.contains(&entry.domain))
            .count()
    }

    /// Returns the endpoint of a service with this identity, if it still accepts requests.
    #[must_use]
    pub fn endpoint(&self, service: &Service, identity: Identity) -> Option<Entry> {
        let entry = {
            let directory = self.directory.lock();
            directory.find_ready(service, identity).cloned()
        };
        entry.filter(|entry| !self.evacuations.lock().contains(&entry.domain))
    }

    /// Returns whether an endpoint is in an evacuated failure domain, so that nothing new may be sent to
    /// it.
    #[must_use]
    pub fn is_withheld(&self, identity: Identity) -> bool {
        let evacuated = self.evacuated();
        if evacuated.is_empty() {
            return false;
        }
        let directory = self.directory.lock();
        let mut entries = directory.entries();
        let entry = entries.find(|entry| entry.identity() == identity);
        entry.is_some_and(|entry| evacuated.contains(&entry.domain))
    }

    /// Returns the identity of the endpoint of a service at `address`.
    #[must_use]
    pub fn endpoint_at(&self, service: &Service, address: SocketAddr) -> Option<Identity> {
        let directory = self.directory.lock();
        let mut entries = directory.entries();
        let entry = entries.find(|entry| entry.service == *service && entry.address == address)?;
        Some(entry.identity())
    }

    /// Returns the endpoints of the services that the configuration names. The store may have entries
    /// of others, which say nothing about this host.
    #[must_use]
    pub fn in_use(&self) -> Vec<Entry> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let directory = self.directory.lock();
        let entries = directory.entries();
        entries
            .filter(|entry| configuration.services.contains_key(&entry.service))
            .cloned()
            .collect()
    }

    /// Whether the host can serve: a configuration is in force, the evacuations were read from the
    /// store and an endpoint of one of its services is registered.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        let Some(configuration) = self.configuration() else {
            return false;
        };
        let is_in_use = |entry: &Entry| configuration.services.contains_key(&entry.service);
        self.evacuations.lock().is_read() && self.directory.lock().entries().any(is_in_use)
    }

    /// Waits until the host can serve, for at most `limit`.
    pub async fn wait_until_serving(&self, limit: Duration) {
        let serving = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.can_serve() {
                    return;
                }
                changed.await;
            }
        };
        // The caller finds out whether the host can serve.
        let _ = timeout(limit, serving).await;
    }

    /// Handles the removal of an endpoint's entry; returns whether the endpoint is gone at once.
    pub fn remove(&self, name: &Endpoint, now: Instant) -> bool {
        self.directory.lock().remove(name, now)
    }
}
