//! Fake endpoints of the platform: plain ones, and engines that follow the published cost formula.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use adapter::names;
use async_trait::async_trait;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use parking_lot::Mutex;
use relay::body::{Body, Error};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::events::{padded_event, trickle};
use super::fault::Fault;
use super::http1::{Handler, Request, json_response};
use super::{EVENT_TOKENS, KV_CACHE_TOKENS};

/// A request that an endpoint has started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identifier of the client's attempt.
    pub attempt: String,
    /// Value of the workspace header, if any.
    pub workspace: Option<String>,
    /// Value of the header that lists the helper engines, if any.
    pub helpers: Option<String>,
    /// Whether the request ran to its end, without a closed connection.
    pub completed: bool,
}

#[derive(Default)]
struct State {
    faults: Vec<Fault>,
    runs: Vec<Run>,
    reserved_tokens: HashMap<String, u64>,
    reservation_count: usize,
    commands: usize,
    rejections: usize,
    /// Refusals that are written once more, by connection and attempt.
    copies: Vec<(usize, String)>,
    /// Failure domain in the entry, if it is not the usual one.
    domain: Option<&'static str>,
    leaving: bool,
    /// Cold time in the entry, in milliseconds.
    cold_ms: f64,
    /// Requests per second that the endpoint names as its limit.
    limit: Option<&'static str>,
    /// Arrival times of requests, including rejected ones.
    arrivals: Vec<Instant>,
    /// Segment of prompts that crashes the endpoint when it begins the answer.
    lethal_segment: Option<&'static str>,
    /// Time by which it outlasts the connection, if it crashes before the head of the response.
    outlasting: Option<Duration>,
    /// Path of requests that crash the endpoint before it responds.
    lethal_path: Option<&'static str>,
    command_delay: Duration,
    last_command_at: Option<Instant>,
    longest_command_gap: Option<Duration>,
}

/// A fake endpoint: a model engine or a plain endpoint.
pub struct Endpoint {
    name: String,
    service: &'static str,
    /// Factor by which the engine is faster than the published formula.
    scale: u32,
    state: Mutex<State>,
    crashed: watch::Sender<bool>,
}

impl Endpoint {
    /// Creates an engine that runs `scale` times faster than the published formula.
    #[must_use]
    pub fn engine(name: &str, scale: u32) -> Self {
        Self {
            name: name.to_owned(),
            service: "writer",
            scale: scale.max(1),
            state: Mutex::default(),
            crashed: watch::Sender::new(false),
        }
    }

    /// Creates a plain endpoint.
    #[must_use]
    pub fn plain(name: &str) -> Self {
        Self {
            service: "desk",
            ..Self::engine(name, 1)
        }
    }

    /// Returns the name under which the endpoint is registered.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the entry that registers the endpoint in the log.
    #[must_use]
    pub fn entry(&self, address: SocketAddr, state: &str) -> Value {
        let endpoint = self.state.lock();
        let domain = endpoint.domain.unwrap_or("cannock");
        let cold_ms = endpoint.cold_ms;
        json!({
            "service": self.service, "address": address, "zone": domain, "version": "v1",
            "slots": 16, "state": state, "coldRemainingMs": cold_ms, "sequence": 1, "born": 7,
        })
    }

    /// Injects a fault into each of the next `count` requests.
    pub fn inject_repeatedly(&self, fault: Fault, count: usize) {
        let mut state = self.state.lock();
        state.faults.extend(std::iter::repeat_n(fault, count));
    }

    /// Injects a fault into the next request. Of several faults, the last one is used first.
    pub fn inject(&self, fault: Fault) {
        self.state.lock().faults.push(fault);
    }

    /// Drops the faults that have not affected a request yet.
    pub fn clear_faults(&self) {
        self.state.lock().faults.clear();
    }

    /// Sets the failure domain in the endpoint's next entry.
    pub fn set_domain(&self, domain: &'static str) {
        self.state.lock().domain = Some(domain);
    }

