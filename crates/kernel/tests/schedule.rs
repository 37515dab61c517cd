//! Tests of the scheduler: queue order, admission, gangs, prefix hints and draining engines.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertstage_kernel::prelude::*;
use filbertstage_kernel::request::{Attempt, Id, Incarnation};
use filbertstage_kernel::schedule::{Grant, Job, Pool, Report, Settings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const PREFILL_RATE: f64 = 10_000.0;
const KV_TOTAL_TOKENS: u64 = 400_000;

fn report(name: &str) -> Report {
    Report {
        endpoint: Endpoint::from(name),
        model: Some(Model::from("m")),
        version: "1".to_owned(),
        adapters: Vec::new(),
        prefill_rate: PREFILL_RATE,
        token_seconds: 0.01,
        kv_total: KV_TOTAL_TOKENS,
        kv_used: 0,
        most_running: 64,
        leaving: false,
    }
}

fn job(sequence: u64, workspace: &str, tokens: u64) -> Job {
    let request = Id {
        incarnation: Incarnation(1),
        sequence,
    };
    Job {
        attempt: Attempt { request, number: 1 },
        workspace: Workspace::from(workspace),
        model: Model::from("m"),
        prompt_tokens: tokens,
        answer_tokens: 10,
        prefix: Vec::new(),
        remaining: Duration::from_secs(1_000),
        waited: Duration::ZERO,
        deferred: false,
        avoid: Vec::new(),
    }
}

fn pool(engines: usize, policy: &str) -> Pool {
    let mut pool = Pool::new(Settings {
        policy: policy.to_owned(),
        ..Settings::default()
    });
    for index in 0..engines {
        pool.report(Instant::from_millis(1), report(&format!("e{index}")));
    }
    pool
}

fn sequences(grants: &[Grant]) -> Vec<u64> {
    grants
        .iter()
        .map(|grant| grant.attempt.request.sequence)
        .collect()
}

#[test]
fn a_short_prompt_overtakes_waiting_long_prompts() {
    let now = Instant::from_millis(1_000);
    let mut pool = pool(1, "first_token");
    for sequence in 1..=3 {
        pool.enqueue(now, job(sequence, "a", 100_000)).unwrap();
    }
    assert_eq!(
        sequences(&pool.assign(now)),
        [1],
        "one long prompt fills the engine's window"
    );
    let later = now + Duration::from_millis(500);
    pool.enqueue(later, job(9, "b", 500)).unwrap();
    let grants = pool.assign(later);
    assert_eq!(
        sequences(&grants),
        [9],
        "the short prompt does not wait for the long ones"
    );
    assert!(
        grants[0].priority < 1_000 + 100_000,
        "the short prompt also has priority in the engine"
    );
}

#[test]
fn a_waiting_long_prompt_is_not_starved_by_short_prompts() {
    let start = Instant::from_millis(1_000);
    let mut pool = pool(1, "first_token");
    pool.enqueue(start, job(1, "a", 50_000)).unwrap();
    pool.assign(start);
    pool.enqueue(start, job(2, "a", 50_000)).unwrap();
    // Short prompts exceed the engine's capacity for two minutes.
    let mut granted_after = None;
    for step in 0..12_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let short = job(100 + step, "b", 120);
        // An overloaded pool may refuse new requests; the waiting long one must still start.
        let _ = pool.enqueue(now, short);
        for grant in pool.assign(now) {
            let attempt = grant.attempt;
            if attempt.request.sequence == 2 {
                granted_after.get_or_insert(step * 10);
            } else {
                pool.record_first_token(now, attempt);
                pool.end(now, attempt);
            }
        }
    }
    let after = granted_after.expect("the waiting long prompt starts");
    assert!(after < 60_000, "started after {after} ms");
}

