//! Ownership of deferred requests during node deaths, restarts and partitions.

use std::time::Duration;

use filbertstage_kernel::deferred::{MAX_ENTRIES, Orphan, RETENTION, Table};
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::request::{Id, Incarnation};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);
const C: Incarnation = Incarnation(3);
const LIMIT: Duration = Duration::from_secs(30);
const START: Instant = Instant::from_millis(1_000);

const fn request(sequence: u64) -> Id {
    Id {
        incarnation: A,
        sequence,
    }
}

/// A request that `A` owns and `B` keeps a copy of.
fn replicated_request() -> (Table<&'static str>, Table<&'static str>) {
    let (mut owner, mut replica) = (Table::new(A), Table::new(B));
    assert!(owner.accept(START, request(1), "ask", LIMIT));
    assert!(replica.store_copy(START, request(1), "ask", A, LIMIT));
    owner.set_replica(request(1), B);
    (owner, replica)
}

#[test]
fn a_request_is_unreplicated_when_the_node_with_its_copy_dies() {
    let (mut owner, _) = replicated_request();
    assert!(owner.unreplicated(&[A, B, C]).is_empty());
    assert_eq!(owner.unreplicated(&[A, C]), [request(1)]);
    owner.set_replica(request(1), C);
    assert!(owner.unreplicated(&[A, C]).is_empty());
}

#[test]
fn a_copy_is_adopted_once_and_is_then_unreplicated() {
    let (_, mut replica) = replicated_request();
    assert!(replica.adopt(START, &[A, B, C]).is_empty());
    let orphan = Orphan {
        request: request(1),
        unanswered: true,
    };
    assert_eq!(replica.adopt(START, &[B, C]), [orphan]);
    assert!(replica.adopt(START, &[B, C]).is_empty(), "already adopted");
    assert_eq!(replica.unreplicated(&[B, C]), [request(1)]);
}

#[test]
fn a_copy_is_not_adopted_while_its_owner_is_live() {
    let (_, mut replica) = replicated_request();
    replica.adopt(START, &[B, C]);
    let mut third = Table::new(C);
    third.store_copy(START, request(1), "ask", B, LIMIT);
    assert!(third.adopt(START, &[B, C]).is_empty(), "its owner is live");
}

#[test]
fn an_answer_survives_its_owner_and_is_then_unreplicated() {
    let (mut owner, mut replica) = replicated_request();
    assert!(owner.store_answer(START, request(1), "answer", A));
    assert!(replica.store_answer(START, request(1), "answer", A));
    let orphan = Orphan {
        request: request(1),
        unanswered: false,
    };
    assert_eq!(replica.adopt(START, &[B, C]), [orphan]);
    assert_eq!(replica.unreplicated(&[B, C]), [request(1)]);
    assert_eq!(
        replica.find(request(1)).map(|entry| entry.content),
        Some("answer")
    );
}

#[test]
fn the_lower_incarnation_owns_a_request_after_a_partition() {
    let (mut owner, mut replica) = replicated_request();
    replica.adopt(START, &[B]);
    owner.store_copy(START, request(1), "ask", B, LIMIT);
    replica.store_copy(START, request(1), "ask", A, LIMIT);
    assert!(owner.owns(request(1)));
    assert!(!replica.owns(request(1)));
}

#[test]
fn the_first_answer_is_kept() {
    let (mut owner, _) = replicated_request();
    owner.store_answer(START, request(1), "first", A);
    owner.store_answer(START, request(1), "second", B);
    owner.store_copy(START, request(1), "ask", B, LIMIT);
    assert_eq!(
        owner.find(request(1)).map(|entry| entry.content),
        Some("first")
    );
}

#[test]
fn a_full_table_rejects_requests_until_answers_expire() {
    let mut table = Table::new(A);
    for sequence in 0..MAX_ENTRIES as u64 {
        assert!(table.store_answer(START, request(sequence), "answer", A));
    }
    assert!(!table.accept(START, request(u64::MAX), "ask", LIMIT));
    let later = START + RETENTION + Duration::from_secs(1);
    assert!(table.accept(later, request(u64::MAX), "ask", LIMIT));
}
