//! Watches whether this host reaches the endpoints, and knows which other hosts do.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use kernel::balance::Balancer;
use kernel::catalogue::{Entry, Identity};
use kernel::clock::Instant;
use kernel::detour::{self, Finding, Peers};
use kernel::name::Domain;
use kernel::outlier::DOMAIN_PROBES;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use wire::extension::Extension;

use crate::clock::Clock;
use crate::exchange::{Exchange, Sender};
use crate::hosts::Hosts;
use crate::observe;
use crate::placer::Placer;
use crate::registry::Registry;
use crate::transport::{Dialer, Reachability};

/// Time for which each snapshot repeats a changed statement. Four snapshots may be lost in a row.
const REPEATED: Duration = Duration::from_secs(2);
/// Time after which an unchanged statement is repeated, for hosts that have missed it.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for the probes that show whether a failed send is due to this host's own link.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether the last probes showed that the host is cut off. Receivers are woken after each round.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    is_cut: bool,
}

/// An endpoint that is probed.
struct Probed {
    identity: Identity,
    address: SocketAddr,
}

/// When the statement of this host is sent.
struct Schedule {
    repeat_until: Instant,
    sent_at: Option<Instant>,
}

/// The links of this host to the endpoints, and what other hosts say of theirs.
pub struct Links {
    clock: Clock,
    dialer: Dialer,
    registry: Arc<Registry>,
    placer: Arc<Placer>,
    balancer: Arc<Mutex<Balancer>>,
    link: Mutex<detour::Link>,
    state: watch::Sender<State>,
    is_draining: AtomicBool,
    /// Whether other hosts can connect to this one.
    is_listening: bool,
    suspected: Notify,
    /// Failure domains whose endpoints owe answers or could not be reached.
    doubted: Mutex<BTreeSet<Domain>>,
    /// Endpoints that have answered this host or accepted a probe.
    answered: Mutex<HashSet<Identity>>,
    schedule: Mutex<Schedule>,
    /// The other hosts that serve requests of this one.
    pub peers: Mutex<Peers>,
}

impl Exchange for Links {
    fn apply(&self, sender: Sender<'_>, extension: &Extension) {
        let mut peers = self.peers.lock();
        match extension {
            Extension::Reaches(reaches) => {
                let is_new = peers.record_statement(sender.host, sender.holder, *reaches);
                if is_new {
                    // A host that has just started may not know the statement of this one.
                    self.schedule.lock().repeat_until = self.clock.now() + REPEATED;
                }
            }
            Extension::Borrows(borrows) => {
                peers.record_borrows(sender.host, sender.holder, *borrows);
            }
            _ => {}
        }
    }

    fn repeated(&self) -> Vec<Extension> {
        let now = self.clock.now();
        let mut schedule = self.schedule.lock();
        let missed = |sent_at| now.since(sent_at) >= REFRESH_INTERVAL;
        if now >= schedule.repeat_until && !schedule.sent_at.is_none_or(missed) {
            return Vec::new();
        }
        schedule.sent_at = Some(now);
        self.statements().into()
    }
}

