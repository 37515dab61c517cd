//! Chooses the engines for one request.

use std::time::Duration;

use super::engine::{Engine, Load};
use super::speed::{Speed, as_f64, time};
use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;

/// Most engines that read one prompt: the one that writes, and the helpers that it takes.
const MOST_ENGINES: usize = 17;
/// Shortest part of a prompt that is worth another engine, in milliseconds of reading.
pub(super) const LEAST_PART_MS: f64 = 60.0;
/// Longest part that one engine reads, in milliseconds, unless more engines than one prompt may
/// have would be needed: longer ones hold up what is placed there next.
const LONGEST_PART_MS: f64 = 450.0;
/// Share of the engines that a prompt may be expected to find free.
const FREE_SHARE: f64 = 0.8;
/// Longest reading that may be placed before on an engine, in milliseconds: requests wait at the
/// hosts, where a better place can still be found.
const LONGEST_BACKLOG_MS: f64 = 100.0;
/// Time in which the longest part and backlog double for a request that waits.
const PATIENCE_MS: f64 = 2_000.0;
/// Most by which the longest part and backlog grow.
const MOST_PATIENCE: f64 = 2.0;
/// What one more reading engine must save of the first token's time, in milliseconds.
const ENGINE_PRICE_MS: f64 = 40.0;
/// Share of the allowed pause that a predicted pass may take.
const PAUSE_SHARE: f64 = 0.8;
/// Streams whose events may pause no longer than this share engines among themselves.
const TIGHT_PAUSE: Duration = Duration::from_millis(300);
/// Predicted first event up to which tight streams are packed closely, in milliseconds.
const COMFORT_MS: f64 = 170.0;
/// Weight of the common order of engines for tight streams, which keeps the others free.
const PACKING_MS: f64 = 100.0;
/// Cost of opening one more engine to tight streams, in milliseconds of first token.
const OPENING_MS: f64 = 100.0;
/// Cost of putting loose streams or long reading beside tight streams.
const MIXING_MS: f64 = 400.0;
/// Cost of another failure domain: its bytes are paid and its path is longer.
const DOMAIN_MS: f64 = 15.0;
/// Weight of the common order of engines for loose streams, which fill from its other end.
const RANK_MS: f64 = 30.0;
/// Share of a free engine's memory that is planned with; predictions and reports lag.
const MEMORY_SHARE: f64 = 0.97;

/// What a request asks of engines.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Prompt tokens.
    pub prompt: u64,
    /// Most answer tokens.
    pub answer: u64,
    /// When the first event is due to be on time.
    pub due: Instant,
    /// When the client gives up.
    pub deadline: Instant,
    /// Longest pause between events with which the answer is on time.
    pub pause: Duration,
    /// Rank; a lower number goes first.
    pub priority: u32,
    /// Whether a part of the answer was delivered, so that its client waits in the middle of it.
    pub begun: bool,
    /// Engines that already failed this request.
    pub excluded: Vec<Identity>,
}

/// A share of a prompt that another engine reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub engine: Identity,
    /// Memory to reserve there for the prompt, in tokens; zero for reading alone.
    pub reserve: u64,
}

/// Where a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The engine that gets the request.
    pub first: Identity,
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
pub(super) fn could_hold(speed: &Speed, engines: usize, ask: &Ask) -> bool {
    let most = engines.min(MOST_ENGINES) as u64;
    ask.prompt + ask.answer <= usable_tokens(speed).saturating_mul(most)
}

/// The least number of engines over which a prompt that takes `total_ms` to read is spread.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn reading_engines(total_ms: f64) -> usize {
    ((total_ms / LONGEST_PART_MS).ceil() as usize).clamp(1, MOST_ENGINES)
}

/// What a plan needs of an engine, whatever the number of parts.
struct Figures<'a> {
    engine: &'a Engine,
    backlog_ms: f64,
    helping_ms: f64,
    pass_ms: f64,
    tightest: Option<Duration>,
}

