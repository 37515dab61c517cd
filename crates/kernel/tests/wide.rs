//! Tests of prompts that several engines read, while engines read other prompts.
//!
//! Engines read the part that arrived last first. A part on an engine with an unread prompt delays
//! that prompt, and all engines that read it wait.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use filbertstage_kernel::catalogue::Identity;
use filbertstage_kernel::place::{Decision, Load, LoadId, Plan, Pool};
use filbertstage_kernel::prelude::*;
use support::*;

/// Remaining prefill that is over before a new part arrives.
const MARGIN: Duration = Duration::from_millis(10);

fn engines(plan: &Plan) -> BTreeSet<Identity> {
    plan.loads.iter().map(|(engine, _)| *engine).collect()
}

/// A rush of long prompts: each is read by engines that read nothing else, so that none is late
/// because of the next one.
#[test]
fn wide_prompts_share_no_engine_while_they_are_read() {
    let mut pool = pool(21);
    let mut unread: Vec<(LoadId, Plan, Instant)> = Vec::new();
    let mut started = 0;
    for step in 0..280 {
        let now = NOW + Duration::from_millis(step * 10);
        unread.retain(|(id, _, first_event)| {
            let is_read = *first_event <= now;
            if is_read {
                pool.finish_prefill(*id, now);
            }
            !is_read
        });
        if step % 7 == 0 {
            pool.submit(long(120_000, now), now);
        }
        for (_, decision) in pool.assign(now) {
            let (Decision::Start(id, plan) | Decision::Claim(id, plan)) = decision else {
                continue;
            };
            let older = unread.iter().flat_map(|(_, older, _)| &older.loads);
            let mut unread_loads = older.filter(|(_, load)| load.prefilled_by > now + MARGIN);
            let used = engines(&plan);
            // A prompt for one engine is read after the parts on it and delays none.
            assert!(
                plan.helpers.is_empty() || unread_loads.all(|(engine, _)| !used.contains(engine)),
                "at step {step}"
            );
            started += 1;
            let first_event = now + plan.first_event;
            unread.push((id, plan, first_event));
        }
    }
    assert!(started >= 38, "{started} started");
}

/// A part that another host adds delays both the engine's own prompt and the older part on it.
#[test]
fn a_part_delays_all_unread_prompts_of_its_engine() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    let id = |sequence| LoadId {
        holder: OTHER,
        sequence,
    };
    pool.put(id(1), engine, part(300, true), NOW);
    pool.put(id(2), engine, part(250, false), NOW);
    pool.put(id(3), engine, part(200, false), NOW);
    let engine = pool.engine_mut(engine).expect("known");
    let mut read_ms: Vec<_> = engine
        .loads()
        .map(|(id, load)| (id.sequence, load.prefilled_by.since(NOW).as_millis()))
        .collect();
    read_ms.sort_unstable();
    assert_eq!(read_ms, [(1, 750), (2, 450), (3, 200)]);
}

/// Puts a short stream on each of the first `count` engines.
fn occupy(pool: &mut Pool, count: usize) {
    let stream = Load {
        prefilled: true,
        pause: Duration::from_millis(200),
        ..part(20, true)
    };
    for (sequence, entry) in (1..).zip(&entries(16)[..count]) {
        let id = LoadId {
            holder: OTHER,
            sequence,
        };
        pool.put(id, entry.identity(), stream, NOW);
    }
}

/// After a rush of short streams, only few engines are free of them. A long prompt starts on these
/// with longer parts and is in time, instead of waiting for as many engines as it prefers.
#[test]
fn a_wide_prompt_starts_on_the_few_engines_that_are_free() {
    let mut pool = pool(16);
    occupy(&mut pool, 13);
    let request = long(210_000, NOW);
    let (_, plan) = start(&mut pool, request.clone(), NOW).expect("a plan");
    assert_eq!(plan.helpers.len(), 2);
    assert!(NOW + plan.first_event < request.due);
}

/// A prompt that the free engines cannot start in time waits for more of them.
#[test]
fn a_prompt_that_would_be_late_on_the_free_engines_waits() {
    let mut pool = pool(16);
    occupy(&mut pool, 13);
    assert_eq!(start(&mut pool, long(400_000, NOW), NOW), None);
    assert_eq!(pool.waiting(), 1);
}
