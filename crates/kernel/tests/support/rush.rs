//! Plays seeded arrivals on a pool and sums what they cost their callers.
//!
//! The engines behave as the pool predicts. A refused client returns once its `Retry-After` is over
//! while it has time left.

// No test file uses all of these helpers. Counts and times stay far below the limits of floats.
#![allow(dead_code, clippy::cast_precision_loss)]
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertstage_kernel::place::{Decision, LoadId, Pool, Request, Speed};
use filbertstage_kernel::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{NOW, OWN, entries, profile};

/// Time between two assignments of the queue.
const STEP_MS: u64 = 10;

/// A kind of requests and what they are worth to their callers.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Requests per second, outside bursts.
    pub rate: f64,
    /// Factor on the rate from 2 s to 6 s.
    pub burst: f64,
    pub mean_tokens: u64,
    pub max_tokens: u64,
    pub objective_ms: u64,
    pub pause_ms: u64,
    pub deadline_ms: u64,
    pub priority: u32,
    /// Worth of a request of mean size in time, and late.
    pub worth: f64,
    pub late: f64,
    /// Workspace of all requests, or one of four at random.
    pub workspace: Option<&'static str>,
}

/// One arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub kind: usize,
    pub tokens: u64,
    pub workspace: String,
    /// Whether the request is in the largest tenth of its kind.
    pub largest: bool,
}

