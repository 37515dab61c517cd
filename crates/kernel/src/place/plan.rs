//! Chooses the engines for one request by predicted time to the first event and the effect on
//! running streams.

use std::collections::HashSet;
use std::time::Duration;

use super::cost::Reading;
use super::engine::{Engine, Load};
use super::path::{Paths, Price, Stream};
use super::speed::{Speed, as_f64, duration_from_ms};
use super::value::Origin;
use crate::catalogue::Identity;
use crate::clock::Instant;

/// Maximum number of engines that prefill one prompt: the primary engine and the helpers that it
/// accepts.
const MAX_ENGINES: usize = 17;
/// Minimum prefill time of a prompt part that justifies another engine.
pub(super) const MIN_PART_MS: f64 = 60.0;
/// Preferred maximum prefill time of a part on one engine. Longer parts delay the next requests on
/// that engine. The limit is raised if the prompt would need more than `MAX_ENGINES` or more engines
/// than are expected to be free, and again if fewer engines are free now.
const MAX_PART_MS: f64 = 450.0;
/// Fraction of the engines that are expected to be free for a prompt.
const FREE_SHARE: f64 = 0.8;
/// Maximum prefill backlog of an engine that receives a request. With a larger backlog, requests
/// wait at the hosts, where a better engine can still be chosen.
const MAX_BACKLOG_MS: f64 = 100.0;
/// Maximum prefill backlog of an engine that receives a part of a split prompt. Engines prefill the
/// part that arrived last first, so a new part delays each unread prompt of its engine, and with it
/// all engines of that prompt, by its own prefill time. The rest of a prompt that is read within this
/// time is read before the new part arrives.
const MAX_UNREAD_MS: f64 = 10.0;
/// Waiting time after which the maximum part and backlog of a request are doubled.
const WAIT_DOUBLING_MS: f64 = 2_000.0;
/// Maximum factor by which the maximum part and backlog are raised.
const MAX_RELAXATION: f64 = 2.0;
/// Share of the time until a request is due which a plan with longer parts may take to the first
/// event. The rest is for errors of the prediction.
const TIME_SHARE: f64 = 0.9;
/// Time to the first event that each additional engine must save.
const EXTRA_ENGINE_MS: f64 = 40.0;
/// Fraction of the allowed pause that a predicted pass may use.
const PAUSE_SHARE: f64 = 0.8;
/// Fraction of an engine's memory that plans may use, because predictions and reports lag behind.
const MEMORY_SHARE: f64 = 0.97;

/// Resource needs and time limits of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of answer tokens.
    pub answer_tokens: u64,
    /// Time at which the first event is due to meet the objective.
    pub due: Instant,
    /// Time at which the client gives up.
    pub deadline: Instant,
    /// Maximum pause between events that meets the objective.
    pub pause: Duration,
    /// Priority; requests with a lower number start first.
    pub priority: u32,
    /// Whether part of the answer has been delivered, so that the client waits for the rest of it.
    pub answer_started: bool,
    /// Engines that have already failed this request.
    pub excluded: Vec<Identity>,
    /// Where the request comes from.
    pub origin: Origin,
}

/// Part of a prompt that a helper engine prefills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the helper engine.
    pub engine: Identity,
    /// Memory to reserve on the helper for the prompt, in tokens; zero if it only prefills.
    pub reserved_tokens: u64,
}

/// Placement of a request on engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Engine that receives the request and decodes the answer.
    pub primary: Identity,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<Part>,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Predicted time between two events.
    pub pass: Duration,
    /// Loads that the plan adds, with their engines.
    pub loads: Vec<(Identity, Load)>,
}

/// Engines of a service, their common speed, and the paths from this host to them.
pub(super) struct View<'a> {
    pub engines: Vec<&'a Engine>,
    pub speed: &'a Speed,
    pub paths: &'a Paths,
    /// Factor by which cold engines are slower.
    pub slowness: f64,
    /// Engines to which this host holds an idle connection, if this is known.
    pub connected: Option<&'a HashSet<Identity>>,
    pub now: Instant,
}

/// Returns the memory of one engine that plans may use, in tokens.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn usable_tokens(speed: &Speed) -> u64 {
    (as_f64(speed.profile().memory_tokens) * MEMORY_SHARE) as u64
}

/// Returns whether a request fits in the memory of `engines` free engines.
pub(super) fn fits_in_memory(speed: &Speed, engines: usize, request: &Request) -> bool {
    let most = engines.min(MAX_ENGINES) as u64;
    request.prompt_tokens + request.answer_tokens <= usable_tokens(speed).saturating_mul(most)
}

/// Returns the minimum number of engines for a prompt with `total_ms` of prefill.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn min_engines(total_ms: f64) -> usize {
    ((total_ms / MAX_PART_MS).ceil() as usize).clamp(1, MAX_ENGINES)
}