    /// Sets the remaining cold time in the endpoint's next entry, in milliseconds.
    pub fn set_cold(&self, millis: f64) {
        self.state.lock().cold_ms = millis;
    }

    /// Sets whether the endpoint says in all its responses that it leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.lock().leaving = leaving;
    }

    /// Sets the limit that the endpoint names in all its responses, or none.
    pub fn set_limit(&self, per_second: Option<&'static str>) {
        self.state.lock().limit = per_second;
    }

    /// Returns the arrival times of all requests, including rejected ones.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().arrivals.clone()
    }

    /// Makes the endpoint crash whenever it begins an answer to a prompt with this segment, which
    /// is not the last one.
    pub fn crash_on_segment(&self, id: &'static str) {
        self.state.lock().lethal_segment = Some(id);
    }

    /// The same, before the head of the response and `outlasting` after the end of the connection.
    pub fn crash_on_segment_before_head(&self, id: &'static str, outlasting: Duration) {
        let mut state = self.state.lock();
        state.lethal_segment = Some(id);
        state.outlasting = Some(outlasting);
    }

    /// Crashes the endpoint: its connections break, and new ones are refused.
    pub fn crash_now(&self) {
        self.crashed.send_replace(true);
    }

    /// Returns whether the endpoint has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    fn is_lethal(&self, request: &Request) -> bool {
        let Some(lethal) = self.state.lock().lethal_segment else {
            return false;
        };
        let parts = request.header(&names::PROMPT_PARTS).unwrap_or_default();
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
        ids.any(|id| id == lethal)
    }

    /// Makes the endpoint crash whenever it runs a request with this path, before it responds.
    pub fn crash_on_path(&self, path: &'static str) {
        self.state.lock().lethal_path = Some(path);
    }

    /// Returns the number of requests that the endpoint has rejected.
    #[must_use]
    pub fn rejections(&self) -> usize {
        self.state.lock().rejections
    }

    /// Returns the number of commands that the endpoint has received.
    #[must_use]
    pub fn commands(&self) -> usize {
        self.state.lock().commands
    }

    /// Returns the requests that the endpoint has started to run.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Returns the number of reserved tokens and the number of reservations made since the start.
    #[must_use]
    pub fn reserved(&self) -> (u64, usize) {
        let state = self.state.lock();
        (
            state.reserved_tokens.values().sum(),
            state.reservation_count,
        )
    }

    /// Delays the execution of every command by `time`.
    pub fn delay_commands(&self, time: Duration) {
        self.state.lock().command_delay = time;
    }

    /// Returns the longest time between two successive commands, or `None` before the second one.
    #[must_use]
    pub fn longest_command_gap(&self) -> Option<Duration> {
        self.state.lock().longest_command_gap
    }

    async fn handle_command(&self, body: &[u8]) -> Response<Body> {
        let time = {
            let mut state = self.state.lock();
            state.commands += 1;
            let now = Instant::now();
            let gap = state.last_command_at.replace(now).map(|last| now - last);
            state.longest_command_gap = state.longest_command_gap.max(gap);
            state.command_delay
        };
        sleep(time).await;
        self.run_command(body)
    }

    fn run_command(&self, body: &[u8]) -> Response<Body> {
        let command: Value = serde_json::from_slice(body).unwrap_or_default();
        let reservation_id = command["identifier"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let mut state = self.state.lock();
        match command["operation"].as_str() {
            Some("reserve") => {
                let tokens = command["tokens"].as_u64().unwrap_or_default();
                if state
                    .reserved_tokens
                    .insert(reservation_id, tokens)
                    .is_none()
                {
                    state.reservation_count += 1;
                }
                json_response(StatusCode::OK, &json!({ "free": KV_CACHE_TOKENS }))
            }
            Some("release") => {
                state.reserved_tokens.remove(&reservation_id);
                json_response(StatusCode::OK, &json!({ "free": KV_CACHE_TOKENS }))
            }
            _ => json_response(StatusCode::BAD_REQUEST, &json!({})),
        }
    }

    /// Records the start of a run and returns its index.
    fn record_start(&self, request: &Request) -> usize {
        let header_text = |name| request.header(name).map(str::to_owned);
        let run = Run {
            attempt: header_text(&names::ATTEMPT_ID).unwrap_or_default(),
            workspace: header_text(&names::WORKSPACE),
            helpers: header_text(&names::HELPERS),
            completed: false,
        };
        let mut state = self.state.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    fn record_end(&self, run: usize) {
        self.state.lock().runs[run].completed = true;
    }

    fn stream_body(self: &Arc<Self>, request: &Request, run: usize, fault: Option<Fault>) -> Body {
        let last_event = request.header(&names::LAST_EVENT_ID);
        let last_event: u64 = last_event.and_then(|id| id.parse().ok()).unwrap_or(0);
        let tokens = request.header(&names::TOKEN_COUNTS).and_then(|text| {
            let (prompt, answer) = text.split_once(',')?;
            Some((prompt.parse().ok()?, answer.parse().ok()?))
        });
        let (prompt_tokens, answer_tokens): (u64, u64) = tokens.unwrap_or((0, EVENT_TOKENS));
        let helpers = request.header(&names::HELPERS);
        let engines = helpers.map_or(1, |list| list.split(',').count() as u64 + 1);
        let lethal = self.is_lethal(request);
        let padding = match fault {
            Some(Fault::Large(bytes)) => bytes,
            _ => 0,
        };
        let (sender, receiver) = mpsc::channel(1);
        let endpoint = Arc::clone(self);
        tokio::spawn(async move {
            sleep(
                prefill_time(prompt_tokens) / u32::try_from(engines).unwrap_or(1) / endpoint.scale,
            )
            .await;
            for event in last_event + 1..=answer_tokens.div_ceil(EVENT_TOKENS) {
                sleep(EVENT_INTERVAL / endpoint.scale).await;
                let sent = event - last_event - 1;
                if lethal {
                    // The client may have disconnected.
                    let _ = sender.send(Ok(format!("id: {event}\n").into())).await;
                    sleep(EVENT_INTERVAL / endpoint.scale).await;
                    return endpoint.crash_now();
                }
                match fault {
                    Some(Fault::BreakAfter(events)) if events == sent => {
                        let partial_event = format!("id: {event}\ndata: pie");
                        // The client may have disconnected.
                        let _ = sender.send(Ok(partial_event.into())).await;
                        let _ = sender.send(Err(Error::Incomplete)).await;
                        return;
                    }
                    Some(Fault::PauseAfter(events)) if events == sent => sleep(LONG_PAUSE).await,
                    Some(Fault::TrickleAfter(events)) if events == sent => {
                        return trickle(&sender).await;
                    }
                    Some(Fault::HangAfter(events)) if events == sent => {
                        return sender.closed().await;
                    }
                    _ => {}
                }
                if sender.send(Ok(padded_event(event, padding))).await.is_err() {
                    return;
                }
            }
            endpoint.record_end(run);
        });
        Body::Events(receiver)
    }
}

/// A pause after which a host counts the engine as unresponsive.
const LONG_PAUSE: Duration = Duration::from_millis(3_500);
/// Time between two events of an engine that decodes a few sequences.
const EVENT_INTERVAL: Duration = Duration::from_millis(45);

/// Time for which a plain endpoint runs a lethal request before it crashes.
const TIME_TO_CRASH: Duration = Duration::from_millis(40);

/// Returns the time to prefill a prompt on one engine: 4 µs per token and 92 µs per million pairs
/// of tokens.
fn prefill_time(prompt_tokens: u64) -> Duration {
    Duration::from_micros(prompt_tokens * 4 + prompt_tokens * prompt_tokens / 2 / 1_000_000 * 92)
}

/// Builds the response to a request that was not run.
fn rejection(fault: Option<Fault>) -> Response<Body> {
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    let headers = response.headers_mut();
    headers.insert(names::NOT_RUN, HeaderValue::from_static("1"));
    if let Some(Fault::RejectFor(seconds)) = fault {
        headers.insert(RETRY_AFTER, HeaderValue::from_static(seconds));
    }
    response
}

/// Builds the refusal of the request with the identifier `attempt`.
fn refusal_of(attempt: &str) -> Option<Response<Body>> {
    let mut response = rejection(None);
    let attempt = HeaderValue::from_str(attempt).ok()?;
    response.headers_mut().insert(names::ATTEMPT_ID, attempt);
    Some(response)
}

impl Endpoint {
    async fn respond(self: Arc<Self>, request: Request) -> Option<Response<Body>> {
        if request.uri.path() == names::CONTROL_PATH {
            return Some(self.handle_command(&request.body).await);
        }
        let expected = request.header(&names::EXPECTED_ENDPOINT);
        if expected.is_some_and(|name| name != self.name) {
            return Some(json_response(StatusCode::MISDIRECTED_REQUEST, &json!({})));
        }
        let fault = {
            let mut state = self.state.lock();
            state.arrivals.push(Instant::now());
            state.faults.pop()
        };
        if let Some(Fault::Reject | Fault::RejectFor(_)) = fault {
            self.state.lock().rejections += 1;
            return Some(rejection(fault));
        }
        let attempt = request.header(&names::ATTEMPT_ID).unwrap_or_default();
        let exchange = (request.connection, attempt.to_owned());
        if fault == Some(Fault::RefuseTwice) {
            let mut state = self.state.lock();
            state.rejections += 1;
            state.copies.push(exchange);
            return refusal_of(attempt);
        }
        let run = self.record_start(&request);
        if self.state.lock().copies.contains(&exchange) {
            return refusal_of(attempt);
        }
        let is_lethal_path = self.state.lock().lethal_path == Some(request.uri.path());
        let outlasting = self.state.lock().outlasting;
        if is_lethal_path || (outlasting.is_some() && self.is_lethal(&request)) {
            sleep(TIME_TO_CRASH).await;
            match outlasting.filter(|time| !time.is_zero()) {
                Some(time) => drop(tokio::spawn(async move {
                    sleep(time).await;
                    self.crash_now();
                })),
                None => self.crash_now(),
            }
            return None;
        }
        if fault == Some(Fault::LoseResponse) {
            return None;
        }
        if fault == Some(Fault::RefuseOnceMore) {
            return Some(rejection(fault));
        }
        if fault == Some(Fault::RefuseAnother) {
            return refusal_of("another-attempt");
        }
        if fault == Some(Fault::Silence) {
            std::future::pending::<()>().await;
        }
        let mut response = if self.service == "writer" {
            Response::new(self.stream_body(&request, run, fault))
        } else {
            self.record_end(run);
            Response::new(match fault {
                Some(Fault::Large(bytes)) => Body::whole(vec![b'.'; bytes]),
                _ => Body::whole("done"),
            })
        };
        match fault {
            Some(Fault::Fail) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
            Some(Fault::Deny(status)) => {
                *response.status_mut() = StatusCode::from_u16(status).ok()?;
            }
            _ => {}
        }
        let headers = response.headers_mut();
        let signature = HeaderValue::from_str(&self.name).ok()?;
        headers.insert(names::SIGNATURE, signature);
        let echoed = if fault == Some(Fault::MismatchedResponse) {
            "another-attempt"
        } else {
            request.header(&names::ATTEMPT_ID).unwrap_or_default()
        };
        headers.insert(names::ATTEMPT_ID, HeaderValue::from_str(echoed).ok()?);
        Some(response)
    }
}

#[async_trait]
impl Handler for Endpoint {
    async fn crash(&self) {
        let mut crashed = self.crashed.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = crashed.wait_for(|crashed| *crashed).await;
    }

    async fn handle(self: Arc<Self>, request: Request) -> Option<Response<Body>> {
        let mut response = Arc::clone(&self).respond(request).await?;
        let state = self.state.lock();
        let headers = response.headers_mut();
        if state.leaving {
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
        if let Some(limit) = state.limit {
            headers.insert("server-limit", HeaderValue::from_static(limit));
        }
        drop(state);
        Some(response)
    }
}
