//! A pool's view of one engine: lagged reports, corrected by what was granted since.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::cost::PREFIX_BLOCK_TOKENS;
use crate::name::{Endpoint, Model};
use crate::request::Attempt;

use super::job::{Job, Waiting};

/// Prefix hints kept for one engine.
const MAX_HINTS: usize = 65_536;
/// Age at which a prefix hint is no longer believed.
const HINT_LIFETIME: Duration = Duration::from_mins(2);
/// Prefill that a started request is assumed to have left until its first token arrives.
const RESIDUAL_PREFILL_TOKENS: f64 = 64.0;
/// Time for which a finished request may still be in a lagged report.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// What an engine says about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The engine.
    pub endpoint: Endpoint,
    /// The model that is loaded, if any.
    pub model: Option<Model>,
    /// The version of the model.
    pub version: String,
    /// The adapters that are loaded.
    pub adapters: Vec<String>,
    /// Prompt tokens a second of an otherwise idle engine.
    pub prefill_rate: f64,
    /// Seconds for one token of an answer.
    pub token_seconds: f64,
    /// KV memory, in tokens.
    pub kv_total: u64,
    /// KV memory in use by streams, in tokens.
    pub kv_used: u64,
    /// Most requests at once.
    pub most_running: usize,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Running {
    rank: Instant,
    deadline: Instant,
    prompt_tokens: u64,
    answer_tokens: u64,
    prefill_left: f64,
    kv_tokens: u64,
    prefix: Vec<u64>,
    started: Instant,
    predicted: Duration,
    first_token: bool,
}

/// A first token time beside its prediction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Measurement {
    pub prompt_tokens: u64,
    pub actual: Duration,
    pub predicted: Duration,
}

/// A started request that has no first token yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pending {
    pub rank: Instant,
    pub deadline: Instant,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    /// Prefill until its first token, its own included, if nothing goes before it any more.
    pub time_to_first_token: Duration,
}

/// One engine with the requests that were granted to it.
#[derive(Clone, Debug)]
pub struct Engine {
    report: Report,
    running: BTreeMap<Attempt, Running>,
    unaccounted_kv: u64,
    finished: Vec<(Instant, u64)>,
    hints: BTreeMap<u64, Instant>,
    advanced_to: Instant,
}

impl Engine {
    /// An engine that was first reported at `now`.
    #[must_use]
    pub fn new(now: Instant, report: Report) -> Self {
        let mut engine = Self {
            report,
            running: BTreeMap::new(),
            unaccounted_kv: 0,
            finished: Vec::new(),
            hints: BTreeMap::new(),
            advanced_to: now,
        };
        engine.unaccounted_kv = engine.report.kv_used;
        engine
    }

    /// Takes a newer report.
    pub fn refresh(&mut self, now: Instant, report: Report) {
        self.report = report;
        self.finished.retain(|(at, _)| *at + REPORT_LAG > now);
        let recently_finished: u64 = self.finished.iter().map(|(_, tokens)| tokens).sum();
        self.unaccounted_kv = self
            .report
            .kv_used
            .saturating_sub(self.granted_kv() + recently_finished);
    }

    /// The engine's last report.
    #[must_use]
    pub const fn report(&self) -> &Report {
        &self.report
    }

    /// Requests that were granted and have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// KV memory that a new request may use, in tokens.
    #[must_use]
    pub fn kv_free(&self) -> u64 {
        self.report
            .kv_total
            .saturating_sub(self.granted_kv() + self.unaccounted_kv)
    }

    /// Whether more memory was granted than the engine has, which a pool never does.
    #[must_use]
    pub fn overcommitted(&self) -> bool {
        self.granted_kv() > self.report.kv_total
    }

    fn granted_kv(&self) -> u64 {
        self.running.values().map(|running| running.kv_tokens).sum()
    }

    /// Prompt tokens of `job` that the engine has to prefill, given its prefix hints.
    #[must_use]
    pub fn uncached_tokens(&self, now: Instant, job: &Job) -> u64 {
        let known = |hash: &u64| self.hints.get(hash).is_some_and(|until| *until > now);
        let blocks = job.prefix.iter().take_while(|hash| known(hash)).count() as u64;
        job.prompt_tokens
            .saturating_sub(blocks * PREFIX_BLOCK_TOKENS)
            .max(1)
    }

