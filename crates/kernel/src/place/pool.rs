//! The engines of one service, their loads and the requests that wait for them.

use std::collections::HashMap;
use std::time::Duration;

use super::claim::Claims;
use super::engine::{Engine, Load, LoadId};
use super::plan::{Plan, Request, View, fits_in_memory, min_engines};
use super::speed::{Speed, duration_from_ms};
use crate::catalogue::{Entry, Identity};
use crate::clock::Instant;
use crate::name::Domain;
use crate::outlier::{DomainHealth, Observation};

/// Time past its predicted end after which a load that nobody renewed is dropped.
const EXPIRY_GRACE: Duration = Duration::from_secs(3);
/// Share of the time left to the deadline that a request waits at most.
const WAIT_DIVISOR: u32 = 3;
/// Shortest time that a request waits, also when it can no longer be on time.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Time that a request waits in the middle of its answer; clients leave after two seconds or more.
const STARTED_WAIT: Duration = Duration::from_millis(1_500);
/// Weight of a request's reading against its time when it is due: short work goes first, since
/// the worth of a prompt grows with its length but its reading with the square of it.
const PREFILL_WEIGHT: u32 = 2;
/// Longest time after which a refused client is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Shortest time after which a refused client is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Part of the time until there is room over which returning clients are spread.
const SPREAD_DIVISOR: u32 = 3;
/// Steps of that spread.
const SPREAD_STEPS: u32 = 8;

/// Most tokens that are believed of a request or load: a thousand times the longest prompts, and
/// little enough to be added up.
const MAX_TOKENS: u64 = 1_000_000_000;

/// What becomes of a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It runs by this plan; its loads are counted under this identifier.
    Start(LoadId, Plan),
    /// As [`Decision::Start`], if the claim still holds after a while, see [`Pool::settle`].
    Claim(LoadId, Plan),
    /// It cannot be served in time; the client may come back after this time.
    Refuse(Duration),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: u64,
    request: Request,
    submitted: Instant,
}

/// The engines of one service as one host sees them.
#[derive(Debug)]
pub struct Pool {
    speed: Speed,
    domain: Domain,
    holder: u64,
    sequence: u32,
    engines: HashMap<Identity, Engine>,
    waiting: Vec<Waiting>,
    tickets: u64,
    domain_health: DomainHealth,
    claims: Claims,
}

impl Pool {
    /// A pool without engines; `holder` is this life of the host.
    #[must_use]
    pub fn new(speed: Speed, domain: Domain, holder: u64) -> Self {
        Self {
            speed,
            domain,
            holder,
            sequence: 0,
            engines: HashMap::new(),
            waiting: Vec::new(),
            tickets: 0,
            domain_health: DomainHealth::default(),
            claims: Claims::default(),
        }
    }

    /// Takes a changed profile.
    pub fn set_speed(&mut self, speed: Speed) {
        self.speed = speed;
    }

    /// The formula in use.
    #[must_use]
    pub const fn speed(&self) -> &Speed {
        &self.speed
    }

