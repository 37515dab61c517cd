//! Places streams on engines and tells the other hosts about it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::catalogue::{Entry, Identity, Profile};
use kernel::clock::Instant;
use kernel::name::{Domain, Service};
use kernel::outlier::Observation;
use kernel::place::{Decision, Load, LoadId, Plan, Pool, Request, Speed};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;
use wire::placement::{Item, Part, Placements, Scope};

use crate::clock::Clock;
use crate::observe;

/// Time in which another host's claim on the same engines arrives: its gathering, the way between
/// failure domains of a region, and a turn of a busy event loop.
const CLAIM: Duration = Duration::from_millis(8);

struct Slot {
    pool: Pool,
    waiters: HashMap<u64, oneshot::Sender<Decision>>,
}

/// The pools of all services of engines, under one lock.
pub struct Placer {
    clock: Clock,
    domain: Domain,
    holder: u64,
    slots: Mutex<HashMap<Service, Slot>>,
    news: Mutex<Vec<Item>>,
    /// Of each other host, the account that is arriving and how many of its frames have come.
    accounts: Mutex<HashMap<u64, (u32, u32)>>,
    /// Wakes the task that tells the other hosts.
    pub told: Notify,
}

/// A request that may run by its plan; dropping it frees the engines.
pub struct Place {
    placer: Arc<Placer>,
    service: Service,
    id: LoadId,
    /// Where the request runs.
    pub plan: Plan,
}

impl Place {
    /// Notes that the first event arrived, so that the prompt was read.
    pub fn has_read(&self) {
        self.placer.has_read(&self.service, self.id);
    }

    /// A name for a reservation of this request that is never used again.
    #[must_use]
    pub fn ticket(&self, index: usize) -> String {
        format!("{:x}-{:x}-{index}", self.id.holder, self.id.sequence)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.placer.release(&self.service, self.id);
    }
}

/// Removes a waiting request when its client leaves.
struct Queued<'a> {
    placer: &'a Placer,
    service: &'a Service,
    ticket: u64,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let mut slots = self.placer.slots.lock();
        if let Some(slot) = slots.get_mut(self.service)
            && slot.waiters.remove(&self.ticket).is_some()
        {
            slot.pool.cancel(self.ticket);
        }
    }
}

impl Placer {
    /// A placer without engines; `holder` is this life of the host.
    #[must_use]
    pub fn new(clock: Clock, domain: Domain, holder: u64) -> Self {
        Self {
            clock,
            domain,
            holder,
            slots: Mutex::default(),
            news: Mutex::default(),
            accounts: Mutex::default(),
            told: Notify::new(),
        }
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// The time after which the client may come back.
    pub async fn place(
        self: &Arc<Self>,
        service: &Service,
        ask: Request,
    ) -> Result<Place, Duration> {
        /// For services without a pool, which a configuration is about to name.
        const UNKNOWN_RETRY: Duration = Duration::from_millis(500);
        let since = self.clock.now();
        loop {
            let verdict = self.verdict(service, ask.clone(), since).await;
            let (id, plan, claimed) = match verdict {
                Some(Decision::Start(id, plan)) => (id, plan, false),
                Some(Decision::Claim(id, plan)) => (id, plan, true),
                Some(Decision::Refuse(after)) => return Err(after),
                None => return Err(UNKNOWN_RETRY),
            };
            self.tell_start(id, &plan, self.clock.now());
            let place = Place {
                placer: Arc::clone(self),
                service: service.clone(),
                id,
                plan,
            };
            if !claimed {
                return Ok(place);
            }
            sleep(CLAIM).await;
            if self.settle(service, id) {
                return Ok(place);
            }
            observe::claim_lost();
        }
    }

    /// Waits for the pool's verdict on a request that came at `since`; `None` when the service has
    /// no pool.
    async fn verdict(&self, service: &Service, ask: Request, since: Instant) -> Option<Decision> {
        let (queued, receiver) = {
            let mut slots = self.slots.lock();
            let slot = slots.get_mut(service)?;
            let ticket = slot.pool.submit(ask, since);
            let (sender, receiver) = oneshot::channel();
            slot.waiters.insert(ticket, sender);
            let queued = Queued {
                placer: self,
                service,
                ticket,
            };
            (queued, receiver)
        };
        self.pump_service(service);
        let verdict = receiver.await.ok();
        drop(queued);
        verdict
    }

    fn settle(&self, service: &Service, id: LoadId) -> bool {
        let mut slots = self.slots.lock();
        slots
            .get_mut(service)
            .is_some_and(|slot| slot.pool.settle(id))
    }

    /// Starts what fits now, for all services.
    pub fn pump(&self) {
        let now = self.clock.now();
        let mut slots = self.slots.lock();
        for slot in slots.values_mut() {
            Self::assign(slot, now);
        }
    }

    fn pump_service(&self, service: &Service) {
        let now = self.clock.now();
        if let Some(slot) = self.slots.lock().get_mut(service) {
            Self::assign(slot, now);
        }
    }

    fn assign(slot: &mut Slot, now: Instant) {
        if slot.pool.waiting() == 0 {
            return;
        }
        for (ticket, verdict) in slot.pool.assign(now) {
            let waiter = slot.waiters.remove(&ticket);
            let undelivered = waiter.map(|waiter| waiter.send(verdict));
            if let Some(Err(Decision::Start(id, _) | Decision::Claim(id, _))) = undelivered {
                slot.pool.release(id);
            }
        }
    }

    /// Keeps exactly the services of engines of a configuration.
    pub fn set_services<'a>(&self, profiles: impl Iterator<Item = (&'a Service, &'a Profile)>) {
        let mut slots = self.slots.lock();
        let mut known = std::mem::take(&mut *slots);
        for (service, profile) in profiles {
            let speed = Speed::new(profile.clone());
            let slot = known.remove(service).map_or_else(
                || Slot {
                    pool: Pool::new(speed.clone(), self.domain.clone(), self.holder),
                    waiters: HashMap::new(),
                },
                |mut slot| {
                    slot.pool.set_speed(speed.clone());
                    slot
                },
            );
            slots.insert(service.clone(), slot);
        }
    }

