//! Endpoints of the platform: engines that follow the published formula, and plain ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use adapter::names;
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use parking_lot::Mutex;
use relay::body::{Body, Error};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::http1::{Answer, Request, json as answer};
use super::{MEMORY_TOKENS, STRIDE};

/// Something that an endpoint does wrong, once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Breaks off in the middle of the event after this many whole ones.
    BreakAfter(u64),
    /// Falls silent after this many events, and keeps the connection.
    SilentAfter(u64),
    /// Pauses for longer than a stream may after this many events, and goes on.
    PauseAfter(u64),
    /// Runs the request and closes the connection without an answer.
    LoseAnswer,
    /// Answers with the answer to another request.
    ForeignAnswer,
    /// States that it did not run the request.
    Reject,
    /// Runs the request and fails.
    Fail,
}

/// A request that an endpoint began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The client's attempt.
    pub attempt: String,
    /// The workspace that the endpoint was told.
    pub workspace: Option<String>,
    /// The engines that were to help, as they were named.
    pub helpers: Option<String>,
    /// Whether it ended by itself, and not by a closed connection.
    pub ended: bool,
}

#[derive(Default)]
struct State {
    faults: Vec<Fault>,
    runs: Vec<Run>,
    reserved: HashMap<String, u64>,
    reservations: usize,
    order_time: Duration,
    last_order: Option<Instant>,
    longest_gap: Option<Duration>,
}

/// An endpoint.
pub struct Worker {
    name: String,
    service: &'static str,
    /// How many times faster than a published engine it runs.
    scale: u32,
    state: Mutex<State>,
}

impl Worker {
    /// An engine.
    #[must_use]
    pub fn engine(name: &str, scale: u32) -> Self {
        Self {
            name: name.to_owned(),
            service: "writer",
            scale: scale.max(1),
            state: Mutex::default(),
        }
    }

    /// A plain endpoint.
    #[must_use]
    pub fn desk(name: &str) -> Self {
        Self {
            service: "desk",
            ..Self::engine(name, 1)
        }
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What it writes of itself into the log.
    #[must_use]
    pub fn entry(&self, address: SocketAddr, state: &str) -> Value {
        json!({
            "service": self.service, "address": address, "zone": "cannock", "version": "v1",
            "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 7,
        })
    }

    /// Makes the next request go wrong.
    pub fn fault(&self, fault: Fault) {
        self.state.lock().faults.push(fault);
    }

    /// The requests that it began to run.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Tokens that are reserved now, and the number of reservations ever made.
    #[must_use]
    pub fn reserved(&self) -> (u64, usize) {
        let state = self.state.lock();
        (state.reserved.values().sum(), state.reservations)
    }

    /// Makes every order take this long.
    pub fn slow_orders(&self, time: Duration) {
        self.state.lock().order_time = time;
    }

    /// The longest time between two orders, where there were two.
    #[must_use]
    pub fn longest_gap(&self) -> Option<Duration> {
        self.state.lock().longest_gap
    }

    async fn take_order(&self, body: &[u8]) -> Response<Body> {
        let time = {
            let mut state = self.state.lock();
            let now = Instant::now();
            let gap = state.last_order.replace(now).map(|last| now - last);
            state.longest_gap = state.longest_gap.max(gap);
            state.order_time
        };
        sleep(time).await;
        self.order(body)
    }

    fn order(&self, body: &[u8]) -> Response<Body> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let ticket = order["identifier"].as_str().unwrap_or_default().to_owned();
        let mut state = self.state.lock();
        match order["operation"].as_str() {
            Some("reserve") => {
                let tokens = order["tokens"].as_u64().unwrap_or_default();
                if state.reserved.insert(ticket, tokens).is_none() {
                    state.reservations += 1;
                }
                answer(StatusCode::OK, &json!({ "free": MEMORY_TOKENS }))
            }
            Some("release") => {
                state.reserved.remove(&ticket);
                answer(StatusCode::OK, &json!({ "free": MEMORY_TOKENS }))
            }
            _ => answer(StatusCode::BAD_REQUEST, &json!({})),
        }
    }

