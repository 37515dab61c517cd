//! Handles what endpoints announce about themselves: that they leave, want no requests for a while,
//! or accept them at a limited rate.

use std::sync::Arc;
use std::time::Duration;

use kernel::balance::Balancer;
use kernel::catalogue::{Entry, Identity};
use kernel::clock::Instant;
use kernel::pace::{Limit, Rate};
use parking_lot::Mutex;
use wire::placement::{self, Item};

use crate::adapter::Notice;
use crate::clock::Clock;
use crate::observe;
use crate::placer::Placer;
use crate::registry::Registry;

/// Time for which snapshots repeat that a limit has changed. Four snapshots may be lost in a row.
const LIMIT_REPEATED: Duration = Duration::from_secs(2);

/// Applies the endpoints' notices to the tables from which endpoints are chosen.
pub struct Notices {
    /// The registered endpoints.
    pub registry: Arc<Registry>,
    /// Places streams on engines.
    pub placer: Arc<Placer>,
    /// Balances calls over the endpoints of plain services.
    pub balancer: Arc<Mutex<Balancer>>,
    /// Endpoints whose limit has changed in responses to this host, and until when snapshots repeat
    /// it.
    repeated: Mutex<Vec<(Identity, Instant)>>,
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
            repeated: Mutex::default(),
            clock,
        }
    }

    /// Applies the notice of a response from the endpoint with this entry.
    ///
    /// `sent_at` is the time at which the request was sent.
    pub fn apply(&self, entry: &Entry, notice: Notice, sent_at: Instant) {
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
        match notice.limit {
            Limit::Unknown => {}
            Limit::Unlimited => self.observe_limit(entry, None, sent_at),
            Limit::Limited(rate) => self.observe_limit(entry, Some(rate), self.clock.now()),
        }
    }

    /// Applies what an endpoint stated about its limit at `at`, and tells the other hosts if the
    /// limit has changed.
    fn observe_limit(&self, entry: &Entry, limit: Option<Rate>, at: Instant) {
        let identity = entry.identity();
        if self.apply_limit(identity, limit, at) {
            log::info!(
                "event=endpoint_limit endpoint={} per_second={} source=response",
                entry.name,
                limit.map_or("none".to_owned(), |rate| rate.to_string())
            );
            let until = self.clock.now() + LIMIT_REPEATED;
            let mut repeated = self.repeated.lock();
            repeated.retain(|(other, _)| *other != identity);
            repeated.push((identity, until));
            drop(repeated);
            let item = encode_limit(identity, limit, at, self.clock.now());
            self.placer.push_update(item);
        }
    }

    /// Records what an endpoint stated about its limit at `at`; returns whether this changes the
    /// limit.
    fn apply_limit(&self, identity: Identity, limit: Option<Rate>, at: Instant) -> bool {
        let known = self.placer.observe_limit(identity, limit, at);
        known.unwrap_or_else(|| self.balancer.lock().observe_limit(identity, limit, at))
    }

    /// Applies the limit of an endpoint that another host passes on.
    pub fn apply_forwarded_limit(&self, limit: &placement::Limit) {
        let age = Duration::from_millis(limit.age_ms.into());
        let at = self.clock.now().saturating_sub(age);
        let rate = match limit.per_1000_s {
            Some(number) => match Rate::per_second(f64::from(number) / 1_000.0) {
                Some(rate) => Some(rate),
                None => return,
            },
            None => None,
        };
        if self.apply_limit(Identity(limit.endpoint), rate, at) {
            log::info!(
                "event=endpoint_limit identity={:x} per_second={} source=host",
                limit.endpoint,
                rate.map_or("none".to_owned(), |rate| rate.to_string())
            );
        }
    }

    /// Records that another host sends a request to a limited endpoint.
    pub fn apply_forwarded_request(&self, identity: Identity) {
        if !self.placer.record_request(identity) {
            let now = self.clock.now();
            self.balancer.lock().record_request(identity, now);
        }
    }

    /// Records that this host sends a call to a plain endpoint, and tells the other hosts if it is
    /// limited.
    pub fn record_call(&self, identity: Identity) {
        let now = self.clock.now();
        let mut balancer = self.balancer.lock();
        if balancer.is_paced(identity, now) {
            balancer.record_request(identity, now);
            drop(balancer);
            self.placer.push_update(Item::Request(identity.0));
        }
    }

    /// Returns the limits of endpoints that have ever named one.
    #[must_use]
    pub fn limits(&self) -> Vec<Item> {
        let now = self.clock.now();
        let mut limits = self.placer.limits();
        limits.extend(self.balancer.lock().limits());
        let items = limits.into_iter();
        items
            .map(|(identity, limit, at)| encode_limit(identity, limit, at, now))
            .collect()
    }

    /// Returns the limits whose changes were recently learnt from responses to this host.
    #[must_use]
    pub fn repeated_limits(&self) -> Vec<Item> {
        let now = self.clock.now();
        let mut repeated = self.repeated.lock();
        repeated.retain(|(_, until)| *until > now);
        if repeated.is_empty() {
            return Vec::new();
        }
        let endpoints: Vec<_> = repeated.iter().map(|(identity, _)| identity.0).collect();
        drop(repeated);
        let mut limits = self.limits();
        limits.retain(
            |item| matches!(item, Item::Limit(limit) if endpoints.contains(&limit.endpoint)),
        );
        limits
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

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn encode_limit(identity: Identity, limit: Option<Rate>, at: Instant, now: Instant) -> Item {
    // Conversions of rates beyond the range of the target saturate.
    let per_1000_s = limit.map(|rate| (rate.as_per_second() * 1_000.0).round() as u32);
    Item::Limit(placement::Limit {
        endpoint: identity.0,
        per_1000_s,
        age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
    })
}
