//! Signals to a node as a process of its own: SIGTERM, while requests are in each state, and SIGHUP.

mod node_support;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use fakes::engine::Config;
use node_support::{GUARD, KEY, MODEL, Plan, Site};
use serde_json::{Value, json};

/// Maximum duration of a drain.
const DRAIN: Duration = Duration::from_secs(2);
const COMPLETIONS: &str = "/v1/completions";
/// Time in which a request reaches its state.
const SETTLING: Duration = Duration::from_millis(300);

/// An engine that runs one request at a time, for longer than a drain.
fn slow_engine(config: &mut Config) {
    config.max_running = 1;
    config.step_base = Duration::from_millis(400);
}

fn slow_plan() -> Plan {
    Plan {
        engine: Some(slow_engine),
        drain_ms: Some(u64::try_from(DRAIN.as_millis()).expect("a short time")),
        ..Plan::default()
    }
}

/// A response as its client sees it.
#[derive(Debug)]
struct Reply {
    status: u16,
    head: String,
    body: String,
    /// Whether the body has its end.
    is_whole: bool,
    received: Instant,
}

impl Reply {
    fn parse(text: &str) -> Option<Self> {
        let (head, body) = text.split_once("\r\n\r\n")?;
        let head = head.to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let is_whole = match length {
            Some(length) => length.parse() == Ok(body.len()),
            None => body.ends_with("0\r\n\r\n"),
        };
        Some(Self {
            status: head.split(' ').nth(1)?.parse().ok()?,
            head,
            body: body.to_owned(),
            is_whole,
            received: Instant::now(),
        })
    }

    /// The outcome that the body states.
    fn outcome(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["outcome"].clone()
    }
}

/// A request on a connection of its own.
struct Client {
    stream: TcpStream,
    reply: mpsc::Receiver<Option<Reply>>,
}

impl Client {
    /// Sends the head and the first `sent` bytes of the body.
    fn send_part(address: SocketAddr, path: &str, body: &str, sent: usize) -> Self {
        Self::send_with(address, path, "", body, sent)
    }

    /// Like [`Client::send_part`], with further headers.
    fn send_with(address: SocketAddr, path: &str, headers: &str, body: &str, sent: usize) -> Self {
        let mut stream = TcpStream::connect_timeout(&address, GUARD).expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\nidempotency-key: key-1\r\n\
             {headers}content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), &body.as_bytes()[..sent]].concat();
        stream.write_all(&bytes).expect("the request is sent");
        stream.set_read_timeout(Some(GUARD)).expect("a timeout");
        let (sender, reply) = mpsc::channel();
        let mut reader = stream.try_clone().expect("a second handle");
        thread::spawn(move || {
            let mut bytes = Vec::new();
            // A connection that is reset ends like one that is closed.
            let _ = reader.read_to_end(&mut bytes);
            // The test may have ended.
            let _ = sender.send(Reply::parse(&String::from_utf8_lossy(&bytes)));
        });
        Self { stream, reply }
    }

    fn send(address: SocketAddr, path: &str, body: &str) -> Self {
        Self::send_part(address, path, body, body.len())
    }

    fn complete(address: SocketAddr, tokens: u32, stream: bool) -> Self {
        Self::send(address, COMPLETIONS, &completion(tokens, stream))
    }

    /// Waits until the connection has ended; `None` if it ended without a response.
    fn reply(self) -> Option<Reply> {
        let reply = self.reply.recv_timeout(GUARD).expect("an end");
        drop(self.stream);
        reply
    }
}

fn completion(tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": MODEL, "prompt": "a short prompt", "max_tokens": tokens, "stream": stream,
    });
    body.to_string()
}

/// Tokens of an answer that takes longer than a drain.
const LONG: u32 = 24;

/// Guards against a request that is closed without a response because its engine has not finished
/// when the drain ends.
#[test]
fn a_request_that_runs_too_long_gets_a_response() {
    let mut site = Site::start(&slow_plan());
    let client = Client::complete(site.callers, LONG, false);
    thread::sleep(SETTLING);
    site.signal("TERM");
    let reply = client.reply().expect("a response");
    assert_eq!((reply.status, reply.outcome()), (502, json!("failed")));
    assert_eq!(site.wait_for_exit(), Some(1));
}

