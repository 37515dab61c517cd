//! Claims on the log: at most one attempt of a call is sent.

use std::time::Duration;

use filbertstage_kernel::claim::{Answer, Claim, Record, Registry, Verdict};
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::request::{Attempt, Id, Incarnation};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const WINDOW: Duration = Duration::from_mins(1);
const NOW: Instant = Instant::from_millis(1_000);

fn attempt(node: u64, sequence: u64) -> Attempt {
    let incarnation = Incarnation(node);
    Attempt {
        request: Id {
            incarnation,
            sequence,
        },
        number: 1,
    }
}

fn claim(attempt: Attempt) -> Record {
    Record::Claim(Claim {
        key: "k".to_owned(),
        body: "b".to_owned(),
        attempt,
        time_limit_ms: 5_000,
    })
}

fn answer() -> Answer {
    Answer {
        status: 200,
        body: "done".to_owned(),
    }
}

fn outcome(attempt: Attempt) -> Record {
    Record::Outcome {
        key: "k".to_owned(),
        attempt,
        answer: answer(),
    }
}

fn abandon(attempt: Attempt) -> Record {
    Record::Abandon {
        key: "k".to_owned(),
        attempt,
    }
}

fn apply_all(records: &[Record]) -> Registry {
    let mut registry = Registry::new(WINDOW);
    for (offset, record) in records.iter().enumerate() {
        let text = serde_json::to_string(&[record]).unwrap();
        registry.apply(NOW, offset as u64, 0, &text);
    }
    registry
}

fn verdict(registry: &Registry, attempt: Attempt) -> Verdict {
    registry.verdict(NOW, "k", "b", attempt)
}

#[test]
fn the_first_of_two_claims_wins_and_both_callers_get_its_outcome() {
    let (first, second) = (attempt(1, 1), attempt(2, 1));
    let registry = apply_all(&[claim(first), claim(second)]);
    assert_eq!(verdict(&registry, first), Verdict::Won);
    assert_eq!(verdict(&registry, second), Verdict::Running(first));
    let registry = apply_all(&[claim(first), claim(second), outcome(first)]);
    assert_eq!(verdict(&registry, first), Verdict::Ended(answer()));
    assert_eq!(verdict(&registry, second), Verdict::Ended(answer()));
}

#[test]
fn an_outcome_of_an_attempt_that_did_not_win_is_ignored() {
    let (first, second) = (attempt(1, 1), attempt(2, 1));
    let registry = apply_all(&[claim(first), outcome(second), abandon(second)]);
    assert_eq!(verdict(&registry, first), Verdict::Won);
}

#[test]
fn a_late_or_repeated_claim_of_an_abandoned_attempt_is_ignored() {
    let (first, second) = (attempt(1, 1), attempt(2, 1));
    let registry = apply_all(&[abandon(first), claim(first)]);
    assert_eq!(verdict(&registry, first), Verdict::Free);
    let registry = apply_all(&[claim(first), abandon(first), claim(first), claim(second)]);
    assert_eq!(
        verdict(&registry, second),
        Verdict::Won,
        "a repeated append of an abandoned claim is ignored"
    );
}

#[test]
fn a_dead_claimant_leaves_an_unknown_outcome_and_not_a_free_key() {
    let (dead, retry) = (attempt(1, 1), attempt(2, 1));
    let registry = apply_all(&[claim(dead), claim(retry)]);
    let later = NOW + Duration::from_secs(30);
    assert_eq!(registry.verdict(later, "k", "b", retry), Verdict::Unknown);
    assert_eq!(registry.unknown_keys(later), ["k"]);
}

#[test]
fn the_same_key_with_another_body_is_a_conflict() {
    let first = attempt(1, 1);
    let registry = apply_all(&[claim(first)]);
    assert_eq!(
        registry.verdict(NOW, "k", "other", attempt(2, 1)),
        Verdict::Conflict
    );
    let registry = apply_all(&[claim(first), outcome(first)]);
    assert_eq!(
        registry.verdict(NOW, "k", "other", attempt(2, 1)),
        Verdict::Conflict
    );
}

#[test]
fn a_key_expires_by_the_clock_of_the_log_only() {
    let mut registry = apply_all(&[claim(attempt(1, 1))]);
    let no_records = serde_json::to_string(&Vec::<Record>::new()).unwrap();
    let much_later = NOW + Duration::from_secs(100_000);
    registry.apply(much_later, 1, 59_000, &no_records);
    assert!(!registry.is_free("k"), "the reader's own clock is not used");
    registry.apply(NOW, 2, 61_000, &no_records);
    assert!(registry.is_free("k"));
}

/// Several nodes claim the same key, and records are appended in any order, late or twice. Two
/// readers of that log must agree, and at most one attempt may be sent.
#[rstest]
fn a_random_run_never_lets_two_attempts_win(#[values(1, 2, 3)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut registry = Registry::new(WINDOW);
    let mut other = Registry::new(WINDOW);
    let mut in_flight: Vec<Record> = Vec::new();
    let mut sent: Vec<Attempt> = Vec::new();
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut abandoned: Vec<Attempt> = Vec::new();
    let mut offset = 0;
    for step in 0..2_000 {
        match random.random_range(0..5) {
            0 => {
                let new = attempt(random.random_range(1..5), step);
                attempts.push(new);
                in_flight.push(claim(new));
                if random.random_bool(0.2) {
                    in_flight.push(claim(new));
                }
            }
            1 => {
                // A node abandons an attempt whose claim it has not read back as won, and never
                // sends it.
                let waiting = attempts.iter().find(|attempt| {
                    !abandoned.contains(attempt)
                        && !sent.contains(attempt)
                        && verdict(&registry, **attempt) != Verdict::Won
                });
                if let Some(attempt) = waiting.copied() {
                    abandoned.push(attempt);
                    in_flight.push(abandon(attempt));
                }
            }
            _ if !in_flight.is_empty() => {
                let delivered = in_flight.swap_remove(random.random_range(0..in_flight.len()));
                let text = serde_json::to_string(&[delivered]).unwrap();
                registry.apply(NOW, offset, 0, &text);
                other.apply(NOW + Duration::from_secs(9), offset, 0, &text);
                offset += 1;
            }
            _ => {}
        }
        for attempt in &attempts {
            if !abandoned.contains(attempt)
                && !sent.contains(attempt)
                && verdict(&registry, *attempt) == Verdict::Won
            {
                sent.push(*attempt);
            }
            assert_eq!(
                verdict(&registry, *attempt),
                other.verdict(NOW + Duration::from_secs(9), "k", "b", *attempt)
            );
        }
        assert!(sent.len() <= 1, "attempts {sent:?} were both sent");
    }
}
