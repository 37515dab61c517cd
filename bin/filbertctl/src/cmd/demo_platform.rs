//! `filbertctl demo --platform`: runs a host that serves from the catalogue of a fake platform.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use adapter::{Platform, names};
use bytes::Bytes;
use fakes::site::{API_KEY, EVENT_TOKENS, HOST, Site};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use relay::Relay;
use relay::settings::Settings;
use relay::transport::Dialer;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use super::EXIT_FAILED;
use super::arguments::Error;

/// The engines run this many times faster than real ones.
const SCALE: u32 = 10;
/// Number of engines.
const ENGINES: usize = 6;
/// Time limit for the host to receive its catalogue.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of each request, sent in a header.
const REMAINING_MS: u64 = 8_000;
/// Maximum length of a response body.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Number of events in each stream.
const STREAM_EVENTS: u64 = 6;

/// One line of the table: a call and how it ended.
#[derive(Debug, Serialize)]
struct Line {
    kind: &'static str,
    path: &'static str,
    tokens: u64,
    status: u16,
    total_ms: u128,
    whole: bool,
}

/// A call to the host.
struct Call {
    kind: &'static str,
    method: Method,
    path: &'static str,
    tokens: u64,
}

const CALLS: [Call; 5] = [
    Call::new("stream", Method::POST, "/ask/short", 5_000),
    Call::new("stream", Method::POST, "/ask/middle", 45_000),
    Call::new("stream", Method::POST, "/ask/long", 500_000),
    Call::new("idempotent", Method::GET, "/look/status", 0),
    Call::new("once", Method::POST, "/book/slot", 0),
];

impl Call {
    const fn new(kind: &'static str, method: Method, path: &'static str, tokens: u64) -> Self {
        Self {
            kind,
            method,
            path,
            tokens,
        }
    }

    fn build_request(&self) -> Result<Request<Full<Bytes>>, http::Error> {
        Request::builder()
            .method(self.method.clone())
            .uri(self.path)
            .header(http::header::HOST, HOST)
            .header(
                http::header::AUTHORIZATION,
                format!("{}{API_KEY}", names::AUTH_SCHEME),
            )
            .header(
                names::ATTEMPT_ID,
                self.path.trim_start_matches('/').replace('/', "-"),
            )
            .header(names::REMAINING_MS, REMAINING_MS)
            .header(
                names::TOKEN_COUNTS,
                format!("{},{}", self.tokens, STREAM_EVENTS * EVENT_TOKENS),
            )
            .body(Full::default())
    }

    fn expected_body(&self) -> Vec<u8> {
        if self.tokens == 0 {
            return b"done".to_vec();
        }
        (1..=STREAM_EVENTS)
            .flat_map(fakes::site::stream_event)
            .collect()
    }

    async fn send(&self, client: &Dialer, address: SocketAddr) -> Line {
        let started = Instant::now();
        let mut line = Line {
            kind: self.kind,
            path: self.path,
            tokens: self.tokens,
            status: 0,
            total_ms: 0,
            whole: false,
        };
        if let Ok(request) = self.build_request()
            && let Ok(exchange) = client.send(address, request).await
        {
            line.status = exchange.head.status.as_u16();
            let ok = exchange.head.status == StatusCode::OK;
            let body = exchange.collect(MAX_RESPONSE_BYTES).await;
            line.whole = ok && body.is_ok_and(|(_, body)| body == self.expected_body());
        }
        line.total_ms = started.elapsed().as_millis();
        line
    }
}

/// Starts the fake platform and the host, sends one request of each kind and prints a table.
pub async fn run(json: bool) -> Result<ExitCode, Error> {
    let start_error =
        |error: std::io::Error| Error::Unavailable(format!("the demo did not start: {error}"));
    let site = Site::start(ENGINES, 1, SCALE).await.map_err(start_error)?;
    site.publish(1, API_KEY);
    let relay = start_host(&site).await.map_err(start_error)?;
    let ready = async {
        while !relay.ready() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    if timeout(START_TIMEOUT, ready).await.is_err() {
        let reason = "the host did not receive its catalogue: see its log with --log info";
        return Err(Error::Unavailable(reason.to_owned()));
    }
    let client = Dialer::default();
    let mut lines = Vec::new();
    for call in &CALLS {
        lines.push(call.send(&client, relay.client_address()).await);
    }
    let whole = lines.iter().all(|line| line.whole);
    if json {
        println!("{}", serde_json::json!({ "whole": whole, "lines": lines }));
    } else {
        show(&lines);
    }
    Ok(if whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    })
}

async fn start_host(site: &Site) -> std::io::Result<Relay> {
    let settings = Settings::loopback("entry-1", "cannock", site.address());
    let dialer = Dialer::default();
    let platform = Platform::new(site.address(), dialer.clone());
    Relay::start(&settings, platform.dependencies(), dialer).await
}

fn show(lines: &[Line]) {
    println!(
        "{:<11} {:<14} {:>8} {:>7} {:>9}  whole",
        "kind", "path", "tokens", "status", "total"
    );
    for line in lines {
        println!(
            "{:<11} {:<14} {:>8} {:>7} {:>6} ms  {}",
            line.kind, line.path, line.tokens, line.status, line.total_ms, line.whole
        );
    }
}
