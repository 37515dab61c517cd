//! Chooses the engines for one request.

use std::time::Duration;

use super::engine::{Engine, Load};
use super::speed::{Speed, as_f64, duration_from_ms};
use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;

/// Most engines that read one prompt: the one that writes, and the helpers that it takes.
const MAX_ENGINES: usize = 17;
/// Shortest part of a prompt that is worth another engine, in milliseconds of reading.
pub(super) const MIN_PART_MS: f64 = 60.0;
/// Longest part that one engine reads, in milliseconds, unless more engines than one prompt may
/// have would be needed: longer ones hold up what is placed there next.
const MAX_PART_MS: f64 = 450.0;
/// Share of the engines that a prompt may be expected to find free.
const FREE_SHARE: f64 = 0.8;
/// Longest reading that may be placed before on an engine, in milliseconds: requests wait at the
/// hosts, where a better place can still be found.
const MAX_BACKLOG_MS: f64 = 100.0;
/// Time in which the longest part and backlog double for a request that waits.
const WAIT_DOUBLING_MS: f64 = 2_000.0;
/// Most by which the longest part and backlog grow.
const MAX_RELAXATION: f64 = 2.0;
/// What one more reading engine must save of the first token's time, in milliseconds.
const EXTRA_ENGINE_MS: f64 = 40.0;
/// Share of the allowed pause that a predicted pass may take.
const PAUSE_SHARE: f64 = 0.8;
/// Streams whose events may pause no longer than this share engines among themselves.
const TIGHT_PAUSE: Duration = Duration::from_millis(300);
/// Predicted first event up to which tight streams are packed closely, in milliseconds.
const PACKED_FIRST_EVENT_MS: f64 = 170.0;
/// Weight of the common order of engines for tight streams, which keeps the others free.
const TIGHT_FILL_ORDER_MS: f64 = 100.0;
/// Cost of opening one more engine to tight streams, in milliseconds of first token.
const NEW_ENGINE_MS: f64 = 100.0;
/// Cost of putting loose streams or long reading beside tight streams.
const MIXING_MS: f64 = 400.0;
/// Cost of another failure domain: its bytes are paid and its path is longer.
const REMOTE_DOMAIN_MS: f64 = 15.0;
/// Weight of the common order of engines for loose streams, which fill from its other end.
const LOOSE_FILL_ORDER_MS: f64 = 30.0;
/// Share of a free engine's memory that is planned with; predictions and reports lag.
const MEMORY_SHARE: f64 = 0.97;

/// What a request asks of engines.
#[derive(Clone, Debug)]
pub struct Request {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most answer tokens.
    pub answer_tokens: u64,
    /// When the first event is due to be on time.
    pub due: Instant,
    /// When the client gives up.
    pub deadline: Instant,
    /// Longest pause between events with which the answer is on time.
    pub pause: Duration,
    /// Rank; a lower number goes first.
    pub priority: u32,
    /// Whether a part of the answer was delivered, so that its client waits in the middle of it.
    pub answer_started: bool,
    /// Engines that already failed this request.
    pub excluded: Vec<Identity>,
}

/// A share of a prompt that another engine reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub engine: Identity,
    /// Memory to reserve there for the prompt, in tokens; zero for reading alone.
    pub reserved_tokens: u64,
}

/// Where a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The engine that gets the request.
    pub primary: Identity,
    /// Engines that help with reading.
    pub helpers: Vec<Part>,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// The loads that the plan adds.
    pub loads: Vec<(Identity, Load)>,
}

/// Engines and their common speed, seen from one failure domain.
pub(super) struct View<'a> {
    pub engines: Vec<&'a Engine>,
    pub speed: &'a Speed,
    pub domain: &'a Domain,
    pub now: Instant,
}

/// Memory of one engine that plans may use, in tokens.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn usable_tokens(speed: &Speed) -> u64 {
    (as_f64(speed.profile().memory_tokens) * MEMORY_SHARE) as u64
}

/// Whether so many engines, all free, could hold a request.
pub(super) fn fits_in_memory(speed: &Speed, engines: usize, request: &Request) -> bool {
    let most = engines.min(MAX_ENGINES) as u64;
    request.prompt_tokens + request.answer_tokens <= usable_tokens(speed).saturating_mul(most)
}

/// The least number of engines over which a prompt that takes `total_ms` to read is spread.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn min_engines(total_ms: f64) -> usize {
    ((total_ms / MAX_PART_MS).ceil() as usize).clamp(1, MAX_ENGINES)
}

