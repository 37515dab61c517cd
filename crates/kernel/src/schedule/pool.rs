//! The pool: the queue of waiting requests and the engines of one model in one failure domain.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::name::Endpoint;
use crate::outcome::Refusal;
use crate::request::Attempt;
use crate::routing::{self, Candidate, Policy};

use super::engine::{Engine, Report};
use super::gang::{self, Earmark};
use super::job::{Grant, Job, Waiting};
use super::predict::Correction;
use super::rank::{Settings, UNLIMITED_CHUNK_TOKENS, VirtualClocks};

/// Maximum number of jobs that wait in one pool.
const MAX_WAITING: usize = 10_000;
/// Fraction of the pool that one workspace may use while others wait.
const WORKSPACE_SHARE: f64 = 0.5;

/// Fraction of its remaining time by which a deferred request's virtual deadline is delayed.
const DEFERRED_FRACTION: f64 = 0.5;

/// The load of a pool, as gossiped to other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Predicted wait of a short request that arrives now (virtual deadline now).
    pub short_wait: Duration,
    /// Predicted wait of a long request that arrives now (virtual deadline in an hour).
    pub long_wait: Duration,
    /// Number of engines that are not draining.
    pub engines: u32,
    /// Number of these engines that run no requests.
    pub idle: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// The scheduler of one model in one failure domain: a queue of jobs and the engines for them.
pub struct Pool {
    pub(super) settings: Settings,
    policy: Box<dyn Policy>,
    pub(super) engines: Vec<Engine>,
    pub(super) waiting: Vec<Waiting>,
    clocks: VirtualClocks,
    earmark: Earmark,
    pub(super) correction: Correction,
}

