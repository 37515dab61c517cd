//! A pool's view of one engine: its last report, corrected for the requests granted since.
//!
//! Reports arrive late, so the pool keeps its own account of memory and prefill progress.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::cost::PREFIX_BLOCK_TOKENS;
use crate::name::{Endpoint, Model};
use crate::request::Attempt;

use super::job::{Job, Waiting};

/// Maximum number of prefix hints kept for one engine.
const MAX_HINTS: usize = 65_536;
/// Age at which a prefix hint expires.
const HINT_LIFETIME: Duration = Duration::from_mins(2);
/// Prefill tokens that a running request is assumed to have left until its first token arrives.
const RESIDUAL_PREFILL_TOKENS: f64 = 64.0;
/// Time for which a report may still include the memory of a finished request.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// The state and speed that an engine reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting engine.
    pub endpoint: Endpoint,
    /// The model that is loaded, if any.
    pub model: Option<Model>,
    /// The version of the loaded model.
    pub version: String,
    /// The adapters that are loaded.
    pub adapters: Vec<String>,
    /// Prefill speed of an otherwise idle engine, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Decode time per answer token, in seconds.
    pub token_seconds: f64,
    /// Total KV memory, in tokens.
    pub kv_total: u64,
    /// KV memory that running requests use, in tokens.
    pub kv_used: u64,
    /// Maximum number of concurrent requests.
    pub most_running: usize,
    /// Whether the engine is draining and takes no new requests.
    pub leaving: bool,
}

/// A granted request that has not ended.
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
    has_first_token: bool,
}

/// The measured and the predicted time to the first token of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Measurement {
    pub prompt_tokens: u64,
    pub actual: Duration,
    pub predicted: Duration,
}

/// An admitted request that has no first token yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pending {
    pub rank: Instant,
    pub deadline: Instant,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    /// Predicted prefill time until the first token, its own prefill included, if no other request
    /// overtakes it; the correction factor is not applied.
    pub time_to_first_token: Duration,
}

/// An engine and the requests that run on it.
#[derive(Clone, Debug)]
pub struct Engine {
    report: Report,
    running: BTreeMap<Attempt, Running>,
    /// Reported KV memory that no granted or recently finished request accounts for, in tokens.
    unaccounted_kv: u64,
    /// End time and KV tokens of recently finished requests.
    finished: Vec<(Instant, u64)>,
    /// Prefix hashes that the engine's cache is assumed to hold, with their expiry.
    hints: BTreeMap<u64, Instant>,
    /// Time up to which the prefill progress is predicted.
    advanced_to: Instant,
}

impl Engine {
    /// Creates the view of an engine from its first report, received at `now`.
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

    /// Replaces the report by a newer one.
    pub fn refresh(&mut self, now: Instant, report: Report) {
        self.report = report;
        self.finished.retain(|(at, _)| *at + REPORT_LAG > now);
        let recently_finished: u64 = self.finished.iter().map(|(_, tokens)| tokens).sum();
        self.unaccounted_kv = self
            .report
            .kv_used
            .saturating_sub(self.granted_kv() + recently_finished);
    }

    /// Returns the engine's last report.
    #[must_use]
    pub const fn report(&self) -> &Report {
        &self.report
    }

    /// Returns the number of granted requests that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the KV memory available to new requests, in tokens.
    #[must_use]
    pub fn kv_free(&self) -> u64 {
        self.report
            .kv_total
            .saturating_sub(self.granted_kv() + self.unaccounted_kv)
    }

    /// Returns whether more memory is granted than the engine has.
    ///
    /// This holds only with an eager policy; otherwise it is a bug.
    #[must_use]
    pub fn overcommitted(&self) -> bool {
        self.granted_kv() > self.report.kv_total
    }

    fn granted_kv(&self) -> u64 {
        self.running.values().map(|running| running.kv_tokens).sum()
    }