#[test]
fn a_workspace_with_a_large_backlog_leaves_others_their_share() {
    let now = Instant::from_millis(1_000);
    let mut pool = pool(2, "first_token");
    for sequence in 0..400 {
        let _ = pool.enqueue(now, job(sequence, "busy", 2_000));
    }
    pool.assign(now);
    pool.enqueue(now, job(1_000, "other", 2_000)).unwrap();
    let mut order = Vec::new();
    for step in 1..400_u64 {
        let now = now + Duration::from_millis(step * 20);
        let grants = pool.assign(now);
        order.extend(sequences(&grants));
        for grant in grants {
            pool.record_first_token(now, grant.attempt);
            pool.end(now, grant.attempt);
        }
    }
    let position = order
        .iter()
        .position(|sequence| *sequence == 1_000)
        .expect("the request is granted");
    assert!(
        position < 20,
        "the other workspace was served after {position} requests of the backlog"
    );
}

#[rstest]
#[case::misses_its_own_deadline(30_000, 2_000)]
#[case::delays_another_past_its_deadline(2_000, 30_000)]
fn a_request_that_would_cause_a_missed_deadline_is_refused_as_not_run(
    #[case] first: u64,
    #[case] second: u64,
) {
    let now = Instant::from_millis(1_000);
    let mut pool = pool(1, "first_token");
    pool.enqueue(now, job(1, "a", 100_000)).unwrap();
    pool.assign(now);
    let mut tight = job(2, "a", first);
    tight.remaining = Duration::from_millis(first / 10 + 400);
    let refused = if first > second {
        pool.enqueue(
            now,
            Job {
                remaining: Duration::from_secs(1),
                ..tight
            },
        )
    } else {
        pool.enqueue(now, tight).unwrap();
        // Shorter prompts go first; enough of them would delay the waiting one past its deadline.
        let mut many = (10..1_000).map(|sequence| job(sequence, &format!("w{sequence}"), 1_500));
        many.find_map(|job| pool.enqueue(now, job).err())
            .map_or(Ok(()), Err)
    };
    let refusal = refused.expect_err("the job is refused by the prediction");
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert!(refusal.retry_after().is_some());
}

#[test]
fn short_prompts_are_refused_before_they_delay_a_started_long_prompt_past_its_deadline() {
    let now = Instant::from_millis(1_000);
    let mut pool = pool(1, "first_token");
    let mut long = job(1, "a", 100_000);
    long.remaining = Duration::from_secs(12);
    pool.enqueue(now, long).unwrap();
    assert_eq!(pool.assign(now).len(), 1);
    let mut admitted = 0;
    for sequence in 10..110 {
        let short = job(sequence, &format!("w{sequence}"), 1_500);
        admitted += u32::from(pool.enqueue(now, short).is_ok());
        pool.assign(now);
    }
    // The long prompt needs 10 s of its 12 s, and each short one takes 0.15 s.
    assert!(
        (1..=10).contains(&admitted),
        "{admitted} short prompts were admitted"
    );
}

#[test]
fn a_gang_reserves_all_its_engines_or_none() {
    let now = Instant::from_millis(1_000);
    let mut pool = pool(4, "first_token");
    pool.enqueue(now, job(1, "a", 300_000)).unwrap();
    pool.enqueue(now, job(2, "a", 300_000)).unwrap();
    assert_eq!(
        pool.assign(now).len(),
        2,
        "both fit, each filling most of an engine"
    );
    pool.enqueue(now, job(3, "b", 1_000_000)).unwrap();
    pool.enqueue(now, job(4, "b", 1_000_000)).unwrap();
    let free = |pool: &Pool| {
        pool.engines()
            .iter()
            .filter(|engine| engine.running() == 0)
            .count()
    };
    assert!(pool.assign(now).is_empty());
    assert_eq!(
        free(&pool),
        2,
        "a gang that cannot reserve all its engines reserves none"
    );
    pool.enqueue(now, job(5, "c", 1_000)).unwrap();
    assert_eq!(
        sequences(&pool.assign(now)),
        [5],
        "short prompts start on earmarked engines"
    );
    for sequence in [1, 2, 5] {
        pool.end(now, job(sequence, "a", 0).attempt);
    }
    let grants = pool.assign(now);
    assert_eq!(sequences(&grants), [3]);
    assert_eq!(grants[0].endpoints.len(), 4);
    assert!(grants[0].part_tokens * 4 >= 1_000_000);
    pool.end(now, grants[0].attempt);
    assert_eq!(
        sequences(&pool.assign(now)),
        [4],
        "the second gang starts next, without a deadlock"
    );
}