    /// Keeps exactly the engines of `entries`; known ones keep their loads.
    pub fn set_engines<'a>(&mut self, entries: impl Iterator<Item = &'a Entry>) {
        let mut known = std::mem::take(&mut self.engines);
        for entry in entries {
            let identity = entry.identity();
            let engine = known
                .remove(&identity)
                .unwrap_or_else(|| Engine::new(identity, entry.domain.clone()));
            self.engines.insert(identity, engine);
        }
    }

    /// Notes how an engine dealt with a request.
    pub fn record(&mut self, identity: Identity, observation: Observation, now: Instant) {
        if let Some(engine) = self.engines.get_mut(&identity) {
            engine.health.record(observation, now);
            self.domain_health
                .record(&engine.domain, identity, observation, now);
        }
    }

    /// The engine of this identity.
    pub fn engine_mut(&mut self, identity: Identity) -> Option<&mut Engine> {
        self.engines.get_mut(&identity)
    }

    /// The number of engines.
    #[must_use]
    pub fn engines(&self) -> usize {
        self.engines.len()
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request to those that wait and returns its ticket.
    pub fn submit(&mut self, mut request: Request, now: Instant) -> u64 {
        request.prompt_tokens = request.prompt_tokens.min(MAX_TOKENS);
        request.answer_tokens = request.answer_tokens.min(MAX_TOKENS);
        self.tickets += 1;
        let ticket = self.tickets;
        self.waiting.push(Waiting {
            ticket,
            request,
            submitted: now,
        });
        ticket
    }

    /// Removes a waiting request whose client left.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Starts what fits now and refuses what cannot be served in time.
    pub fn assign(&mut self, now: Instant) -> Vec<(u64, Decision)> {
        let mut decisions = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        let speed = &self.speed;
        waiting.sort_by_key(|waiting| {
            let overdue = waiting.request.due <= now && !waiting.request.answer_started;
            let prefill = duration_from_ms(speed.prefill_ms(waiting.request.prompt_tokens));
            (
                overdue,
                waiting.request.priority,
                waiting.request.due + prefill * PREFILL_WEIGHT,
            )
        });
        let mut blocked: Option<Duration> = None;
        for queued in waiting {
            let decision = self.decide(&queued, &mut blocked, now);
            match decision {
                Some(decision) => decisions.push((queued.ticket, decision)),
                None => self.waiting.push(queued),
            }
        }
        decisions
    }

    /// `blocked` is the pause of the last request that found no place in this round: requests with
    /// the same pause, which come after it in the order, are not tried.
    fn decide(
        &mut self,
        queued: &Waiting,
        blocked: &mut Option<Duration>,
        now: Instant,
    ) -> Option<Decision> {
        let engines = self.engines.len();
        if engines > 0 && !fits_in_memory(&self.speed, engines, &queued.request) {
            return Some(Decision::Refuse(MAX_RETRY_AFTER));
        }
        if blocked.is_none_or(|pause| pause != queued.request.pause) {
            if let Some(plan) = self.plan(&queued.request, now.since(queued.submitted), now) {
                let id = self.next_id();
                self.apply(id, &plan, now);
                let slots_left = self.slots_left(plan.primary);
                return Some(if self.claims.open(id, &plan, slots_left) {
                    Decision::Claim(id, plan)
                } else {
                    Decision::Start(id, plan)
                });
            }
            *blocked = Some(queued.request.pause);
        }
        let max_wait = queued.request.deadline.since(queued.submitted) / WAIT_DIVISOR;
        let due = queued.request.due.since(queued.submitted);
        let due = due.max(if queued.request.answer_started {
            STARTED_WAIT
        } else {
            MIN_WAIT
        });
        let max_wait = max_wait.min(due);
        (now.since(queued.submitted) >= max_wait)
            .then(|| Decision::Refuse(self.retry_after(queued, now)))
    }

    fn plan(&self, request: &Request, waited: Duration, now: Instant) -> Option<Plan> {
        let reachable: Vec<_> = self
            .engines
            .values()
            .filter(|engine| !engine.health.is_unresponsive(now))
            .filter(|engine| !self.domain_health.is_ejected(&engine.domain, now))
            .collect();
        let reachable = if reachable.is_empty() {
            self.engines.values().collect()
        } else {
            reachable
        };
        let healthy = reachable.iter().copied();
        let healthy: Vec<_> = healthy
            .filter(|engine| !engine.health.is_ejected(now))
            .collect();
        // When most engines fail, the judgement is doubted rather than the engines.
        let engines = if healthy.len() * 2 >= reachable.len() {
            healthy
        } else {
            reachable
        };
        let view = View {
            engines,
            speed: &self.speed,
            domain: &self.domain,
            now,
        };
        let plan = view.plan(request, waited);
        plan.filter(|plan| now + plan.first_event < request.deadline)
    }

    /// Slots of an engine that no request has.
    fn slots_left(&self, engine: Identity) -> usize {
        let decoding = self.engines.get(&engine).map_or(0, Engine::decoding);
        (self.speed.profile().slots as usize).saturating_sub(decoding)
    }

    fn next_id(&mut self) -> LoadId {
        self.sequence = self.sequence.wrapping_add(1);
        LoadId {
            holder: self.holder,
            sequence: self.sequence,
        }
    }

    fn apply(&mut self, id: LoadId, plan: &Plan, now: Instant) {
        for (identity, load) in &plan.loads {
            self.put(id, *identity, *load, now);
        }
    }

    /// Ends a claim and returns whether its request may run; otherwise its loads are removed.
    pub fn settle(&mut self, id: LoadId) -> bool {
        let holds = self.claims.settle(id);
        if !holds {
            self.release(id);
        }
        holds
    }

    /// Adds a load of another host, which may contest a claim of this one.
    pub fn put_remote(&mut self, id: LoadId, engine: Identity, load: Load, now: Instant) {
        self.claims.contest(id, engine, &load);
        self.put(id, engine, load, now);
    }

    /// Adds a load.
    pub fn put(&mut self, id: LoadId, engine: Identity, mut load: Load, now: Instant) {
        load.tokens = load.tokens.min(MAX_TOKENS);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.put(id, load, now);
        }
    }

    /// Corrects a load of another host by that host's own account.
    pub fn overwrite(&mut self, id: LoadId, engine: Identity, mut load: Load) {
        load.tokens = load.tokens.min(MAX_TOKENS);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.overwrite(id, load);
        }
    }

    /// Removes all parts of a load.
    pub fn release(&mut self, id: LoadId) {
        self.claims.settle(id);
        for engine in self.engines.values_mut() {
            engine.remove(id);
        }
    }

    /// Notes that a request's prompt was read: its helpers are done unless they hold memory.
    pub fn finish_prefill(&mut self, id: LoadId, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.finish_prefill(id, now);
            engine.retain(|other, load| other != id || load.decodes || load.tokens > 0);
        }
    }

    /// Drops loads of other hosts that nobody renewed, and reading parts that must have ended.
    pub fn expire(&mut self, now: Instant) {
        let holder = self.holder;
        for engine in self.engines.values_mut() {
            engine.retain(|id, load| {
                let prefills_only = !load.decodes && load.tokens == 0;
                let over = now.since(load.ends_by);
                if prefills_only {
                    over.is_zero()
                } else {
                    id.holder == holder || over < EXPIRY_GRACE
                }
            });
        }
    }

    /// Drops the loads of a host that its whole account `number` did not name, nor news after it.
    pub fn reconcile(&mut self, holder: u64, snapshot: u32) {
        for engine in self.engines.values_mut() {
            engine.retain(|id, load| id.holder != holder || load.snapshot >= snapshot);
        }
    }

    /// Drops all loads of a host that is gone or has started again.
    pub fn drop_holder(&mut self, holder: u64) {
        for engine in self.engines.values_mut() {
            engine.retain(|id, _| id.holder != holder);
        }
    }

    /// The loads of this host with their engines.
    pub fn own_loads(&self) -> impl Iterator<Item = (Identity, LoadId, &Load)> {
        self.engines.values().flat_map(move |engine| {
            let loads = engine.loads();
            let own = loads.filter(move |(id, _)| id.holder == self.holder);
            own.map(move |(id, load)| (engine.identity, id, load))
        })
    }

    /// When as many engines as the prompt needs should have room again, spread so that the clients
    /// of one moment do not all come back at once.
    fn retry_after(&self, queued: &Waiting, now: Instant) -> Duration {
        let needed = min_engines(self.speed.prefill_ms(queued.request.prompt_tokens));
        let mut free: Vec<_> = self
            .engines
            .values()
            .map(|engine| engine.free_at(now).since(now))
            .collect();
        free.sort();
        let last = free.get(needed - 1).or(free.last());
        let after = last.copied().unwrap_or(MAX_RETRY_AFTER);
        let step = u32::try_from(queued.ticket % u64::from(SPREAD_STEPS)).unwrap_or(0);
        let spread = after / SPREAD_DIVISOR * step / SPREAD_STEPS;
        (after + spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
