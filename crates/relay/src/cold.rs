//! Follows which endpoints are cold, and tells the tables from which endpoints are chosen.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use kernel::balance::Balancer;
use kernel::catalogue::{self, Entry, Identity};
use kernel::clock::Instant;
use kernel::cold::{Change, Group, Phase, Source, Table};
use kernel::fleet::Fleet;
use kernel::name::Service;
use parking_lot::Mutex;
use tokio::time::sleep;
use wire::extension::{Cold, Extension};

use crate::clock::Clock;
use crate::exchange::{Exchange, Sender};
use crate::observe;
use crate::placer::Placer;
use crate::registry::Registry;

/// Interval at which the share of the rate is worked out again, because hosts become silent by the
/// passage of time alone.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of endpoints in an extension, so that it fits into one packet.
const MAX_ENDPOINTS: usize = 64;

/// The cold endpoints, as this host knows them.
pub struct Tracker {
    registry: Arc<Registry>,
    placer: Arc<Placer>,
    balancer: Arc<Mutex<Balancer>>,
    fleet: Arc<Mutex<Fleet>>,
    clock: Clock,
    table: Mutex<Table>,
    group: Mutex<Group>,
    /// Whether any endpoint was cold at the last refresh.
    active: AtomicBool,
}

impl Tracker {
    /// Creates a tracker that knows no endpoints. `holder` is the incarnation of this host.
    #[must_use]
    pub fn new(
        registry: &Arc<Registry>,
        placer: &Arc<Placer>,
        balancer: &Arc<Mutex<Balancer>>,
        fleet: &Arc<Mutex<Fleet>>,
        clock: Clock,
        holder: u64,
    ) -> Self {
        Self {
            registry: Arc::clone(registry),
            placer: Arc::clone(placer),
            balancer: Arc::clone(balancer),
            fleet: Arc::clone(fleet),
            clock,
            table: Mutex::default(),
            group: Mutex::new(Group::new(holder)),
            active: AtomicBool::new(false),
        }
    }

    /// Applies entries that were read from the store or reported by another host; returns what the
    /// other hosts are to be told at once. `full` says that these are the entries of all endpoints.
    pub fn observe<'a>(
        &self,
        entries: impl Iterator<Item = &'a Entry>,
        full: bool,
    ) -> Vec<Extension> {
        let now = self.clock.now();
        let mut news = Vec::new();
        let mut table = self.table.lock();
        for entry in entries {
            let identity = entry.identity();
            let Some(cold) = self.settings(&entry.service) else {
                table.forget(identity);
                continue;
            };
            let Some(change) = table.observe(identity, entry.cold, cold, now) else {
                continue;
            };
            log_change(entry, change);
            if change.source == Source::Entry {
                news.push((identity, change.remaining));
            }
        }
        if full {
            table.record_full_read();
        }
        drop(table);
        self.refresh();
        encode(&news)
    }

    /// Applies the entries of endpoints that are not known here because their service was not.
    pub fn observe_unknown(&self) -> Vec<Extension> {
        let entries: Vec<_> = self
            .registry
            .with_directory(|directory| directory.entries().cloned().collect());
        let unknown = |entry: &&Entry| !self.table.lock().knows(entry.identity());
        let entries: Vec<_> = entries.iter().filter(unknown).collect();
        self.observe(entries.into_iter(), false)
    }

    /// Returns how endpoints of a service behave while they are cold, if they ever are.
    fn settings(&self, service: &Service) -> Option<catalogue::Cold> {
        let configuration = self.registry.configuration()?;
        configuration.services.get(service)?.cold
    }

    fn is_configured(&self) -> bool {
        let configuration = self.registry.configuration();
        configuration.is_some_and(|current| {
            let mut services = current.services.values();
            services.any(|service| service.cold.is_some())
        })
    }

    /// Sets which endpoints are cold, and at what rate this host may use them.
    fn refresh(&self) {
        let now = self.clock.now();
        let phases = self.phases(now);
        let count = phases.len();
        if !self.active.swap(count > 0, Ordering::Relaxed) && count == 0 {
            return;
        }
        observe::set_gauge("filbertstage_cold_endpoints", count as u64);
        self.balancer.lock().set_cold(&phases, now);
        self.placer.set_cold(phases);
    }

    fn phases(&self, now: Instant) -> HashMap<Identity, Phase> {
        let mut phases: HashMap<_, _> = self.table.lock().cold(now).collect();
        if phases.is_empty() {
            return phases;
        }
        let fleet = self.fleet.lock().size(now);
        let share = self.group.lock().share(fleet, now);
        for phase in phases.values_mut() {
            phase.rate = phase.rate.portion(share);
        }
        phases
    }

    /// Keeps the shares of the rates up to date. Never returns.
    pub async fn refresh_periodically(self: Arc<Self>) {
        loop {
            sleep(REFRESH_INTERVAL).await;
            self.refresh();
            self.table.lock().forget_old(self.clock.now());
        }
    }

    fn apply_forwarded(&self, cold: &Cold) {
        let identity = Identity(cold.endpoint);
        let entry = self.registry.with_directory(|directory| {
            let mut entries = directory.entries();
            entries.find(|entry| entry.identity() == identity).cloned()
        });
        let Some(entry) = entry else { return };
        let Some(settings) = self.settings(&entry.service) else {
            return;
        };
        let remaining = Duration::from_millis(cold.remaining_ms.into());
        let now = self.clock.now();
        let mut table = self.table.lock();
        if let Some(change) = table.observe_forwarded(identity, remaining, settings, now) {
            log_change(&entry, change);
        }
    }
}

impl Exchange for Tracker {
    fn apply(&self, sender: Sender<'_>, extension: &Extension) {
        match extension {
            Extension::Cold(endpoints) => {
                let count = endpoints.len();
                log::debug!("event=cold_told host={} endpoints={count}", sender.host);
                for endpoint in endpoints {
                    self.apply_forwarded(endpoint);
                }
                self.refresh();
            }
            Extension::Hears(digest) => {
                let now = self.clock.now();
                self.group.lock().hear(sender.holder, *digest, now);
            }
            _ => {}
        }
    }

    fn repeated(&self) -> Vec<Extension> {
        if !self.is_configured() {
            return Vec::new();
        }
        let now = self.clock.now();
        let stated: Vec<_> = self.table.lock().stated(now).collect();
        let mut extensions = encode(&stated);
        extensions.push(Extension::Hears(self.group.lock().digest(now)));
        extensions
    }
}

fn encode(endpoints: &[(Identity, Duration)]) -> Vec<Extension> {
    let to_cold = |(identity, remaining): &(Identity, Duration)| Cold {
        endpoint: identity.0,
        remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
    };
    let chunks = endpoints.chunks(MAX_ENDPOINTS);
    chunks
        .map(|chunk| Extension::Cold(chunk.iter().map(to_cold).collect()))
        .collect()
}

fn log_change(entry: &Entry, change: Change) {
    log::info!(
        "event=endpoint_cold endpoint={} ms={} source={}",
        entry.name,
        change.remaining.as_millis(),
        change.source.as_str()
    );
}
