//! Shared engine profiles, pools and requests for the placement tests.

// No test file uses all of these helpers.
#![allow(dead_code)]

pub mod rush;

use std::time::Duration;

use filbertstage_kernel::catalogue::{Entry, Profile, State};
use filbertstage_kernel::place::value::Origin;
use filbertstage_kernel::place::{Decision, Load, LoadId, Plan, Pool, Request, Speed};
use filbertstage_kernel::prelude::*;

pub const NOW: Instant = Instant::from_millis(100_000);
/// Incarnation of the host whose pool is tested.
pub const OWN: u64 = 1;
/// Incarnation of another host that places loads on the same engines.
pub const OTHER: u64 = 2;

/// The published profile of the engines on which the tested load patterns were observed.
pub fn profile() -> Profile {
    Profile {
        slots: 16,
        memory_tokens: 450_000,
        stride: 46,
        step_ms: 0.925,
        sequence_ms: 0.004_83,
        context_ms: 0.002_54,
        prefill_tokens_per_s: 256_000.0,
        pairs_ms: 0.0917,
        chunk: 2_048,
        hop_ms: 0.1,
        delays: Vec::new(),
    }
}

pub fn entries(count: u32) -> Vec<Entry> {
    let entry = |index: u32| Entry {
        name: Endpoint::from(format!("engine-{index}")),
        started_ms: 1,
        service: Service::from("writer"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: Domain::from("cannock"),
        slots: 16,
        state: State::Ready,
        cold: None,
    };
    (0..count).map(entry).collect()
}

pub fn pool(count: u32) -> Pool {
    pool_of(OWN, count)
}

pub fn pool_of(holder: u64, count: u32) -> Pool {
    let mut pool = Pool::new(Speed::new(profile()), Domain::from("cannock"), holder);
    pool.set_engines(entries(count).iter());
    pool
}

pub fn request(prompt_tokens: u64, objective_ms: u64, pause_ms: u64, now: Instant) -> Request {
    Request {
        prompt_tokens,
        answer_tokens: 1_600,
        due: now + Duration::from_millis(objective_ms),
        deadline: now + Duration::from_millis(objective_ms * 10),
        pause: Duration::from_millis(pause_ms),
        priority: 1,
        answer_started: false,
        excluded: Vec::new(),
        origin: Origin::default(),
    }
}

pub fn short(now: Instant) -> Request {
    request(5_000, 300, 200, now)
}

pub fn long(prompt: u64, now: Instant) -> Request {
    request(prompt, 3_000, 800, now)
}

pub fn start(pool: &mut Pool, request: Request, now: Instant) -> Option<(LoadId, Plan)> {
    let ticket = pool.submit(request, now);
    let mut decisions = pool.assign(now);
    let index = decisions.iter().position(|(other, _)| *other == ticket)?;
    match decisions.swap_remove(index).1 {
        Decision::Start(id, plan) | Decision::Claim(id, plan) => Some((id, plan)),
        Decision::Refuse(_) => None,
    }
}

pub fn part(prefill_ms: u64, decodes: bool) -> Load {
    Load {
        tokens: 1_000,
        prefill_time: Duration::from_millis(prefill_ms),
        prefilled_by: NOW + Duration::from_millis(prefill_ms),
        prefilled: false,
        ends_by: NOW + Duration::from_secs(4),
        decodes,
        pause: Duration::from_millis(800),
        snapshot: 0,
    }
}
