//! The retry budget of one host.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use filbertstage_relay::budget::{Budgets, Draw};
use filbertstage_relay::clock::Clock;
use filbertstage_relay::settings::Retry;
use kernel::fleet::{Fleet, Start};
use kernel::name::{Host, Service};
use parking_lot::Mutex;

/// Retries of a host that has just started with its fleet and has served nothing.
const RETRIES: usize = 2;

/// Returns the budgets of a host that has just started with its fleet.
fn budgets() -> Budgets {
    let (retry, clock) = (Retry::default(), Clock::default());
    let now = clock.now();
    let mut fleet = Fleet::new(Host::from("edge-1"), 1, retry.window(), Start::First, now);
    fleet.next_announcement();
    fleet.record_renewed(now, now);
    Budgets::new(&retry, Arc::new(Mutex::new(fleet)), clock)
}

/// Takes a retry and sends it; returns whether that was allowed.
fn send(draw: &Draw<'_>) -> bool {
    draw.sent_flag().store(true, Ordering::Relaxed);
    draw.take()
}

/// Number of retries that can be sent.
fn count_left(budgets: &Budgets, service: &Service) -> usize {
    let draws = std::iter::from_fn(|| budgets.prepare(service, "left").filter(send));
    draws.take(10).count()
}

/// Guards against callers that are refused a retry because earlier ones, which found no connection,
/// have used the budget.
#[test]
fn retries_that_are_not_sent_use_no_budget() {
    let (budgets, service) = (budgets(), Service::from("desk"));
    for _ in 0..10 {
        let draw = budgets.prepare(&service, "no connection");
        assert!(draw.is_some());
    }
    for _ in 0..10 {
        let draw = budgets
            .prepare(&service, "closed connection")
            .expect("some left");
        assert!(draw.take() && draw.take());
        draw.refund();
    }
    assert_eq!(count_left(&budgets, &service), RETRIES);
}

/// Guards against first sends that are withheld while retries are.
#[test]
fn first_sends_use_no_budget() {
    let (budgets, service) = (budgets(), Service::from("desk"));
    count_left(&budgets, &service);
    assert!(budgets.prepare(&service, "retry").is_none());
    assert!(budgets.free(&service, "first").take());
}

/// Guards against more retries than are left, when several requests find the last one before they
/// have a connection.
#[test]
fn retries_that_are_prepared_together_are_sent_as_far_as_the_budget_goes() {
    let (budgets, service) = (budgets(), Service::from("desk"));
    let prepared: Vec<_> = (0..5)
        .filter_map(|_| budgets.prepare(&service, "retry"))
        .collect();
    assert_eq!(prepared.len(), 5);
    let sent = prepared.iter().filter(|draw| draw.take()).count();
    assert_eq!(sent, RETRIES);
}

/// Guards against callers that are refused a retry because clients left between the withdrawal of
/// theirs and the send.
#[test]
fn retries_that_are_dropped_before_they_are_sent_use_no_budget() {
    let (budgets, service) = (budgets(), Service::from("desk"));
    for _ in 0..10 {
        let draw = budgets.prepare(&service, "left").expect("some left");
        assert!(draw.take());
    }
    assert_eq!(count_left(&budgets, &service), RETRIES);
}
