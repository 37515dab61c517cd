//! The open connections of callers.

use std::time::Duration;

use filbertstage_kernel::connection::{Admission, Id, Pause, Table};
use filbertstage_kernel::prelude::*;

const START: Instant = Instant::from_millis(1_000);

fn at(second: u64) -> Instant {
    START + Duration::from_secs(second)
}

fn admit(table: &mut Table, now: Instant) -> Id {
    match table.admit(now) {
        Admission::Admitted(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Guards against callers that are shut out by connections without requests.
#[test]
fn the_longest_idle_connection_makes_room() {
    let mut table = Table::new(3);
    let busy = admit(&mut table, at(0));
    let idle = admit(&mut table, at(1));
    let recent = admit(&mut table, at(2));
    table.record_busy(busy);
    table.record_busy(recent);
    table.record_idle(recent, at(3));
    let Admission::Instead { closed, .. } = table.admit(at(4)) else {
        panic!("an idle connection makes room");
    };
    assert_eq!(closed, idle);
    assert_eq!(table.open(), 3);
    let Admission::Instead { closed, admitted } = table.admit(at(5)) else {
        panic!("an idle connection makes room");
    };
    assert_eq!(closed, recent);
    table.record_busy(admitted);
    let Admission::Instead { admitted, .. } = table.admit(at(6)) else {
        panic!("an idle connection makes room");
    };
    table.record_busy(admitted);
    assert_eq!(table.admit(at(7)), Admission::Refused);
    table.remove(busy);
    assert!(matches!(table.admit(at(8)), Admission::Admitted(_)));
}

/// Guards against a connection that is counted again by events that arrive after its end.
#[test]
fn a_connection_that_has_ended_is_not_counted() {
    let mut table = Table::new(1);
    let id = admit(&mut table, at(0));
    table.remove(id);
    table.record_idle(id, at(1));
    table.record_busy(id);
    assert_eq!(table.open(), 0);
    assert_eq!(table.close_idle(), None);
}

/// Guards against a stream that is cut off because its client pauses, and against one that is kept open
/// beyond the request's deadline because the client never reads.
#[test]
fn a_pause_is_allowed_until_the_deadline_and_never_less_than_a_lost_peer_takes() {
    const LEAST: Duration = Duration::from_millis(1_500);
    let deadline = Instant::from_millis(20_000);
    let timeout_at = |millis| {
        let now = Instant::from_millis(millis);
        Pause::Until(deadline).timeout(now, LEAST)
    };
    assert_eq!(timeout_at(10_000), Duration::from_secs(10));
    assert_eq!(timeout_at(10_001), Duration::from_secs(10));
    assert_eq!(timeout_at(17_400), Duration::from_secs(3));
    assert_eq!(timeout_at(19_400), LEAST);
    assert_eq!(timeout_at(21_000), LEAST);
    let now = Instant::from_millis(21_000);
    assert_eq!(Pause::None.timeout(now, LEAST), LEAST);
    let idle = Duration::from_secs(15);
    assert_eq!(Pause::For(idle).timeout(now, LEAST), idle);
}
