//! Predicts when jobs start and end, and refuses jobs that would cause a missed deadline.

use std::time::Duration;

use crate::clock::Instant;
use crate::outcome::Refusal;

use super::engine::{Engine, Measurement, Pending};
use super::job::{Job, Waiting};
use super::pool::Pool;
use super::rank::MAX_SHORT_TOKENS;

/// Weight of a new measurement in the moving average of the correction factor.
const CORRECTION_WEIGHT: f64 = 0.05;
/// Maximum fraction of a job's remaining time that its predicted time to end may take.
const MAX_TIME_FRACTION: f64 = 0.9;

impl Pool {
    /// Returns the shortest time in which one of the engines, if idle, would prefill the job.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn idle_prefill_time(&self, now: Instant, job: &Job) -> Duration {
        self.engines
            .iter()
            .map(|engine| engine.prefill_time(engine.uncached_tokens(now, job) as f64))
            .min()
            .unwrap_or_default()
    }

    /// Predicts the time until the pool has finished all prefill work ahead of `rank`.
    ///
    /// With jobs queued ahead of `rank`, this is the average work per engine; otherwise it is the
    /// work on the least loaded engine.
    pub(super) fn predicted_wait(&self, rank: Instant) -> Duration {
        let queued_ahead = self.waiting.iter().filter(|other| other.rank <= rank);
        let queued: Duration = queued_ahead
            .map(|other| self.full_prefill_time(&other.job))
            .sum();
        let running_work: Duration = self
            .engines
            .iter()
            .map(|engine| engine.prefill_ahead(rank))
            .sum();
        let least = self
            .engines
            .iter()
            .map(|engine| engine.prefill_ahead(rank))
            .min();
        let average = (queued + running_work).div_f64(self.engine_count());
        if queued.is_zero() {
            least.unwrap_or_default()
        } else {
            average
        }
    }

    /// Returns the time to prefill the whole prompt, nothing of it cached, on an idle engine; all
    /// engines are assumed to be as fast as the first.
    #[allow(clippy::cast_precision_loss)]
    fn full_prefill_time(&self, job: &Job) -> Duration {
        self.engines
            .first()
            .map(|engine| engine.prefill_time(job.prompt_tokens as f64))
            .unwrap_or_default()
    }

    #[allow(clippy::cast_precision_loss)]
    fn engine_count(&self) -> f64 {
        self.engines.len().max(1) as f64
    }

    /// Checks that the new job ends in time and that no admitted job misses its deadline because
    /// of it.
    pub(super) fn check_deadlines(&self, now: Instant, new: &Waiting) -> Result<(), Refusal> {
        let engines = self.engine_count();
        let queued_work = QueuedWork::new(&self.waiting, |job| {
            self.full_prefill_time(job).div_f64(engines)
        });
        let running_work: Duration = self
            .engines
            .iter()
            .map(|engine| engine.prefill_ahead(new.rank))
            .sum();
        let time_to_first_token = running_work.div_f64(engines)
            + queued_work.work_before(new.rank)
            + new.idle_prefill_time;
        let own = self.time_to_end(
            time_to_first_token,
            new.job.prompt_tokens,
            new.job.answer_tokens,
        );
        if own > new.job.remaining.mul_f64(MAX_TIME_FRACTION) {
            return Err(Refusal::Overloaded(own.saturating_sub(new.job.remaining)));
        }
        let delay = self.full_prefill_time(&new.job).div_f64(engines);
        let admitted = self.admitted(running_work, &queued_work);
        for other in admitted.filter(|other| other.rank > new.rank) {
            let end = |first_token| {
                self.time_to_end(first_token, other.prompt_tokens, other.answer_tokens)
            };
            let limit = other.deadline.since(now).mul_f64(MAX_TIME_FRACTION);
            if end(other.time_to_first_token + delay) > limit
                && end(other.time_to_first_token) <= limit
            {
                return Err(Refusal::Overloaded(delay));
            }
        }
        Ok(())
    }

    /// Returns the waiting jobs and the running requests without a first token.
    fn admitted(
        &self,
        running_work: Duration,
        queued_work: &QueuedWork,
    ) -> impl Iterator<Item = Pending> {
        let engines = self.engine_count();
        let waiting = self.waiting.iter().map(move |other| Pending {
            rank: other.rank,
            deadline: other.deadline,
            prompt_tokens: other.job.prompt_tokens,
            answer_tokens: other.job.answer_tokens,
            time_to_first_token: running_work.div_f64(engines)
                + queued_work.work_before(other.rank)
                + other.idle_prefill_time,
        });
        let running = self.engines.iter().flat_map(Engine::pending);
        let running = running.map(|pending| Pending {
            time_to_first_token: pending.time_to_first_token
                + queued_work.work_before(pending.rank),
            ..pending
        });
        waiting.chain(running)
    }

    /// Returns the predicted time until a job ends: the corrected time to its first token and the
    /// decode time of its answer.
    fn time_to_end(
        &self,
        time_to_first_token: Duration,
        prompt_tokens: u64,
        answer_tokens: u64,
    ) -> Duration {
        let answer = self
            .engines
            .first()
            .map(|engine| engine.answer_time(answer_tokens));
        time_to_first_token.mul_f64(self.correction.factor(prompt_tokens))
            + answer.unwrap_or_default()
    }
}

/// The prefill work of the waiting jobs, as cumulative sums in queue order.
struct QueuedWork {
    cumulative_work: Vec<(Instant, Duration)>,
}

impl QueuedWork {
    fn new(waiting: &[Waiting], work: impl Fn(&Job) -> Duration) -> Self {
        let mut sum = Duration::ZERO;
        let cumulative_work = waiting.iter().map(|other| {
            sum += work(&other.job);
            (other.rank, sum)
        });
        Self {
            cumulative_work: cumulative_work.collect(),
        }
    }

    /// Returns the work of the jobs with a virtual deadline before `rank`.
    fn work_before(&self, rank: Instant) -> Duration {
        let count = self
            .cumulative_work
            .partition_point(|(other, _)| *other < rank);
        let last = count
            .checked_sub(1)
            .map(|index| self.cumulative_work[index].1);
        last.unwrap_or_default()
    }
}

/// Correction factors of the predicted times to first token, learned from measured ones.
///
/// Short and long prompts have separate factors.
#[derive(Clone, Copy, Debug)]
pub(super) struct Correction {
    short: f64,
    long: f64,
}

impl Default for Correction {
    fn default() -> Self {
        Self {
            short: 1.0,
            long: 1.0,
        }
    }
}

impl Correction {
    /// Returns the factor for a prompt of `tokens` tokens.
    pub const fn factor(&self, tokens: u64) -> f64 {
        if tokens <= MAX_SHORT_TOKENS {
            self.short
        } else {
            self.long
        }
    }

    /// Moves the factor towards the measured ratio, which is clamped to limit outliers.
    pub fn update(&mut self, measured: Measurement) {
        const MIN_FACTOR: f64 = 0.5;
        const MAX_FACTOR: f64 = 4.0;
        if measured.predicted.is_zero() {
            return;
        }
        let current = self.factor(measured.prompt_tokens);
        let ratio = measured.actual.as_secs_f64() / measured.predicted.as_secs_f64() * current;
        let step = (ratio.clamp(MIN_FACTOR, MAX_FACTOR) - current) * CORRECTION_WEIGHT;
        if measured.prompt_tokens <= MAX_SHORT_TOKENS {
            self.short += step;
        } else {
            self.long += step;
        }
    }
}