#[test]
fn a_leaving_engine_gets_no_new_work_and_keeps_its_running_requests() {
    let now = Instant::from_millis(1_000);
    let mut pool = pool(1, "first_token");
    pool.enqueue(now, job(1, "a", 1_000)).unwrap();
    assert_eq!(pool.assign(now).len(), 1);
    pool.report(
        now,
        Report {
            leaving: true,
            ..report("e0")
        },
    );
    assert!(pool.enqueue(now, job(2, "a", 1_000)).is_err());
    assert_eq!(pool.engines()[0].running(), 1);
}

#[test]
fn a_prompt_goes_to_the_engine_with_its_prefix_and_stale_hints_are_ignored() {
    let now = Instant::from_millis(1_000);
    let hashes: Vec<u64> = (0..40).collect();
    let repeated = |sequence| Job {
        prefix: hashes.clone(),
        ..job(sequence, "a", 41_000)
    };
    let granted = |pool: &mut Pool, now, sequence| {
        pool.enqueue(now, repeated(sequence)).unwrap();
        let grant = pool.assign(now).remove(0);
        pool.end(now, grant.attempt);
        (grant.endpoints[0].as_str().to_owned(), grant.predicted)
    };
    let mut pool = pool(3, "first_token");
    let (_, cold) = granted(&mut pool, now, 1);
    pool.engine_mut(&Endpoint::from("e2"))
        .unwrap()
        .add_hints(now, &hashes);
    let (endpoint, warm) = granted(&mut pool, now, 2);
    assert_eq!(endpoint, "e2");
    assert!(warm * 10 < cold, "{warm:?} against {cold:?}");
    let later = now + Duration::from_mins(10);
    assert_eq!(
        granted(&mut pool, later, 3).1,
        cold,
        "an expired hint is ignored"
    );
    pool.engine_mut(&Endpoint::from("e2"))
        .unwrap()
        .add_hints(later, &hashes);
    pool.engine_mut(&Endpoint::from("e2"))
        .unwrap()
        .clear_hints();
    assert_eq!(
        granted(&mut pool, later, 4).1,
        cold,
        "a cleared hint is ignored"
    );
}

/// A random run in which engines join and leave, and requests end or are withdrawn at any time.
#[rstest]
fn random_runs_keep_memory_bounded_and_engines_busy(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pool = pool(4, "first_token");
    let mut running: BTreeMap<u64, Grant> = BTreeMap::new();
    let mut now = Instant::from_millis(1_000);
    let (mut granted, mut gangs) = (0, 0);
    for sequence in 0..6_000 {
        now = now + Duration::from_millis(random.random_range(1..60));
        let tokens = match random.random_range(0..100) {
            0 => random.random_range(400_000..1_200_000),
            1..10 => random.random_range(20_000..300_000),
            _ => random.random_range(100..4_000),
        };
        let _ = pool.enqueue(now, job(sequence, &format!("w{}", sequence % 3), tokens));
        if random.random_bool(0.02) {
            let name = format!("e{}", random.random_range(0..4));
            pool.remove(&Endpoint::from(name.as_str()));
            running.retain(|_, grant| {
                grant
                    .endpoints
                    .iter()
                    .all(|endpoint| endpoint.as_str() != name)
            });
        }
        for index in 0..4 {
            if random.random_bool(0.5) {
                pool.report(now, report(&format!("e{index}")));
            }
        }
        for grant in pool.assign(now) {
            granted += 1;
            gangs += usize::from(grant.endpoints.len() > 1);
            assert!(grant.endpoints.len() <= 4);
            running.insert(grant.attempt.request.sequence, grant);
        }
        assert_eq!(pool.violation(), None, "at request {sequence}");
        for engine in pool.engines() {
            assert!(engine.kv_free() <= KV_TOTAL_TOKENS);
        }
        let ended: Vec<_> = running
            .keys()
            .copied()
            .filter(|_| random.random_bool(0.3))
            .collect();
        for sequence in ended {
            let grant = running.remove(&sequence).expect("the request is running");
            pool.record_first_token(now, grant.attempt);
            pool.end(now, grant.attempt);
        }
    }
    assert!(
        granted > 3_000 && gangs > 3,
        "granted {granted}, gangs {gangs}"
    );
}
