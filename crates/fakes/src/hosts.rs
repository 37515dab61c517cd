//! A fake host list that shows each change only after a lag.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;
use provider::{Error, HostEntry};
use tokio::time::Instant;

/// A host list and the time at which it was set.
type Version = (Instant, Vec<HostEntry>);

/// A host list that a test changes and nodes read.
#[derive(Clone)]
pub struct Hosts {
    versions: Arc<Mutex<Vec<Version>>>,
    lag: Duration,
}

impl Hosts {
    /// Creates an empty list whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            versions: Arc::default(),
            lag,
        }
    }

    /// Replaces the list. Readers see the new list after the lag.
    pub fn set(&self, entries: Vec<HostEntry>) {
        self.versions.lock().push((Instant::now(), entries));
    }

    fn visible_entries(&self) -> Vec<HostEntry> {
        let mut versions = self.versions.lock();
        let now = Instant::now();
        let newest_visible = versions
            .iter()
            .rposition(|(set_at, _)| *set_at + self.lag <= now);
        if let Some(index) = newest_visible {
            versions.drain(..index);
            return versions[0].1.clone();
        }
        Vec::new()
    }
}

#[async_trait]
impl provider::Hosts for Hosts {
    async fn list(&self) -> Result<Vec<HostEntry>, Error> {
        Ok(self.visible_entries())
    }
}
