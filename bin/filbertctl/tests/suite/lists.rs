//! Lists that operators publish.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::log;
use filbertctl::fleet::{self, Fleet, MODEL};
use http::Method;
use serde_json::{Value, json};

use crate::send;

async fn operate(address: SocketAddr, method: Method, path: &str, body: String) -> (u16, Value) {
    let authorization = format!("Bearer {}", fleet::OPERATOR_KEY);
    let headers = [("authorization", authorization.as_str())];
    let (status, _, document) = send(address, method, path, &headers, body).await;
    (status, document)
}

async fn lists(address: SocketAddr) -> Value {
    operate(address, Method::GET, "/operator/lists", String::new())
        .await
        .1
}

fn change(id: &str, base: &Value, name: &str) -> String {
    let hash = fleet::key_hash(name);
    let plan = json!({ "workspace": name, "key_hashes": [hash], "models": [MODEL] });
    json!({ "id": id, "base": base, "edit": { "put_plans": { "workspaces": [plan] } } }).to_string()
}

async fn publish(address: SocketAddr, change: String) -> (u16, Value) {
    operate(address, Method::POST, "/operator/publish", change).await
}

/// Whether a node lets the key called `name` in.
async fn lets_in(address: SocketAddr, name: &str) -> bool {
    let authorization = format!("Bearer {name}");
    let headers = [("authorization", authorization.as_str())];
    send(address, Method::GET, "/v1/models", &headers, String::new())
        .await
        .0
        == 200
}

async fn in_force(fleet: &Fleet, name: &str, limit: Duration) {
    let deadline = tokio::time::Instant::now() + limit;
    for address in fleet.callers().iter() {
        while !lets_in(*address, name).await {
            assert!(
                tokio::time::Instant::now() < deadline,
                "{name} is not in force at {address}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn of_two_operators_one_is_accepted_and_the_other_told_of_the_conflict() {
    let fleet = crate::small(3, 1).await;
    let callers = fleet.callers();
    let base = lists(callers[0]).await["plans_version"].clone();
    let (one, two) = tokio::join!(
        publish(callers[0], change("one", &base, "alpha")),
        publish(callers[1], change("two", &base, "beta")),
    );
    let mut verdicts = [one.1["verdict"].clone(), two.1["verdict"].clone()];
    verdicts.sort_by_key(ToString::to_string);
    assert_eq!(
        verdicts,
        [json!("accepted"), json!("conflict")],
        "{one:?} {two:?}"
    );
    let winner = if one.1["verdict"] == "accepted" {
        "alpha"
    } else {
        "beta"
    };
    in_force(&fleet, winner, Duration::from_secs(2)).await;
    let again = publish(
        callers[2],
        change(if winner == "alpha" { "one" } else { "two" }, &base, winner),
    )
    .await;
    assert_eq!(
        again.1["verdict"], "accepted",
        "the same change published again keeps its verdict"
    );
}

#[tokio::test]
async fn a_lost_acknowledgement_and_garbage_on_the_log_change_no_verdict() {
    let fleet = crate::small(2, 1).await;
    let callers = fleet.callers();
    let base = lists(callers[0]).await["plans_version"].clone();
    provider::Log::append(&fleet.platform.log, "lists", "garbage")
        .await
        .expect("appended");
    fleet.platform.log.inject(log::Faults {
        lose_ack_every: 1,
        ..log::Faults::default()
    });
    let (_, verdict) = publish(callers[0], change("one", &base, "alpha")).await;
    assert_eq!(verdict["verdict"], "accepted");
    in_force(&fleet, "alpha", Duration::from_secs(2)).await;
    let (_, verdict) = publish(callers[1], json!({ "id": "bad", "base": lists(callers[1]).await["usage_version"],
        "edit": { "replace_usage": { "endpoints": [{ "name": "e", "domain": "d", "address": "x", "kind": "engine" }] } } }).to_string()).await;
    assert_eq!(verdict["verdict"], "invalid", "{verdict}");
}

#[tokio::test]
async fn nodes_cut_off_from_the_log_take_new_lists_from_their_peers() {
    let fleet = crate::fleet(&[("charnwood", 2, 1, 0), ("cannock", 2, 1, 0)], 4).await;
    let callers = fleet.callers();
    for index in [1, 3] {
        fleet.nodes[index].as_ref().expect("it runs").cut.set(true);
    }
    let base = lists(callers[0]).await["plans_version"].clone();
    let (_, verdict) = publish(callers[0], change("one", &base, "alpha")).await;
    assert_eq!(verdict["verdict"], "accepted", "{verdict}");
    in_force(&fleet, "alpha", Duration::from_secs(10)).await;
    let (status, refused) = publish(callers[1], change("two", &verdict["version"], "beta")).await;
    assert_eq!(
        (status, refused["error"]["outcome"].as_str()),
        (503, Some("not_run")),
        "{refused}"
    );
}

#[tokio::test]
async fn an_engine_with_another_version_is_corrected_under_the_lease() {
    let fleet = crate::small(2, 2).await;
    let callers = fleet.callers();
    let now = lists(callers[0]).await;
    let edit = json!({ "put_usage": { "models": [{ "name": MODEL, "version": "2" }] } });
    let change = json!({ "id": "v2", "base": now["usage_version"], "edit": edit });
    let (_, verdict) = publish(callers[0], change.to_string()).await;
    assert_eq!(verdict["verdict"], "accepted", "{verdict}");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(40);
    loop {
        let (_, status) = operate(callers[0], Method::GET, "/operator/status", String::new()).await;
        let engines = status["nodes"][0]["engines"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        if engines.len() == 2 && engines.iter().all(|engine| engine["version"] == "2") {
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "{status}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
