//! Handles what endpoints announce about themselves: that they leave, or want no requests for a
//! while.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::balance::Balancer;
use kernel::catalogue::{Entry, Identity};
use kernel::pace::{Limit, Rate};
use parking_lot::Mutex;

use crate::adapter::Notice;
use crate::clock::Clock;
use crate::observe;
use crate::placer::Placer;
use crate::registry::Registry;

/// Applies the endpoints' notices to the tables from which endpoints are chosen.
pub struct Notices {
    /// The registered endpoints.
    pub registry: Arc<Registry>,
    /// Places streams on engines.
    pub placer: Arc<Placer>,
    /// Balances calls over the endpoints of plain services.
    pub balancer: Arc<Mutex<Balancer>>,
    /// The limits that endpoints name.
    limits: Mutex<HashMap<Identity, Rate>>,
    /// Monotonic clock.
    pub clock: Clock,
}

impl Notices {
    /// Creates an instance that changes these tables.
    #[must_use]
    pub fn new(
        registry: &Arc<Registry>,
        placer: &Arc<Placer>,
        balancer: &Arc<Mutex<Balancer>>,
        clock: Clock,
    ) -> Self {
        Self {
            registry: Arc::clone(registry),
            placer: Arc::clone(placer),
            balancer: Arc::clone(balancer),
            limits: Mutex::default(),
            clock,
        }
    }

    /// Applies the notice of a response from the endpoint with this entry.
    pub fn apply(&self, entry: &Entry, notice: Notice) {
        if notice.leaving && self.mark_leaving(entry.identity()) {
            log::info!(
                "event=endpoint_leaving endpoint={} source=response",
                entry.name
            );
            self.placer.announce_leaving(entry.identity());
        }
        if let Some(time) = notice.backoff {
            self.back_off(entry, time);
        }
        self.log_limit(entry, notice.limit);
    }

    /// Logs the limit that an endpoint names, whenever it changes.
    fn log_limit(&self, entry: &Entry, limit: Limit) {
        let identity = entry.identity();
        let mut limits = self.limits.lock();
        let changed = match limit {
            Limit::Unknown => false,
            Limit::Unlimited => limits.remove(&identity).is_some(),
            Limit::Limited(rate) => limits.insert(identity, rate) != Some(rate),
        };
        if changed {
            log::info!(
                "event=endpoint_limit endpoint={} limit={limit:?}",
                entry.name
            );
        }
    }

    /// Applies the notice of an endpoint that another host passes on.
    pub fn apply_forwarded(&self, identity: Identity) {
        if self.mark_leaving(identity) {
            log::info!(
                "event=endpoint_leaving identity={:x} source=host",
                identity.0
            );
        }
    }

    /// Takes an endpoint out of use for good; returns whether it was in use.
    fn mark_leaving(&self, identity: Identity) -> bool {
        let now = self.clock.now();
        let unknown = self
            .registry
            .with_directory(|directory| directory.mark_leaving(identity, now));
        if unknown {
            self.placer.refresh_engines(&self.registry);
        }
        unknown
    }

    fn back_off(&self, entry: &Entry, time: Duration) {
        let now = self.clock.now();
        let identity = entry.identity();
        observe::count_backoff();
        log::info!(
            "event=endpoint_backs_off endpoint={} ms={}",
            entry.name,
            time.as_millis()
        );
        if !self.placer.back_off(&entry.service, identity, time) {
            self.balancer.lock().back_off(identity, time, now);
        }
    }
}
