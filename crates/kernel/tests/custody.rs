//! Deferred requests while nodes die, restart and lose sight of each other.

use std::time::Duration;

use filbertstage_kernel::custody::{KEPT, MOST, Orphan, Table};
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

/// A request that `A` took and `B` keeps a copy of.
fn pair() -> (Table<&'static str>, Table<&'static str>) {
    let (mut owner, mut keeper) = (Table::new(A), Table::new(B));
    assert!(owner.take(START, request(1), "ask", LIMIT));
    assert!(keeper.keep(START, request(1), "ask", A, LIMIT));
    owner.seconded(request(1), B);
    (owner, keeper)
}

#[test]
fn the_copy_is_renewed_when_the_node_that_keeps_it_dies() {
    let (mut owner, _) = pair();
    assert!(owner.single(&[A, B, C]).is_empty());
    assert_eq!(owner.single(&[A, C]), [request(1)]);
    owner.seconded(request(1), C);
    assert!(owner.single(&[A, C]).is_empty());
}

#[test]
fn a_copy_is_taken_over_once_and_needs_a_copy_of_its_own() {
    let (_, mut keeper) = pair();
    assert!(keeper.adopt(START, &[A, B, C]).is_empty());
    let orphan = Orphan {
        request: request(1),
        unanswered: true,
    };
    assert_eq!(keeper.adopt(START, &[B, C]), [orphan]);
    assert!(keeper.adopt(START, &[B, C]).is_empty(), "it runs already");
    assert_eq!(keeper.single(&[B, C]), [request(1)]);
}

#[test]
fn a_node_that_gets_its_own_copy_back_does_not_run_it_again() {
    let (_, mut keeper) = pair();
    keeper.adopt(START, &[B, C]);
    let mut third = Table::new(C);
    third.keep(START, request(1), "ask", B, LIMIT);
    assert!(third.adopt(START, &[B, C]).is_empty(), "its owner lives");
}

#[test]
fn an_answer_outlives_its_owner_and_is_copied_again() {
    let (mut owner, mut keeper) = pair();
    assert!(owner.answer(START, request(1), "answer", A));
    assert!(keeper.answer(START, request(1), "answer", A));
    let orphan = Orphan {
        request: request(1),
        unanswered: false,
    };
    assert_eq!(keeper.adopt(START, &[B, C]), [orphan]);
    assert_eq!(keeper.single(&[B, C]), [request(1)]);
    assert_eq!(
        keeper.find(request(1)).map(|hold| hold.content),
        Some("answer")
    );
}

#[test]
fn of_two_owners_after_a_cut_one_goes_on() {
    let (mut owner, mut keeper) = pair();
    keeper.adopt(START, &[B]);
    owner.keep(START, request(1), "ask", B, LIMIT);
    keeper.keep(START, request(1), "ask", A, LIMIT);
    assert!(owner.owns(request(1)));
    assert!(!keeper.owns(request(1)));
}

#[test]
fn the_first_answer_stays() {
    let (mut owner, _) = pair();
    owner.answer(START, request(1), "first", A);
    owner.answer(START, request(1), "second", B);
    owner.keep(START, request(1), "ask", B, LIMIT);
    assert_eq!(
        owner.find(request(1)).map(|hold| hold.content),
        Some("first")
    );
}

#[test]
fn a_full_table_refuses_and_old_answers_make_room() {
    let mut table = Table::new(A);
    for sequence in 0..MOST as u64 {
        assert!(table.answer(START, request(sequence), "answer", A));
    }
    assert!(!table.take(START, request(u64::MAX), "ask", LIMIT));
    let later = START + KEPT + Duration::from_secs(1);
    assert!(table.take(later, request(u64::MAX), "ask", LIMIT));
}