/// What a plan needs of an engine, whatever the number of parts.
struct Estimate<'a> {
    engine: &'a Engine,
    backlog_ms: f64,
    helper_ms: f64,
    pass_ms: f64,
    shortest_pause: Option<Duration>,
}

struct Candidate<'a> {
    engine: &'a Engine,
    /// Milliseconds until a part would be read here as the engine's own prompt.
    primary_ms: f64,
    /// Milliseconds until a part would be read here for another engine.
    helper_ms: f64,
    cost: f64,
}

impl View<'_> {
    /// The best plan that harms no running stream, or `None` when there is none now.
    pub fn plan(&self, request: &Request, waited: Duration) -> Option<Plan> {
        let total = self.speed.prefill_ms(request.prompt_tokens);
        let engines = as_f64(self.engines.len() as u64) * FREE_SHARE;
        let least = total / engines.min(as_f64(MAX_ENGINES as u64)).max(1.0);
        let relaxation =
            (1.0 + waited.as_secs_f64() * 1_000.0 / WAIT_DOUBLING_MS).min(MAX_RELAXATION);
        let longest = MAX_PART_MS.max(least) * relaxation;
        let estimates: Vec<_> = self
            .engines
            .iter()
            .filter(|engine| !request.excluded.contains(&engine.identity))
            .map(|engine| self.estimate(engine))
            .collect();
        let mut best: Option<(f64, Plan)> = None;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = ((total / MIN_PART_MS) as usize).clamp(1, MAX_ENGINES);
        for count in 1..=most {
            if total / as_f64(count as u64) > longest {
                continue;
            }
            let Some(plan) = self.split(
                &estimates,
                request,
                count,
                total / as_f64(count as u64),
                relaxation,
            ) else {
                continue;
            };
            let extra = f64::from(u32::try_from(count - 1).unwrap_or(u32::MAX));
            let cost = plan.first_event.as_secs_f64() * 1_000.0 + extra * EXTRA_ENGINE_MS;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    fn estimate<'a>(&self, engine: &'a Engine) -> Estimate<'a> {
        Estimate {
            engine,
            backlog_ms: engine.backlog_ms(self.now),
            helper_ms: engine.helper_backlog_ms(self.now),
            pass_ms: engine.pass_ms(self.speed, 0),
            shortest_pause: engine.shortest_pause(),
        }
    }

    fn split(
        &self,
        estimates: &[Estimate<'_>],
        request: &Request,
        count: usize,
        part_ms: f64,
        relaxation: f64,
    ) -> Option<Plan> {
        let mut candidates: Vec<_> = estimates
            .iter()
            .filter_map(|estimate| self.candidate(estimate, request, part_ms, relaxation))
            .collect();
        if candidates.len() < count {
            return None;
        }
        candidates.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let wanted = request.prompt_tokens + request.answer_tokens;
        let fits = |candidate: &Candidate<'_>| self.free_tokens(candidate.engine) >= wanted;
        let has_slot = |candidate: &Candidate<'_>| self.has_free_slot(candidate.engine);
        let mut places = candidates.iter();
        let primary = places
            .position(|candidate| has_slot(candidate) && fits(candidate))
            .or_else(|| candidates.iter().position(has_slot).filter(|_| count > 1))?;
        let primary = candidates.remove(primary);
        candidates.truncate(count - 1);
        let reservations = self.reservations(primary.engine, &candidates, wanted)?;
        Some(self.build(request, &primary, &candidates, &reservations, part_ms))
    }

    /// Weighs an engine for reading a part, unless that harms streams that run there.
    fn candidate<'a>(
        &self,
        estimate: &Estimate<'a>,
        request: &Request,
        part_ms: f64,
        relaxation: f64,
    ) -> Option<Candidate<'a>> {
        let engine = estimate.engine;
        let slots = self.speed.profile().slots as usize;
        if engine.helper_parts() >= slots {
            return None;
        }
        let backlog = estimate.backlog_ms;
        if backlog > MAX_BACKLOG_MS * relaxation {
            return None;
        }
        let (pass, shortest_pause) = (estimate.pass_ms, estimate.shortest_pause);
        let has_tight = shortest_pause.is_some_and(|pause| pause <= TIGHT_PAUSE);
        if let Some(pause) = shortest_pause
            && pass + backlog + part_ms > pause.as_secs_f64() * 1_000.0 * PAUSE_SHARE
        {
            return None;
        }
        let pass_wait = if shortest_pause.is_some() {
            pass / 2.0
        } else {
            0.0
        };
        let primary_ms = backlog + pass_wait + part_ms;
        let mut cost = if request.pause <= TIGHT_PAUSE {
            tight_cost(engine, primary_ms + pass, has_tight)
        } else {
            let mixing = if has_tight { MIXING_MS } else { 0.0 };
            backlog + pass + mixing + (1.0 - engine.fill_order) * LOOSE_FILL_ORDER_MS
        };
        if engine.domain != *self.domain {
            cost += REMOTE_DOMAIN_MS;
        }
        Some(Candidate {
            engine,
            primary_ms,
            helper_ms: estimate.helper_ms + pass_wait + part_ms,
            cost,
        })
    }

    /// Whether the request itself can go to `engine`.
    fn has_free_slot(&self, engine: &Engine) -> bool {
        engine.decoding() < self.speed.profile().slots as usize
    }

    fn free_tokens(&self, engine: &Engine) -> u64 {
        usable_tokens(self.speed).saturating_sub(engine.used_tokens())
    }

    /// Memory to reserve at each helper, or `None` when all together cannot hold the request.
    fn reservations(
        &self,
        primary: &Engine,
        helpers: &[Candidate<'_>],
        wanted: u64,
    ) -> Option<Vec<u64>> {
        let mut missing = wanted.saturating_sub(self.free_tokens(primary));
        if missing == 0 {
            return Some(vec![0; helpers.len()]);
        }
        let mut reservations = Vec::with_capacity(helpers.len());
        for (index, helper) in helpers.iter().enumerate() {
            let left = (helpers.len() - index) as u64;
            let share = missing.div_ceil(left).min(self.free_tokens(helper.engine));
            reservations.push(share);
            missing -= share;
        }
        (missing == 0).then_some(reservations)
    }

    fn build(
        &self,
        request: &Request,
        primary: &Candidate<'_>,
        helpers: &[Candidate<'_>],
        reservations: &[u64],
        part_ms: f64,
    ) -> Plan {
        let reserved: u64 = reservations.iter().sum();
        let pass = primary.engine.pass_ms(
            self.speed,
            request.prompt_tokens - reserved.min(request.prompt_tokens),
        );
        let slowest = helpers.iter().map(|helper| helper.helper_ms);
        let prefill_ms = slowest.fold(primary.primary_ms, f64::max);
        let stride = u64::from(self.speed.profile().stride.max(1));
        let passes = as_f64(request.answer_tokens.div_ceil(stride));
        let ends_by = self.after(prefill_ms + passes * pass);
        let prefill_time = duration_from_ms(part_ms);
        let mut loads = vec![(
            primary.engine.identity,
            Load {
                tokens: (request.prompt_tokens + request.answer_tokens).saturating_sub(reserved),
                prefill_time,
                prefilled_by: self.after(primary.primary_ms),
                prefilled: false,
                ends_by,
                decodes: true,
                pause: request.pause,
                snapshot: 0,
            },
        )];
        let mut parts = Vec::with_capacity(helpers.len());
        for (helper, reserve) in helpers.iter().zip(reservations) {
            let prefilled_by = self.after(helper.helper_ms);
            let load = Load {
                tokens: *reserve,
                prefill_time,
                prefilled_by,
                prefilled: false,
                ends_by: if *reserve == 0 { prefilled_by } else { ends_by },
                decodes: false,
                pause: request.pause,
                snapshot: 0,
            };
            loads.push((helper.engine.identity, load));
            parts.push(Part {
                engine: helper.engine.identity,
                reserved_tokens: *reserve,
            });
        }
        Plan {
            primary: primary.engine.identity,
            helpers: parts,
            first_event: duration_from_ms(prefill_ms + pass),
            loads,
        }
    }

    fn after(&self, millis: f64) -> Instant {
        self.now + duration_from_ms(millis)
    }
}

/// Packs tight streams on few engines as long as they are on time there.
fn tight_cost(engine: &Engine, event_ms: f64, has_tight: bool) -> f64 {
    let excess = (event_ms - PACKED_FIRST_EVENT_MS).max(0.0);
    let new_engine = match (has_tight, engine.decoding()) {
        (true, _) => 0.0,
        (false, 0) => NEW_ENGINE_MS,
        (false, _) => NEW_ENGINE_MS + MIXING_MS,
    };
    excess + new_engine + engine.fill_order * TIGHT_FILL_ORDER_MS
}