    /// Notes a run and returns its place.
    fn begin(&self, request: &Request) -> usize {
        let text = |name| request.header(name).map(str::to_owned);
        let run = Run {
            attempt: text(&names::ATTEMPT_ID).unwrap_or_default(),
            workspace: text(&names::WORKSPACE),
            helpers: text(&names::HELPERS),
            ended: false,
        };
        let mut state = self.state.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    fn end(&self, run: usize) {
        self.state.lock().runs[run].ended = true;
    }

    fn stream(self: &Arc<Self>, request: &Request, run: usize, fault: Option<Fault>) -> Body {
        let after = request.header(&names::LAST_EVENT_ID);
        let after: u64 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
        let tokens = request.header(&names::TOKEN_COUNTS).and_then(|text| {
            let (prompt, answer) = text.split_once(',')?;
            Some((prompt.parse().ok()?, answer.parse().ok()?))
        });
        let (prompt, output): (u64, u64) = tokens.unwrap_or((0, STRIDE));
        let helpers = request.header(&names::HELPERS);
        let parts = helpers.map_or(1, |list| list.split(',').count() as u64 + 1);
        let (sender, receiver) = mpsc::channel(1);
        let worker = Arc::clone(self);
        tokio::spawn(async move {
            sleep(read_time(prompt) / u32::try_from(parts).unwrap_or(1) / worker.scale).await;
            for event in after + 1..=output.div_ceil(STRIDE) {
                sleep(EVENT_TIME / worker.scale).await;
                let sent = event - after - 1;
                match fault {
                    Some(Fault::BreakAfter(events)) if events == sent => {
                        let torn = format!("id: {event}\ndata: pie");
                        // The client may have left already.
                        let _ = sender.send(Ok(torn.into())).await;
                        let _ = sender.send(Err(Error::Incomplete)).await;
                        return;
                    }
                    Some(Fault::PauseAfter(events)) if events == sent => sleep(LONG_PAUSE).await,
                    Some(Fault::SilentAfter(events)) if events == sent => {
                        return sender.closed().await;
                    }
                    _ => {}
                }
                if sender.send(Ok(piece(event))).await.is_err() {
                    return;
                }
            }
            worker.end(run);
        });
        Body::Events(receiver)
    }
}

/// A pause after which a stream counts as silent.
const LONG_PAUSE: Duration = Duration::from_millis(3_500);
/// Time of one event, of a few writers.
const EVENT_TIME: Duration = Duration::from_millis(45);

fn read_time(prompt: u64) -> Duration {
    Duration::from_micros(prompt * 4 + prompt * prompt / 2 / 1_000_000 * 92)
}

/// The event number `index` of every stream.
#[must_use]
pub fn piece(index: u64) -> Bytes {
    format!("id: {index}\ndata: piece {index}\n\n").into()
}

#[async_trait]
impl Answer for Worker {
    async fn answer(self: Arc<Self>, request: Request) -> Option<Response<Body>> {
        if request.uri.path() == names::CONTROL_PATH {
            return Some(self.take_order(&request.body).await);
        }
        let expected = request.header(&names::EXPECTED_ENDPOINT);
        if expected.is_some_and(|name| name != self.name) {
            return Some(answer(StatusCode::MISDIRECTED_REQUEST, &json!({})));
        }
        let fault = self.state.lock().faults.pop();
        if fault == Some(Fault::Reject) {
            let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            let not_run = HeaderValue::from_static("1");
            response.headers_mut().insert(names::NOT_RUN, not_run);
            return Some(response);
        }
        let run = self.begin(&request);
        if fault == Some(Fault::LoseAnswer) {
            return None;
        }
        let mut response = if self.service == "writer" {
            Response::new(self.stream(&request, run, fault))
        } else {
            self.end(run);
            Response::new(Body::whole("done"))
        };
        if fault == Some(Fault::Fail) {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let headers = response.headers_mut();
        let signature = HeaderValue::from_str(&self.name).ok()?;
        headers.insert(names::SIGNATURE, signature);
        let echoed = if fault == Some(Fault::ForeignAnswer) {
            "another-attempt"
        } else {
            request.header(&names::ATTEMPT_ID).unwrap_or_default()
        };
        headers.insert(names::ATTEMPT_ID, HeaderValue::from_str(echoed).ok()?);
        Some(response)
    }
}
