//! The waiting requests and the engines of one model in one failure domain.

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
use super::rank::{Clock, Setting, WHOLE_STEP};

/// Most jobs that wait in one pool.
const MOST_WAITING: usize = 10_000;
/// Share of the pool that one workspace may use while others wait.
const FLOOD_SHARE: f64 = 0.5;

/// Part of its remaining time by which a deferred request steps back behind others.
const DEFERRED_PART: f64 = 0.5;

/// What other nodes need to know of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Predicted wait of a short request that arrives now.
    pub short_wait: Duration,
    /// Predicted wait of a long request that arrives now.
    pub long_wait: Duration,
    /// Engines that take work.
    pub engines: u32,
    /// Engines that take work and have none.
    pub idle: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Waiting requests and engines of one model.
pub struct Pool {
    pub(super) setting: Setting,
    policy: Box<dyn Policy>,
    pub(super) engines: Vec<Engine>,
    pub(super) waiting: Vec<Waiting>,
    clock: Clock,
    earmark: Earmark,
    pub(super) correction: Correction,
}

impl Pool {
    /// An empty pool.
    ///
    /// # Panics
    ///
    /// When the setting names a policy that is not registered; checked settings never do.
    #[must_use]
    pub fn new(setting: Setting) -> Self {
        let policy =
            routing::create(&setting.policy).expect("the settings name a registered policy");
        Self {
            setting,
            policy,
            engines: Vec::new(),
            waiting: Vec::new(),
            clock: Clock::default(),
            earmark: Earmark::default(),
            correction: Correction::default(),
        }
    }

    /// The engines, sorted by name.
    #[must_use]
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a report of an engine that has the model loaded.
    pub fn report(&mut self, now: Instant, report: Report) {
        match self.find(&report.endpoint) {
            Ok(index) => self.engines[index].refresh(now, report),
            Err(index) => self.engines.insert(index, Engine::new(now, report)),
        }
    }

    /// Forgets an engine that is gone or has another model loaded.
    pub fn remove(&mut self, endpoint: &Endpoint) {
        if let Ok(index) = self.find(endpoint) {
            self.engines.remove(index);
        }
    }

    /// The engine called `endpoint`.
    pub fn engine_mut(&mut self, endpoint: &Endpoint) -> Option<&mut Engine> {
        let index = self.find(endpoint).ok()?;
        Some(&mut self.engines[index])
    }

    fn find(&self, endpoint: &Endpoint) -> Result<usize, usize> {
        self.engines
            .binary_search_by(|engine| engine.report().endpoint.cmp(endpoint))
    }

