//! Reserves several engines at once for a prompt that fits into none.
//!
//! Either all engines of a gang are reserved in one step or none is. While the first waiting gang
//! gathers memory, it earmarks engines in a fixed order; only one gang earmarks at a time, so two
//! gangs cannot each hold what the other needs. Requests that are small beside the gang's part
//! still start on earmarked engines, so the fleet is not drained.

use std::collections::BTreeSet;

use crate::clock::Instant;
use crate::name::Endpoint;
use crate::request::Attempt;

use super::engine::Engine;
use super::job::Waiting;

/// Part of an engine's memory that one part of a gang may fill.
const PART_MEMORY_FRACTION: f64 = 0.8;
/// Requests that need less than this part of an engine's memory ignore an earmark.
const SMALL_REQUEST_FRACTION: f64 = 0.1;

/// The engines that the first waiting gang is gathering.
#[derive(Debug, Default)]
pub(super) struct Earmark {
    owner: Option<Attempt>,
    engines: BTreeSet<Endpoint>,
}

/// The shape of a gang: how many engines, and the prompt tokens of each part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Shape {
    pub engines: usize,
    pub part_tokens: u64,
    pub part_kv: u64,
}

/// The gang that `waiting` needs, or `None` when it fits into one engine.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub(super) fn shape(engines: &[Engine], waiting: &Waiting) -> Option<Shape> {
    let largest = engines
        .iter()
        .map(|engine| engine.report().kv_total)
        .max()?;
    if waiting.job.kv_tokens() <= largest {
        return None;
    }
    let part = ((largest as f64) * PART_MEMORY_FRACTION).max(1.0) as u64;
    let count = waiting.job.kv_tokens().div_ceil(part);
    let part_tokens = waiting.job.prompt_tokens.div_ceil(count);
    Some(Shape {
        engines: usize::try_from(count).unwrap_or(usize::MAX),
        part_tokens,
        part_kv: part_tokens + waiting.job.answer_tokens,
    })
}

impl Earmark {
    /// Reserves engines for `shape`, or earmarks them and returns `None`.
    pub fn reserve(
        &mut self,
        now: Instant,
        engines: &[Engine],
        waiting: &Waiting,
        shape: Shape,
    ) -> Option<Vec<usize>> {
        if self.owner.is_some_and(|owner| owner != waiting.job.attempt) {
            return None;
        }
        let mut order = eligible(engines, waiting, shape);
        order.sort_by_key(|index| {
            let engine = &engines[*index];
            let earmarked = self.engines.contains(&engine.report().endpoint);
            let missing = shape.part_kv.saturating_sub(engine.kv_free());
            (
                !earmarked,
                missing,
                engine.prefill_ahead(now),
                engine.report().endpoint.clone(),
            )
        });
        order.truncate(shape.engines);
        let ready = |index: &usize| engines[*index].kv_free() >= shape.part_kv;
        if order.len() == shape.engines && order.iter().all(ready) {
            self.release(waiting.job.attempt);
            order.sort_by_key(|index| engines[*index].report().endpoint.clone());
            return Some(order);
        }
        self.owner = Some(waiting.job.attempt);
        self.engines = order
            .iter()
            .map(|index| engines[*index].report().endpoint.clone())
            .collect();
        None
    }

    /// Whether `kv_tokens` may start on `engine` in spite of the earmark.
    #[allow(clippy::cast_precision_loss)]
    pub fn admits(&self, engine: &Engine, kv_tokens: u64) -> bool {
        let small_limit = engine.report().kv_total as f64 * SMALL_REQUEST_FRACTION;
        (kv_tokens as f64) < small_limit || !self.engines.contains(&engine.report().endpoint)
    }

    /// Drops the earmark of `attempt`, if it is the owner.
    pub fn release(&mut self, attempt: Attempt) {
        if self.owner == Some(attempt) {
            self.owner = None;
            self.engines.clear();
        }
    }
}

/// The engines that could hold a part; those that failed the request only when the others are too
/// few.
fn eligible(engines: &[Engine], waiting: &Waiting, shape: Shape) -> Vec<usize> {
    let fitting = |index: &usize| {
        let report = engines[*index].report();
        !report.leaving && report.kv_total >= shape.part_kv
    };
    let avoided = |index: &usize| {
        waiting
            .job
            .avoid
            .contains(&engines[*index].report().endpoint)
    };
    let all: Vec<_> = (0..engines.len()).filter(fitting).collect();
    let preferred: Vec<_> = all
        .iter()
        .copied()
        .filter(|index| !avoided(index))
        .collect();
    if preferred.len() >= shape.engines {
        preferred
    } else {
        all
    }
}
