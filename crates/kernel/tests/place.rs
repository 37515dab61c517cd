//! Tests the queueing and placement of requests under peak load, without a network.

mod support;

use std::time::Duration;

use filbertstage_kernel::catalogue::{Entry, Identity};
use filbertstage_kernel::outlier::Observation;
use filbertstage_kernel::place::{Decision, Load, LoadId, Plan, Pool, Request, Speed};
use filbertstage_kernel::prelude::*;
use rstest::rstest;
use support::*;

#[rstest]
#[case::short(5_000, 20.0, 24.0)]
#[case::middle(45_000, 270.0, 300.0)]
#[case::long(210_000, 2_800.0, 3_000.0)]
fn prefill_time_grows_quadratically_with_prompt_length(
    #[case] prompt: u64,
    #[case] least_ms: f64,
    #[case] most_ms: f64,
) {
    let prefill_ms = Speed::new(profile()).prefill_ms(prompt);
    assert!((least_ms..most_ms).contains(&prefill_ms), "{prefill_ms}");
}

/// A prompt whose prefill on one engine would take about its whole objective is split over several
/// engines.
#[test]
fn a_long_prompt_is_split_and_on_time() {
    let mut pool = pool(21);
    let (_, plan) = start(&mut pool, long(210_000, NOW), NOW).expect("a plan");
    assert!(plan.helpers.len() >= 4, "{}", plan.helpers.len());
    assert!(plan.first_event < Duration::from_secs(1));
    assert!(plan.helpers.iter().all(|part| part.reserved_tokens == 0));
}

/// A million tokens do not fit on one engine, so helpers hold the rest in reserved memory.
#[test]
fn a_prompt_of_a_million_tokens_spans_several_engines() {
    let mut pool = pool(21);
    let (_, plan) = start(&mut pool, long(1_000_000, NOW), NOW).expect("a plan");
    let reserved: u64 = plan.helpers.iter().map(|part| part.reserved_tokens).sum();
    assert!(reserved >= 1_001_600 - 450_000, "{reserved}");
    assert!(plan.loads.iter().all(|(_, load)| load.tokens <= 450_000));
}

/// At a low rate of short prompts, their streams stay on few engines, so that long prompts find
/// many free engines.
#[test]
fn latency_sensitive_streams_are_packed() {
    let mut pool = pool(21);
    let mut used = std::collections::BTreeSet::new();
    for step in 0..25 {
        let now = NOW + Duration::from_millis(step * 70);
        let (id, plan) = start(&mut pool, short(now), now).expect("a plan");
        used.insert(plan.primary);
        pool.finish_prefill(id, now + Duration::from_millis(60));
    }
    assert!(used.len() <= 2, "{} engines", used.len());
}

/// Many short prompts that arrive at the same time are spread over engines, and all meet their
/// objective.
#[test]
fn a_burst_of_short_prompts_is_on_time() {
    let mut pool = pool(21);
    for _ in 0..60 {
        let (_, plan) = start(&mut pool, short(NOW), NOW).expect("a plan");
        assert!(
            plan.first_event < Duration::from_millis(290),
            "{:?}",
            plan.first_event
        );
    }
}

/// A long prompt is not prefilled on an engine that decodes streams with a short allowed pause.
#[test]
fn long_prefill_avoids_engines_with_latency_sensitive_streams() {
    let mut pool = pool(8);
    let (_, first) = start(&mut pool, short(NOW), NOW).expect("a plan");
    let (_, plan) = start(&mut pool, long(300_000, NOW), NOW).expect("a plan");
    assert_ne!(plan.primary, first.primary);
    assert!(plan.helpers.iter().all(|part| part.engine != first.primary));
}

/// Requests wait at the host instead of behind a large prefill backlog at an engine.
#[test]
fn requests_queue_at_the_host_when_engines_have_a_backlog() {
    let mut pool = pool(4);
    let mut started = 0;
    for _ in 0..10 {
        if start(&mut pool, long(210_000, NOW), NOW).is_some() {
            started += 1;
        }
    }
    assert!(started < 3, "{started} started");
    assert_eq!(pool.waiting(), 10 - started);
}

/// The shorter prompt starts first, because its value relative to its prefill time is higher.
#[test]
fn the_shorter_of_two_waiting_prompts_starts_first() {
    let mut pool = pool(1);
    let (id, _) = start(&mut pool, long(100_000, NOW), NOW).expect("a plan");
    let longer = pool.submit(long(250_000, NOW), NOW);
    let shorter = pool.submit(long(100_000, NOW), NOW);
    assert!(pool.assign(NOW).is_empty());
    pool.release(id);
    let decisions = pool.assign(NOW);
    assert!(decisions.iter().any(|(ticket, _)| *ticket == shorter));
    assert!(decisions.iter().all(|(ticket, _)| *ticket != longer));
    assert_eq!(pool.waiting(), 1);
}

