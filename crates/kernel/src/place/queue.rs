//! Orders waiting requests by value, and refuses those that cannot be served in their time.

use std::time::Duration;

use super::plan::{Request, fits_in_memory, min_engines};
use super::policy::Policy;
use super::pool::{Decision, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Pool, Waiting};
use super::promise::Book;
use super::share::Shares;
use super::speed::duration_from_ms;
use super::value::{Sizes, Value, Weights, work_ms};
use crate::clock::Instant;

/// Predicted waiting times are divided by this number before they refuse a request, because slots
/// are often free sooner than predicted.
const PREDICTION_MARGIN: f64 = 1.5;
/// Least time that the work ahead is assumed to take when a delay is judged. With 100 ms, requests
/// due in 250 ms gave way to long ones that then held their engines.
const MIN_HORIZON: Duration = Duration::from_secs(1);
/// Maximum number of refusals kept for the log.
const MAX_REPORTS: usize = 1_024;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// By the prediction it cannot be served before its deadline, as was clear at its arrival.
    Arrival,
    /// More valuable requests arrived after it and need the engines within its time.
    Displaced,
    /// Its time is over.
    Expired,
    /// The engines accept no requests before its time is over.
    Turn,
    /// No engines can hold it.
    Memory,
}

impl Reason {
    /// The reason's name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Arrival => "arrival",
            Self::Displaced => "displaced",
            Self::Expired => "expired",
            Self::Turn => "turn",
            Self::Memory => "memory",
        }
    }
}

/// A refusal and what it was based on, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Ticket of the request.
    pub ticket: u64,
    /// Priority of the request.
    pub priority: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Why it was refused.
    pub reason: Reason,
    /// What its refusal costs.
    pub value: Value,
    /// Least worth per millisecond among the requests that go ahead of it, if there are any.
    pub against: Option<f64>,
    /// Predicted time until it would start.
    pub predicted: Duration,
    /// Time after which the client may return.
    pub retry_after: Duration,
}

/// Number of clients that were sent away and returned at their time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Returns {
    /// Clients that returned.
    pub returned: u64,
    /// Those that were then served.
    pub served: u64,
}

/// State of the order by value.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    weights: Weights,
    sizes: Sizes,
    shares: Shares,
    book: Book,
    returns: Returns,
    reports: Vec<Report>,
    /// The last ticket that has been in a round.
    seen: u64,
}

/// A waiting request with its measure.
struct Ranked {
    waiting: Waiting,
    value: Value,
    /// Order: the higher, the earlier.
    weight: f64,
    relative: f64,
}

impl Queue {
    fn new(weights: Weights) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Records the arrival of a request.
    pub(super) fn arrive(&mut self, request: &Request) {
        if request.origin.prior_wait.is_zero() && !request.answer_started {
            self.sizes
                .record(&request.origin.kind, request.prompt_tokens);
        }
    }
}