    /// Returns the prompt tokens of `job` that the engine has to prefill, at least 1.
    ///
    /// Leading blocks with a valid prefix hint count as cached.
    #[must_use]
    pub fn uncached_tokens(&self, now: Instant, job: &Job) -> u64 {
        let known = |hash: &u64| self.hints.get(hash).is_some_and(|until| *until > now);
        let blocks = job.prefix.iter().take_while(|hash| known(hash)).count() as u64;
        job.prompt_tokens
            .saturating_sub(blocks * PREFIX_BLOCK_TOKENS)
            .max(1)
    }

    /// Records that the engine's cache holds the prefixes `hashes`.
    ///
    /// Hints over the limit are ignored; expired hints are removed first.
    pub fn add_hints(&mut self, now: Instant, hashes: &[u64]) {
        if self.hints.len() + hashes.len() > MAX_HINTS {
            self.hints.retain(|_, until| *until > now);
        }
        let free = MAX_HINTS.saturating_sub(self.hints.len());
        for hash in hashes.iter().take(free) {
            self.hints.insert(*hash, now + HINT_LIFETIME);
        }
    }

    /// Removes the hints for the prefixes `hashes`, after the engine evicted them.
    pub fn remove_hints(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.hints.remove(hash);
        }
    }

    /// Removes all prefix hints, after the cache contents became unknown.
    pub fn clear_hints(&mut self) {
        self.hints.clear();
    }

    /// Returns the remaining prefill time of the running requests with a virtual deadline of at
    /// most `rank`.
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

    /// Returns the running requests that have no first token yet.
    pub(super) fn pending(&self) -> impl Iterator<Item = Pending> {
        let without_token = self
            .running
            .values()
            .filter(|running| !running.has_first_token);
        without_token.map(|running| Pending {
            rank: running.rank,
            deadline: running.deadline,
            prompt_tokens: running.prompt_tokens,
            answer_tokens: running.answer_tokens,
            time_to_first_token: self.prefill_ahead(running.rank),
        })
    }

    /// Returns the number of requests in prefill with a virtual deadline after `rank`.
    #[must_use]
    pub fn prefilling_behind(&self, rank: Instant) -> u32 {
        let behind = |running: &&Running| {
            running.rank > rank && running.prefill_left > RESIDUAL_PREFILL_TOKENS
        };
        let count = self.running.values().filter(behind).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the prompt tokens that the engine still has to prefill.
    #[must_use]
    pub fn backlog_tokens(&self) -> f64 {
        self.running
            .values()
            .map(|running| running.prefill_left)
            .sum()
    }

    /// Returns the time that the engine, when idle, takes to prefill `tokens` tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.report.prefill_rate.max(1.0))
    }

    /// Returns the time that the engine takes to decode `tokens` answer tokens.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn answer_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.report.token_seconds)
    }

    /// Adds `job` to the running requests, with a grant of `kv` tokens of memory.
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
            has_first_token: false,
        };
        self.running.insert(job.attempt, running);
    }

    /// Records the first token of `attempt` and adds hints for its prefix.
    ///
    /// Returns the measured time, or `None` if the attempt does not run here or already had its
    /// first token.
    pub(super) fn record_first_token(
        &mut self,
        now: Instant,
        attempt: Attempt,
    ) -> Option<Measurement> {
        self.advance(now);
        let running = self.running.get_mut(&attempt)?;
        if running.has_first_token {
            return None;
        }
        running.has_first_token = true;
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

    /// Removes `attempt`, whose memory the engine frees; returns whether it was running here.
    pub fn end(&mut self, now: Instant, attempt: Attempt) -> bool {
        self.advance(now);
        let Some(running) = self.running.remove(&attempt) else {
            return false;
        };
        self.finished.push((now, running.kv_tokens));
        true
    }

    /// Returns whether `attempt` runs on this engine.
    #[must_use]
    pub fn runs(&self, attempt: Attempt) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Advances the predicted prefill progress to `now`, in order of the virtual deadlines, as the
    /// engine does.
    pub fn advance(&mut self, now: Instant) {
        let mut budget = now.since(self.advanced_to).as_secs_f64() * self.report.prefill_rate;
        self.advanced_to = self.advanced_to.max(now);
        let mut requests: Vec<_> = self.running.values_mut().collect();
        requests.sort_by_key(|running| running.rank);
        for running in requests {
            if running.has_first_token || budget <= 0.0 {
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
