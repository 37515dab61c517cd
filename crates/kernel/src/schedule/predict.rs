//! Predicts when a pool will start and end a job, and refuses what cannot end in time.

use std::time::Duration;

use crate::clock::Instant;
use crate::outcome::Refusal;

use super::engine::{Engine, Measured, Pending};
use super::job::{Job, Waiting};
use super::pool::Pool;
use super::rank::LONG_TOKENS;

/// Weight of a new measurement in the correction of predictions.
const CORRECTION_WEIGHT: f64 = 0.05;
/// Part of the remaining time that a prediction may fill.
const SAFE_PART: f64 = 0.9;

impl Pool {
    /// The time in which the best idle engine would prefill the job.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn floor(&self, now: Instant, job: &Job) -> Duration {
        self.engines
            .iter()
            .map(|engine| engine.prefill_time(engine.uncached(now, job) as f64))
            .min()
            .unwrap_or_default()
    }

    /// Predicted time until the pool has worked off everything that is ahead of `rank`.
    pub(super) fn wait_before(&self, rank: Instant) -> Duration {
        let ahead = self.waiting.iter().filter(|other| other.rank <= rank);
        let queued: Duration = ahead.map(|other| self.work(&other.job)).sum();
        let started: Duration = self.engines.iter().map(|engine| engine.ahead(rank)).sum();
        let least = self.engines.iter().map(|engine| engine.ahead(rank)).min();
        let fluid = (queued + started).div_f64(self.engine_count());
        if queued.is_zero() {
            least.unwrap_or_default()
        } else {
            fluid
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn work(&self, job: &Job) -> Duration {
        self.engines
            .first()
            .map(|engine| engine.prefill_time(job.prompt_tokens as f64))
            .unwrap_or_default()
    }

    #[allow(clippy::cast_precision_loss)]
    fn engine_count(&self) -> f64 {
        self.engines.len().max(1) as f64
    }

    /// Checks that the new job ends in time and makes no admitted job late.
    pub(super) fn check_time(&self, now: Instant, new: &Waiting) -> Result<(), Refusal> {
        let engines = self.engine_count();
        let queue = Queue::new(&self.waiting, |job| self.work(job).div_f64(engines));
        let started: Duration = self
            .engines
            .iter()
            .map(|engine| engine.ahead(new.rank))
            .sum();
        let ahead = started.div_f64(engines) + queue.before(new.rank) + new.floor;
        let own = self.end_after(ahead, new.job.prompt_tokens, new.job.answer_tokens);
        if own > new.job.remaining.mul_f64(SAFE_PART) {
            return Err(Refusal::Overloaded(own.saturating_sub(new.job.remaining)));
        }
        let shift = self.work(&new.job).div_f64(engines);
        let admitted = self.admitted(started, &queue);
        for other in admitted.filter(|other| other.rank > new.rank) {
            let end = |ahead| self.end_after(ahead, other.prompt_tokens, other.answer_tokens);
            let limit = other.deadline.since(now).mul_f64(SAFE_PART);
            if end(other.ahead + shift) > limit && end(other.ahead) <= limit {
                return Err(Refusal::Overloaded(shift));
            }
        }
        Ok(())
    }

    /// The jobs that wait or have started, with the work until their first tokens.
    fn admitted(&self, started: Duration, queue: &Queue) -> impl Iterator<Item = Pending> {
        let engines = self.engine_count();
        let waiting = self.waiting.iter().map(move |other| Pending {
            rank: other.rank,
            deadline: other.deadline,
            prompt_tokens: other.job.prompt_tokens,
            answer_tokens: other.job.answer_tokens,
            ahead: started.div_f64(engines) + queue.before(other.rank) + other.floor,
        });
        let flying = self.engines.iter().flat_map(Engine::pending);
        let flying = flying.map(|pending| Pending {
            ahead: pending.ahead + queue.before(pending.rank),
            ..pending
        });
        waiting.chain(flying)
    }

    /// Time until a job ends that has its first token after `ahead` of predicted work.
    fn end_after(&self, ahead: Duration, prompt_tokens: u64, answer_tokens: u64) -> Duration {
        let answer = self
            .engines
            .first()
            .map(|engine| engine.answer_time(answer_tokens));
        ahead.mul_f64(self.correction.of(prompt_tokens)) + answer.unwrap_or_default()
    }
}

/// The work of the waiting jobs, summed up in their order.
struct Queue {
    sums: Vec<(Instant, Duration)>,
}

impl Queue {
    fn new(waiting: &[Waiting], work: impl Fn(&Job) -> Duration) -> Self {
        let mut sum = Duration::ZERO;
        let sums = waiting.iter().map(|other| {
            sum += work(&other.job);
            (other.rank, sum)
        });
        Self {
            sums: sums.collect(),
        }
    }

    /// Work of the jobs whose virtual deadline is before `rank`.
    fn before(&self, rank: Instant) -> Duration {
        let count = self.sums.partition_point(|(other, _)| *other < rank);
        let last = count.checked_sub(1).map(|index| self.sums[index].1);
        last.unwrap_or_default()
    }
}

/// What first tokens have shown about the predictions, for short and for long prompts.
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
    /// The factor for a prompt of `tokens` tokens.
    pub const fn of(&self, tokens: u64) -> f64 {
        if tokens <= LONG_TOKENS {
            self.short
        } else {
            self.long
        }
    }

    /// Moves the factor towards what was measured.
    pub fn learn(&mut self, measured: Measured) {
        const LEAST: f64 = 0.5;
        const MOST: f64 = 4.0;
        if measured.predicted.is_zero() {
            return;
        }
        let current = self.of(measured.prompt_tokens);
        let ratio = measured.took.as_secs_f64() / measured.predicted.as_secs_f64() * current;
        let step = (ratio.clamp(LEAST, MOST) - current) * CORRECTION_WEIGHT;
        if measured.prompt_tokens <= LONG_TOKENS {
            self.short += step;
        } else {
            self.long += step;
        }
    }
}
