//! `filbertctl demo --platform`: a host that routes by a published catalogue, before stand-ins.

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

/// Engines of the demo run this many times faster than real ones.
const SCALE: u32 = 10;
/// Engines of the demo.
const ENGINES: usize = 6;
/// Longest wait for the host to know its catalogue.
const START: Duration = Duration::from_secs(5);
/// How long the demo's client waits, in milliseconds.
const REMAINING_MS: u64 = 8_000;
/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Events of a stream.
const EVENTS: u64 = 6;

/// One line of the table.
#[derive(Debug, Serialize)]
struct Line {
    kind: &'static str,
    path: &'static str,
    tokens: u64,
    status: u16,
    total_ms: u128,
    whole: bool,
}

/// One request of the demo.
struct Sample {
    kind: &'static str,
    method: Method,
    path: &'static str,
    tokens: u64,
}

const SAMPLES: [Sample; 5] = [
    Sample::new("stream", Method::POST, "/ask/short", 5_000),
    Sample::new("stream", Method::POST, "/ask/middle", 45_000),
    Sample::new("stream", Method::POST, "/ask/long", 500_000),
    Sample::new("idempotent", Method::GET, "/look/status", 0),
    Sample::new("once", Method::POST, "/book/slot", 0),
];

impl Sample {
    const fn new(kind: &'static str, method: Method, path: &'static str, tokens: u64) -> Self {
        Self {
            kind,
            method,
            path,
            tokens,
        }
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, http::Error> {
        Request::builder()
            .method(self.method.clone())
            .uri(self.path)
            .header(http::header::HOST, HOST)
            .header(
                http::header::AUTHORIZATION,
                format!("{}{API_KEY}", names::SCHEME),
            )
            .header(
                names::ATTEMPT,
                self.path.trim_start_matches('/').replace('/', "-"),
            )
            .header(names::REMAINING, REMAINING_MS)
            .header(
                names::TOKENS,
                format!("{},{}", self.tokens, EVENTS * EVENT_TOKENS),
            )
            .body(Full::default())
    }

    fn expected(&self) -> Vec<u8> {
        if self.tokens == 0 {
            return b"done".to_vec();
        }
        (1..=EVENTS).flat_map(fakes::site::stream_event).collect()
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
        if let Ok(request) = self.request()
            && let Ok(exchange) = client.send(address, request).await
        {
            line.status = exchange.head.status.as_u16();
            let ok = exchange.head.status == StatusCode::OK;
            let body = exchange.collect(ANSWER_BYTES).await;
            line.whole = ok && body.is_ok_and(|(_, body)| body == self.expected());
        }
        line.total_ms = started.elapsed().as_millis();
        line
    }
}

/// Starts everything in this process, sends one request of each kind, and prints a table.
pub async fn run(json: bool) -> Result<ExitCode, Error> {
    let unusable =
        |error: std::io::Error| Error::Unusable(format!("the demo did not start: {error}"));
    let site = Site::start(ENGINES, 1, SCALE).await.map_err(unusable)?;
    site.publish(1, API_KEY);
    let relay = host(&site).await.map_err(unusable)?;
    let ready = async {
        while !relay.ready() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    if timeout(START, ready).await.is_err() {
        let reason = "the host did not learn its catalogue: see its log with --log info";
        return Err(Error::Unusable(reason.to_owned()));
    }
    let client = Dialer::default();
    let mut lines = Vec::new();
    for sample in &SAMPLES {
        lines.push(sample.send(&client, relay.clients()).await);
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

async fn host(site: &Site) -> std::io::Result<Relay> {
    let settings = Settings::loopback("entry-1", "cannock", site.address());
    let dialer = Dialer::default();
    let platform = Platform::new(site.address(), dialer.clone());
    Relay::start(&settings, platform.outside(), dialer).await
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
