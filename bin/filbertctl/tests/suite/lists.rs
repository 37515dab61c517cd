//! Publishing of the plan and usage lists.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::log;
use filbertctl::fleet::{self, Fleet, MODEL, Plan};
use http::Method;
use serde_json::{Value, json};

use crate::send;

async fn send_as_operator(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> (u16, Value) {
    let authorization = format!("Bearer {}", fleet::OPERATOR_KEY);
    let headers = [("authorization", authorization.as_str())];
    let (status, _, document) = send(address, method, path, &headers, body).await;
    (status, document)
}

async fn current_lists(address: SocketAddr) -> Value {
    send_as_operator(address, Method::GET, "/operator/lists", String::new())
        .await
        .1
}

fn put_plan(id: &str, base: &Value, name: &str) -> String {
    let hash = fleet::key_hash(name);
    let plan = json!({ "workspace": name, "key_hashes": [hash], "models": [MODEL] });
    json!({ "id": id, "base": base, "edit": { "put_plans": { "workspaces": [plan] } } }).to_string()
}

async fn publish(address: SocketAddr, change: String) -> (u16, Value) {
    send_as_operator(address, Method::POST, "/operator/publish", change).await
}

/// Returns true if the node at `address` accepts the bearer key `name`.
async fn accepts_key(address: SocketAddr, name: &str) -> bool {
    let authorization = format!("Bearer {name}");
    let headers = [("authorization", authorization.as_str())];
    send(address, Method::GET, "/v1/models", &headers, String::new())
        .await
        .0
        == 200
}

async fn wait_until_active(fleet: &Fleet, name: &str, timeout: Duration) {
    let deadline = tokio::time::Instant::now() + timeout;
    for address in fleet.caller_addresses().iter() {
        while !accepts_key(*address, name).await {
            assert!(
                tokio::time::Instant::now() < deadline,
                "the plan of {name} is not active at {address}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn one_of_two_concurrent_changes_is_accepted_and_the_other_conflicts() {
    let fleet = crate::single_domain(3, 1).await;
    let addresses = fleet.caller_addresses();
    let base = current_lists(addresses[0]).await["plans_version"].clone();
    let (one, two) = tokio::join!(
        publish(addresses[0], put_plan("one", &base, "alpha")),
        publish(addresses[1], put_plan("two", &base, "beta")),
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
    wait_until_active(&fleet, winner, Duration::from_secs(2)).await;
    let again = publish(
        addresses[2],
        put_plan(if winner == "alpha" { "one" } else { "two" }, &base, winner),
    )
    .await;
    assert_eq!(
        again.1["verdict"], "accepted",
        "publishing the same change again returns the same verdict"
    );
}

#[tokio::test]
async fn lost_acknowledgement_and_invalid_log_record_change_no_verdict() {
    let fleet = crate::single_domain(2, 1).await;
    let addresses = fleet.caller_addresses();
    let base = current_lists(addresses[0]).await["plans_version"].clone();
    provider::Log::append(&fleet.platform.log, "lists", "garbage")
        .await
        .expect("the record is appended");
    fleet.platform.log.inject(log::Faults {
        lose_ack_every: 1,
        ..log::Faults::default()
    });
    let (_, verdict) = publish(addresses[0], put_plan("one", &base, "alpha")).await;
    assert_eq!(verdict["verdict"], "accepted");
    wait_until_active(&fleet, "alpha", Duration::from_secs(2)).await;
    let (_, verdict) = publish(addresses[1], json!({ "id": "bad", "base": current_lists(addresses[1]).await["usage_version"],
        "edit": { "replace_usage": { "endpoints": [{ "name": "e", "domain": "d", "address": "x", "kind": "engine" }] } } }).to_string()).await;
    assert_eq!(verdict["verdict"], "invalid", "{verdict}");
}

/// Guards against an operator whose change is closed without a response when the node exits, or said not to
/// have run although it may be on the log.
#[tokio::test]
async fn a_change_that_waits_when_its_node_exits_is_answered() {
    let mut plan = Plan::new(&[("charnwood", 1, 1, 0)], 4);
    plan.drain = Duration::from_secs(1);
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let address = fleet.caller_addresses()[0];
    let base = current_lists(address).await["plans_version"].clone();
    fleet.platform.log.inject(log::Faults {
        delay: Duration::from_secs(4),
        ..log::Faults::default()
    });
    let leaving = fleet.nodes[0].take().expect("a node");
    let exit = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        leaving.drain().await
    };
    let ((status, body), _) = tokio::join!(publish(address, put_plan("one", &base, "alpha")), exit);
    let outcome = body["error"]["outcome"].as_str();
    assert_eq!((status, outcome), (502, Some("unknown")), "{body}");
}

#[tokio::test]
async fn nodes_without_the_log_get_lists_from_peers() {
    let fleet = crate::start_fleet(&[("charnwood", 2, 1, 0), ("cannock", 2, 1, 0)], 4).await;
    let addresses = fleet.caller_addresses();
    for index in [1, 3] {
        fleet.nodes[index]
            .as_ref()
            .expect("the node runs")
            .platform_partition
            .set(true);
    }
    let base = current_lists(addresses[0]).await["plans_version"].clone();
    let (_, verdict) = publish(addresses[0], put_plan("one", &base, "alpha")).await;
    assert_eq!(verdict["verdict"], "accepted", "{verdict}");
    wait_until_active(&fleet, "alpha", Duration::from_secs(10)).await;
    let (status, refused) =
        publish(addresses[1], put_plan("two", &verdict["version"], "beta")).await;
    assert_eq!(
        (status, refused["error"]["outcome"].as_str()),
        (503, Some("not_run")),
        "{refused}"
    );
}

#[tokio::test]
async fn engines_with_another_model_version_are_updated() {
    let fleet = crate::single_domain(2, 2).await;
    let addresses = fleet.caller_addresses();
    let current = current_lists(addresses[0]).await;
    let edit = json!({ "put_usage": { "models": [{ "name": MODEL, "version": "2" }] } });
    let change = json!({ "id": "v2", "base": current["usage_version"], "edit": edit });
    let (_, verdict) = publish(addresses[0], change.to_string()).await;
    assert_eq!(verdict["verdict"], "accepted", "{verdict}");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(40);
    loop {
        let (_, status) =
            send_as_operator(addresses[0], Method::GET, "/operator/status", String::new()).await;
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
