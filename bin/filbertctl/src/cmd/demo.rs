//! `filbertctl demo`: runs a node and fakes in one process and serves a few requests.

use std::process::ExitCode;
use std::time::Duration;

use serde::Serialize;

use super::arguments::{Arguments, Error};
use super::{EXIT_FAILED, demo_platform, runtime, wait_for_shutdown};
use crate::caller::{self, End, Reply, Request};
use crate::fleet::{self, BOOKING_CALL, Fleet, MODEL, OPERATOR_KEY, Plan, SERVICE};
use crate::scenario;

pub const HELP: &str = "\
Runs a node and stand-ins (simulated engines, a service and a platform) in one process on loopback,
serves one prompt of each length and one non-idempotent call, and prints a table.

Usage: filbertctl demo [OPTIONS]

Options:
      --stay       Keep running and print commands to try, and drain at Ctrl-C or SIGTERM; ignored
                   with --platform
      --platform   Run a host that serves from the catalogue of a simulated users' platform, and
                   serve one request of each kind
      --json       Print JSON
      --log LEVEL  Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 success, 1 an answer was not complete and correct, 2 usage error,
            3 the demo did not start
";
pub const FLAGS: &[&str] = &["stay", "platform"];

/// The engines run this many times faster than real ones.
const SCALE: u32 = 20;
/// Time limit of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(50);
/// Maximum duration of the drain at the end.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Lengths of the prompts, in tokens.
const PROMPT_TOKENS: [u64; 4] = [1_000, 10_000, 100_000, 1_000_000];

/// One line of the table: a request and how it ended.
#[derive(Debug, Serialize)]
struct Line {
    request: String,
    tokens: u64,
    first_token_ms: Option<u128>,
    total_ms: u128,
    endpoint: String,
    outcome: End,
}

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    if arguments.flag("platform") {
        return runtime()?.block_on(demo_platform::run(arguments.flag("json")));
    }
    runtime()?.block_on(demo(arguments.flag("json"), arguments.flag("stay")))
}

async fn demo(json: bool, stay: bool) -> Result<ExitCode, Error> {
    let start_error =
        |error: std::io::Error| Error::Unavailable(format!("the demo did not start: {error}"));
    let mut plan = Plan::new(&[("charnwood", 1, 4, 1)], SCALE);
    plan.kv_total = 400_000;
    plan.drain = DRAIN_TIME;
    let mut fleet = Fleet::start(plan).await.map_err(start_error)?;
    let address = fleet.caller_addresses()[0];
    let mut lines = Vec::new();
    for tokens in PROMPT_TOKENS {
        lines.push(run_completion(address, tokens).await);
    }
    lines.push(run_booking(address).await);
    let whole = lines.iter().all(|line| line.outcome == End::Whole);
    if json {
        println!("{}", serde_json::json!({ "whole": whole, "lines": lines }));
    } else {
        show(&lines);
    }
    if stay {
        println!("{}", hint(address));
        wait_for_shutdown().await;
        fleet.drain_all().await;
    }
    Ok(if whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    })
}

async fn run_completion(address: std::net::SocketAddr, tokens: u64) -> Line {
    let text = scenario::prompt(tokens, tokens);
    let key = fleet::workspace_key(0);
    let request = Request::new(&key, &text, 32, REQUEST_TIMEOUT);
    let reply = caller::complete(address, request).await;
    let endpoint = granted_endpoint(address, &reply).await;
    Line {
        request: "completion".to_owned(),
        tokens,
        first_token_ms: reply.first_token.map(|time| time.as_millis()),
        total_ms: reply.total.as_millis(),
        endpoint,
        outcome: reply.end,
    }
}

/// Fetches the decisions that the node recorded for a request and returns the endpoint of its last
/// grant.
///
/// Returns `unknown` if the decisions cannot be fetched or contain no grant.
async fn granted_endpoint(address: std::net::SocketAddr, reply: &Reply) -> String {
    use provider::http::{Call, Client};
    let path = format!("/operator/explain/{}", reply.request_id);
    let authorization = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", authorization.as_str())];
    let call = Call {
        method: http::Method::GET,
        path: &path,
        headers: &headers,
        body: bytes::Bytes::new(),
    };
    let Ok(body) = Client::new(address)
        .fetch(call, Duration::from_secs(2))
        .await
    else {
        return "unknown".to_owned();
    };
    let explanation: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let decisions = explanation["decisions"].as_array().into_iter().flatten();
    let mut granted = decisions.filter(|decision| decision["event"] == "granted");
    let reason = granted
        .next_back()
        .and_then(|decision| decision["reason"].as_str())
        .unwrap_or_default();
    let mut fields = reason.split(' ');
    let endpoint = fields.find_map(|field| field.strip_prefix("endpoint="));
    endpoint.unwrap_or("unknown").to_owned()
}

async fn run_booking(address: std::net::SocketAddr) -> Line {
    let started = std::time::Instant::now();
    let path = format!("/v1/services/{SERVICE}/{BOOKING_CALL}");
    let (outcome, _) = caller::call(
        address,
        &fleet::workspace_key(0),
        &path,
        "demo-booking",
        REQUEST_TIMEOUT,
    )
    .await;
    Line {
        request: format!("{SERVICE}/{BOOKING_CALL}"),
        tokens: 0,
        first_token_ms: None,
        total_ms: started.elapsed().as_millis(),
        endpoint: SERVICE.to_owned(),
        outcome,
    }
}

fn show(lines: &[Line]) {
    println!(
        "{:<18} {:>9} {:>15} {:>9}  {:<8} endpoint",
        "request", "tokens", "first token", "total", "outcome"
    );
    for line in lines {
        let first = line
            .first_token_ms
            .map_or_else(|| "-".to_owned(), |time| format!("{time} ms"));
        println!(
            "{:<18} {:>9} {:>15} {:>6} ms  {:<8} {}",
            line.request,
            line.tokens,
            first,
            line.total_ms,
            format!("{:?}", line.outcome).to_lowercase(),
            line.endpoint
        );
    }
}

fn hint(address: std::net::SocketAddr) -> String {
    format!(
        "\nThe node serves http://{address} until Ctrl-C. Try:\n\n  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {}' \\\n    -d '{{\"model\": \"{MODEL}\", \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"Is the north loop groomed?\"}}]}}'\n\n  filbertctl status --node {address} --key {OPERATOR_KEY}",
        fleet::workspace_key(0)
    )
}
