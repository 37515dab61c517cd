//! Active routes, keys and services, and the endpoints that serve them.
//!
//! A [`Catalogue`] accepts configurations in any order and from any source and never goes back to
//! an older version. A [`Directory`] holds the registered endpoints.

mod configuration;
mod departure;
mod directory;

pub use configuration::{
    Allowed, Cold, Configuration, Delay, Denied, Kind, Limits, Profile, Route, ServiceEntry,
    Target, Tenant,
};
pub use directory::{Directory, Entry, Identity, State};

use std::sync::Arc;

/// Holds the newest configuration that this process has received.
#[derive(Debug, Default)]
pub struct Catalogue {
    newest: Option<Arc<Configuration>>,
}

impl Catalogue {
    /// Activates `configuration` if its version is newer than the active one.
    ///
    /// Returns whether it was activated.
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

    /// Returns the active configuration, or `None` before the first one is received.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.newest.clone()
    }

    /// Returns the active version, or zero if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }
}