/// A request that finds no engine is refused with a retry delay instead of being held until its
/// deadline.
#[test]
fn a_request_without_an_engine_is_refused_when_it_is_due() {
    let mut pool = pool(0);
    let ticket = pool.submit(short(NOW), NOW);
    assert!(pool.assign(NOW).is_empty());
    let decisions = pool.assign(NOW + Duration::from_millis(300));
    assert!(matches!(decisions[..], [(refused, Decision::Refuse(after))]
        if refused == ticket && !after.is_zero()));
    assert_eq!(pool.waiting(), 0);
}

/// An interrupted stream waits for another engine even if its first event is already overdue.
#[test]
fn an_interrupted_answer_waits_longer_and_starts_first() {
    let mut pool = pool(0);
    let late = NOW + Duration::from_millis(400);
    let interrupted = Request {
        answer_started: true,
        ..short(NOW)
    };
    let ticket = pool.submit(interrupted, late);
    pool.submit(short(late), late);
    assert!(pool.assign(late + Duration::from_millis(280)).is_empty());
    pool.set_engines(entries(1).iter());
    let decisions = pool.assign(late + Duration::from_secs(1));
    assert!(matches!(decisions[0], (first, Decision::Start(..)) if first == ticket));
}

fn backlog(pool: &mut Pool, engine: Identity) -> f64 {
    let engine = pool.engine_mut(engine).expect("known");
    engine.backlog_ms(NOW)
}

/// Engines prefill helper parts before their own prompts. A snapshot of another host repeats known
/// loads and must not add the delay a second time.
#[test]
fn a_helper_part_delays_local_prompts_once() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    let id = |sequence| LoadId {
        holder: OTHER,
        sequence,
    };
    pool.put(id(1), engine, part(300, true), NOW);
    pool.put(id(2), engine, part(200, false), NOW);
    assert!((backlog(&mut pool, engine) - 500.0).abs() < 1.0);
    pool.drop_holder(OTHER);
    let mut own = part(300, true);
    own.prefilled_by = NOW + Duration::from_millis(500);
    pool.overwrite(id(1), engine, own);
    pool.overwrite(id(2), engine, part(200, false));
    assert!((backlog(&mut pool, engine) - 500.0).abs() < 1.0);
}

#[test]
fn loads_of_a_removed_host_are_dropped_and_own_loads_stay() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    let other = LoadId {
        holder: OTHER,
        sequence: 1,
    };
    pool.put(other, engine, part(20, true), NOW);
    let (own, _) = start(&mut pool, short(NOW), NOW).expect("a plan");
    assert_eq!(pool.engine_mut(engine).expect("known").decoding(), 2);
    pool.drop_holder(OTHER);
    let kept: Vec<_> = pool.own_loads().map(|(_, id, _)| id).collect();
    assert_eq!(kept, [own]);
}

/// Loads of other hosts are dropped some time after their predicted end unless they are renewed.
/// Own loads stay until their request releases them.
#[test]
fn loads_that_are_not_renewed_expire() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    let other = LoadId {
        holder: OTHER,
        sequence: 1,
    };
    pool.put(other, engine, part(300, true), NOW);
    pool.expire(NOW + Duration::from_secs(5));
    assert_eq!(pool.engine_mut(engine).expect("known").decoding(), 1);
    pool.expire(NOW + Duration::from_secs(8));
    assert_eq!(pool.engine_mut(engine).expect("known").decoding(), 0);
}

/// Engines that failed recently are ejected, unless most engines would be ejected.
#[rstest]
#[case::one_of_four(1, false)]
#[case::three_of_four(3, true)]
fn failing_engines_are_ejected_unless_most_fail(#[case] failing: usize, #[case] used: bool) {
    let mut pool = pool(4);
    let bad: Vec<_> = entries(4)[..failing].iter().map(Entry::identity).collect();
    for identity in &bad {
        pool.record(*identity, Observation::Failed, NOW);
        pool.record(*identity, Observation::Failed, NOW);
    }
    let mut touched = false;
    for _ in 0..12 {
        if let Some((_, plan)) = start(&mut pool, short(NOW), NOW) {
            touched |= bad.contains(&plan.primary);
        }
    }
    assert_eq!(touched, used);
}