/// Guards against a stream that is cut off at the exit, which its client cannot tell from a failure of the
/// connection.
#[test]
fn a_stream_that_runs_too_long_ends_with_an_error() {
    let mut site = Site::start(&slow_plan());
    let client = Client::complete(site.callers, LONG, true);
    thread::sleep(SETTLING);
    site.signal("TERM");
    let reply = client.reply().expect("a response");
    assert_eq!(reply.status, 200);
    let events: Vec<_> = reply
        .body
        .lines()
        .filter(|line| line.starts_with("data: "))
        .collect();
    let error = events
        .last()
        .is_some_and(|event| event.contains("\"outcome\":\"failed\""));
    assert!(events.len() > 1 && error && reply.is_whole, "{reply:?}");
    assert_eq!(site.wait_for_exit(), Some(1));
}

/// Guards against a request that waits for an engine until the node exits, and is closed without a
/// response.
#[test]
fn a_request_that_waits_is_refused_while_others_can_serve_it() {
    let mut site = Site::start(&slow_plan());
    let running = Client::complete(site.callers, LONG, false);
    thread::sleep(SETTLING);
    let waiting: Vec<_> = (0..4)
        .map(|_| Client::complete(site.callers, LONG, false))
        .collect();
    thread::sleep(SETTLING);
    let started = Instant::now();
    site.signal("TERM");
    for client in waiting {
        let reply = client.reply().expect("a response");
        assert_eq!((reply.status, reply.outcome()), (503, json!("not_run")));
        assert!(reply.head.contains("retry-after: 1"), "{}", reply.head);
        let waited = reply.received - started;
        assert!(waited < DRAIN * 3 / 4, "refused after {waited:?}");
    }
    assert_eq!(running.reply().map(|reply| reply.status), Some(502));
    assert_eq!(site.wait_for_exit(), Some(1));
}

/// Guards against a drain that ends a request which has the time to finish.
#[test]
fn a_request_that_ends_within_the_drain_is_served() {
    let mut site = Site::start(&slow_plan());
    let client = Client::complete(site.callers, 2, false);
    thread::sleep(SETTLING);
    site.signal("TERM");
    let reply = client.reply().expect("a response");
    assert_eq!((reply.status, reply.is_whole), (200, true));
    assert!(reply.head.contains("connection: close"), "{}", reply.head);
    assert_eq!(site.wait_for_exit(), Some(0));
}

/// Guards against a node that stays when it owes nothing, for example because of an idle connection.
#[test]
fn an_idle_node_exits_at_once() {
    let mut site = Site::start(&slow_plan());
    let client = Client::complete(site.callers, 1, false);
    thread::sleep(Duration::from_millis(1_500));
    let started = Instant::now();
    site.signal("TERM");
    assert_eq!(site.wait_for_exit(), Some(0));
    let took = started.elapsed();
    assert!(took < DRAIN / 2, "the exit took {took:?}");
    assert_eq!(client.reply().map(|reply| reply.status), Some(200));
}

/// Guards against a request whose body does not end before the node exits, and is closed without a
/// response.
#[test]
fn a_request_whose_body_arrives_late_is_refused() {
    let mut site = Site::start(&slow_plan());
    let body = completion(LONG, false);
    let mut late = Client::send_part(site.callers, COMPLETIONS, &body, 10);
    let stopped = Client::send_part(site.callers, COMPLETIONS, &body, 10);
    thread::sleep(SETTLING);
    let started = Instant::now();
    site.signal("TERM");
    thread::sleep(DRAIN / 2 + SETTLING);
    // The refusal may have closed the connection.
    let _ = late.stream.write_all(&body.as_bytes()[10..]);
    for client in [late, stopped] {
        let reply = client.reply().expect("a response");
        assert_eq!((reply.status, reply.outcome()), (503, json!("not_run")));
        let waited = reply.received - started;
        assert!(waited < DRAIN * 3 / 4, "refused after {waited:?}");
    }
    assert_eq!(site.wait_for_exit(), Some(0));
}

