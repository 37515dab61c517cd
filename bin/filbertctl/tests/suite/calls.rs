//! Service calls that cannot be repeated safely run at most once.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::{log, service};
use filbertctl::caller::{self, End};
use filbertctl::fleet::{self, BOOKING_CALL, CONDITIONS_CALL, Fleet, Member, Plan, SERVICE};
use http::Method;
use rstest::rstest;

use crate::{TIME_LIMIT, send};

async fn booking_fleet() -> Fleet {
    crate::start_fleet(&[("charnwood", 2, 1, 2), ("cannock", 1, 1, 0)], 4).await
}

fn booking_path() -> String {
    format!("/v1/services/{SERVICE}/{BOOKING_CALL}")
}

async fn book(fleet: &Fleet, node: usize, key: &str, limit: Duration) -> (End, String) {
    let addresses = fleet.caller_addresses();
    book_at(addresses[node % addresses.len()], key, limit).await
}

async fn book_at(address: SocketAddr, key: &str, limit: Duration) -> (End, String) {
    caller::call(
        address,
        &fleet::workspace_key(0),
        &booking_path(),
        key,
        limit,
    )
    .await
}

fn execution_count(fleet: &Fleet, key: &str) -> u32 {
    fleet.service.executions().get(key).copied().unwrap_or(0)
}

#[rstest]
#[case::healthy(log::Faults::default())]
#[case::acknowledgements_lost(log::Faults { lose_ack_every: 1, ..log::Faults::default() })]
#[case::appends_repeated(log::Faults { duplicate_every: 1, ..log::Faults::default() })]
#[case::slow(log::Faults { delay: Duration::from_millis(200), ..log::Faults::default() })]
#[tokio::test]
async fn concurrent_bookings_with_one_key_run_once(#[case] faults: log::Faults) {
    let fleet = booking_fleet().await;
    fleet.platform.log.inject(faults);
    let limit = Duration::from_secs(10);
    let (one, two, three) = tokio::join!(
        book(&fleet, 0, "gate-4", limit),
        book(&fleet, 1, "gate-4", limit),
        book(&fleet, 2, "gate-4", limit),
    );
    for (end, body) in [&one, &two, &three] {
        assert_eq!(*end, End::Whole, "{body}");
        assert_eq!(*body, one.1, "all callers get the same answer");
    }
    assert_eq!(execution_count(&fleet, "gate-4"), 1);
    let again = book(&fleet, 1, "gate-4", limit).await;
    assert_eq!(again, one, "a later caller gets the recorded answer");
    assert_eq!(execution_count(&fleet, "gate-4"), 1);
}

#[tokio::test]
async fn log_outage_refuses_bookings_and_leaves_completions_working() {
    let fleet = booking_fleet().await;
    fleet.platform.log.inject(log::Faults {
        down: true,
        ..log::Faults::default()
    });
    let started = std::time::Instant::now();
    let (end, body) = book(&fleet, 0, "gate-4", TIME_LIMIT).await;
    assert_eq!(end, End::NotRun, "{body}");
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "the refusal arrives well before the time limit"
    );
    let (key, prompt) = (fleet::workspace_key(0), "Is the loop groomed?");
    let reply = caller::complete(fleet.caller_addresses()[0], crate::request(&key, prompt)).await;
    assert_eq!(reply.end, End::Whole, "{}", reply.error);
    assert_eq!(execution_count(&fleet, "gate-4"), 0);
    fleet.platform.log.inject(log::Faults::default());
    let deadline = tokio::time::Instant::now() + TIME_LIMIT;
    while book(&fleet, 0, "gate-4", TIME_LIMIT).await.0 != End::Whole {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the key is unusable after the outage"
        );
    }
    assert_eq!(execution_count(&fleet, "gate-4"), 1);
}

