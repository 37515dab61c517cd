//! Waits for engines that are dropped at any moment.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::task::Poll;

use filbertstage_relay::clock::Clock;
use filbertstage_relay::placer::{Audit, Placement, Placer};
use kernel::prelude::*;
use rstest::rstest;
use support::*;
use tokio::runtime::{Builder, Runtime};
use wire::placement::{Item, Placements, Scope};

/// A prompt that engines start beside others.
const SHORT: u64 = 5_000;
/// A prompt that holds its engine alone and claims it.
const LONG: u64 = 60_000;

fn runtime() -> Runtime {
    let runtime = Builder::new_current_thread().enable_time().build();
    runtime.expect("a runtime")
}

fn place(placer: &Arc<Placer>, tokens: u64, now: Instant) -> Operation<Option<Placement>> {
    let placer = Arc::clone(placer);
    Box::pin(async move { placer.place(&service(), request(tokens, now)).await.ok() })
}

/// Places a request and returns once it may run.
fn run(runtime: &Runtime, placer: &Arc<Placer>, tokens: u64, now: Instant) -> Placement {
    let placement = runtime.block_on(place(placer, tokens, now));
    placement.expect("a free engine")
}

/// Returns the sequence numbers of the placements that another host holds for running after these
/// updates.
fn heard(updates: &[Item]) -> BTreeSet<u32> {
    let mut running = BTreeSet::new();
    for item in updates {
        match item {
            Item::Put(part) => {
                running.insert(part.sequence);
            }
            Item::Done(sequence) => {
                running.remove(sequence);
            }
            _ => {}
        }
    }
    running
}

/// Guards against engines that stay in use for ever, because a wait was dropped after engines were
/// assigned to its request and before it had received them (incident 22).
#[rstest]
#[case::short_prompts(SHORT, 1)]
#[case::claimed_engines(LONG, 1)]
#[case::several_engines(LONG, 3)]
fn engines_of_dropped_waits_are_free(#[case] tokens: u64, #[case] engines: u32) {
    /// Steps of each waiting request: two polls, then it is dropped.
    const STEPS: usize = 3;
    const WAITING: usize = 3;
    let runtime = runtime();
    let _context = runtime.enter();
    let mut steps = vec![STEPS; WAITING];
    // The last one frees the engines.
    steps.push(1);
    for order in interleavings(&steps) {
        let clock = Clock::default();
        let (placer, now) = (placer(clock, 1, engines), clock.now());
        let mut running: Vec<_> = (0..engines)
            .map(|_| place(&placer, LONG, now))
            .map(|mut first| {
                let _ = poll(&mut first);
                first
            })
            .collect();
        let mut waiting: Vec<_> = (0..WAITING)
            .map(|_| Some((0, place(&placer, tokens, now))))
            .collect();
        for index in &order {
            let Some(slot) = waiting.get_mut(*index) else {
                running.clear();
                continue;
            };
            if let Some((polls, operation)) = slot
                && *polls < STEPS - 1
            {
                *polls += 1;
                if let Poll::Ready(placed) = poll(operation) {
                    assert!(placed.is_some(), "refused in the order {order:?}");
                    *slot = None;
                }
            } else {
                *slot = None;
            }
        }
        let left = placer.placements();
        assert!(
            left.is_empty(),
            "in use after the order {order:?}: {left:?}"
        );
        let audit = placer.audit();
        let idle = |audit: &Audit| audit.placements == 0 && audit.unowned_loads == 0;
        assert!(audit.iter().all(idle), "{audit:?} after {order:?}");
        let heard = heard(&placer.take_updates());
        assert!(heard.is_empty(), "others hold {heard:?} after {order:?}");
        let mut next = place(&placer, LONG, now);
        let _ = poll(&mut next);
        assert!(!placer.placements().is_empty(), "no engine after {order:?}");
    }
}

/// Guards against other hosts that avoid an engine, because a snapshot told them of a placement that
/// its request never received.
#[test]
fn others_hear_that_an_undelivered_placement_has_ended() {
    let runtime = runtime();
    let _context = runtime.enter();
    let clock = Clock::default();
    let (own, other) = (placer(clock, 1, 1), placer(clock, 2, 1));
    let now = clock.now();
    let running = run(&runtime, &own, LONG, now);
    let mut waiting = place(&own, LONG, now);
    assert!(poll(&mut waiting).is_pending());
    drop(running);
    let frame = |scope, items| Placements {
        host: "edge-1".to_owned(),
        holder: 1,
        version: 1,
        scope,
        snapshot: 1,
        items,
    };
    own.take_updates();
    other.apply_frame(&frame(Scope::Snapshot { frames: 1 }, own.placements()));
    drop(waiting);
    other.apply_frame(&frame(Scope::Updates, own.take_updates()));
    let mut next = place(&other, LONG, now);
    let _ = poll(&mut next);
    assert!(
        !other.placements().is_empty(),
        "no engine at the other host"
    );
}

/// Guards against engines that another request still uses and that count as free, because a service
/// that was published again gave its placements the identifiers of earlier ones.
#[test]
fn placements_of_a_service_that_returns_are_told_apart() {
    let runtime = runtime();
    let _context = runtime.enter();
    let clock = Clock::default();
    let registry = registry(clock, &[service()], 1);
    let (placer, now) = (placer(clock, 1, 1), clock.now());
    let earlier = run(&runtime, &placer, SHORT, now);
    placer.set_services(std::iter::empty());
    placer.set_services([(&service(), &profile())].into_iter());
    placer.refresh_engines(&registry);
    let later = run(&runtime, &placer, SHORT, now);
    drop(earlier);
    assert_eq!(placer.placements().len(), 1, "the later request runs");
    drop(later);
    assert!(placer.placements().is_empty());
}

/// Guards against engines that other hosts take for free, because a request to another service with
/// the same number has ended.
#[test]
fn placements_of_two_services_are_told_apart() {
    let runtime = runtime();
    let _context = runtime.enter();
    let clock = Clock::default();
    let services = [Service::from("writer"), Service::from("planner")];
    let placer = placer_of(clock, 1, &services, 1);
    let now = clock.now();
    let run_at = |service: &Service| {
        let placing = placer.place(service, request(SHORT, now));
        runtime.block_on(placing).expect("a free engine")
    };
    let (writer, planner) = (run_at(&services[0]), run_at(&services[1]));
    drop(writer);
    assert_eq!(heard(&placer.take_updates()).len(), 1);
    drop(planner);
}
