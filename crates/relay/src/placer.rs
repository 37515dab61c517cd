//! Places streams on engines and queues the updates for the other hosts.

mod admission;
mod audit;
mod placement;
mod turns;
mod updates;
mod wait;

pub use audit::Audit;
pub use placement::Placement;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use kernel::catalogue::{Cold, Identity, Profile};
use kernel::clock::Instant;
use kernel::cold::Phase;
use kernel::name::{Domain, Service};
use kernel::outlier::Observation;
use kernel::place::policy::Policy;
use kernel::place::{LoadId, Pool, Request, Speed};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;
use wire::placement::Item;

use crate::clock::Clock;
use crate::observe;
use crate::path::Paths;
use crate::registry::Registry;
use crate::transport::Dialer;
use wait::Verdict;

/// Time within which another host's claim on the same engines arrives: its batch window, the
/// network latency between failure domains of a region, and one turn of a busy event loop.
const CLAIM_WINDOW: Duration = Duration::from_millis(8);

/// Time for which snapshots repeat that an endpoint leaves. Four snapshots may be lost in a row.
const LEAVING_REPEATED: Duration = Duration::from_secs(2);

/// The pool of one service and the channels to its waiting requests.
struct Queue {
    pool: Pool,
    addresses: HashMap<SocketAddr, Identity>,
    waiters: HashMap<u64, oneshot::Sender<Verdict>>,
    /// The placements that have not ended.
    placed: HashSet<LoadId>,
    policy: Policy,
}

/// Places requests on the engines of all services. One lock guards all pools.
pub struct Placer {
    clock: Clock,
    domain: Domain,
    paths: Arc<Paths>,
    dialer: Dialer,
    holder: u64,
    /// The last sequence number of a placement, of any service.
    sequence: Arc<AtomicU32>,
    queues: Mutex<HashMap<Service, Queue>>,
    updates: Mutex<Vec<Item>>,
    /// Engines at which requests of this host have failed since the last frame.
    failures: Mutex<Vec<Identity>>,
    /// The cold endpoints. Locked after `queues`.
    cold: Mutex<HashMap<Identity, Phase>>,
    /// Endpoints that announced to this host that they leave, and until when snapshots repeat it.
    leaving: Mutex<Vec<(Identity, Instant)>>,
    /// By holder: number of the arriving snapshot, and number of its frames that have arrived.
    snapshots: Mutex<HashMap<u64, (u32, u32)>>,
    /// Wakes the task that sends updates to the other hosts.
    pub updated: Notify,
}

impl Placer {
    /// Creates a placer without engines. `holder` is the incarnation of this host.
    #[must_use]
    pub fn new(
        clock: Clock,
        domain: Domain,
        paths: Arc<Paths>,
        dialer: Dialer,
        holder: u64,
    ) -> Self {
        Self {
            clock,
            domain,
            paths,
            dialer,
            holder,
            sequence: Arc::default(),
            queues: Mutex::default(),
            updates: Mutex::default(),
            failures: Mutex::default(),
            cold: Mutex::default(),
            leaving: Mutex::default(),
            snapshots: Mutex::default(),
            updated: Notify::new(),
        }
    }

    /// Submits a request and waits until it may run.
    ///
    /// # Errors
    ///
    /// Returns the time after which the client may retry, if the pool refuses the request or the
    /// service has no pool.
    pub async fn place(
        self: &Arc<Self>,
        service: &Service,
        request: Request,
    ) -> Result<Placement, Duration> {
        /// Retry delay if the service has no pool. A configuration that names it is expected soon.
        const UNKNOWN_SERVICE_RETRY_AFTER: Duration = Duration::from_millis(500);
        let arrived = self.clock.now();
        loop {
            let verdict = self.submit(service, request.clone(), arrived).await;
            let (placement, claimed) = match verdict {
                Some(Verdict::Placed { placement, claimed }) => (placement, claimed),
                Some(Verdict::Refused(after)) => {
                    self.count_cold_wait(service, None, arrived);
                    return Err(after);
                }
                None => return Err(UNKNOWN_SERVICE_RETRY_AFTER),
            };
            if !claimed {
                return Ok(placement);
            }
            sleep(CLAIM_WINDOW).await;
            if self.settle_claim(service, placement.id, placement.plan.primary) {
                self.count_cold_wait(service, Some(placement.plan.primary), arrived);
                return Ok(placement);
            }
            observe::count_lost_claim();
        }
    }

    /// Updates what the choice of engines needs to know of the paths to them.
    fn update_paths(&self, queue: &mut Queue) {
        if queue.pool.waiting() == 0 {
            return;
        }
        queue.pool.set_paths(self.paths.current());
        let idle = self.dialer.idle_addresses();
        let connected = idle
            .iter()
            .filter_map(|address| queue.addresses.get(address).copied());
        queue.pool.set_connected(connected.collect());
    }