/// Draws the arrivals of `seconds` of load.
pub fn arrivals(kinds: &[Kind], seconds: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let bursts = (2_000.0..6_000.0).contains(&at_ms);
            let rate = kind.rate * if bursts { kind.burst } else { 1.0 };
            at_ms += -(1.0 - rng.random::<f64>()).ln() / rate * 1_000.0;
            if at_ms >= seconds as f64 * 1_000.0 {
                break;
            }
            // Sizes between a third and the maximum, with the given mean for wide ranges.
            let factor = (0.55 * -(1.0 - rng.random::<f64>()).ln()) + 0.45;
            let tokens = ((kind.mean_tokens as f64 * factor) as u64).min(kind.max_tokens);
            let drawn: u32 = rng.random_range(0..4);
            let workspace = kind.workspace.map_or(format!("w{drawn}"), str::to_owned);
            arrivals.push(Arrival {
                at: NOW + Duration::from_micros((at_ms * 1_000.0) as u64),
                kind: index,
                tokens,
                workspace,
                largest: false,
            });
        }
    }
    for index in 0..kinds.len() {
        let of_kind = arrivals.iter().filter(|arrival| arrival.kind == index);
        let mut sizes: Vec<_> = of_kind.map(|arrival| arrival.tokens).collect();
        sizes.sort_unstable();
        let Some(smallest) = sizes.get(sizes.len() * 9 / 10).copied() else {
            continue;
        };
        for arrival in arrivals.iter_mut().filter(|arrival| arrival.kind == index) {
            arrival.largest = arrival.tokens >= smallest;
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// How the requests of one group ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub served: u32,
    pub in_time: u32,
}

impl Tally {
    pub fn sum(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            served: self.served + other.served,
            in_time: self.in_time + other.in_time,
        }
    }

    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// Result of a play.
#[derive(Clone, Debug, Default)]
pub struct Play {
    /// What was lost through late answers and refusals.
    pub cost: f64,
    /// What the requests were worth in time.
    pub worth: f64,
    /// By kind, by workspace, and the largest tenth of each kind.
    pub kinds: BTreeMap<String, Tally>,
    pub workspaces: BTreeMap<String, Tally>,
    pub largest: BTreeMap<String, Tally>,
    /// The decisions, in their order.
    pub decisions: Vec<String>,
}

impl Play {
    /// Adds the tallies and costs of another play.
    pub fn add(&mut self, other: Self) {
        self.cost += other.cost;
        self.worth += other.worth;
        let groups = [
            (&mut self.kinds, other.kinds),
            (&mut self.workspaces, other.workspaces),
            (&mut self.largest, other.largest),
        ];
        for (own, other) in groups {
            for (name, tally) in other {
                let sum = own.entry(name).or_default();
                *sum = sum.sum(tally);
            }
        }
    }
}

pub fn worth(kind: &Kind, tokens: u64, late: bool) -> f64 {
    let size = (tokens as f64 / kind.mean_tokens as f64).min(4.0);
    (0.3 + 0.7 * size) * if late { kind.late } else { kind.worth }
}

/// Milliseconds of engine time of an arrival, as the measure counts them.
pub fn work_ms(speed: &Speed, tokens: u64) -> f64 {
    let slots = speed.profile().slots;
    let passes = 1_600_f64 / f64::from(speed.profile().stride);
    speed.prefill_ms(tokens) + passes * speed.pass_ms(slots as usize, 0) / f64::from(slots)
}

/// Loss of a scheduler that knows all arrivals and splits engine time without waste: a lower bound.
pub fn bound(kinds: &[Kind], arrivals: &[Arrival], engines: u32, seconds: u64) -> f64 {
    let speed = Speed::new(profile());
    let objectives = kinds.iter().map(|kind| kind.objective_ms);
    let until_ms = seconds * 1_000 + objectives.max().unwrap_or(0);
    let mut left = f64::from(engines) * until_ms as f64;
    let mut all: Vec<_> = arrivals
        .iter()
        .map(|arrival| {
            let gain = worth(&kinds[arrival.kind], arrival.tokens, false);
            (gain, work_ms(&speed, arrival.tokens))
        })
        .collect();
    all.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut lost = 0.0;
    for (gain, work) in all {
        let part = (left / work).clamp(0.0, 1.0);
        lost += gain * (1.0 - part);
        left -= work * part;
    }
    lost
}

struct Client {
    arrival: usize,
    at: Instant,
}

/// Plays `arrivals` on `pool`, whose requests `request` builds from an arrival and the present time.
pub fn play(
    pool: &mut Pool,
    kinds: &[Kind],
    arrivals: &[Arrival],
    request: impl Fn(&Arrival, &Kind, Instant) -> Request,
) -> Play {
    let mut play = Play::default();
    let mut next = 0;
    let mut returning: Vec<Client> = Vec::new();
    let mut waiting: HashMap<u64, usize> = HashMap::new();
    let mut prefills: Vec<(Instant, LoadId)> = Vec::new();
    let mut ends: Vec<(Instant, LoadId)> = Vec::new();
    let mut outcomes: Vec<Option<bool>> = vec![None; arrivals.len()];
    let last = arrivals.last().map_or(NOW, |arrival| arrival.at);
    let mut now = NOW;
    while now <= last + Duration::from_secs(20) {
        prefills.retain(|(at, id)| {
            if *at <= now {
                pool.finish_prefill(*id, now);
            }
            *at > now
        });
        ends.retain(|(at, id)| {
            if *at <= now {
                pool.release(*id);
            }
            *at > now
        });
        pool.expire(now);
        let mut submit = |pool: &mut Pool, index: usize| {
            let arrival = &arrivals[index];
            let kind = &kinds[arrival.kind];
            let ticket = pool.submit(request(arrival, kind, now), now);
            waiting.insert(ticket, index);
        };
        while next < arrivals.len() && arrivals[next].at <= now {
            submit(pool, next);
            next += 1;
        }
        returning.retain(|client| {
            if client.at <= now {
                submit(pool, client.arrival);
            }
            client.at > now
        });
        for (ticket, decision) in pool.assign(now) {
            let index = waiting.remove(&ticket).expect("waits");
            let arrival = &arrivals[index];
            let kind = &kinds[arrival.kind];
            let after_ms = now.since(NOW).as_millis();
            match decision {
                Decision::Start(id, placed) | Decision::Claim(id, placed) => {
                    pool.settle(id, placed.primary, now);
                    let first = now + placed.first_event;
                    let due = arrival.at + Duration::from_millis(kind.objective_ms);
                    outcomes[index] = Some(first <= due);
                    let ends_by = placed.loads.iter().map(|(_, load)| load.ends_by).max();
                    prefills.push((first, id));
                    ends.push((ends_by.unwrap_or(first), id));
                    let engine = placed.primary.0 % 1_000;
                    let line = format!("{after_ms} {index} {} start {engine}", kind.name);
                    play.decisions.push(line);
                }
                Decision::Refuse(after) => {
                    let line = format!(
                        "{after_ms} {index} {} refuse {}",
                        kind.name,
                        after.as_millis()
                    );
                    play.decisions.push(line);
                    let at = now + after;
                    if at < arrival.at + Duration::from_millis(kind.deadline_ms) {
                        returning.push(Client { arrival: index, at });
                    }
                }
            }
        }
        now = now + Duration::from_millis(STEP_MS);
    }
    for (arrival, outcome) in arrivals.iter().zip(&outcomes) {
        let kind = &kinds[arrival.kind];
        let full = worth(kind, arrival.tokens, false);
        play.worth += full;
        play.cost += match outcome {
            Some(true) => 0.0,
            Some(false) => full - worth(kind, arrival.tokens, true),
            None => full,
        };
        let mut groups = vec![
            play.kinds.entry(kind.name.to_owned()).or_default(),
            play.workspaces
                .entry(arrival.workspace.clone())
                .or_default(),
        ];
        if arrival.largest {
            groups.push(play.largest.entry(kind.name.to_owned()).or_default());
        }
        for tally in groups {
            tally.asked += 1;
            tally.served += u32::from(outcome.is_some());
            tally.in_time += u32::from(*outcome == Some(true));
        }
    }
    play
}

pub fn pool(engines: u32) -> Pool {
    let speed = Speed::new(filbertstage_kernel::catalogue::Profile {
        slots: 12,
        ..profile()
    });
    let mut pool = Pool::new(speed, Domain::from("cannock"), OWN);
    pool.set_engines(entries(engines).iter());
    pool
}

pub const SHORT: Kind = Kind {
    name: "short",
    rate: 40.0,
    burst: 2.5,
    mean_tokens: 5_000,
    max_tokens: 20_000,
    objective_ms: 250,
    pause_ms: 250,
    deadline_ms: 10_000,
    priority: 0,
    worth: 1.8,
    late: 0.18,
    workspace: None,
};
pub const DIGEST: Kind = Kind {
    name: "digest",
    rate: 5.0,
    burst: 1.0,
    mean_tokens: 45_000,
    max_tokens: 180_000,
    objective_ms: 1_500,
    pause_ms: 600,
    deadline_ms: 10_000,
    priority: 1,
    worth: 2.5,
    late: 0.64,
    workspace: None,
};
pub const LONGEST: Kind = Kind {
    name: "longest",
    rate: 1.0,
    burst: 1.0,
    mean_tokens: 220_000,
    max_tokens: 900_000,
    objective_ms: 8_000,
    pause_ms: 1_000,
    deadline_ms: 15_000,
    priority: 2,
    worth: 11.0,
    late: 4.0,
    workspace: None,
};
