//! What this host knows of the configuration and of the endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::catalogue::{Catalogue, Configuration, Directory, Entry, Identity};
use kernel::clock::Instant;
use kernel::name::{Endpoint, Service};
use parking_lot::Mutex;

/// The configuration and the endpoints. Locks are held one at a time and never across a wait.
#[derive(Debug, Default)]
pub struct Known {
    catalogue: Mutex<Catalogue>,
    directory: Mutex<Directory>,
}

impl Known {
    /// The configuration in force; `None` before the first one.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.catalogue.lock().current()
    }

    /// The version in force, or zero.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalogue.lock().version()
    }

    /// Takes a configuration; returns whether it came into force.
    pub fn offer(&self, configuration: Configuration) -> bool {
        self.catalogue.lock().update(configuration)
    }

    /// Reads or changes the endpoints.
    pub fn directory<T>(&self, with: impl FnOnce(&mut Directory) -> T) -> T {
        with(&mut self.directory.lock())
    }

    /// The endpoints of a service that take requests.
    #[must_use]
    pub fn ready(&self, service: &Service) -> Vec<Entry> {
        self.directory.lock().ready(service).cloned().collect()
    }

    /// The endpoint of a service with this identity, if it still takes requests.
    #[must_use]
    pub fn endpoint(&self, service: &Service, identity: Identity) -> Option<Entry> {
        let directory = self.directory.lock();
        let mut ready = directory.ready(service);
        ready.find(|entry| entry.identity() == identity).cloned()
    }

    /// The endpoint at `address`.
    #[must_use]
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<Identity> {
        let directory = self.directory.lock();
        let mut entries = directory.entries();
        let entry = entries.find(|entry| entry.address == address)?;
        Some(entry.identity())
    }

    /// Whether the host knows enough to serve.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.version() > 0 && self.directory.lock().entries().next().is_some()
    }

    /// Takes the removal of an endpoint's entry.
    pub fn remove(&self, name: &Endpoint, now: Instant) -> bool {
        self.directory.lock().remove(name, now)
    }
}