    /// The services of engines.
    #[must_use]
    pub fn services(&self) -> Vec<Service> {
        self.slots.lock().keys().cloned().collect()
    }

    /// Keeps exactly these engines of a service.
    pub fn set_engines(&self, service: &Service, entries: &[Entry]) {
        if let Some(slot) = self.slots.lock().get_mut(service) {
            slot.pool.set_engines(entries.iter());
        }
    }

    /// Notes how an engine dealt with a request.
    pub fn judge(&self, service: &Service, engine: Identity, how: Observation) {
        let now = self.clock.now();
        if let Some(slot) = self.slots.lock().get_mut(service) {
            slot.pool.record(engine, how, now);
        }
    }

    fn has_read(&self, service: &Service, id: LoadId) {
        let now = self.clock.now();
        if let Some(slot) = self.slots.lock().get_mut(service) {
            slot.pool.finish_prefill(id, now);
            Self::assign(slot, now);
        }
        self.tell(Item::Read(id.sequence));
    }

    fn release(&self, service: &Service, id: LoadId) {
        let now = self.clock.now();
        if let Some(slot) = self.slots.lock().get_mut(service) {
            slot.pool.release(id);
            Self::assign(slot, now);
        }
        self.tell(Item::Done(id.sequence));
    }

    fn tell_start(&self, id: LoadId, plan: &Plan, now: Instant) {
        for (engine, load) in &plan.loads {
            self.tell(Item::Put(part(id, *engine, load, now)));
        }
    }

    fn tell(&self, item: Item) {
        self.news.lock().push(item);
        self.told.notify_one();
    }

    /// News since the last call.
    pub fn take_news(&self) -> Vec<Item> {
        std::mem::take(&mut *self.news.lock())
    }

    /// All placements of this host.
    #[must_use]
    pub fn all(&self) -> Vec<Item> {
        let now = self.clock.now();
        let slots = self.slots.lock();
        let pools = slots.values().map(|slot| &slot.pool);
        pools
            .flat_map(Pool::own_loads)
            .map(|(engine, id, load)| Item::Put(part(id, engine, load, now)))
            .collect()
    }

    /// Takes what another host tells.
    pub fn heard(&self, frame: &Placements) {
        let now = self.clock.now();
        let whole = self.completes(frame);
        let mut slots = self.slots.lock();
        for slot in slots.values_mut() {
            for item in &frame.items {
                Self::take(&mut slot.pool, frame, item, now);
            }
            if whole {
                slot.pool.reconcile(frame.holder, frame.account);
            }
            Self::assign(slot, now);
        }
    }

    /// Counts a frame of an account and returns whether it was the last one missing.
    fn completes(&self, frame: &Placements) -> bool {
        let Scope::Account { frames } = frame.scope else {
            return false;
        };
        let mut accounts = self.accounts.lock();
        let arriving = accounts.entry(frame.holder).or_default();
        if arriving.0 != frame.account {
            *arriving = (frame.account, 0);
        }
        arriving.1 += 1;
        arriving.1 == frames
    }

    fn take(pool: &mut Pool, frame: &Placements, item: &Item, now: Instant) {
        let id = |sequence| LoadId {
            holder: frame.holder,
            sequence,
        };
        match item {
            Item::Put(part) => {
                let load = Load {
                    tokens: part.tokens,
                    prefill_time: Duration::from_millis(part.work_ms.into()),
                    prefilled_by: now + Duration::from_millis(part.read_ms.into()),
                    prefilled: part.read,
                    ends_by: now + Duration::from_millis(part.ends_ms.into()),
                    decodes: part.writes,
                    pause: Duration::from_millis(part.pause_ms.into()),
                    snapshot: frame.account,
                };
                let (id, engine) = (id(part.sequence), Identity(part.engine));
                match frame.scope {
                    Scope::News => pool.put_remote(id, engine, load, now),
                    Scope::Account { .. } => pool.overwrite(id, engine, load),
                }
            }
            Item::Read(sequence) => pool.finish_prefill(id(*sequence), now),
            Item::Done(sequence) => pool.release(id(*sequence)),
        }
    }

    /// Drops the placements of a host that is gone.
    pub fn drop_holder(&self, holder: u64) {
        self.accounts.lock().remove(&holder);
        let mut slots = self.slots.lock();
        for slot in slots.values_mut() {
            slot.pool.drop_holder(holder);
        }
    }

    /// Drops placements whose time has passed.
    pub fn forget(&self) {
        let now = self.clock.now();
        let mut slots = self.slots.lock();
        for slot in slots.values_mut() {
            slot.pool.expire(now);
        }
    }
}

fn part(id: LoadId, engine: Identity, load: &Load, now: Instant) -> Part {
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    Part {
        sequence: id.sequence,
        engine: engine.0,
        tokens: load.tokens,
        work_ms: millis(load.prefill_time),
        read: load.prefilled,
        read_ms: millis(load.prefilled_by.since(now)),
        ends_ms: millis(load.ends_by.since(now)),
        writes: load.decodes,
        pause_ms: millis(load.pause),
    }
}