#[tokio::test]
async fn unanswered_booking_has_unknown_outcome_and_is_not_repeated() {
    let fleet = booking_fleet().await;
    fleet.service.inject(service::Faults {
        lose_responses: true,
        ..service::Faults::default()
    });
    let limit = Duration::from_secs(1);
    assert_eq!(book(&fleet, 0, "gate-4", limit).await.0, End::Unknown);
    fleet.service.inject(service::Faults::default());
    let (end, body) = book(&fleet, 1, "gate-4", Duration::from_secs(8)).await;
    assert_eq!(end, End::Unknown, "{body}");
    assert_eq!(execution_count(&fleet, "gate-4"), 1);
    let authorization = format!("Bearer {}", fleet::OPERATOR_KEY);
    let headers = [("authorization", authorization.as_str())];
    let (_, _, status) = send(
        fleet.caller_addresses()[0],
        Method::GET,
        "/operator/status",
        &headers,
        String::new(),
    )
    .await;
    let unknown = &status["nodes"][0]["unknown_outcomes"][0];
    assert!(
        unknown.as_str().is_some_and(|key| key.ends_with("gate-4")),
        "{status}"
    );
}

#[tokio::test]
async fn claim_of_a_killed_node_is_not_released() {
    let mut fleet = booking_fleet().await;
    fleet.service.inject(service::Faults {
        delay: Duration::from_secs(2),
        ..service::Faults::default()
    });
    let addresses = fleet.caller_addresses();
    let first = tokio::spawn(async move {
        caller::call(
            addresses[0],
            &fleet::workspace_key(0),
            &booking_path(),
            "gate-4",
            Duration::from_secs(3),
        )
        .await
    });
    let service = fleet.service.clone();
    crate::eventually("the call", move || !service.executions().is_empty()).await;
    fleet.kill(0);
    assert_eq!(first.await.expect("no panic").0, End::NodeLost);
    let (end, body) = book(&fleet, 0, "gate-4", Duration::from_secs(10)).await;
    assert_eq!(end, End::Unknown, "{body}");
    assert_eq!(execution_count(&fleet, "gate-4"), 1);
}

#[tokio::test]
async fn reused_key_with_another_body_conflicts_and_missing_key_is_invalid() {
    let fleet = booking_fleet().await;
    assert_eq!(book(&fleet, 0, "gate-4", TIME_LIMIT).await.0, End::Whole);
    let authorization = format!("Bearer {}", fleet::workspace_key(0));
    let bearer = ("authorization", authorization.as_str());
    let address = fleet.caller_addresses()[1];
    let headers = [bearer, ("idempotency-key", "gate-4")];
    let (status, _, document) = send(
        address,
        Method::POST,
        &booking_path(),
        &headers,
        "{\"gate\": 5}".to_owned(),
    )
    .await;
    assert_eq!(
        (status, document["error"]["code"].as_str()),
        (409, Some("idempotency_conflict"))
    );
    let (status, _, document) = send(
        address,
        Method::POST,
        &booking_path(),
        &[bearer],
        "{}".to_owned(),
    )
    .await;
    assert_eq!(
        (status, document["error"]["outcome"].as_str()),
        (400, Some("not_run")),
        "{document}"
    );
    assert_eq!(fleet.service.executions().values().sum::<u32>(), 1);
}

#[tokio::test]
async fn repeatable_call_works_during_log_outage() {
    let fleet = booking_fleet().await;
    fleet.platform.log.inject(log::Faults {
        down: true,
        ..log::Faults::default()
    });
    let path = format!("/v1/services/{SERVICE}/{CONDITIONS_CALL}");
    let (end, body) = caller::call(
        fleet.caller_addresses()[0],
        &fleet::workspace_key(0),
        &path,
        "",
        TIME_LIMIT,
    )
    .await;
    assert_eq!(end, End::Whole, "{body}");
}

/// Starts a fleet whose service answers after `delay`. The second domain has no workers and forwards its
/// calls.
async fn slow_booking_fleet(delay: Duration, drain: Duration) -> Fleet {
    let mut plan = Plan::new(&[("charnwood", 2, 1, 1), ("cannock", 1, 1, 0)], 4);
    plan.drain = drain;
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    fleet.service.inject(service::Faults {
        delay,
        ..service::Faults::default()
    });
    fleet
}

/// Drains the node at `index` after `delay`, and returns whether its work ended by itself.
async fn drain_after(member: Option<Member>, delay: Duration) -> bool {
    tokio::time::sleep(delay).await;
    member.expect("a running node").drain().await
}