impl Pool {
    /// Creates a pool without engines and jobs.
    ///
    /// # Panics
    ///
    /// Panics if `settings.policy` is not a registered policy. Validated settings name one that is.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let policy =
            routing::create(&settings.policy).expect("the settings name a registered policy");
        Self {
            settings,
            policy,
            engines: Vec::new(),
            waiting: Vec::new(),
            clocks: VirtualClocks::default(),
            earmark: Earmark::default(),
            correction: Correction::default(),
        }
    }

    /// Returns the engines, sorted by name.
    #[must_use]
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds or updates an engine that has the model loaded.
    pub fn report(&mut self, now: Instant, report: Report) {
        match self.find(&report.endpoint) {
            Ok(index) => self.engines[index].refresh(now, report),
            Err(index) => self.engines.insert(index, Engine::new(now, report)),
        }
    }

    /// Removes an engine that is gone or has another model loaded.
    pub fn remove(&mut self, endpoint: &Endpoint) {
        if let Ok(index) = self.find(endpoint) {
            self.engines.remove(index);
        }
    }

    /// Returns the engine named `endpoint`, if the pool has it.
    pub fn engine_mut(&mut self, endpoint: &Endpoint) -> Option<&mut Engine> {
        let index = self.find(endpoint).ok()?;
        Some(&mut self.engines[index])
    }

    fn find(&self, endpoint: &Endpoint) -> Result<usize, usize> {
        self.engines
            .binary_search_by(|engine| engine.report().endpoint.cmp(endpoint))
    }

    /// Adds `job` to the queue, unless it or an admitted job is predicted to end late.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Unavailable`] if the pool has no usable engine, [`Refusal::Invalid`] if
    /// the job needs more KV memory than all engines have together, and [`Refusal::Overloaded`] if
    /// the queue is full or if this job or an admitted one would end late. An eager policy admits
    /// jobs without this prediction.
    pub fn enqueue(&mut self, now: Instant, job: Job) -> Result<(), Refusal> {
        self.check_capacity(&job)?;
        let waiting = self.rank_job(now, job);
        if !self.policy.eager() {
            self.check_deadlines(now, &waiting)?;
        }
        let index = self
            .waiting
            .partition_point(|other| other.rank <= waiting.rank);
        self.waiting.insert(index, waiting);
        Ok(())
    }

    fn check_capacity(&self, job: &Job) -> Result<(), Refusal> {
        const RETRY_AFTER: Duration = Duration::from_secs(2);
        let usable = || {
            self.engines
                .iter()
                .filter(|engine| !engine.report().leaving)
        };
        if usable().next().is_none() {
            let what = format!(
                "no engine of this failure domain has model {:?} loaded",
                job.model.as_str()
            );
            return Err(Refusal::Unavailable(what, RETRY_AFTER));
        }
        let memory: u64 = usable().map(|engine| engine.report().kv_total).sum();
        if job.kv_tokens() > memory {
            let what = format!(
                "the request needs {} tokens of KV memory and all engines have {memory}",
                job.kv_tokens()
            );
            return Err(Refusal::Invalid(
                what,
                "shorten the prompt or lower max_tokens".to_owned(),
            ));
        }
        if self.waiting.len() >= MAX_WAITING {
            return Err(Refusal::Overloaded(RETRY_AFTER));
        }
        Ok(())
    }

    #[allow(clippy::cast_precision_loss)]
    fn rank_job(&mut self, now: Instant, job: Job) -> Waiting {
        if self.waiting.is_empty() {
            self.clocks.reset();
        }
        let idle_prefill_time = self.idle_prefill_time(now, &job);
        let work = idle_prefill_time.div_f64(self.engines.len().max(1) as f64);
        let arrival = self
            .clocks
            .charge(now, &job.workspace, work, WORKSPACE_SHARE);
        let delay = if job.deferred {
            job.remaining.mul_f64(DEFERRED_FRACTION)
        } else {
            Duration::ZERO
        };
        let rank = arrival.saturating_sub(job.waited)
            + idle_prefill_time.mul_f64(self.settings.stretch())
            + delay;
        let rank = if self.policy.eager() { now } else { rank };
        Waiting {
            rank,
            arrived: now,
            deadline: now + job.remaining,
            idle_prefill_time,
            job,
        }
    }

    /// Grants engines to waiting jobs in order of their rank, until no more jobs can start.
    ///
    /// Jobs whose deadline has passed are dropped from the queue.
    pub fn assign(&mut self, now: Instant) -> Vec<Grant> {
        for engine in &mut self.engines {
            engine.advance(now);
        }
        self.waiting.retain(|waiting| waiting.deadline > now);
        let mut grants = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            match self.start(now, index) {
                Some(grant) => {
                    self.waiting.remove(index);
                    grants.push(grant);
                }
                None => index += 1,
            }
            if !self.policy.eager() && self.is_saturated(now) {
                break;
            }
        }
        grants
    }

    /// Returns whether every engine has more prefill work ahead of the first job than the window,
    /// so that no job for a single engine can start.
    fn is_saturated(&self, now: Instant) -> bool {
        let rank = self.waiting.first().map_or(now, |waiting| waiting.rank);
        self.engines
            .iter()
            .all(|engine| engine.prefill_ahead(rank) > self.settings.window)
    }

    fn start(&mut self, now: Instant, index: usize) -> Option<Grant> {
        let waiting = &self.waiting[index];
        if let Some(shape) = gang::shape(&self.engines, waiting) {
            let members = self.earmark.reserve(now, &self.engines, waiting, shape)?;
            let waiting = waiting.clone();
            return Some(self.start_gang(now, &waiting, shape, &members));
        }
        let (indexes, candidates) = self.candidates(now, waiting);
        let chosen = self.policy.choose(&candidates)?;
        let waiting = self.waiting[index].clone();
        let predicted = candidates[chosen].predicted;
        let engine = &mut self.engines[indexes[chosen]];
        let kv = waiting.job.kv_tokens();
        engine.start(now, &waiting, &waiting.job, kv, predicted);
        let endpoints = vec![engine.report().endpoint.clone()];
        let part = waiting.job.prompt_tokens;
        Some(self.grant(now, &waiting, endpoints, part, predicted))
    }

    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn candidates(&self, now: Instant, waiting: &Waiting) -> (Vec<usize>, Vec<Candidate>) {
        let eager = self.policy.eager();
        let can_avoid = self.engines.iter().any(|engine| {
            !engine.report().leaving && !waiting.job.avoid.contains(&engine.report().endpoint)
        });
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| !engine.report().leaving)
            .filter(|(_, engine)| {
                !can_avoid || !waiting.job.avoid.contains(&engine.report().endpoint)
            })
            .filter(|(_, engine)| eager || self.has_room(engine, waiting))
            .map(|(index, engine)| {
                let own = engine.prefill_time(engine.uncached_tokens(now, &waiting.job) as f64);
                let blocking = engine.prefill_time(self.blocking_tokens(engine));
                let candidate = Candidate {
                    endpoint: engine.report().endpoint.clone(),
                    predicted: (engine.prefill_ahead(waiting.rank) + own + blocking)
                        .mul_f64(self.correction.factor(waiting.job.prompt_tokens)),
                    delays: own * engine.prefilling_behind(waiting.rank),
                    backlog_tokens: engine.backlog_tokens() as u64,
                    running: engine.running(),
                };
                (index, candidate)
            })
            .unzip()
    }

    /// Returns the expected remainder, in tokens, of the engine step that runs when a job starts:
    /// half a step of a long prompt, or half the backlog of the engine if that is less.
    #[allow(clippy::cast_precision_loss)]
    fn blocking_tokens(&self, engine: &Engine) -> f64 {
        const HALF: f64 = 0.5;
        let step = self.settings.chunk_tokens(u64::MAX) as f64;
        engine.backlog_tokens().min(step) * HALF
    }

    fn has_room(&self, engine: &Engine, waiting: &Waiting) -> bool {
        let kv = waiting.job.kv_tokens();
        engine.running() < engine.report().most_running
            && engine.kv_free() >= kv
            && engine.prefill_ahead(waiting.rank) <= self.settings.window
            && self.earmark.admits(engine, kv)
    }

    fn start_gang(
        &mut self,
        now: Instant,
        waiting: &Waiting,
        shape: gang::Shape,
        members: &[usize],
    ) -> Grant {
        let mut part = waiting.job.clone();
        part.prompt_tokens = shape.part_tokens;
        part.prefix.clear();
        let correction = self.correction.factor(waiting.job.prompt_tokens);
        let predicted = waiting.idle_prefill_time.mul_f64(correction);
        let mut endpoints = Vec::new();
        for index in members {
            let engine = &mut self.engines[*index];
            engine.start(now, waiting, &part, shape.part_kv, predicted);
            endpoints.push(engine.report().endpoint.clone());
        }
        self.grant(now, waiting, endpoints, shape.part_tokens, predicted)
    }

    fn grant(
        &self,
        now: Instant,
        waiting: &Waiting,
        endpoints: Vec<Endpoint>,
        part_tokens: u64,
        predicted: Duration,
    ) -> Grant {
        Grant {
            attempt: waiting.job.attempt,
            endpoints,
            priority: waiting.rank.as_millis(),
            chunk_tokens: self.chunk_tokens(waiting),
            part_tokens,
            predicted,
            waited: now.since(waiting.arrived),
        }
    }

    /// Returns the prompt tokens per engine step; an eager policy leaves the step size to the
    /// engine.
    fn chunk_tokens(&self, waiting: &Waiting) -> u64 {
        if self.policy.eager() {
            return UNLIMITED_CHUNK_TOKENS;
        }
        self.settings.chunk_tokens(waiting.job.prompt_tokens)
    }

    /// Records the first token of `attempt` and updates the correction of later predictions.
    pub fn record_first_token(&mut self, now: Instant, attempt: Attempt) {
        for engine in &mut self.engines {
            if let Some(measured) = engine.record_first_token(now, attempt) {
                self.correction.update(measured);
            }
        }
    }

    /// Removes `attempt`, waiting or running, whatever its outcome.
    pub fn end(&mut self, now: Instant, attempt: Attempt) {
        self.waiting
            .retain(|waiting| waiting.job.attempt != attempt);
        self.earmark.release(attempt);
        for engine in &mut self.engines {
            engine.end(now, attempt);
        }
    }

    /// Returns the load of the pool, for gossip to other nodes.
    #[must_use]
    pub fn summary(&self, now: Instant) -> Summary {
        let usable = self
            .engines
            .iter()
            .filter(|engine| !engine.report().leaving);
        Summary {
            short_wait: self.predicted_wait(now),
            long_wait: self.predicted_wait(now + Duration::from_hours(1)),
            engines: u32::try_from(usable.clone().count()).unwrap_or(u32::MAX),
            idle: u32::try_from(usable.filter(|engine| engine.running() == 0).count())
                .unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns a description of a violated invariant, or `None`; to be called after
    /// [`Pool::assign`].
    #[must_use]
    pub fn violation(&self) -> Option<&'static str> {
        if self.idle_while_waiting() {
            return Some("an engine idles while a request that it could serve waits");
        }
        let overcommitted = self.engines.iter().any(Engine::overcommitted);
        if overcommitted && !self.policy.eager() {
            return Some("an engine was granted more memory than it has");
        }
        None
    }

    /// Returns whether an engine is idle although it could serve a waiting job.
    fn idle_while_waiting(&self) -> bool {
        let idle = |engine: &Engine| engine.running() == 0 && !engine.report().leaving;
        self.waiting.iter().any(|waiting| {
            gang::shape(&self.engines, waiting).is_none()
                && self.engines.iter().any(|engine| {
                    idle(engine)
                        && engine.kv_free() >= waiting.job.kv_tokens()
                        && self.earmark.admits(engine, waiting.job.kv_tokens())
                        && !waiting.job.avoid.contains(&engine.report().endpoint)
                })
        })
    }
}
