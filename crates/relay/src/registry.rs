//! The current configuration and the registered endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::catalogue::{Catalogue, Configuration, Directory, Entry, Identity};
use kernel::clock::Instant;
use kernel::name::{Endpoint, Service};
use parking_lot::Mutex;

/// The configuration and the endpoints.
///
/// At most one of the two locks is held at a time, and none across an `await`.
#[derive(Debug)]
pub struct Registry {
    catalogue: Mutex<Catalogue>,
    directory: Mutex<Directory>,
}

impl Registry {
    /// Creates a registry without a configuration. The store removes the entry of an endpoint that
    /// has been silent for `registration_ttl`.
    #[must_use]
    pub fn new(registration_ttl: Duration) -> Self {
        Self {
            catalogue: Mutex::default(),
            directory: Mutex::new(Directory::new(registration_ttl)),
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
        self.catalogue.lock().update(configuration)
    }

    /// Calls `access` with the endpoints locked.
    pub fn with_directory<T>(&self, access: impl FnOnce(&mut Directory) -> T) -> T {
        access(&mut self.directory.lock())
    }

    /// Returns the endpoints of a service that accept requests.
    #[must_use]
    pub fn ready(&self, service: &Service) -> Vec<Entry> {
        self.directory.lock().ready(service).cloned().collect()
    }

    /// Returns the number of endpoints of a service that accept requests.
    #[must_use]
    pub fn count_ready(&self, service: &Service) -> usize {
        self.directory.lock().ready(service).count()
    }

    /// Returns the endpoint of a service with this identity, if it still accepts requests.
    #[must_use]
    pub fn endpoint(&self, service: &Service, identity: Identity) -> Option<Entry> {
        let directory = self.directory.lock();
        directory.find_ready(service, identity).cloned()
    }

    /// Returns the identity of the endpoint at `address`.
    #[must_use]
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<Identity> {
        let directory = self.directory.lock();
        let mut entries = directory.entries();
        let entry = entries.find(|entry| entry.address == address)?;
        Some(entry.identity())
    }

    /// Whether the host can serve: a configuration is in force and an endpoint is registered.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.version() > 0 && self.directory.lock().entries().next().is_some()
    }

    /// Handles the removal of an endpoint's entry; returns whether the endpoint is gone at once.
    pub fn remove(&self, name: &Endpoint, now: Instant) -> bool {
        self.directory.lock().remove(name, now)
    }
}