    /// Lets `job` wait, or refuses it when the prediction says that it cannot end in time.
    ///
    /// # Errors
    ///
    /// [`Refusal::Unavailable`] without engines, [`Refusal::Invalid`] for a prompt that no gang
    /// holds, [`Refusal::Overloaded`] when the job or one admitted before would end late.
    pub fn enqueue(&mut self, now: Instant, job: Job) -> Result<(), Refusal> {
        self.check_capacity(&job)?;
        let waiting = self.place(now, job);
        if !self.policy.eager() {
            self.check_time(now, &waiting)?;
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
        if self.waiting.len() >= MOST_WAITING {
            return Err(Refusal::Overloaded(RETRY_AFTER));
        }
        Ok(())
    }

    #[allow(clippy::cast_precision_loss)]
    fn place(&mut self, now: Instant, job: Job) -> Waiting {
        if self.waiting.is_empty() {
            self.clock.settle();
        }
        let floor = self.floor(now, &job);
        let work = floor.div_f64(self.engines.len().max(1) as f64);
        let arrival = self.clock.arrive(now, &job.workspace, work, FLOOD_SHARE);
        let gap = if job.deferred {
            job.remaining.mul_f64(DEFERRED_PART)
        } else {
            Duration::ZERO
        };
        let rank = arrival.before(job.waited) + floor.mul_f64(self.setting.stretch()) + gap;
        let rank = if self.policy.eager() { now } else { rank };
        Waiting {
            rank,
            arrived: now,
            deadline: now + job.remaining,
            floor,
            job,
        }
    }

    /// Grants engines to waiting jobs, best rank first, until none can start.
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
            if !self.policy.eager() && self.full(now) {
                break;
            }
        }
        grants
    }

    /// Whether no engine would take even a request of the best rank.
    fn full(&self, now: Instant) -> bool {
        let rank = self.waiting.first().map_or(now, |waiting| waiting.rank);
        self.engines
            .iter()
            .all(|engine| engine.ahead(rank) > self.setting.window)
    }

    fn start(&mut self, now: Instant, index: usize) -> Option<Grant> {
        let waiting = &self.waiting[index];
        if let Some(shape) = gang::shape(&self.engines, waiting) {
            let members = self.earmark.gather(now, &self.engines, waiting, shape)?;
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
        let avoidable = self.engines.iter().any(|engine| {
            !engine.report().leaving && !waiting.job.avoid.contains(&engine.report().endpoint)
        });
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| !engine.report().leaving)
            .filter(|(_, engine)| {
                !avoidable || !waiting.job.avoid.contains(&engine.report().endpoint)
            })
            .filter(|(_, engine)| eager || self.has_room(engine, waiting))
            .map(|(index, engine)| {
                let own = engine.prefill_time(engine.uncached(now, &waiting.job) as f64);
                let blocking = engine.prefill_time(self.blocking_tokens(engine));
                let candidate = Candidate {
                    endpoint: engine.report().endpoint.clone(),
                    predicted: (engine.ahead(waiting.rank) + own + blocking)
                        .mul_f64(self.correction.of(waiting.job.prompt_tokens)),
                    delays: own * engine.prefilling_behind(waiting.rank),
                    backlog_tokens: engine.backlog_tokens() as u64,
                    running: engine.running(),
                };
                (index, candidate)
            })
            .unzip()
    }

    /// Tokens of a running step of a longer prompt that the job would wait for.
    #[allow(clippy::cast_precision_loss)]
    fn blocking_tokens(&self, engine: &Engine) -> f64 {
        const HALF: f64 = 0.5;
        let step = self.setting.chunk(u64::MAX) as f64;
        engine.backlog_tokens().min(step) * HALF
    }

    fn has_room(&self, engine: &Engine, waiting: &Waiting) -> bool {
        let kv = waiting.job.kv_tokens();
        engine.running() < engine.report().most_running
            && engine.kv_free() >= kv
            && engine.ahead(waiting.rank) <= self.setting.window
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
        let correction = self.correction.of(waiting.job.prompt_tokens);
        let predicted = waiting.floor.mul_f64(correction);
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
            chunk_tokens: self.chunk(waiting),
            part_tokens,
            predicted,
            waited: now.since(waiting.arrived),
        }
    }

    /// Prompt tokens in one step; an eager policy leaves steps to the engines.
    fn chunk(&self, waiting: &Waiting) -> u64 {
        if self.policy.eager() {
            return WHOLE_STEP;
        }
        self.setting.chunk(waiting.job.prompt_tokens)
    }

    /// Notes the first token of `attempt` and corrects later predictions by it.
    pub fn first_token(&mut self, now: Instant, attempt: Attempt) {
        for engine in &mut self.engines {
            if let Some(measured) = engine.first_token(now, attempt) {
                self.correction.learn(measured);
            }
        }
    }

    /// Forgets `attempt`, waiting or started, however it ended.
    pub fn end(&mut self, now: Instant, attempt: Attempt) {
        self.waiting
            .retain(|waiting| waiting.job.attempt != attempt);
        self.earmark.release(attempt);
        for engine in &mut self.engines {
            engine.end(now, attempt);
        }
    }

    /// A digest for other nodes.
    #[must_use]
    pub fn digest(&self, now: Instant) -> Digest {
        let usable = self
            .engines
            .iter()
            .filter(|engine| !engine.report().leaving);
        Digest {
            short_wait: self.wait_before(now),
            long_wait: self.wait_before(now + Duration::from_hours(1)),
            engines: u32::try_from(usable.clone().count()).unwrap_or(u32::MAX),
            idle: u32::try_from(usable.filter(|engine| engine.running() == 0).count())
                .unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// What is wrong with the pool after [`Pool::assign`]; nothing ever should be.
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

    /// Whether an engine that could serve a waiting job idles.
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