/// Guards against a deferred request that is accepted by a node which can no longer run it.
#[test]
fn a_deferred_request_that_arrives_late_is_refused() {
    let mut site = Site::start(&slow_plan());
    let running = Client::complete(site.callers, LONG, false);
    thread::sleep(SETTLING);
    site.signal("TERM");
    thread::sleep(DRAIN / 2 + Duration::from_millis(50));
    let headers = "prefer: respond-async\r\n";
    let body = completion(LONG, false);
    let deferred = Client::send_with(site.callers, COMPLETIONS, headers, &body, body.len());
    let reply = deferred.reply().expect("a response");
    assert_eq!((reply.status, reply.outcome()), (503, json!("not_run")));
    assert_eq!(running.reply().map(|reply| reply.status), Some(502));
    assert_eq!(site.wait_for_exit(), Some(1));
}

/// Guards against a node that ends at SIGHUP and cuts all requests off.
#[test]
fn sighup_cuts_nothing() {
    let mut site = Site::start(&slow_plan());
    let complete = |stream| {
        let body = completion(2, stream);
        let headers = "connection: close\r\n";
        Client::send_with(site.callers, COMPLETIONS, headers, &body, body.len())
    };
    let client = complete(false);
    thread::sleep(SETTLING);
    site.signal("HUP");
    let stream = complete(true);
    thread::sleep(SETTLING);
    site.signal("HUP");
    for client in [client, stream] {
        let reply = client.reply().expect("a response");
        let is_complete = reply.is_whole && reply.body.contains("finish_reason");
        assert!(reply.status == 200 && is_complete, "{reply:?}");
    }
    site.assert_alive();
}

/// Guards against a node that does not take over changed settings, does not say which ones need a
/// restart, or takes over settings with an error.
#[test]
fn sighup_takes_over_what_can_change_while_running() {
    let mut site = Site::start(&slow_plan());
    let has_logged = |site: &Site, text: &str| {
        let started = Instant::now();
        while !site.log().contains(text) {
            assert!(
                started.elapsed() < GUARD,
                "{text:?} is not in the log: {}",
                site.log()
            );
            thread::sleep(Duration::from_millis(20));
        }
    };
    site.edit_settings(|text| text.replace("\"drain_ms\":2000", "\"drain_ms\":\"long\""));
    site.signal("HUP");
    has_logged(&site, "event=reload outcome=kept");
    site.edit_settings(|text| {
        text.replace("\"drain_ms\":\"long\"", "\"drain_ms\":800")
            .replace("\"memory_mb\":160", "\"memory_mb\":161")
    });
    site.signal("HUP");
    has_logged(
        &site,
        "event=reload outcome=applied applied=times.drain_ms restart=resources.memory_mb",
    );
    let client = Client::complete(site.callers, LONG, false);
    thread::sleep(SETTLING);
    let started = Instant::now();
    site.signal("TERM");
    assert_eq!(client.reply().map(|reply| reply.status), Some(502));
    assert_eq!(site.wait_for_exit(), Some(1));
    let took = started.elapsed();
    assert!(took < DRAIN / 2, "the exit took {took:?}");
}

/// Guards against a second signal that is ignored, or that ends requests without a response.
#[test]
fn a_second_signal_ends_the_wait_with_a_response() {
    let mut plan = slow_plan();
    plan.drain_ms = Some(30_000);
    let mut site = Site::start(&plan);
    let running = Client::complete(site.callers, LONG, true);
    thread::sleep(SETTLING);
    let waiting = Client::complete(site.callers, LONG, false);
    let unread = Client::send_part(site.callers, COMPLETIONS, &completion(LONG, false), 10);
    thread::sleep(SETTLING);
    site.signal("TERM");
    thread::sleep(SETTLING);
    let started = Instant::now();
    site.signal("TERM");
    let outcome = |client: Client| client.reply().map(|reply| (reply.status, reply.outcome()));
    assert_eq!(outcome(waiting), Some((503, json!("not_run"))));
    assert_eq!(outcome(unread), Some((503, json!("not_run"))));
    let running = running.reply().expect("a response");
    assert!(
        running.is_whole && running.body.contains("\"outcome\":\"failed\""),
        "{running:?}"
    );
    assert_eq!(site.wait_for_exit(), Some(1));
    let took = started.elapsed();
    assert!(took < Duration::from_secs(2), "the exit took {took:?}");
}