/// After three engines of a failure domain were unresponsive, none of its engines is tried for a
/// while, even though they are the majority of all engines.
#[test]
fn an_unreachable_domain_is_ejected() {
    let mut entries = entries(21);
    for (index, entry) in entries.iter_mut().enumerate() {
        let domain = if index < 7 { "cannock" } else { "sherwood" };
        entry.domain = Domain::from(domain);
    }
    let mut pool = pool(0);
    pool.set_engines(entries.iter());
    let near: Vec<_> = entries[..7].iter().map(Entry::identity).collect();
    for far in &entries[7..10] {
        pool.record(far.identity(), Observation::Unresponsive, NOW);
    }
    for _ in 0..20 {
        if let Some((_, plan)) = start(&mut pool, short(NOW), NOW) {
            assert!(near.contains(&plan.primary));
        }
    }
    let later = NOW + Duration::from_millis(1_600);
    pool.record(entries[12].identity(), Observation::Succeeded, later);
    let (_, plan) = start(&mut pool, long(300_000, later), later).expect("a plan");
    assert!(plan.loads.iter().any(|(engine, _)| !near.contains(engine)));
}

/// A burst of long prompts fills the engines, and more prompts arrive than can wait. Refused
/// clients get a retry delay after which enough engines are free.
#[test]
fn retry_after_covers_the_time_until_enough_engines_are_free() {
    let mut pool = pool(20);
    while start(&mut pool, long(210_000, NOW), NOW).is_some() {}
    let due = NOW + Duration::from_millis(2_900);
    let busy = Load {
        ends_by: due + Duration::from_millis(1_500),
        ..part(100, true)
    };
    let engines: Vec<_> = pool.own_loads().map(|(engine, ..)| engine).collect();
    for (sequence, engine) in (1_000..).zip(engines) {
        let id = LoadId {
            holder: OTHER,
            sequence,
        };
        pool.put(id, engine, busy, due);
    }
    for _ in 0..16 {
        pool.submit(long(300_000, NOW), NOW);
    }
    let decisions = pool.assign(NOW + Duration::from_secs(3));
    let mut retry_after_ms: Vec<_> = decisions
        .iter()
        .filter_map(|(_, decision)| match decision {
            Decision::Refuse(after) => Some(after.as_millis()),
            _ => None,
        })
        .collect();
    retry_after_ms.sort_unstable();
    let (first, last) = (retry_after_ms[0], retry_after_ms[retry_after_ms.len() - 1]);
    assert!(
        (1_400..=1_500).contains(&first),
        "the engines are busy for 1.4 s: {retry_after_ms:?}"
    );
    assert!(
        (1_700..=1_900).contains(&last),
        "up to a third later: {retry_after_ms:?}"
    );
    retry_after_ms.dedup();
    assert!(
        retry_after_ms.len() >= 6,
        "retry delays differ: {retry_after_ms:?}"
    );
}

/// Engines that reject requests under a burst name the time for which they want none. They count as
/// full until then, as primary and as helper.
#[test]
fn engines_that_want_no_requests_get_none() {
    let mut pool = pool(12);
    let resting: Vec<_> = entries(12)[..6].iter().map(Entry::identity).collect();
    for engine in &resting {
        assert!(pool.back_off(*engine, Duration::from_secs(3), NOW));
    }
    let rests = |plan: &Plan| {
        plan.loads
            .iter()
            .any(|(engine, _)| resting.contains(engine))
    };
    for _ in 0..20 {
        if let Some((_, plan)) = start(&mut pool, short(NOW), NOW) {
            assert!(!rests(&plan));
        }
    }
    if let Some((_, plan)) = start(&mut pool, long(210_000, NOW), NOW) {
        assert!(!rests(&plan));
    }
    let later = NOW + Duration::from_millis(3_100);
    assert_eq!(pool.backoff(resting[0], later), None);
}

/// A success of a request that was sent before the rejection does not end the time.
#[test]
fn a_success_does_not_end_a_backoff() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    pool.back_off(engine, Duration::from_secs(2), NOW);
    pool.record(engine, Observation::Succeeded, NOW);
    assert_eq!(pool.backoff(engine, NOW), Some(Duration::from_secs(2)));
    pool.back_off(engine, Duration::from_millis(100), NOW);
    assert_eq!(pool.backoff(engine, NOW), Some(Duration::from_secs(2)));
}

/// If every engine wants no requests, clients are told at once when the first one does again.
#[test]
fn clients_are_refused_with_the_shortest_backoff() {
    let mut pool = pool(3);
    for (entry, seconds) in entries(3).iter().zip([5, 2, 9]) {
        pool.back_off(entry.identity(), Duration::from_secs(seconds), NOW);
    }
    let ticket = pool.submit(short(NOW), NOW);
    let decisions = pool.assign(NOW);
    let refused = Decision::Refuse(Duration::from_secs(2));
    assert_eq!(decisions, [(ticket, refused)]);
    let soon = NOW + Duration::from_millis(1_800);
    pool.submit(short(soon), soon);
    assert!(
        pool.assign(soon).is_empty(),
        "200 ms are within the objective"
    );
}