struct Candidate<'a> {
    engine: &'a Engine,
    /// Milliseconds until a part would be read here as the engine's own prompt.
    own_ms: f64,
    /// Milliseconds until a part would be read here for another engine.
    helping_ms: f64,
    cost: f64,
}

impl View<'_> {
    /// The best plan that harms no running stream, or `None` when there is none now.
    pub fn plan(&self, ask: &Ask, waited: Duration) -> Option<Plan> {
        let total = self.speed.read_ms(ask.prompt);
        let engines = as_f64(self.engines.len() as u64) * FREE_SHARE;
        let least = total / engines.min(as_f64(MOST_ENGINES as u64)).max(1.0);
        let patience = (1.0 + waited.as_secs_f64() * 1_000.0 / PATIENCE_MS).min(MOST_PATIENCE);
        let longest = LONGEST_PART_MS.max(least) * patience;
        let figures: Vec<_> = self
            .engines
            .iter()
            .filter(|engine| !ask.excluded.contains(&engine.identity))
            .map(|engine| self.figures(engine))
            .collect();
        let mut best: Option<(f64, Plan)> = None;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = ((total / LEAST_PART_MS) as usize).clamp(1, MOST_ENGINES);
        for count in 1..=most {
            if total / as_f64(count as u64) > longest {
                continue;
            }
            let Some(plan) =
                self.split(&figures, ask, count, total / as_f64(count as u64), patience)
            else {
                continue;
            };
            let extra = f64::from(u32::try_from(count - 1).unwrap_or(u32::MAX));
            let cost = plan.first_event.as_secs_f64() * 1_000.0 + extra * ENGINE_PRICE_MS;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    fn figures<'a>(&self, engine: &'a Engine) -> Figures<'a> {
        Figures {
            engine,
            backlog_ms: engine.backlog_ms(self.now),
            helping_ms: engine.helping_ms(self.now),
            pass_ms: engine.pass_ms(self.speed, 0),
            tightest: engine.tightest(),
        }
    }

    fn split(
        &self,
        figures: &[Figures<'_>],
        ask: &Ask,
        count: usize,
        part_ms: f64,
        patience: f64,
    ) -> Option<Plan> {
        let mut candidates: Vec<_> = figures
            .iter()
            .filter_map(|figures| self.candidate(figures, ask, part_ms, patience))
            .collect();
        if candidates.len() < count {
            return None;
        }
        candidates.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let wanted = ask.prompt + ask.answer;
        let whole = |candidate: &Candidate<'_>| self.free(candidate.engine) >= wanted;
        let writes = |candidate: &Candidate<'_>| self.can_write(candidate.engine);
        let mut places = candidates.iter();
        let first = places
            .position(|candidate| writes(candidate) && whole(candidate))
            .or_else(|| candidates.iter().position(writes).filter(|_| count > 1))?;
        let first = candidates.remove(first);
        candidates.truncate(count - 1);
        let reserves = self.reserves(first.engine, &candidates, wanted)?;
        Some(self.build(ask, &first, &candidates, &reserves, part_ms))
    }

    /// Weighs an engine for reading a part, unless that harms streams that run there.
    fn candidate<'a>(
        &self,
        figures: &Figures<'a>,
        ask: &Ask,
        part_ms: f64,
        patience: f64,
    ) -> Option<Candidate<'a>> {
        let engine = figures.engine;
        let slots = self.speed.profile().slots as usize;
        if engine.helping() >= slots {
            return None;
        }
        let backlog = figures.backlog_ms;
        if backlog > LONGEST_BACKLOG_MS * patience {
            return None;
        }
        let (pass, tightest) = (figures.pass_ms, figures.tightest);
        let tight_here = tightest.is_some_and(|pause| pause <= TIGHT_PAUSE);
        if let Some(pause) = tightest
            && pass + backlog + part_ms > pause.as_secs_f64() * 1_000.0 * PAUSE_SHARE
        {
            return None;
        }
        let waiting_pass = if tightest.is_some() { pass / 2.0 } else { 0.0 };
        let own_ms = backlog + waiting_pass + part_ms;
        let mut cost = if ask.pause <= TIGHT_PAUSE {
            tight_cost(engine, own_ms + pass, tight_here)
        } else {
            let mixing = if tight_here { MIXING_MS } else { 0.0 };
            backlog + pass + mixing + (1.0 - engine.rank) * RANK_MS
        };
        if engine.domain != *self.domain {
            cost += DOMAIN_MS;
        }
        Some(Candidate {
            engine,
            own_ms,
            helping_ms: figures.helping_ms + waiting_pass + part_ms,
            cost,
        })
    }

    /// Whether the request itself can go to `engine`.
    fn can_write(&self, engine: &Engine) -> bool {
        engine.writers() < self.speed.profile().slots as usize
    }

    fn free(&self, engine: &Engine) -> u64 {
        usable_tokens(self.speed).saturating_sub(engine.used())
    }

    /// Memory to reserve at each helper, or `None` when all together cannot hold the request.
    fn reserves(&self, first: &Engine, helpers: &[Candidate<'_>], wanted: u64) -> Option<Vec<u64>> {
        let mut missing = wanted.saturating_sub(self.free(first));
        if missing == 0 {
            return Some(vec![0; helpers.len()]);
        }
        let mut reserves = Vec::with_capacity(helpers.len());
        for (index, helper) in helpers.iter().enumerate() {
            let left = (helpers.len() - index) as u64;
            let share = missing.div_ceil(left).min(self.free(helper.engine));
            reserves.push(share);
            missing -= share;
        }
        (missing == 0).then_some(reserves)
    }

    fn build(
        &self,
        ask: &Ask,
        first: &Candidate<'_>,
        helpers: &[Candidate<'_>],
        reserves: &[u64],
        part_ms: f64,
    ) -> Plan {
        let elsewhere: u64 = reserves.iter().sum();
        let pass = first
            .engine
            .pass_ms(self.speed, ask.prompt - elsewhere.min(ask.prompt));
        let slowest = helpers.iter().map(|helper| helper.helping_ms);
        let read_ms = slowest.fold(first.own_ms, f64::max);
        let stride = u64::from(self.speed.profile().stride.max(1));
        let passes = as_f64(ask.answer.div_ceil(stride));
        let ends_by = self.after(read_ms + passes * pass);
        let work = time(part_ms);
        let mut loads = vec![(
            first.engine.identity,
            Load {
                tokens: (ask.prompt + ask.answer).saturating_sub(elsewhere),
                work,
                read_by: self.after(first.own_ms),
                read: false,
                ends_by,
                writes: true,
                pause: ask.pause,
                told: 0,
            },
        )];
        let mut parts = Vec::with_capacity(helpers.len());
        for (helper, reserve) in helpers.iter().zip(reserves) {
            let read_by = self.after(helper.helping_ms);
            let load = Load {
                tokens: *reserve,
                work,
                read_by,
                read: false,
                ends_by: if *reserve == 0 { read_by } else { ends_by },
                writes: false,
                pause: ask.pause,
                told: 0,
            };
            loads.push((helper.engine.identity, load));
            parts.push(Part {
                engine: helper.engine.identity,
                reserve: *reserve,
            });
        }
        Plan {
            first: first.engine.identity,
            helpers: parts,
            first_event: time(read_ms + pass),
            loads,
        }
    }

    fn after(&self, millis: f64) -> Instant {
        self.now + time(millis)
    }
}

/// Packs tight streams on few engines as long as they are on time there.
fn tight_cost(engine: &Engine, event_ms: f64, tight_here: bool) -> f64 {
    let late = (event_ms - COMFORT_MS).max(0.0);
    let opening = match (tight_here, engine.writers()) {
        (true, _) => 0.0,
        (false, 0) => OPENING_MS,
        (false, _) => OPENING_MS + MIXING_MS,
    };
    late + opening + engine.rank * PACKING_MS
}
