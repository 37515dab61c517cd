//! Manages the engines of one service, their loads and the queue of waiting requests.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use super::claim::Claims;
use super::engine::{Engine, LoadId, MAX_TOKENS};
use super::path::Paths;
use super::plan::{Plan, Request, View, fits_in_memory, min_engines};
use super::queue::Queue;
use super::speed::{Speed, duration_from_ms};
use crate::catalogue::{Entry, Identity};
use crate::clock::Instant;
use crate::cold::Slowness;
use crate::failure::Reports;
use crate::name::{Domain, Host};
use crate::outlier::{DomainHealth, Observation};

/// A request waits for at most the time until its deadline divided by this number.
const WAIT_DIVISOR: u32 = 3;
/// Minimum waiting time before a request is refused, even if it can no longer meet its objective.
/// The limit by `WAIT_DIVISOR` takes precedence.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Like `MIN_WAIT`, for a request with a partly delivered answer. Clients disconnect after two
/// seconds or more.
const MIN_WAIT_ANSWER_STARTED: Duration = Duration::from_millis(1_500);
/// Weight of the prefill time against the due time in the queue order. Short prompts start first,
/// because the value of a prompt grows with its length but its prefill time with the square of it.
const PREFILL_WEIGHT: u32 = 2;
/// Maximum retry delay sent to a refused client.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Minimum retry delay sent to a refused client.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The time until engines are free, divided by this number, is the upper bound of the extra delay
/// that spreads the retries of clients refused at the same time.
const SPREAD_DIVISOR: u32 = 3;
/// Number of different retry delays.
const SPREAD_STEPS: u32 = 8;

/// Result of the assignment of a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request starts with this plan; its loads have this ID.
    Start(LoadId, Plan),
    /// Like [`Decision::Start`], but the request must wait for conflicting claims of other hosts
    /// and may run only if [`Pool::settle`] returns true.
    Claim(LoadId, Plan),
    /// The request cannot be served in time; the client may retry after this delay.
    Refuse(Duration),
}

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub ticket: u64,
    pub request: Request,
    pub submitted: Instant,
}

/// State of one round of assignments.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    /// Pause of the last request for which no plan was found. Later requests with the same pause
    /// are not planned in this round.
    blocked: Option<Duration>,
    /// Number of requests that wait for a turn at a limited engine.
    ahead: u32,
}

/// Engines and waiting requests of one service, as seen by one host.
#[derive(Debug)]
pub struct Pool {
    pub(super) speed: Speed,
    paths: Arc<Paths>,
    connected: Option<HashSet<Identity>>,
    pub(super) holder: u64,
    /// The last sequence number, which may be shared with other pools of this host.
    sequence: Arc<AtomicU32>,
    pub(super) engines: HashMap<Identity, Engine>,
    /// Failure domains whose engines get nothing new. Their running loads stay.
    evacuated: BTreeSet<Domain>,
    pub(super) waiting: Vec<Waiting>,
    /// Order by value, if it is on.
    pub(super) queue: Option<Queue>,
    tickets: u64,
    domain_health: DomainHealth,
    reports: Reports,
    pub(super) claims: Claims,
    pub(super) slowness: Slowness,
}

impl Pool {
    /// Creates a pool without engines; `holder` is the incarnation of this host.
    #[must_use]
    pub fn new(speed: Speed, domain: Domain, holder: u64) -> Self {
        Self {
            speed,
            paths: Arc::new(Paths::new(domain, &Host::from(""))),
            connected: None,
            holder,
            sequence: Arc::default(),
            engines: HashMap::new(),
            evacuated: BTreeSet::new(),
            waiting: Vec::new(),
            queue: None,
            tickets: 0,
            domain_health: DomainHealth::default(),
            reports: Reports::default(),
            claims: Claims::default(),
            slowness: Slowness::default(),
        }
    }

    /// Shares the sequence numbers of the loads with the other pools of this host, also with earlier
    /// ones, so that no two requests have the same identifier.
    #[must_use]
    pub fn with_sequence(mut self, sequence: Arc<AtomicU32>) -> Self {
        self.sequence = sequence;
        self
    }

    /// Replaces the performance model.
    pub fn set_speed(&mut self, speed: Speed) {
        self.speed = speed;
    }

    /// Replaces the estimates of the paths to the engines.
    pub fn set_paths(&mut self, paths: Arc<Paths>) {
        self.paths = paths;
    }

    /// Replaces the engines to which this host holds an idle connection.
    pub fn set_connected(&mut self, connected: HashSet<Identity>) {
        self.connected = Some(connected);
    }

    /// Returns the current performance model.
    #[must_use]
    pub const fn speed(&self) -> &Speed {
        &self.speed
    }

    /// Replaces the engines by those of `entries`; existing engines keep their loads.
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