impl Links {
    /// Creates an instance that takes the endpoints as reached. With `is_listening`, other hosts can
    /// connect to this one.
    #[must_use]
    pub fn shared(
        dialer: &Dialer,
        registry: &Arc<Registry>,
        placer: &Arc<Placer>,
        balancer: &Arc<Mutex<Balancer>>,
        clock: Clock,
        is_listening: bool,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            dialer: dialer.clone(),
            registry: Arc::clone(registry),
            placer: Arc::clone(placer),
            balancer: Arc::clone(balancer),
            link: Mutex::default(),
            state: watch::Sender::default(),
            is_draining: AtomicBool::new(false),
            is_listening,
            suspected: Notify::new(),
            doubted: Mutex::default(),
            answered: Mutex::default(),
            schedule: Mutex::new(Schedule {
                repeat_until: clock.now() + REPEATED,
                sent_at: None,
            }),
            peers: Mutex::default(),
        })
    }

    /// Whether this host is cut off from all endpoints.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.state.borrow().is_cut
    }

    /// Whether a new request goes to another host, because this one is cut off or was until
    /// recently.
    #[must_use]
    pub fn is_avoided(&self) -> bool {
        let draw = SmallRng::from_os_rng().random();
        let now = self.clock.now();
        self.link.lock().is_avoided(draw, now)
    }

    /// Returns when this host is cut off from all endpoints.
    pub async fn wait_until_cut(&self) {
        let mut state = self.state.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = state.wait_for(|state| state.is_cut).await;
    }

    /// Returns whether this host is cut off. If sends have failed since the last probes, waits for
    /// the next ones.
    pub async fn confirm_cut(&self) -> bool {
        let mut state = self.state.subscribe();
        let known = state.wait_for(|state| state.is_cut || !self.link.lock().is_suspected());
        matches!(timeout(VERDICT_TIMEOUT, known).await, Ok(Ok(state)) if state.is_cut)
    }

    /// Records that an endpoint could not be reached or fell silent, which may be due to this host's
    /// own link.
    pub fn suspect(&self) {
        let now = self.clock.now();
        self.link.lock().record_failure(now);
        self.suspected.notify_one();
    }

    /// Records that an endpoint of `domain` owes an answer or could not be reached, so that probes show
    /// whether the domain can be reached.
    pub fn doubt(&self, domain: &Domain) {
        self.doubted.lock().insert(domain.clone());
        self.suspected.notify_one();
    }

    /// Probes the failure domains that are in doubt. Those that are not reached are avoided and stay
    /// in doubt.
    async fn probe_domains(&self) {
        let doubted = self.doubted.lock().clone();
        let probes = doubted.iter().map(|domain| async move {
            let chosen = self.choose(DOMAIN_PROBES, |entry| entry.domain == *domain);
            let (reached, probed) = self.probe_all(&chosen).await;
            (domain, reached, probed)
        });
        for (domain, reached, probed) in join_all(probes).await {
            observe::count_probes(probed);
            let now = self.clock.now();
            let mut balancer = self.balancer.lock();
            balancer.record_probes(domain, reached, probed, now);
            drop(balancer);
            self.placer.record_probes(domain, reached, probed);
            if reached > 0 || probed < DOMAIN_PROBES {
                self.doubted.lock().remove(domain);
            } else {
                log::info!("event=domain_silent domain={domain} probed={probed}");
            }
        }
    }

    /// Whether this host reaches an endpoint other than the one at `except`, or there is none.
    pub async fn reaches_other(&self, except: SocketAddr) -> bool {
        for size in [1, detour::ROUND] {
            let chosen = self.choose(size, |entry| entry.address != except);
            let (reached, probed) = self.probe_all(&chosen).await;
            if reached > 0 || probed == 0 {
                return true;
            }
        }
        false
    }

    /// Probes endpoints when requests fail, and while the host is cut off. Never returns.
    pub async fn watch(self: Arc<Self>, hosts: Arc<Hosts>) {
        loop {
            if !self.is_cut() && self.doubted.lock().is_empty() {
                self.suspected.notified().await;
            }
            self.probe_domains().await;
            while self.run_round(&hosts).await {}
            let interval = self.link.lock().interval();
            sleep(interval).await;
        }
    }

    /// Probes endpoints once; returns whether another round is needed at once.
    async fn run_round(&self, hosts: &Hosts) -> bool {
        let size = self.link.lock().round_size();
        let mut chosen = Vec::new();
        if self.is_cut() {
            // Others may never have been sound, and would keep the host from its links.
            let answered = self.answered.lock().clone();
            chosen = self.choose(size, |entry| answered.contains(&entry.identity()));
        }
        if chosen.is_empty() {
            chosen = self.choose(size, |_| true);
        }
        let (reached, probed) = self.probe_all(&chosen).await;
        observe::count_probes(probed);
        let now = self.clock.now();
        let finding = self.link.lock().record_round(reached, probed, now);
        match finding {
            Finding::Unclear => return true,
            Finding::Unchanged => self.state.send_modify(|_| {}),
            Finding::Lost(_) | Finding::Restored => {
                self.change(finding, reached, probed);
                self.announce(hosts);
            }
        }
        false
    }

    /// Records that the host is cut off or reaches endpoints again.
    fn change(&self, finding: Finding, reached: usize, probed: usize) {
        let is_cut = matches!(finding, Finding::Lost(_));
        if let Finding::Lost(since) = finding {
            // Failures of the own link say nothing about the endpoints.
            self.balancer.lock().forgive(since);
            self.placer.forgive(since);
        }
        let event = if is_cut {
            "links_lost"
        } else {
            "links_restored"
        };
        log::warn!("event={event} reached={reached} probed={probed}");
        observe::set_gauge("filbertstage_cut_off", u64::from(is_cut));
        self.state.send_replace(State { is_cut });
    }

    /// Records that an endpoint has answered. With `is_trial`, the request tried the links, which are
    /// restored.
    pub fn record_answer(&self, endpoint: Identity, is_trial: bool) {
        let now = self.clock.now();
        self.answered.lock().insert(endpoint);
        if is_trial && self.link.lock().record_trial(now) {
            self.change(Finding::Restored, 1, 1);
            // The next snapshots tell the other hosts.
            self.schedule.lock().repeat_until = now + REPEATED;
        }
    }

    /// Whether a request may try the links now, although the host is cut off. See
    /// [`detour::Link::may_try`].
    pub fn may_try(&self) -> bool {
        let now = self.clock.now();
        self.link.lock().may_try(now)
    }

    /// Forgets the answers of endpoints for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(Identity) -> bool) {
        self.answered.lock().retain(|identity| keep(*identity));
    }

    /// Probes endpoints at the same time; returns how many were reached, and how many probed.
    async fn probe_all(&self, endpoints: &[Probed]) -> (usize, usize) {
        let probes = endpoints.iter().map(|endpoint| async move {
            let reached = self.dialer.probe(endpoint.address).await == Reachability::Accepts;
            if reached {
                self.answered.lock().insert(endpoint.identity);
            }
            reached
        });
        let results = join_all(probes).await;
        let reached = results.iter().filter(|reached| **reached).count();
        (reached, results.len())
    }

    /// Chooses up to `size` of the endpoints in use that `fits` at random, from as many failure domains as
    /// possible. If some of them have answered this host, at least one of these is chosen: the others may
    /// never have been sound.
    fn choose(&self, size: usize, fits: impl Fn(&Entry) -> bool) -> Vec<Probed> {
        let mut entries = self.registry.in_use();
        entries.retain(fits);
        entries.shuffle(&mut SmallRng::from_os_rng());
        let mut counts: BTreeMap<_, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = entries
            .iter()
            .map(|entry| {
                let count = counts.entry(&entry.domain).or_default();
                *count += 1;
                let endpoint = Probed {
                    identity: entry.identity(),
                    address: entry.address,
                };
                (*count, endpoint)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let mut chosen: Vec<_> = ranked.into_iter().map(|(_, endpoint)| endpoint).collect();
        let answered = self.answered.lock();
        let has_answered = |endpoint: &Probed| answered.contains(&endpoint.identity);
        if let Some(first) = chosen.iter().position(has_answered)
            && first >= size
            && size > 0
        {
            chosen.swap(first, size - 1);
        }
        chosen.truncate(size);
        chosen
    }

    /// Tells the other hosts that this one leaves and serves no more requests of theirs.
    pub fn drain(&self, hosts: &Hosts) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.announce(hosts);
    }

    fn announce(&self, hosts: &Hosts) {
        self.schedule.lock().repeat_until = self.clock.now() + REPEATED;
        hosts.publish(self.statements());
    }

    /// Returns what this host states: whether it reaches endpoints and serves other hosts, and that it
    /// keeps to the attempts that they lend it.
    fn statements(&self) -> [Extension; 2] {
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let reaches = self.is_listening && !self.is_cut() && !is_draining;
        [Extension::Borrows(true), Extension::Reaches(reaches)]
    }

    /// Returns a host that serves a request.
    #[must_use]
    pub fn pick(
        &self,
        candidates: impl Iterator<Item = detour::Candidate>,
        wanted: detour::Wanted<'_>,
    ) -> Option<detour::Helper> {
        let mut rng = SmallRng::from_os_rng();
        let now = self.clock.now();
        let peers = self.peers.lock();
        peers.pick(candidates, wanted, || rng.random(), now)
    }
}
