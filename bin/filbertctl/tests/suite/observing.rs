//! Traces, metrics, explanations and readiness.

use std::sync::Arc;
use std::time::Duration;

use fakes::Server;
use filbertctl::caller::{self, End};
use filbertctl::fleet::{self, Fleet, MODEL, OPERATOR_KEY, Plan};
use http::Method;
use serde_json::json;
use volo_http::body::BodyConversion;
use volo_http::request::Request;
use volo_http::server::route::{Router, post};

use crate::{TIME_LIMIT, eventually, request, send, single_domain};

/// The bytes that a trace collector has received.
type Received = Arc<std::sync::Mutex<Vec<u8>>>;

async fn start_collector() -> (Received, Server) {
    let received = Received::default();
    let store = Arc::clone(&received);
    let store_body = async move |request: Request| {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        store.lock().expect("no panic").extend(body);
    };
    let router = Router::new().route("/v1/traces", post(store_body));
    let server = Server::start(router, 0)
        .await
        .expect("the collector starts");
    (received, server)
}

#[tokio::test]
async fn spans_of_each_hop_are_exported_under_the_callers_trace() {
    let (received, server) = start_collector().await;
    let mut plan = Plan::new(&[("charnwood", 1, 1, 0)], 10);
    plan.collector = Some(server.address);
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let authorization = format!("Bearer {}", fleet::workspace_key(0));
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let parent = format!("00-{trace}-00f067aa0ba902b7-01");
    let headers = [
        ("authorization", authorization.as_str()),
        ("traceparent", parent.as_str()),
    ];
    let body = json!({ "model": MODEL, "prompt": "p", "max_tokens": 2 }).to_string();
    let (status, _, _) = send(
        fleet.caller_addresses()[0],
        Method::POST,
        "/v1/completions",
        &headers,
        body,
    )
    .await;
    assert_eq!(status, 200);
    assert!(fleet.drain(0).await);
    let has_received = |bytes: &[u8]| {
        received
            .lock()
            .expect("no panic")
            .windows(bytes.len())
            .any(|part| part == bytes)
    };
    eventually("the export", || {
        has_received(b"request") && has_received(b"queue") && has_received(b"engine")
    })
    .await;
    let trace_id: Vec<_> = (0..trace.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&trace[at..at + 2], 16).expect("hexadecimal"))
        .collect();
    assert!(
        has_received(&trace_id),
        "the spans belong to the caller's trace"
    );
}

#[tokio::test]
async fn metrics_and_explanation_reflect_a_completed_request() {
    let fleet = single_domain(2, 1).await;
    let addresses = fleet.caller_addresses();
    let (key, prompt) = (fleet::workspace_key(0), "Is the loop groomed?");
    let reply = caller::complete(addresses[0], request(&key, prompt)).await;
    assert_eq!(reply.end, End::Whole);
    let authorization = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", authorization.as_str())];
    let path = format!("/operator/explain/{}", reply.request_id);
    let (_, _, explained) = send(addresses[1], Method::GET, &path, &headers, String::new()).await;
    let events: Vec<_> = explained["decisions"]
        .as_array()
        .expect("decisions")
        .iter()
        .map(|decision| decision["event"].clone())
        .collect();
    assert_eq!(
        events,
        ["admitted", "granted", "first_token", "whole"],
        "the other node returns the decisions"
    );
    let (status, _, refused) = send(addresses[0], Method::GET, &path, &[], String::new()).await;
    assert_eq!(
        (status, refused["error"]["code"].as_str()),
        (403, Some("forbidden"))
    );
    let client = provider::http::Client::new(addresses[0]);
    let call = provider::http::Call {
        method: Method::GET,
        path: "/metrics",
        headers: &[],
        body: bytes::Bytes::new(),
    };
    let metrics = client.fetch(call, TIME_LIMIT).await.expect("metrics");
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    assert!(
        metrics.contains("filbertstage_requests_total{outcome=\"whole\"}"),
        "{metrics}"
    );
    assert!(
        !metrics.contains("filbertstage_violations_total"),
        "{metrics}"
    );
}

#[tokio::test]
async fn draining_node_reports_not_ready() {
    let mut fleet = single_domain(1, 1).await;
    let address = fleet.caller_addresses()[0];
    let (status, _, _) = send(address, Method::GET, "/readyz", &[], String::new()).await;
    assert_eq!(status, 200);
    let readiness = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        send(address, Method::GET, "/readyz", &[], String::new())
            .await
            .0
    });
    assert!(fleet.drain(0).await);
    assert_eq!(readiness.await.expect("no panic"), 503);
}
