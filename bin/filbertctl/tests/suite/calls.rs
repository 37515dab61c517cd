//! Calls that may not be repeated run at most once.

use std::time::Duration;

use fakes::{log, service};
use filbertctl::caller::{self, End};
use filbertctl::fleet::{self, BOOKING, Fleet, REPORT, SERVICE};
use http::Method;
use rstest::rstest;

use crate::{LIMIT, send};

async fn desk() -> Fleet {
    crate::fleet(&[("charnwood", 2, 1, 2), ("cannock", 1, 1, 0)], 4).await
}

fn path() -> String {
    format!("/v1/services/{SERVICE}/{BOOKING}")
}

async fn book(fleet: &Fleet, node: usize, key: &str, limit: Duration) -> (End, String) {
    let callers = fleet.callers();
    caller::call(
        callers[node % callers.len()],
        &fleet::key(0),
        &path(),
        key,
        limit,
    )
    .await
}

fn runs(fleet: &Fleet, key: &str) -> u32 {
    fleet.service.executions().get(key).copied().unwrap_or(0)
}

#[rstest]
#[case::healthy(log::Faults::default())]
#[case::acknowledgements_lost(log::Faults { lose_ack_every: 1, ..log::Faults::default() })]
#[case::appends_repeated(log::Faults { duplicate_every: 1, ..log::Faults::default() })]
#[case::slow(log::Faults { delay: Duration::from_millis(200), ..log::Faults::default() })]
#[tokio::test]
async fn a_booking_that_is_sent_to_all_nodes_at_once_runs_once(#[case] faults: log::Faults) {
    let fleet = desk().await;
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
    assert_eq!(runs(&fleet, "gate-4"), 1);
    let again = book(&fleet, 1, "gate-4", limit).await;
    assert_eq!(again, one, "a later caller gets the recorded answer");
    assert_eq!(runs(&fleet, "gate-4"), 1);
}

#[tokio::test]
async fn without_the_log_a_booking_is_refused_as_not_run_and_prompts_go_on() {
    let fleet = desk().await;
    fleet.platform.log.inject(log::Faults {
        down: true,
        ..log::Faults::default()
    });
    let started = std::time::Instant::now();
    let (end, body) = book(&fleet, 0, "gate-4", LIMIT).await;
    assert_eq!(end, End::NotRun, "{body}");
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "the caller is told early"
    );
    let (key, prompt) = (fleet::key(0), "Is the loop groomed?");
    let seen = caller::complete(fleet.callers()[0], crate::ask(&key, prompt)).await;
    assert_eq!(seen.end, End::Whole, "{}", seen.error);
    assert_eq!(runs(&fleet, "gate-4"), 0);
    fleet.platform.log.inject(log::Faults::default());
    let deadline = tokio::time::Instant::now() + LIMIT;
    while book(&fleet, 0, "gate-4", LIMIT).await.0 != End::Whole {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the key is not usable after the outage"
        );
    }
    assert_eq!(runs(&fleet, "gate-4"), 1);
}

#[tokio::test]
async fn a_service_that_never_answers_leaves_an_unknown_outcome_and_no_second_run() {
    let fleet = desk().await;
    fleet.service.inject(service::Faults {
        lose_responses: true,
        ..service::Faults::default()
    });
    let limit = Duration::from_secs(1);
    assert_eq!(book(&fleet, 0, "gate-4", limit).await.0, End::Unknown);
    fleet.service.inject(service::Faults::default());
    let (end, body) = book(&fleet, 1, "gate-4", Duration::from_secs(8)).await;
    assert_eq!(end, End::Unknown, "{body}");
    assert_eq!(runs(&fleet, "gate-4"), 1);
    let authorization = format!("Bearer {}", fleet::OPERATOR_KEY);
    let headers = [("authorization", authorization.as_str())];
    let (_, _, status) = send(
        fleet.callers()[0],
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
async fn a_node_that_dies_after_it_claimed_a_key_does_not_free_it() {
    let mut fleet = desk().await;
    fleet.service.inject(service::Faults {
        delay: Duration::from_secs(2),
        ..service::Faults::default()
    });
    let callers = fleet.callers();
    let first = tokio::spawn(async move {
        caller::call(
            callers[0],
            &fleet::key(0),
            &path(),
            "gate-4",
            Duration::from_secs(3),
        )
        .await
    });
    let executions = fleet.service.clone();
    crate::eventually("the call", move || !executions.executions().is_empty()).await;
    fleet.kill(0);
    assert_eq!(first.await.expect("no panic").0, End::NodeLost);
    let (end, body) = book(&fleet, 0, "gate-4", Duration::from_secs(10)).await;
    assert_eq!(end, End::Unknown, "{body}");
    assert_eq!(runs(&fleet, "gate-4"), 1);
}

#[tokio::test]
async fn a_key_with_another_body_is_a_conflict_and_a_call_without_key_is_invalid() {
    let fleet = desk().await;
    assert_eq!(book(&fleet, 0, "gate-4", LIMIT).await.0, End::Whole);
    let authorization = format!("Bearer {}", fleet::key(0));
    let bearer = ("authorization", authorization.as_str());
    let address = fleet.callers()[1];
    let headers = [bearer, ("idempotency-key", "gate-4")];
    let (status, _, document) = send(
        address,
        Method::POST,
        &path(),
        &headers,
        "{\"gate\": 5}".to_owned(),
    )
    .await;
    assert_eq!(
        (status, document["error"]["code"].as_str()),
        (409, Some("idempotency_conflict"))
    );
    let (status, _, document) =
        send(address, Method::POST, &path(), &[bearer], "{}".to_owned()).await;
    assert_eq!(
        (status, document["error"]["outcome"].as_str()),
        (400, Some("not_run")),
        "{document}"
    );
    assert_eq!(fleet.service.executions().values().sum::<u32>(), 1);
}

#[tokio::test]
async fn a_repeatable_call_needs_no_log() {
    let fleet = desk().await;
    fleet.platform.log.inject(log::Faults {
        down: true,
        ..log::Faults::default()
    });
    let path = format!("/v1/services/{SERVICE}/{REPORT}");
    let (end, body) = caller::call(fleet.callers()[0], &fleet::key(0), &path, "", LIMIT).await;
    assert_eq!(end, End::Whole, "{body}");
}