/// Prefill time of a prompt on one engine, and limits of the plans for it, in milliseconds.
#[derive(Clone, Copy)]
struct Bounds {
    prefill: f64,
    /// Maximum prefill time of a part.
    max_part: f64,
    /// Maximum prefill backlog of an engine that prefills the whole prompt.
    max_backlog: f64,
}

/// Values of an engine that do not depend on the number of parts, computed once per plan.
struct Estimate<'a> {
    engine: &'a Engine,
    backlog_ms: f64,
    pass_ms: f64,
    shortest_pause: Option<Duration>,
    path: Price,
    opening_ms: f64,
}

struct Candidate<'a> {
    engine: &'a Engine,
    /// Milliseconds until the part would be prefilled with this engine as primary.
    primary_ms: f64,
    /// Milliseconds until the part would be prefilled with this engine as helper.
    helper_ms: f64,
    /// Milliseconds by which the path delays the first event.
    path_ms: f64,
    cost: f64,
}

impl View<'_> {
    /// Returns the plan with the lowest cost that delays no running stream beyond its pause, or
    /// `None` if there is none now.
    ///
    /// The limits on parts and backlog are relaxed with the time that the request has `waited`. If
    /// too few engines are free for parts of the preferred length, parts are as long as the objective
    /// allows: waiting for more engines would leave the free ones idle. A late prompt waits for more
    /// engines, because it would hold the free ones for longest.
    pub fn plan(&self, request: &Request, waited: Duration) -> Option<Plan> {
        let total_ms = self.speed.prefill_ms(request.prompt_tokens);
        let expected_free = as_f64(self.engines.len() as u64) * FREE_SHARE;
        let min_part_ms = total_ms / expected_free.min(as_f64(MAX_ENGINES as u64)).max(1.0);
        let relaxation =
            (1.0 + waited.as_secs_f64() * 1_000.0 / WAIT_DOUBLING_MS).min(MAX_RELAXATION);
        let max_part_ms = MAX_PART_MS.max(min_part_ms) * relaxation;
        let estimates: Vec<_> = self
            .engines
            .iter()
            .filter(|engine| !request.excluded.contains(&engine.identity))
            .map(|engine| self.estimate(engine, request))
            .collect();
        let bounds = Bounds {
            prefill: total_ms,
            max_part: max_part_ms,
            max_backlog: MAX_BACKLOG_MS * relaxation,
        };
        let longer = Bounds {
            max_part: request.due.since(self.now).as_secs_f64() * 1_000.0 * TIME_SHARE,
            ..bounds
        };
        let plan = self.cheapest(&estimates, request, &bounds);
        if plan.is_some() || bounds.max_part >= longer.max_part.min(total_ms) {
            return plan;
        }
        let plan = self.cheapest(&estimates, request, &longer);
        plan.filter(|plan| plan.first_event <= duration_from_ms(longer.max_part))
    }

    /// Returns the plan with the lowest cost over all numbers of engines.
    fn cheapest(
        &self,
        estimates: &[Estimate<'_>],
        request: &Request,
        bounds: &Bounds,
    ) -> Option<Plan> {
        let mut best: Option<(f64, Plan)> = None;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let max_count = ((bounds.prefill / MIN_PART_MS) as usize).clamp(1, MAX_ENGINES);
        for count in 1..=max_count {
            if bounds.prefill / as_f64(count as u64) > bounds.max_part {
                continue;
            }
            let Some(plan) = self.split(estimates, request, count, bounds) else {
                continue;
            };
            let extra = f64::from(u32::try_from(count - 1).unwrap_or(u32::MAX));
            let cost = plan.first_event.as_secs_f64() * 1_000.0 + extra * EXTRA_ENGINE_MS;
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    fn estimate<'a>(&self, engine: &'a Engine, request: &Request) -> Estimate<'a> {
        let pass_ms = engine.pass_ms(self.speed, 0) * self.slowdown(engine);
        let stream = Stream {
            events: as_f64(self.events(request)),
            pause: request.pause,
            pass_ms,
        };
        Estimate {
            engine,
            backlog_ms: engine.backlog_ms(self.now),
            pass_ms,
            shortest_pause: engine.shortest_pause(),
            path: self.paths.price(&engine.domain, &stream, self.now),
            opening_ms: self.opening_ms(engine),
        }
    }

    /// Returns the price of opening a connection to an engine, which is zero if none is needed.
    fn opening_ms(&self, engine: &Engine) -> f64 {
        match self.connected {
            Some(connected) if !connected.contains(&engine.identity) => {
                self.paths.opening_price_ms(&engine.domain, self.now)
            }
            _ => 0.0,
        }
    }

    fn split(
        &self,
        estimates: &[Estimate<'_>],
        request: &Request,
        count: usize,
        bounds: &Bounds,
    ) -> Option<Plan> {
        let part_ms = bounds.prefill / as_f64(count as u64);
        let max_backlog_ms = if count > 1 {
            MAX_UNREAD_MS
        } else {
            bounds.max_backlog
        };
        let mut candidates: Vec<_> = estimates
            .iter()
            .filter(|estimate| estimate.backlog_ms <= max_backlog_ms)
            .filter_map(|estimate| self.candidate(estimate, request, part_ms))
            .collect();
        if candidates.len() < count {
            return None;
        }
        candidates.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let wanted = request.prompt_tokens + request.answer_tokens;
        let fits = |candidate: &Candidate<'_>| self.free_tokens(candidate.engine) >= wanted;
        let has_slot = |candidate: &Candidate<'_>| self.has_free_slot(candidate.engine);
        let mut ordered = candidates.iter();
        let primary = ordered
            .position(|candidate| has_slot(candidate) && fits(candidate))
            .or_else(|| candidates.iter().position(has_slot).filter(|_| count > 1))?;
        let primary = candidates.remove(primary);
        // Reservations and parts of prompts would come on top of the requests that an engine
        // limits.
        candidates.retain(|candidate| candidate.engine.pacer.limit().is_none());
        if self.free_tokens(primary.engine) < wanted {
            // Reservations are renewed out of turn.
            candidates.retain(|candidate| !candidate.engine.pacer.is_cold(self.now));
        }
        if candidates.len() < count - 1 {
            return None;
        }
        candidates.truncate(count - 1);
        let reservations = self.reservations(primary.engine, &candidates, wanted)?;
        Some(self.build(request, &primary, &candidates, &reservations, part_ms))
    }

    /// Computes the cost of prefilling a part on an engine.
    ///
    /// Returns `None` if the engine has no room or the part would delay streams on it too long.
    fn candidate<'a>(
        &self,
        estimate: &Estimate<'a>,
        request: &Request,
        part_ms: f64,
    ) -> Option<Candidate<'a>> {
        let engine = estimate.engine;
        let part_ms = part_ms * self.slowdown(engine);
        let slots = self.speed.profile().slots as usize;
        if engine.helper_parts() >= slots {
            return None;
        }
        let backlog = estimate.backlog_ms;
        let (pass, shortest_pause) = (estimate.pass_ms, estimate.shortest_pause);
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
        let reading = Reading {
            engine,
            backlog_ms: backlog,
            pass_ms: pass,
            event_ms: primary_ms + pass + estimate.path.delay_ms,
            is_cold: engine.pacer.is_cold(self.now),
        };
        let path_cost = estimate.path.cost_ms + estimate.opening_ms;
        Some(Candidate {
            engine,
            primary_ms,
            helper_ms: pass_wait + part_ms,
            path_ms: estimate.path.delay_ms,
            cost: reading.cost(request.pause) + path_cost,
        })
    }

    /// Returns the factor by which the engine is slower than its published profile.
    fn slowdown(&self, engine: &Engine) -> f64 {
        if engine.pacer.is_cold(self.now) {
            self.slowness
        } else {
            1.0
        }
    }

    /// Returns whether the engine has a free slot to decode the answer.
    fn has_free_slot(&self, engine: &Engine) -> bool {
        engine.decoding() < self.speed.profile().slots as usize
    }

    fn free_tokens(&self, engine: &Engine) -> u64 {
        usable_tokens(self.speed).saturating_sub(engine.used_tokens())
    }

    /// Returns the memory to reserve on each helper, or `None` if all engines together cannot hold
    /// the request.
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
        let local = request.prompt_tokens - reserved.min(request.prompt_tokens);
        let pass = primary.engine.pass_ms(self.speed, local) * self.slowdown(primary.engine);
        let slowest = helpers.iter().map(|helper| helper.helper_ms);
        let prefill_ms = slowest.fold(primary.primary_ms, f64::max);
        let passes = as_f64(self.events(request));
        let ends_by = self.after(prefill_ms + passes * pass);
        let prefill_time = |engine| duration_from_ms(part_ms * self.slowdown(engine));
        let mut loads = vec![(
            primary.engine.identity,
            Load {
                tokens: (request.prompt_tokens + request.answer_tokens).saturating_sub(reserved),
                prefill_time: prefill_time(primary.engine),
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
                prefill_time: prefill_time(helper.engine),
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
            first_event: duration_from_ms(prefill_ms + pass + primary.path_ms),
            pass: duration_from_ms(pass),
            loads,
        }
    }

    /// Returns the number of events of an answer, one for each pass.
    fn events(&self, request: &Request) -> u64 {
        let stride = u64::from(self.speed.profile().stride.max(1));
        request.answer_tokens.div_ceil(stride)
    }

    fn after(&self, millis: f64) -> Instant {
        self.now + duration_from_ms(millis)
    }
}
