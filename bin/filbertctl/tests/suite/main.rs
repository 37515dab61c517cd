//! End-to-end tests with real nodes and fakes over loopback, one module per feature.

mod calls;
mod failures;
mod lists;
mod observing;
mod partitions;
mod serving;

use std::net::SocketAddr;
use std::time::Duration;

use filbertctl::caller::Request;
use filbertctl::fleet::{Fleet, Plan};
use http::Method;
use provider::http::{Call, Client};
use serde_json::Value;

/// Time limit of requests that are expected to succeed.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Starts a fleet whose engines run `scale` times faster than real ones. Each tuple holds a failure
/// domain's name and its numbers of nodes, engines and service workers.
async fn start_fleet(domains: &[(&str, usize, usize, usize)], scale: u32) -> Fleet {
    start_log();
    Fleet::start(Plan::new(domains, scale))
        .await
        .expect("the fleet starts")
}

/// Prints the nodes' logs if `TEST_LOG` holds a log level.
fn start_log() {
    let level = std::env::var("TEST_LOG")
        .ok()
        .and_then(|level| level.parse().ok());
    if let Some(level) = level {
        let config = simplelog::ConfigBuilder::new()
            .add_filter_allow_str("filbert")
            .build();
        // A logger can be installed once per process; later tests share it.
        let _ = simplelog::SimpleLogger::init(level, config);
    }
}

/// Starts a fleet with one failure domain and one service worker.
async fn single_domain(nodes: usize, engines: usize) -> Fleet {
    start_fleet(&[("charnwood", nodes, engines, 1)], 4).await
}

fn request<'a>(key: &'a str, prompt: &'a str) -> Request<'a> {
    Request::new(key, prompt, 64, TIME_LIMIT)
}

/// Polls `condition` for up to 30 s and panics if it stays false; `what` names the awaited event.
async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let timeout = Duration::from_secs(30);
    assert!(
        tokio::time::timeout(timeout, poll).await.is_ok(),
        "{what} did not happen"
    );
}

/// Sends a request and returns the status, the `retry-after` header and the JSON body.
async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> (u16, Option<String>, Value) {
    use volo_http::body::BodyConversion;
    let call = Call {
        method,
        path,
        headers,
        body: bytes::Bytes::from(body),
    };
    let response = Client::new(address)
        .send(call, TIME_LIMIT)
        .await
        .expect("a response arrives");
    let status = response.status().as_u16();
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = response
        .into_body()
        .into_vec()
        .await
        .expect("the body is complete");
    (
        status,
        retry_after,
        serde_json::from_slice(&body).unwrap_or_default(),
    )
}
