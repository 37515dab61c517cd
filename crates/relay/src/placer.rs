//! Places streams on engines and queues the updates for the other hosts.

mod admission;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::catalogue::{Entry, Identity, Profile};
use kernel::clock::Instant;
use kernel::name::{Domain, Service};
use kernel::outlier::Observation;
use kernel::pace::Rate;
use kernel::place::policy::Policy;
use kernel::place::{Decision, Load, LoadId, Plan, Pool, Request, Speed};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;
use wire::placement::{Item, Part, Placements, Scope};

use crate::clock::Clock;
use crate::observe;
use crate::registry::Registry;

/// Time within which another host's claim on the same engines arrives: its batch window, the
/// network latency between failure domains of a region, and one turn of a busy event loop.
const CLAIM_WINDOW: Duration = Duration::from_millis(8);

/// Time for which snapshots repeat that an endpoint leaves. Four snapshots may be lost in a row.
const LEAVING_REPEATED: Duration = Duration::from_secs(2);

/// The pool of one service and the channels to its waiting requests.
struct Queue {
    pool: Pool,
    waiters: HashMap<u64, oneshot::Sender<Decision>>,
    policy: Policy,
}

/// Places requests on the engines of all services. One lock guards all pools.
pub struct Placer {
    clock: Clock,
    domain: Domain,
    holder: u64,
    queues: Mutex<HashMap<Service, Queue>>,
    updates: Mutex<Vec<Item>>,
    /// Endpoints that announced to this host that they leave, and until when snapshots repeat it.
    leaving: Mutex<Vec<(Identity, Instant)>>,
    /// By holder: number of the arriving snapshot, and number of its frames that have arrived.
    snapshots: Mutex<HashMap<u64, (u32, u32)>>,
    /// Wakes the task that sends updates to the other hosts.
    pub updated: Notify,
}

/// A request to which engines are assigned. Dropping it frees the engines.
pub struct Placement {
    placer: Arc<Placer>,
    service: Service,
    id: LoadId,
    /// Where the request runs.
    pub plan: Plan,
}

impl Placement {
    /// Records the end of prefill. Must be called when the first event arrives.
    pub fn finish_prefill(&self) {
        self.placer.finish_prefill(&self.service, self.id);
    }

    /// Returns the identifier of the placement, which no other one has.
    #[must_use]
    pub const fn id(&self) -> LoadId {
        self.id
    }

    /// Returns a unique ticket for the memory reservation at helper `index`.
    #[must_use]
    pub fn reservation_ticket(&self, index: usize) -> String {
        format!("{:x}-{:x}-{index}", self.id.holder, self.id.sequence)
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.placer.release(&self.service, self.id);
    }
}

/// Cancels a waiting request when its wait is dropped, as when its client disconnects.
struct CancelOnDrop<'a> {
    placer: &'a Placer,
    service: &'a Service,
    ticket: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let mut queues = self.placer.queues.lock();
        if let Some(queue) = queues.get_mut(self.service)
            && queue.waiters.remove(&self.ticket).is_some()
        {
            queue.pool.cancel(self.ticket);
        }
    }
}

impl Placer {
    /// Creates a placer without engines. `holder` is the incarnation of this host.
    #[must_use]
    pub fn new(clock: Clock, domain: Domain, holder: u64) -> Self {
        Self {
            clock,
            domain,
            holder,
            queues: Mutex::default(),
            updates: Mutex::default(),
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
            let decision = self.submit(service, request.clone(), arrived).await;
            let (id, plan, claimed) = match decision {
                Some(Decision::Start(id, plan)) => (id, plan, false),
                Some(Decision::Claim(id, plan)) => (id, plan, true),
                Some(Decision::Refuse(after)) => return Err(after),
                None => return Err(UNKNOWN_SERVICE_RETRY_AFTER),
            };
            self.push_start(id, &plan, self.clock.now());
            let placement = Placement {
                placer: Arc::clone(self),
                service: service.clone(),
                id,
                plan,
            };
            if !claimed {
                return Ok(placement);
            }
            sleep(CLAIM_WINDOW).await;
            if self.settle_claim(service, id, placement.plan.primary) {
                return Ok(placement);
            }
            observe::count_lost_claim();
        }
    }