    /// Replaces the failure domains whose engines get nothing new.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Domain>) {
        self.evacuated = domains;
    }

    /// Returns the engines that may get requests.
    pub(super) fn open_engines(&self) -> impl Iterator<Item = &Engine> {
        let engines = self.engines.values();
        engines.filter(|engine| !self.evacuated.contains(&engine.domain))
    }

    /// Records the result of a request for outlier detection.
    pub fn record(&mut self, identity: Identity, observation: Observation, now: Instant) {
        if let Some(engine) = self.engines.get_mut(&identity) {
            engine.health.record(observation, now);
            self.domain_health
                .record(&engine.domain, identity, observation, now);
            if observation == Observation::Succeeded {
                self.reports.clear(identity);
            } else {
                self.record_report(identity, self.holder, now);
            }
        }
    }

    /// Records that a request of the host `holder`, which is in this host's failure domain, failed at an engine.
    pub fn record_report(&mut self, identity: Identity, holder: u64, now: Instant) {
        let engines = self.engines.len();
        let Some(engine) = self.engines.get_mut(&identity) else {
            return;
        };
        if self.reports.record(identity, holder, engines, now) {
            engine.health.record_reported(now);
        }
    }

    /// Records that `reached` of `probed` engines of `domain` accepted a connection.
    pub fn record_probes(&mut self, domain: &Domain, reached: usize, probed: usize, now: Instant) {
        self.domain_health
            .record_probes(domain, reached, probed, now);
    }

    /// Drops failures recorded at `since` or later, which were due to this host's own link.
    pub fn forgive(&mut self, since: Instant) {
        for engine in self.engines.values_mut() {
            engine.health.forgive(since);
        }
        self.domain_health.forgive(since);
    }

    /// Records that an engine wants no requests for `time`; returns whether the engine is known.
    pub fn back_off(&mut self, identity: Identity, time: Duration, now: Instant) -> bool {
        let engine = self.engines.get_mut(&identity);
        engine.is_some_and(|engine| {
            engine.health.back_off(time, now);
            true
        })
    }

    /// Returns the rest of the time for which an engine wants no requests, or `None` if it accepts
    /// them.
    #[must_use]
    pub fn backoff(&self, identity: Identity, now: Instant) -> Option<Duration> {
        self.engines.get(&identity)?.health.backoff(now)
    }

    /// Returns the engine with this identity.
    pub fn engine_mut(&mut self, identity: Identity) -> Option<&mut Engine> {
        self.engines.get_mut(&identity)
    }

    /// Returns the number of engines.
    #[must_use]
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request to the queue and returns its ticket, which identifies it until it is
    /// assigned.
    pub fn submit(&mut self, mut request: Request, now: Instant) -> u64 {
        request.prompt_tokens = request.prompt_tokens.min(MAX_TOKENS);
        request.answer_tokens = request.answer_tokens.min(MAX_TOKENS);
        self.tickets += 1;
        let ticket = self.tickets;
        if let Some(queue) = &mut self.queue {
            queue.arrive(&request);
        }
        self.waiting.push(Waiting {
            ticket,
            request,
            submitted: now,
        });
        ticket
    }

    /// Removes a waiting request whose client has disconnected.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Starts the waiting requests that fit now and refuses those that cannot be served in time.
    ///
    /// Returns the ticket and the decision for each of these requests; the others keep waiting.
    pub fn assign(&mut self, now: Instant) -> Vec<(u64, Decision)> {
        if let Some(queue) = self.queue.take() {
            return self.assign_by_value(queue, now);
        }
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
        let mut round = Round::default();
        for queued in waiting {
            let decision = self.decide(&queued, &mut round, now);
            match decision {
                Some(decision) => decisions.push((queued.ticket, decision)),
                None => self.waiting.push(queued),
            }
        }
        decisions
    }

    /// Decides on one request; returns `None` if it keeps waiting.
    fn decide(&mut self, queued: &Waiting, round: &mut Round, now: Instant) -> Option<Decision> {
        let engines = self.open_engines().count();
        if engines == 0 && !self.engines.is_empty() {
            return Some(Decision::Refuse(self.retry_after(queued, now)));
        }
        if engines > 0 && !fits_in_memory(&self.speed, engines, &queued.request) {
            return Some(Decision::Refuse(MAX_RETRY_AFTER));
        }
        if round
            .blocked
            .is_none_or(|pause| pause != queued.request.pause)
        {
            if let Some(decision) = self.try_start(queued, now) {
                return Some(decision);
            }
            round.blocked = Some(queued.request.pause);
        }
        let max_wait = queued.request.deadline.since(queued.submitted) / WAIT_DIVISOR;
        let due = queued.request.due.since(queued.submitted);
        let due = due.max(if queued.request.answer_started {
            MIN_WAIT_ANSWER_STARTED
        } else {
            MIN_WAIT
        });
        let wait_left = max_wait
            .min(due)
            .saturating_sub(now.since(queued.submitted));
        if let Some(turn) = self.next_turn(&queued.request, round.ahead, now) {
            if turn > wait_left {
                let spread = self.turn_spread(queued.ticket, self.holder, now);
                return Some(Decision::Refuse(turn + spread));
            }
            round.ahead += 1;
        }
        wait_left
            .is_zero()
            .then(|| Decision::Refuse(self.retry_after(queued, now)))
    }

    /// Starts a request if there is a plan for it now.
    pub(super) fn try_start(&mut self, queued: &Waiting, now: Instant) -> Option<Decision> {
        let plan = self.plan(&queued.request, now.since(queued.submitted), now)?;
        let id = self.next_id();
        self.apply(id, &plan, now);
        // A turn at an engine whose requests are spaced is a last slot.
        let slots_left = if self.is_paced(plan.primary, now) {
            0
        } else {
            self.slots_left(plan.primary)
        };
        Some(if self.claims.open(id, &plan, slots_left) {
            Decision::Claim(id, plan)
        } else {
            Decision::Start(id, plan)
        })
    }

    fn plan(&self, request: &Request, waited: Duration, now: Instant) -> Option<Plan> {
        let accepting: Vec<_> = self
            .open_engines()
            .filter(|engine| engine.wait(now).is_zero())
            .collect();
        let reachable: Vec<_> = accepting
            .iter()
            .copied()
            .filter(|engine| !engine.health.is_unresponsive(now))
            .filter(|engine| !self.domain_health.is_ejected(&engine.domain, now))
            .collect();
        let reachable = if reachable.is_empty() {
            accepting
        } else {
            reachable
        };
        let healthy = reachable.iter().copied();
        let healthy: Vec<_> = healthy
            .filter(|engine| !engine.health.is_ejected(now))
            .collect();
        // If most reachable engines are ejected, their failures are not a reliable signal, so all
        // reachable engines are used.
        let engines = if healthy.len() * 2 >= reachable.len() {
            healthy
        } else {
            reachable
        };
        let view = View {
            engines,
            speed: &self.speed,
            paths: &self.paths,
            slowness: self.slowness.factor(now),
            connected: self.connected.as_ref(),
            now,
        };
        let plan = view.plan(request, waited);
        plan.filter(|plan| now + plan.first_event < request.deadline)
    }

    /// Returns the number of free slots of an engine.
    fn slots_left(&self, engine: Identity) -> usize {
        let decoding = self.engines.get(&engine).map_or(0, Engine::decoding);
        (self.speed.profile().slots as usize).saturating_sub(decoding)
    }

    fn next_id(&self) -> LoadId {
        let last = self.sequence.fetch_add(1, Ordering::Relaxed);
        LoadId {
            holder: self.holder,
            sequence: last.wrapping_add(1),
        }
    }

    fn apply(&mut self, id: LoadId, plan: &Plan, now: Instant) {
        for (identity, load) in &plan.loads {
            self.put(id, *identity, *load, now);
        }
    }

    /// Closes the claim on a plan with the engine `primary` and returns whether its request may
    /// run. If the claim is lost, its loads are removed. The request takes the turn at each of its
    /// engines that is limited or cold.
    pub fn settle(&mut self, id: LoadId, primary: Identity, now: Instant) -> bool {
        let mut turns = self.paced_engines(id, now);
        turns.retain(|engine| *engine != primary);
        turns.push(primary);
        let in_turn = turns.iter().all(|engine| {
            let engine = self.engines.get(engine);
            engine.is_none_or(|engine| engine.pacer.is_free(now))
        });
        let holds = self.claims.settle(id) && in_turn;
        if holds {
            for engine in turns {
                self.record_request(engine, now);
            }
        } else {
            self.release(id);
        }
        holds
    }

    /// Returns the time until as many engines as the prompt needs are predicted to be free, within
    /// `MIN_RETRY_AFTER` and `MAX_RETRY_AFTER`.
    ///
    /// A spread by ticket prevents clients that were refused at the same time from all retrying at
    /// once.
    pub(super) fn retry_after(&self, queued: &Waiting, now: Instant) -> Duration {
        let needed = min_engines(self.speed.prefill_ms(queued.request.prompt_tokens));
        let mut free: Vec<_> = self
            .open_engines()
            .map(|engine| engine.free_at(now).since(now).max(engine.wait(now)))
            .collect();
        free.sort();
        let last = free.get(needed - 1).or(free.last());
        let after = last.copied().unwrap_or(MAX_RETRY_AFTER);
        let step = u32::try_from(queued.ticket % u64::from(SPREAD_STEPS)).unwrap_or(0);
        let spread = after / SPREAD_DIVISOR * step / SPREAD_STEPS;
        (after + spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