/// Guards against a call that runs once and is closed without a response when its node exits, or runs again
/// at another node.
#[tokio::test]
async fn a_call_that_runs_when_its_node_exits_stays_unknown() {
    let mut fleet = slow_booking_fleet(Duration::from_secs(6), Duration::from_secs(1)).await;
    let leaving = fleet.nodes[0].take();
    let address = leaving.as_ref().expect("a node").caller_address();
    let (first, drained) = tokio::join!(
        book_at(address, "gate-7", TIME_LIMIT),
        drain_after(leaving, Duration::from_millis(500)),
    );
    assert_eq!((first.0, drained), (End::Unknown, false), "{}", first.1);
    let (second, body) = book(&fleet, 0, "gate-7", Duration::from_secs(2)).await;
    assert_eq!(second, End::Unknown, "{body}");
    assert_eq!(execution_count(&fleet, "gate-7"), 1);
}

/// Guards against a call that nothing was sent of when its node exits, and is closed without a response.
#[tokio::test]
async fn a_call_that_waits_when_its_node_exits_is_not_run() {
    let mut fleet = slow_booking_fleet(Duration::ZERO, Duration::from_secs(1)).await;
    fleet.platform.log.inject(log::Faults {
        delay: Duration::from_secs(5),
        ..log::Faults::default()
    });
    let leaving = fleet.nodes[0].take();
    let address = leaving.as_ref().expect("a node").caller_address();
    let (first, _) = tokio::join!(
        book_at(address, "gate-8", TIME_LIMIT),
        drain_after(leaving, Duration::from_millis(200)),
    );
    assert_eq!(first.0, End::NotRun, "{}", first.1);
    assert_eq!(execution_count(&fleet, "gate-8"), 0);
}

/// Guards against a caller that asks for the outcome of its call while the node exits, is told that the call has
/// not run, and makes it again under another key.
#[tokio::test]
async fn a_call_that_has_run_keeps_its_outcome_while_its_node_exits() {
    let mut fleet = slow_booking_fleet(Duration::ZERO, Duration::from_secs(2)).await;
    let address = fleet.caller_addresses()[0];
    let first = book_at(address, "gate-11", TIME_LIMIT).await;
    assert_eq!(first.0, End::Whole, "{}", first.1);
    fleet.service.inject(service::Faults {
        delay: Duration::from_secs(6),
        ..service::Faults::default()
    });
    let leaving = fleet.nodes[0].take();
    let asking = async {
        // The node no longer begins calls.
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        let known = book_at(address, "gate-11", TIME_LIMIT).await;
        (known, book_at(address, "gate-12", TIME_LIMIT).await.0)
    };
    let (_running, (known, new), _) = tokio::join!(
        book_at(address, "gate-13", TIME_LIMIT),
        asking,
        drain_after(leaving, Duration::from_millis(100)),
    );
    assert_eq!((known, new), (first, End::NotRun));
}

/// Guards against a node that exits while it makes a call for another node.
#[tokio::test]
async fn a_forwarded_call_ends_before_its_node_exits() {
    let mut fleet = slow_booking_fleet(Duration::from_secs(1), Duration::from_mins(1)).await;
    fleet.kill(1);
    fleet.publish_hosts();
    let leaving = fleet.nodes[0].take();
    let (forwarded, drained) = tokio::join!(
        book(&fleet, 0, "gate-9", TIME_LIMIT),
        drain_after(leaving, Duration::from_millis(300)),
    );
    assert_eq!(
        (forwarded.0, drained),
        (End::Whole, true),
        "{}",
        forwarded.1
    );
}

/// Guards against an outcome that is lost because its node exits while it is appended to the log.
#[tokio::test]
async fn an_outcome_is_appended_before_its_node_exits() {
    let mut fleet = slow_booking_fleet(Duration::ZERO, Duration::from_mins(1)).await;
    fleet.platform.log.inject(log::Faults {
        delay: Duration::from_millis(400),
        ..log::Faults::default()
    });
    let first = book(&fleet, 0, "gate-10", TIME_LIMIT).await;
    assert_eq!(first.0, End::Whole, "{}", first.1);
    assert!(fleet.drain(0).await);
    let again = book(&fleet, 0, "gate-10", TIME_LIMIT).await;
    assert_eq!(again, first, "a later caller gets the recorded answer");
}
