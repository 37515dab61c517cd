//! Gang scheduling: reserves several engines at once for a prompt that fits into no single engine.
//!
//! A gang is the parts of such a prompt, one for each engine. It reserves all its engines in one
//! step or none of them. While the first gang in the queue waits for memory, it earmarks engines.
//! Only one gang has an earmark at a time, so two gangs cannot deadlock by holding engines that the
//! other needs. Small requests still start on earmarked engines, so that these do not fall idle.

use std::collections::BTreeSet;

use crate::clock::Instant;
use crate::name::Endpoint;
use crate::request::Attempt;

use super::engine::Engine;
use super::job::Waiting;

/// Maximum fraction of the largest engine's memory that one part of a prompt may use.
const PART_MEMORY_FRACTION: f64 = 0.8;
/// Requests that need less than this fraction of an engine's memory ignore an earmark.
const SMALL_REQUEST_FRACTION: f64 = 0.1;

/// The engines held back for the first gang in the queue.
#[derive(Debug, Default)]
pub(super) struct Earmark {
    owner: Option<Attempt>,
    engines: BTreeSet<Endpoint>,
}

/// The size of a gang: the number of engines, and the prompt and KV tokens of each part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Shape {
    pub engines: usize,
    pub part_tokens: u64,
    pub part_kv: u64,
}

/// Returns the size of the gang that `waiting` needs, or `None` if one engine can hold the request
/// or the pool is empty.
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
    /// Returns the indexes of the engines for the gang, in order of their names.
    ///
    /// If too few engines have enough free memory, earmarks as many as the gang needs and returns
    /// `None`: first those already earmarked, then those that lack the least memory. Also returns
    /// `None` while another gang has the earmark.
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

    /// Returns whether a request of `kv_tokens` may start on `engine`: the engine is not earmarked
    /// or the request is small.
    #[allow(clippy::cast_precision_loss)]
    pub fn admits(&self, engine: &Engine, kv_tokens: u64) -> bool {
        let small_limit = engine.report().kv_total as f64 * SMALL_REQUEST_FRACTION;
        (kv_tokens as f64) < small_limit || !self.engines.contains(&engine.report().endpoint)
    }

    /// Drops the earmark if `attempt` owns it.
    pub fn release(&mut self, attempt: Attempt) {
        if self.owner == Some(attempt) {
            self.owner = None;
            self.engines.clear();
        }
    }
}

/// Returns the indexes of the engines that are not draining and whose memory can hold one part.
///
/// Engines that failed the request before are included only if there are too few others.
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