    /// Believes that the engine holds the prefixes `hashes`.
    pub fn add_hints(&mut self, now: Instant, hashes: &[u64]) {
        if self.hints.len() + hashes.len() > MAX_HINTS {
            self.hints.retain(|_, until| *until > now);
        }
        let free = MAX_HINTS.saturating_sub(self.hints.len());
        for hash in hashes.iter().take(free) {
            self.hints.insert(*hash, now + HINT_LIFETIME);
        }
    }

    /// Stops believing in the prefixes `hashes`.
    pub fn remove_hints(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.hints.remove(hash);
        }
    }

    /// Stops believing in every prefix, after the engine lost its cache.
    pub fn clear_hints(&mut self) {
        self.hints.clear();
    }

    /// Prefill time of the requests on the engine whose virtual deadline is not after `rank`.
    #[must_use]
    pub fn prefill_ahead(&self, rank: Instant) -> Duration {
        let tokens: f64 = self
            .running
            .values()
            .filter(|running| running.rank <= rank)
            .map(|running| running.prefill_left)
            .sum();
        self.prefill_time(tokens)
    }

    /// The started requests that have no first token yet.
    pub(super) fn pending(&self) -> impl Iterator<Item = Pending> {
        let without_token = self.running.values().filter(|running| !running.first_token);
        without_token.map(|running| Pending {
            rank: running.rank,
            deadline: running.deadline,
            prompt_tokens: running.prompt_tokens,
            answer_tokens: running.answer_tokens,
            time_to_first_token: self.prefill_ahead(running.rank),
        })
    }

    /// Requests in prefill on the engine whose virtual deadline is after `rank`.
    #[must_use]
    pub fn prefilling_behind(&self, rank: Instant) -> u32 {
        let behind = |running: &&Running| {
            running.rank > rank && running.prefill_left > RESIDUAL_PREFILL_TOKENS
        };
        let count = self.running.values().filter(behind).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Prompt tokens that the engine still has to prefill.
    #[must_use]
    pub fn backlog_tokens(&self) -> f64 {
        self.running
            .values()
            .map(|running| running.prefill_left)
            .sum()
    }

    /// The time in which an idle engine prefills `tokens` tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.report.prefill_rate.max(1.0))
    }

    /// The time in which the engine answers `tokens` tokens.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn answer_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.report.token_seconds)
    }

    /// Counts `job` as started.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn start(
        &mut self,
        now: Instant,
        waiting: &Waiting,
        job: &Job,
        kv: u64,
        predicted: Duration,
    ) {
        self.advance(now);
        let running = Running {
            rank: waiting.rank,
            deadline: waiting.deadline,
            prompt_tokens: job.prompt_tokens,
            answer_tokens: job.answer_tokens,
            prefill_left: self.uncached_tokens(now, job) as f64,
            kv_tokens: kv,
            prefix: job.prefix.clone(),
            started: now,
            predicted,
            first_token: false,
        };
        self.running.insert(job.attempt, running);
    }

    /// Notes the first token of `attempt`; returns what it shows about the predictions.
    pub(super) fn record_first_token(
        &mut self,
        now: Instant,
        attempt: Attempt,
    ) -> Option<Measurement> {
        self.advance(now);
        let running = self.running.get_mut(&attempt)?;
        if running.first_token {
            return None;
        }
        running.first_token = true;
        running.prefill_left = 0.0;
        let measured = Measurement {
            prompt_tokens: running.prompt_tokens,
            actual: now.since(running.started),
            predicted: running.predicted,
        };
        let prefix = running.prefix.clone();
        self.add_hints(now, &prefix);
        Some(measured)
    }

    /// Forgets `attempt`, whose memory the engine has freed or is freeing.
    pub fn end(&mut self, now: Instant, attempt: Attempt) -> bool {
        self.advance(now);
        let Some(running) = self.running.remove(&attempt) else {
            return false;
        };
        self.finished.push((now, running.kv_tokens));
        true
    }

    /// Whether `attempt` runs here.
    #[must_use]
    pub fn runs(&self, attempt: Attempt) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Lets the predicted prefill progress up to `now`, in the engine's order.
    pub fn advance(&mut self, now: Instant) {
        let mut budget = now.since(self.advanced_to).as_secs_f64() * self.report.prefill_rate;
        self.advanced_to = self.advanced_to.max(now);
        let mut requests: Vec<_> = self.running.values_mut().collect();
        requests.sort_by_key(|running| running.rank);
        for running in requests {
            if running.first_token || budget <= 0.0 {
                continue;
            }
            let done = (running.prefill_left - RESIDUAL_PREFILL_TOKENS)
                .max(0.0)
                .min(budget);
            running.prefill_left -= done;
            budget -= done;
        }
    }
}
