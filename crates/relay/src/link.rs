//! Watches whether this host reaches the endpoints, and knows which other hosts do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use kernel::clock::Instant;
use kernel::detour::{self, Peers};
use kernel::name::Host;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use wire::placement::Item;

use crate::clock::Clock;
use crate::observe;
use crate::registry::Registry;
use crate::transport::{Dialer, Reachability};

/// Number of endpoints that are probed in one round.
const PROBED_ENDPOINTS: usize = 4;
/// Time between two rounds after one that reached an endpoint, however many requests fail.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds while the host is cut off.
const CUT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which snapshots repeat what this host has said. Four snapshots may be lost in a row.
const REPEATED: Duration = Duration::from_secs(2);

/// The links of this host to the endpoints, and what other hosts say of theirs.
pub struct Links {
    clock: Clock,
    dialer: Dialer,
    registry: Arc<Registry>,
    link: Mutex<detour::Link>,
    is_cut: watch::Sender<bool>,
    is_draining: AtomicBool,
    suspected: Notify,
    /// The other hosts that serve requests of this one.
    pub peers: Mutex<Peers>,
    /// Wakes the task that tells the other hosts whether this one serves requests of theirs.
    pub updated: Notify,
    repeat_until: Mutex<Instant>,
}

impl Links {
    /// Creates an instance that takes the endpoints as reached.
    #[must_use]
    pub fn shared(clock: Clock, dialer: &Dialer, registry: &Arc<Registry>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            dialer: dialer.clone(),
            registry: Arc::clone(registry),
            link: Mutex::default(),
            is_cut: watch::Sender::new(false),
            is_draining: AtomicBool::new(false),
            suspected: Notify::new(),
            peers: Mutex::default(),
            updated: Notify::new(),
            repeat_until: Mutex::new(clock.now() + REPEATED),
        })
    }

    /// Whether this host is cut off from all endpoints.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        *self.is_cut.borrow()
    }

    /// Returns when this host is cut off from all endpoints.
    pub async fn wait_until_cut(&self) {
        let mut is_cut = self.is_cut.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = is_cut.wait_for(|is_cut| *is_cut).await;
    }

    /// Records that an endpoint could not be reached or did not respond, which may be due to this
    /// host's own link.
    pub fn suspect(&self) {
        self.suspected.notify_one();
    }

    /// Whether this host reaches no endpoint but the one at `except`. Other endpoints must exist.
    pub async fn reaches_no_other(&self, except: SocketAddr) -> bool {
        let (reached, probed) = self.probe_some(Some(except)).await;
        probed > 0 && reached == 0
    }

    /// Probes endpoints whenever requests fail, and while the host is cut off. Never returns.
    pub async fn watch(self: Arc<Self>) {
        loop {
            if self.is_cut() {
                sleep(CUT_INTERVAL).await;
            } else {
                self.suspected.notified().await;
            }
            while !self.run_round().await {}
            if !self.is_cut() {
                sleep(ROUND_INTERVAL).await;
            }
        }
    }

    /// Probes endpoints once; returns whether the state of the link is clear.
    async fn run_round(&self) -> bool {
        let (reached, probed) = self.probe_some(None).await;
        let was_cut = self.is_cut();
        let changed = self.link.lock().record_round(reached, probed);
        if changed {
            let is_cut = !was_cut;
            let event = if is_cut {
                "links_lost"
            } else {
                "links_restored"
            };
            log::warn!("event={event} reached={reached} probed={probed}");
            observe::set_gauge("filbertstage_cut_off", u64::from(is_cut));
            self.is_cut.send_replace(is_cut);
            self.announce();
        }
        changed || was_cut || reached > 0 || probed == 0
    }

    /// Probes a few endpoints at the same time; returns how many were reached, and how many probed.
    async fn probe_some(&self, except: Option<SocketAddr>) -> (usize, usize) {
        let addresses = self.choose(except);
        let probes = addresses.iter().map(|address| self.dialer.probe(*address));
        let results = join_all(probes).await;
        let accepts = |result: &&Reachability| **result == Reachability::Accepts;
        (results.iter().filter(accepts).count(), results.len())
    }

    /// Chooses endpoints at random, from as many failure domains as possible.
    fn choose(&self, except: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut endpoints: Vec<_> = self.registry.with_directory(|directory| {
            let entries = directory.entries();
            let others = entries.filter(|entry| Some(entry.address) != except);
            others
                .map(|entry| (entry.domain.clone(), entry.address))
                .collect()
        });
        endpoints.shuffle(&mut SmallRng::from_os_rng());
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = endpoints
            .into_iter()
            .map(|(domain, address)| {
                let count = counts.entry(domain).or_default();
                *count += 1;
                (*count, address)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let chosen = ranked.into_iter().take(PROBED_ENDPOINTS);
        chosen.map(|(_, address)| address).collect()
    }

    /// Tells the other hosts that this one leaves and serves no more requests of theirs.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.announce();
    }

    fn announce(&self) {
        *self.repeat_until.lock() = self.clock.now() + REPEATED;
        self.updated.notify_one();
    }

    /// Returns what this host says of itself: whether it serves requests of other hosts.
    #[must_use]
    pub fn statement(&self) -> Item {
        Item::Serves(!self.is_cut() && !self.is_draining.load(Ordering::SeqCst))
    }

    /// Returns the statement while it is recent.
    #[must_use]
    pub fn repeated(&self) -> Option<Item> {
        let is_recent = self.clock.now() < *self.repeat_until.lock();
        is_recent.then(|| self.statement())
    }

    /// Returns a host that serves a request, other than those in `excluded`.
    #[must_use]
    pub fn pick(
        &self,
        candidates: impl Iterator<Item = detour::Candidate>,
        excluded: &[Host],
    ) -> Option<Host> {
        let mut rng = SmallRng::from_os_rng();
        let now = self.clock.now();
        let peers = self.peers.lock();
        peers.pick(candidates, excluded, || rng.random(), now)
    }
}