    /// Submits a request to the pool and waits for the decision. Returns `None` if the service has
    /// no pool or loses it during the wait.
    async fn submit(
        &self,
        service: &Service,
        request: Request,
        arrived: Instant,
    ) -> Option<Decision> {
        let (guard, receiver) = {
            let mut queues = self.queues.lock();
            let queue = queues.get_mut(service)?;
            let ticket = queue.pool.submit(request, arrived);
            let (sender, receiver) = oneshot::channel();
            queue.waiters.insert(ticket, sender);
            let guard = CancelOnDrop {
                placer: self,
                service,
                ticket,
            };
            (guard, receiver)
        };
        self.assign_service(service);
        let decision = receiver.await.ok();
        drop(guard);
        decision
    }

    /// Settles the claim on a plan, and tells the other hosts if its request takes a turn at a
    /// limited engine.
    fn settle_claim(&self, service: &Service, id: LoadId, primary: Identity) -> bool {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(service) else {
            return false;
        };
        let holds = queue.pool.settle(id, primary, now);
        let takes_turn = holds && queue.pool.is_limited(primary);
        drop(queues);
        if takes_turn {
            self.push_update(Item::Request(primary.0));
        }
        holds
    }

    /// Starts or refuses the waiting requests of all services, as far as this can be decided now.
    pub fn assign_all(&self) {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            Self::assign(queue, now);
        }
    }

    fn assign_service(&self, service: &Service) {
        let now = self.clock.now();
        if let Some(queue) = self.queues.lock().get_mut(service) {
            Self::assign(queue, now);
        }
    }

    fn assign(queue: &mut Queue, now: Instant) {
        if queue.pool.waiting() == 0 {
            return;
        }
        let decisions = queue.pool.assign(now);
        admission::report(&mut queue.pool);
        for (ticket, decision) in decisions {
            let waiter = queue.waiters.remove(&ticket);
            let undelivered = waiter.map(|waiter| waiter.send(decision));
            if let Some(Err(Decision::Start(id, _) | Decision::Claim(id, _))) = undelivered {
                queue.pool.release(id);
            }
        }
    }

    /// Replaces the services. Services that remain keep their pool and waiting requests.
    pub fn set_services<'a>(&self, profiles: impl Iterator<Item = (&'a Service, &'a Profile)>) {
        let mut queues = self.queues.lock();
        let mut previous = std::mem::take(&mut *queues);
        for (service, profile) in profiles {
            let speed = Speed::new(profile.clone());
            let queue = previous.remove(service).map_or_else(
                || Queue {
                    pool: Pool::new(speed.clone(), self.domain.clone(), self.holder),
                    waiters: HashMap::new(),
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

    /// Replaces the engines of a service. Engines that remain keep their loads.
    pub fn set_engines(&self, service: &Service, entries: &[Entry]) {
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.pool.set_engines(entries.iter());
        }
    }

    /// Replaces the engines of all services by the registered ones, and starts waiting requests
    /// that now have room.
    pub fn refresh_engines(&self, registry: &Registry) {
        for service in self.services() {
            self.set_engines(&service, &registry.ready(&service));
        }
        self.assign_all();
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
    }

    fn finish_prefill(&self, service: &Service, id: LoadId) {
        let now = self.clock.now();
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.pool.finish_prefill(id, now);
            Self::assign(queue, now);
        }
        self.push_update(Item::Prefilled(id.sequence));
    }

    fn release(&self, service: &Service, id: LoadId) {
        let now = self.clock.now();
        if let Some(queue) = self.queues.lock().get_mut(service) {
            queue.pool.release(id);
            Self::assign(queue, now);
        }
        self.push_update(Item::Done(id.sequence));
    }

    fn push_start(&self, id: LoadId, plan: &Plan, now: Instant) {
        for (engine, load) in &plan.loads {
            self.push_update(Item::Put(to_part(id, *engine, load, now)));
        }
    }

    /// Records what an engine stated about its limit at `at`; returns whether this changes the
    /// limit, or `None` if no pool has the engine.
    pub fn observe_limit(
        &self,
        engine: Identity,
        limit: Option<Rate>,
        at: Instant,
    ) -> Option<bool> {
        let mut queues = self.queues.lock();
        let mut pools = queues.values_mut().map(|queue| &mut queue.pool);
        pools.find_map(|pool| pool.observe_limit(engine, limit, at))
    }

    /// Records that another host sends a request to a limited engine; returns whether a pool has
    /// the engine.
    pub fn record_request(&self, engine: Identity) -> bool {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        let mut pools = queues.values_mut().map(|queue| &mut queue.pool);
        pools.any(|pool| pool.record_request(engine, now))
    }

    /// Returns the engines that have named limits, with what they stated last and when.
    #[must_use]
    pub fn limits(&self) -> Vec<(Identity, Option<Rate>, Instant)> {
        let queues = self.queues.lock();
        let pools = queues.values().map(|queue| &queue.pool);
        pools.flat_map(Pool::limits).collect()
    }

    /// Queues an update for the other hosts.
    pub fn push_update(&self, item: Item) {
        self.updates.lock().push(item);
        self.updated.notify_one();
    }

    /// Returns the updates since the last call.
    pub fn take_updates(&self) -> Vec<Item> {
        std::mem::take(&mut *self.updates.lock())
    }

    /// Returns all placements of this host, and the endpoints that recently told it that they
    /// leave.
    #[must_use]
    pub fn placements(&self) -> Vec<Item> {
        let now = self.clock.now();
        let mut leaving = self.leaving.lock();
        leaving.retain(|(_, until)| *until > now);
        let leaving = leaving
            .iter()
            .map(|(identity, _)| Item::Leaving(identity.0));
        let queues = self.queues.lock();
        let pools = queues.values().map(|queue| &queue.pool);
        let loads = pools
            .flat_map(Pool::own_loads)
            .map(|(engine, id, load)| Item::Put(to_part(id, engine, load, now)));
        leaving.chain(loads).collect()
    }

    /// Applies a frame of another host.
    pub fn apply_frame(&self, frame: &Placements) {
        let now = self.clock.now();
        let complete = self.completes_snapshot(frame);
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            for item in &frame.items {
                Self::apply_item(&mut queue.pool, frame, item, now);
            }
            if complete {
                queue.pool.reconcile(frame.holder, frame.snapshot);
            }
            Self::assign(queue, now);
        }
    }

    /// Counts a frame of a snapshot and returns whether it was the last missing one.
    fn completes_snapshot(&self, frame: &Placements) -> bool {
        let Scope::Snapshot { frames } = frame.scope else {
            return false;
        };
        let mut snapshots = self.snapshots.lock();
        let arriving = snapshots.entry(frame.holder).or_default();
        if arriving.0 != frame.snapshot {
            *arriving = (frame.snapshot, 0);
        }
        arriving.1 += 1;
        arriving.1 == frames
    }

    fn apply_item(pool: &mut Pool, frame: &Placements, item: &Item, now: Instant) {
        let id = |sequence| LoadId {
            holder: frame.holder,
            sequence,
        };
        match item {
            Item::Put(part) => {
                let load = Load {
                    tokens: part.tokens,
                    prefill_time: Duration::from_millis(part.prefill_ms.into()),
                    prefilled_by: now + Duration::from_millis(part.prefilled_by_ms.into()),
                    prefilled: part.prefilled,
                    ends_by: now + Duration::from_millis(part.ends_by_ms.into()),
                    decodes: part.decodes,
                    pause: Duration::from_millis(part.pause_ms.into()),
                    snapshot: frame.snapshot,
                };
                let (id, engine) = (id(part.sequence), Identity(part.engine));
                match frame.scope {
                    Scope::Updates => pool.put_remote(id, engine, load, now),
                    Scope::Snapshot { .. } => pool.overwrite(id, engine, load),
                }
            }
            Item::Prefilled(sequence) => pool.finish_prefill(id(*sequence), now),
            Item::Done(sequence) => pool.release(id(*sequence)),
            // Not placements.
            Item::Leaving(_)
            | Item::StoreRead(_)
            | Item::Evidence(_)
            | Item::SyncRequest
            | Item::SyncEnd
            | Item::Limit(_)
            | Item::Request(_) => {}
        }
    }

    /// Drops the placements of a host that is gone or has restarted.
    pub fn drop_holder(&self, holder: u64) {
        self.snapshots.lock().remove(&holder);
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            queue.pool.drop_holder(holder);
        }
    }

    /// Drops the loads that [`Pool::expire`] treats as expired.
    pub fn drop_expired(&self) {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            queue.pool.expire(now);
        }
    }
}

fn to_part(id: LoadId, engine: Identity, load: &Load, now: Instant) -> Part {
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    Part {
        sequence: id.sequence,
        engine: engine.0,
        tokens: load.tokens,
        prefill_ms: millis(load.prefill_time),
        prefilled: load.prefilled,
        prefilled_by_ms: millis(load.prefilled_by.since(now)),
        ends_by_ms: millis(load.ends_by.since(now)),
        decodes: load.decodes,
        pause_ms: millis(load.pause),
    }
}
