//! Leases and their fencing numbers.

use std::time::Duration;

use filbertstage_kernel::lease::{Candidate, DURATION, MAX_ORDER_DELAY, Record, Step, Table};
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::request::Incarnation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn candidate(number: u64) -> Candidate {
    Candidate::new(
        "orders",
        &Host::from(format!("h{number}")),
        Incarnation(number),
    )
}

fn append(table: &mut Table, now: Instant, record: &Record) {
    let text = serde_json::to_string(record).unwrap();
    table.apply(now, table.next_offset(), &text);
}

fn take(candidate: &mut Candidate, table: &mut Table, now: Instant) -> Record {
    let Step::Append(record) = candidate.step(now, table) else {
        panic!("the lease is free");
    };
    append(table, now, &record);
    candidate.step(now, table);
    record
}

#[test]
fn a_holder_paused_for_the_whole_lease_has_no_fencing_number() {
    let mut table = Table::default();
    let start = Instant::from_millis(1_000);
    let mut holder = candidate(1);
    take(&mut holder, &mut table, start);
    assert!(holder.fence(start + Duration::from_secs(6)).is_some());
    assert!(
        holder.fence(start + DURATION).is_none(),
        "after a pause of the whole lease"
    );
}

#[test]
fn a_successor_waits_and_gets_a_larger_fencing_number() {
    let mut table = Table::default();
    let start = Instant::from_millis(1_000);
    let (mut holder, mut next) = (candidate(1), candidate(2));
    take(&mut holder, &mut table, start);
    let old = holder.fence(start).expect("held");
    assert_eq!(next.step(start + DURATION, &table), Step::Wait);
    let later = start + DURATION + MAX_ORDER_DELAY;
    take(&mut next, &mut table, later);
    assert!(next.fence(later).expect("taken over") > old);
    assert!(holder.fence(later).is_none());
}

#[test]
fn the_first_record_on_the_log_takes_a_free_lease() {
    let mut table = Table::default();
    let now = Instant::from_millis(1_000);
    let (mut one, mut two) = (candidate(1), candidate(2));
    let (Step::Append(first), Step::Append(second)) =
        (one.step(now, &table), two.step(now, &table))
    else {
        panic!("both see a free lease");
    };
    append(&mut table, now, &first);
    append(&mut table, now, &second);
    one.step(now, &table);
    two.step(now, &table);
    assert!(one.fence(now).is_some());
    assert!(two.fence(now).is_none());
}

#[test]
fn a_lease_starts_at_the_append_of_the_record_that_was_read() {
    let mut table = Table::default();
    let start = Instant::from_millis(1_000);
    let mut holder = candidate(1);
    let Step::Append(first) = holder.step(start, &table) else {
        panic!("free");
    };
    // The acknowledgement is lost, and the holder appends again before it reads the first record.
    let retry = start + Duration::from_secs(8);
    assert!(matches!(holder.step(retry, &table), Step::Append(_)));
    append(&mut table, retry, &first);
    holder.step(retry, &table);
    assert!(
        holder.fence(retry).is_none(),
        "8 s of the lease have passed since the first append"
    );
}

/// Holders pause, and appends are lost or arrive late. Two candidates must never hold a usable
/// lease at the same time.
#[rstest]
fn a_random_run_never_has_two_holders(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut candidates = [candidate(1), candidate(2), candidate(3)];
    let mut tables = [Table::default(), Table::default(), Table::default()];
    let mut paused = [Instant::default(); 3];
    let mut log: Vec<Record> = Vec::new();
    let mut in_flight: Vec<(Instant, Record)> = Vec::new();
    let (mut fences, mut held) = (Vec::new(), 0);
    for step in 1..20_000_u64 {
        let now = Instant::from_millis(step * 100);
        in_flight.retain(|(due, record)| {
            if *due <= now {
                log.push(record.clone());
            }
            *due > now
        });
        let mut usable = Vec::new();
        for index in 0..3 {
            if paused[index] > now {
                continue;
            }
            if random.random_bool(0.005) {
                paused[index] = now + Duration::from_secs(random.random_range(1..40));
            }
            let table = &mut tables[index];
            while let Some(record) = log.get(usize::try_from(table.next_offset()).unwrap()) {
                let text = serde_json::to_string(record).unwrap();
                table.apply(now, table.next_offset(), &text);
            }
            if let Step::Append(record) = candidates[index].step(now, table) {
                let lost = random.random_bool(0.1);
                let late = if random.random_bool(0.1) {
                    random.random_range(0..15_000)
                } else {
                    0
                };
                if !lost {
                    in_flight.push((now + Duration::from_millis(late), record));
                }
            }
            usable.extend(candidates[index].fence(now));
        }
        assert!(
            usable.len() <= 1,
            "two usable leases at step {step}: {usable:?}"
        );
        if let Some(fence) = usable.first() {
            held += 1;
            assert!(
                fences.last().is_none_or(|last| last <= fence),
                "the fencing number grows"
            );
            fences.push(*fence);
        }
    }
    fences.dedup();
    assert!(
        fences.len() > 3 && held > 5_000,
        "{} fencing numbers, held for {held} steps",
        fences.len()
    );
}