impl Pool {
    /// Sets the order of waiting requests. What was learned stays while the order stays.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.queue = match (policy.weights, self.queue.take()) {
            (None, _) => None,
            (Some(weights), Some(queue)) => Some(Queue { weights, ..queue }),
            (Some(weights), None) => Some(Queue::new(weights)),
        };
    }

    /// Returns the refusals since the last call, for the log. Empty if the order by value is off.
    pub fn take_reports(&mut self) -> Vec<Report> {
        let reports = self.queue.as_mut().map(|queue| &mut queue.reports);
        reports.map(std::mem::take).unwrap_or_default()
    }

    /// Returns how many clients that were sent away returned and were served since the last call.
    pub fn take_returns(&mut self) -> Returns {
        let returns = self.queue.as_mut().map(|queue| &mut queue.returns);
        returns.map(std::mem::take).unwrap_or_default()
    }

    /// Returns the engine time that this host can expect, in milliseconds per millisecond: the
    /// engines, by the part of the running requests that are this host's.
    #[allow(clippy::cast_precision_loss)]
    fn rate(&self) -> f64 {
        let (mut own, mut all) = (1.0, 1.0);
        for engine in self.engines.values() {
            for (id, load) in engine.loads() {
                if load.decodes {
                    all += 1.0;
                    own += f64::from(u8::from(id.holder == self.holder));
                }
            }
        }
        (self.engines.len() as f64 * own / all).max(0.01)
    }

    pub(super) fn assign_by_value(
        &mut self,
        mut queue: Queue,
        now: Instant,
    ) -> Vec<(u64, Decision)> {
        let rate = self.rate();
        let waiting = std::mem::take(&mut self.waiting);
        let total_ms: f64 = waiting
            .iter()
            .map(|waiting| work_ms(&self.speed, &waiting.request))
            .sum();
        let horizon = duration_from_ms(total_ms / rate).max(MIN_HORIZON);
        let mut ranked: Vec<_> = waiting
            .into_iter()
            .map(|waiting| self.rank(&queue, waiting, horizon, now))
            .collect();
        ranked.sort_by(|left, right| {
            let started = |ranked: &Ranked| ranked.waiting.request.answer_started;
            started(right)
                .cmp(&started(left))
                .then(right.weight.total_cmp(&left.weight))
                .then(left.waiting.ticket.cmp(&right.waiting.ticket))
        });
        let mut decisions = Vec::new();
        let mut blocked: Vec<Duration> = Vec::new();
        let mut round = Round::default();
        for ranked in ranked {
            let request = &ranked.waiting.request;
            // As in the order by priority, later requests with the same pause wait, so that
            // smaller ones do not take the engines that a larger one needs together.
            let skip = blocked.contains(&request.pause);
            let started = if skip {
                None
            } else {
                self.try_start(&ranked.waiting, now)
            };
            let ticket = ranked.waiting.ticket;
            if let Some(decision) = started {
                queue.shares.record(request, ranked.relative, true, now);
                let value = &ranked.value;
                if !request.origin.prior_wait.is_zero() {
                    queue.returns.returned += 1;
                    queue.returns.served += 1;
                    queue.book.redeem(value.work_ms, now);
                }
                decisions.push((ticket, decision));
                continue;
            }
            if !skip {
                blocked.push(request.pause);
            }
            let verdict = self.refusal(&ranked, &mut round, rate, queue.seen, now);
            if let Some(verdict) = verdict {
                let after = self.refuse(&mut queue, &ranked, &round, verdict, rate, now);
                decisions.push((ticket, Decision::Refuse(after)));
            } else {
                round.ahead_ms += ranked.value.work_ms;
                round.least = Some(ranked.value.density);
                self.waiting.push(ranked.waiting);
            }
        }
        let last = self.waiting.iter().map(|waiting| waiting.ticket).max();
        let last = decisions.iter().map(|(ticket, _)| *ticket).max().max(last);
        queue.seen = queue.seen.max(last.unwrap_or(0));
        self.queue = Some(queue);
        decisions
    }

    fn rank(&self, queue: &Queue, waiting: Waiting, horizon: Duration, now: Instant) -> Ranked {
        let request = &waiting.request;
        let relative = queue
            .sizes
            .relative(&request.origin.kind, request.prompt_tokens);
        let first_event = self.quickest_start(request);
        let value =
            queue
                .weights
                .measure(&self.speed, request, relative, first_event, horizon, now);
        Ranked {
            weight: value.urgency * queue.shares.factor(request, relative),
            waiting,
            value,
            relative,
        }
    }

    /// Returns the least predicted time to the first event, on engines without other work.
    fn quickest_start(&self, request: &Request) -> Duration {
        let prefill_ms = self.speed.prefill_ms(request.prompt_tokens);
        let engines = min_engines(prefill_ms).min(self.engines.len()).max(1);
        let engines = f64::from(u32::try_from(engines).unwrap_or(u32::MAX));
        duration_from_ms(prefill_ms / engines + self.speed.pass_ms(1, request.prompt_tokens))
    }

    /// Decides whether a request that cannot start now is refused, and returns the predicted time
    /// until it would start.
    fn refusal(
        &self,
        ranked: &Ranked,
        round: &mut Round,
        rate: f64,
        seen: u64,
        now: Instant,
    ) -> Option<(Reason, Duration)> {
        let request = &ranked.waiting.request;
        let engines = self.engines.len();
        if engines > 0 && !fits_in_memory(&self.speed, engines, request) {
            return Some((Reason::Memory, MAX_RETRY_AFTER));
        }
        let predicted = duration_from_ms(round.ahead_ms / rate / PREDICTION_MARGIN);
        let latest = request.deadline.since(now + self.quickest_start(request));
        if latest.is_zero() {
            return Some((Reason::Expired, predicted));
        }
        if let Some(turn) = self.next_turn(request, round.turns, now) {
            if turn > latest {
                return Some((Reason::Turn, turn));
            }
            round.turns += 1;
        }
        if request.answer_started || predicted <= latest {
            return None;
        }
        let reason = if ranked.waiting.ticket > seen {
            Reason::Arrival
        } else {
            Reason::Displaced
        };
        Some((reason, predicted))
    }

    /// Refuses a request and returns the time after which its client may return.
    fn refuse(
        &self,
        queue: &mut Queue,
        ranked: &Ranked,
        round: &Round,
        (reason, predicted): (Reason, Duration),
        rate: f64,
        now: Instant,
    ) -> Duration {
        let request = &ranked.waiting.request;
        queue.shares.record(request, ranked.relative, false, now);
        if !request.origin.prior_wait.is_zero() {
            queue.returns.returned += 1;
            queue.book.redeem(ranked.value.work_ms, now);
        }
        let retry_after = match reason {
            Reason::Memory => MAX_RETRY_AFTER,
            Reason::Turn => predicted,
            Reason::Arrival | Reason::Displaced | Reason::Expired => {
                let waiting = duration_from_ms(round.ahead_ms / rate);
                let free = self.retry_after(&ranked.waiting, now).max(waiting);
                let (deadline, work) = (request.deadline, ranked.value.work_ms);
                let at = queue.book.promise(work, rate, now + free, deadline, now);
                at.since(now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
            }
        };
        if queue.reports.len() < MAX_REPORTS {
            queue.reports.push(Report {
                ticket: ranked.waiting.ticket,
                priority: request.priority,
                prompt_tokens: request.prompt_tokens,
                reason,
                value: ranked.value,
                against: round.least,
                predicted,
                retry_after,
            });
        }
        retry_after
    }
}

/// State of one round of assignments.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    /// Work of the requests that stay ahead, in milliseconds of engine time.
    ahead_ms: f64,
    /// Worth per millisecond of the last request that stays ahead.
    least: Option<f64>,
    /// Number of requests that wait for a turn at a limited engine.
    turns: u32,
}
