//! What is in force: routes, keys, services and the endpoints that serve them.
//!
//! A [`Catalogue`] takes configurations and endpoint entries in any order and from any source and
//! never goes back to an older one.

mod configuration;
mod directory;

pub use configuration::{
    Allowed, Configuration, Denied, Kind, Limits, Profile, Route, ServiceEntry, Target, Tenant,
};
pub use directory::{Directory, Entry, Identity, State};

use std::sync::Arc;

/// The newest configuration that this process has seen.
#[derive(Debug, Default)]
pub struct Catalogue {
    newest: Option<Arc<Configuration>>,
}

impl Catalogue {
    /// Takes over `configuration` if it is newer than the one in force.
    ///
    /// Returns whether it came into force.
    pub fn update(&mut self, configuration: Configuration) -> bool {
        let newer = self
            .newest
            .as_ref()
            .is_none_or(|newest| newest.version < configuration.version);
        if newer {
            self.newest = Some(Arc::new(configuration));
        }
        newer
    }

    /// The configuration in force; `None` until the first one was read.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.newest.clone()
    }

    /// The version in force, or zero.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }
}