    /// Replaces the services. Services that remain keep their pool and waiting requests.
    pub fn set_services<'a>(&self, profiles: impl Iterator<Item = (&'a Service, &'a Profile)>) {
        let profiles: Vec<_> = profiles.collect();
        let delays = profiles.iter().flat_map(|(_, profile)| &profile.delays);
        self.paths.set_delays(delays);
        let mut queues = self.queues.lock();
        let mut previous = std::mem::take(&mut *queues);
        for (service, profile) in profiles {
            let speed = Speed::new(profile.clone());
            let queue = previous.remove(service).map_or_else(
                || Queue {
                    pool: Pool::new(speed.clone(), self.domain.clone(), self.holder)
                        .with_sequence(Arc::clone(&self.sequence)),
                    addresses: HashMap::new(),
                    waiters: HashMap::new(),
                    placed: HashSet::new(),
                    policy: Policy::default(),
                },
                |mut queue| {
                    queue.pool.set_speed(speed.clone());
                    queue
                },
            );
            queues.insert(service.clone(), queue);
        }
    }

    /// Returns the services that run on engines.
    #[must_use]
    pub fn services(&self) -> Vec<Service> {
        self.queues.lock().keys().cloned().collect()
    }

    /// Replaces the engines of all services by the registered ones, and starts waiting requests
    /// that now have room. Engines that remain keep their loads.
    ///
    /// Engines of evacuated failure domains get nothing new. They stay in their pools, because their
    /// running streams still use them when the domain is taken back.
    pub fn refresh_engines(self: &Arc<Self>, registry: &Registry) {
        {
            // Reads the registry under the lock, so that of two refreshes the later one prevails.
            let mut queues = self.queues.lock();
            for (service, queue) in queues.iter_mut() {
                let entries = registry.registered(service);
                queue.pool.set_engines(entries.iter());
                let addresses = entries.iter();
                queue.addresses = addresses
                    .map(|entry| (entry.address, entry.identity()))
                    .collect();
                queue.pool.set_evacuated(registry.evacuated());
                let cold = self.cold.lock();
                if !cold.is_empty() {
                    queue.pool.set_cold(&cold, self.clock.now());
                }
            }
        }
        self.assign_all();
    }

    /// Uses the engines of `domain` again at a rising rate. See [`Pool::restart`].
    pub fn restart(&self, service: &Service, domain: &Domain, cold: Cold) {
        let now = self.clock.now();
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.pool.restart(domain, cold.rate, cold.duration, now);
        }
    }

    /// Tells the other hosts that an endpoint has announced that it leaves.
    pub fn announce_leaving(&self, identity: Identity) {
        let until = self.clock.now() + LEAVING_REPEATED;
        self.leaving.lock().push((identity, until));
        self.push_update(Item::Leaving(identity.0));
    }

    /// Records that an engine wants no requests for `time`; returns whether the engine is known.
    pub fn back_off(&self, service: &Service, engine: Identity, time: Duration) -> bool {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(service);
        queue.is_some_and(|queue| queue.pool.back_off(engine, time, now))
    }

    /// Returns the rest of the time for which an engine wants no requests, if any.
    #[must_use]
    pub fn backoff(&self, service: &Service, engine: Identity) -> Option<Duration> {
        let now = self.clock.now();
        let queues = self.queues.lock();
        queues.get(service)?.pool.backoff(engine, now)
    }

    /// Records the result of a request for outlier detection.
    pub fn record_observation(
        &self,
        service: &Service,
        engine: Identity,
        observation: Observation,
    ) {
        let now = self.clock.now();
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.pool.record(engine, observation, now);
        }
        if observation != Observation::Succeeded {
            self.failures.lock().push(engine);
            self.updated.notify_one();
        }
    }

    /// Returns the engines at which requests of this host have failed since the last call.
    pub fn take_failures(&self) -> Vec<Identity> {
        std::mem::take(&mut *self.failures.lock())
    }

    /// Records that `reached` of `probed` endpoints of `domain` accepted a connection.
    pub fn record_probes(&self, domain: &Domain, reached: usize, probed: usize) {
        let now = self.clock.now();
        for queue in self.queues.lock().values_mut() {
            queue.pool.record_probes(domain, reached, probed, now);
        }
    }

    /// Drops failures recorded at `since` or later, which were due to this host's own link.
    pub fn forgive(&self, since: Instant) {
        for queue in self.queues.lock().values_mut() {
            queue.pool.forgive(since);
        }
    }

    fn finish_prefill(self: &Arc<Self>, service: &Service, id: LoadId) {
        let update = Item::Prefilled(id.sequence);
        self.change_loads(service, update, |queue, now| {
            queue.pool.finish_prefill(id, now);
        });
    }

    fn release(self: &Arc<Self>, service: &Service, id: LoadId) {
        let update = Item::Done(id.sequence);
        self.change_loads(service, update, |queue, _| {
            queue.placed.remove(&id);
            queue.pool.release(id);
        });
    }

    /// Changes what this host has on the engines of a service, queues the update that tells the other hosts of it, and starts
    /// waiting requests that now have room.
    fn change_loads(
        self: &Arc<Self>,
        service: &Service,
        update: Item,
        change: impl FnOnce(&mut Queue, Instant),
    ) {
        let now = self.clock.now();
        let deliveries = {
            let mut queues = self.queues.lock();
            let queue = queues.get_mut(service);
            queue.map(|queue| {
                change(queue, now);
                self.assign(service, queue, now)
            })
        };
        self.push_update(update);
        Self::deliver(deliveries.unwrap_or_default(), now);
    }
}
