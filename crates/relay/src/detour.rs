//! Sends requests of a host that is cut off from the endpoints to another host, which treats them as
//! requests of its own callers.
//!
//! Keys, limits, the quarantine and the retry budget are the other host's. It never sends such a
//! request on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName};
use http::{Response, StatusCode};
use kernel::event::Splitter;
use kernel::name::Host;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::accepted::Accepted;
use crate::adapter::ResponseClass;
use crate::attempts::{Attempts, GiveUp};
use crate::body::{Body, Error};
use crate::headers::end_to_end;
use crate::link::Links;
use crate::observe;
use crate::pipeline::Pipeline;
use crate::plain::{MAX_RESPONSE_BYTES, build_response};
use crate::transport::{Exchange, Failure};

/// Header of a request between hosts that a retry budget has counted before.
pub(crate) const COUNTED: HeaderName = HeaderName::from_static("x-relay-counted");

/// Maximum number of hosts that are asked to serve one request.
const MAX_HOSTS: usize = 2;
/// Maximum number of chunks of a stream that wait for a slow client.
const MAX_BUFFERED_CHUNKS: usize = 4;
/// Time that is left to answer the client when the other host does not.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Time beyond a multiple of the objective, or beyond the allowed pause, after which another host
/// counts as unresponsive. It is no longer than that for an engine, since clients disconnect after 2 s.
const SLACK: Duration = Duration::from_millis(1_200);
/// Multiple of the route's objective within which a response begins.
const OBJECTIVES: u32 = 4;
/// Allowed pause between events if the route sets none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// Counts a request as running at another host until it is dropped.
struct Running {
    links: Arc<Links>,
    host: Host,
}

impl Running {
    fn start(links: &Arc<Links>, host: &Host) -> Self {
        links.peers.lock().record_start(host);
        Self {
            links: Arc::clone(links),
            host: host.clone(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.links.peers.lock().record_end(&self.host);
    }
}

/// A response whose length is not known, as it arrives from another host.
pub(crate) struct Upstream {
    exchange: Exchange,
    running: Running,
}

/// What a host has made of a request.
enum Outcome {
    Stream(Upstream),
    Response(Response<Body>),
    /// The host refused the request, which has not run.
    Refused(Response<Body>),
    /// Nothing was sent.
    Unsent(String),
    /// The request may have run. Carries the host's own response, if there is one.
    Uncertain(String, Option<Response<Body>>),
}

/// What the hosts that were asked have made of a request.
enum Asked {
    Stream(Upstream),
    Response(Response<Body>),
    /// No host could be asked.
    Nobody,
}

/// Sends a request to another host that reaches the endpoints. `attempts` says whether it may have
/// run here.
///
/// Returns `None` if no host could be asked.
pub(crate) async fn run(
    pipeline: &Arc<Pipeline>,
    accepted: &Accepted,
    attempts: &mut Attempts,
) -> Option<Response<Body>> {
    let mut asked = Vec::new();
    let resume_after = accepted.metadata.resume_after.as_deref();
    let upstream = match ask(pipeline, accepted, attempts, resume_after, &mut asked).await {
        Asked::Stream(upstream) => upstream,
        Asked::Response(response) => return Some(response),
        Asked::Nobody => return None,
    };
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let mut response = Response::new(Body::Events(receiver));
    *response.status_mut() = upstream.exchange.head.status;
    *response.headers_mut() = end_to_end(&upstream.exchange.head.headers);
    let rest = Rest {
        pipeline: Arc::clone(pipeline),
        accepted: accepted.clone(),
        attempts: attempts.clone(),
        splitter: Splitter::resume_after(resume_after),
        sender,
        asked,
    };
    tokio::spawn(rest.run(Some(upstream)));
    Some(response)
}

async fn ask(
    pipeline: &Pipeline,
    accepted: &Accepted,
    attempts: &mut Attempts,
    resume_after: Option<&str>,
    asked: &mut Vec<Host>,
) -> Asked {
    let mut response = None;
    while asked.len() < MAX_HOSTS && attempts.may_run_elsewhere() {
        let Some(host) = pipeline.links.pick(pipeline.hosts.candidates(), asked) else {
            break;
        };
        if attempts.sent() > 0 && !pipeline.budgets.withdraw(&accepted.service) {
            break;
        }
        asked.push(host.clone());
        let may_repeat = asked.len() < MAX_HOSTS && attempts.may_repeat();
        let is_counted = attempts.is_counted();
        let outcome = send(
            pipeline,
            accepted,
            &host,
            resume_after,
            is_counted,
            may_repeat,
        )
        .await;
        let (name, reason) = match outcome {
            Outcome::Stream(upstream) => {
                attempts.record_detour();
                log_outcome(accepted, attempts, &host, "served", "");
                return Asked::Stream(upstream);
            }
            Outcome::Response(response) => {
                log_outcome(accepted, attempts, &host, "served", "");
                return Asked::Response(response);
            }
            Outcome::Refused(refusal) => {
                attempts.record_counted();
                // A refusal states that the request has not run anywhere.
                response = Some(refusal).filter(|_| !attempts.may_have_run());
                ("refused", String::new())
            }
            Outcome::Unsent(reason) => {
                pipeline.record_peer_failure(&host);
                ("unsent", reason)
            }
            Outcome::Uncertain(reason, own) => {
                pipeline.record_peer_failure(&host);
                attempts.record_detour();
                response = own;
                ("uncertain", reason)
            }
        };
        log_outcome(accepted, attempts, &host, name, &reason);
    }
    if let Some(response) = response {
        return Asked::Response(response);
    }
    if !attempts.may_have_run() {
        return Asked::Nobody;
    }
    let expired = pipeline.clock.now() + ANSWER_MARGIN >= accepted.deadline;
    let give_up = if expired {
        GiveUp::Expired
    } else {
        GiveUp::Exhausted
    };
    accepted.log_give_up(attempts, give_up, pipeline.clock.now());
    Asked::Response(attempts.final_response(give_up))
}

fn log_outcome(
    accepted: &Accepted,
    attempts: &Attempts,
    host: &Host,
    outcome: &'static str,
    reason: &str,
) {
    observe::count_detour(outcome);
    log::info!(
        "event=detour request={} host={host} outcome={outcome} sends={} runs_left={} reason=\"{reason}\"",
        accepted.id(),
        attempts.sent(),
        attempts.runs_left()
    );
}

async fn send(
    pipeline: &Pipeline,
    accepted: &Accepted,
    host: &Host,
    resume_after: Option<&str>,
    is_counted: bool,
    may_repeat: bool,
) -> Outcome {
    let Some(address) = pipeline.hosts.address(host) else {
        return Outcome::Unsent("the host is gone".to_owned());
    };
    let running = Running::start(&pipeline.links, host);
    let remaining = accepted.deadline.since(pipeline.clock.now());
    let request = accepted.detoured(&*pipeline.dialect, remaining, resume_after, is_counted);
    let is_sent = AtomicBool::new(false);
    let exchange = async {
        let sending = pipeline.dialer.send_if(address, request, &is_sent, || true);
        let exchange = sending.await?;
        let id = accepted.metadata.id.as_deref();
        let head = &exchange.head;
        let class = pipeline
            .dialect
            .classify_response(id, head.status, &head.headers);
        if !head.headers.contains_key(CONTENT_LENGTH) {
            return Ok(Outcome::Stream(Upstream { exchange, running }));
        }
        let (head, body) = exchange.collect(MAX_RESPONSE_BYTES).await?;
        let response = build_response(&head, body);
        // Responses of the host itself are not signed by an endpoint.
        let is_own = matches!(class, ResponseClass::Mismatched | ResponseClass::Unsigned);
        Ok(match head.status {
            StatusCode::SERVICE_UNAVAILABLE if is_own => Outcome::Refused(response),
            StatusCode::BAD_GATEWAY if is_own => {
                Outcome::Uncertain("the host failed".to_owned(), Some(response))
            }
            _ => Outcome::Response(response),
        })
    };
    let limit = remaining.saturating_sub(ANSWER_MARGIN);
    let limit = if may_repeat {
        limit.min((accepted.route.objective * OBJECTIVES + SLACK).max(remaining / 2))
    } else {
        limit
    };
    match timeout(limit, exchange).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(Failure::Unsent(reason) | Failure::Refused(reason))) => Outcome::Unsent(reason),
        Ok(Err(failure @ Failure::Withheld)) => Outcome::Unsent(failure.to_string()),
        Ok(Err(Failure::Uncertain(reason))) => Outcome::Uncertain(reason, None),
        Err(_) if !is_sent.load(Ordering::Relaxed) => Outcome::Unsent("no connection".to_owned()),
        Err(_) => {
            pipeline.dialer.close_idle(address);
            Outcome::Uncertain("no answer in time".to_owned(), None)
        }
    }
}

/// The rest of a stream whose head the client has, served by other hosts.
pub(crate) struct Rest {
    pipeline: Arc<Pipeline>,
    accepted: Accepted,
    attempts: Attempts,
    splitter: Splitter,
    sender: mpsc::Sender<Result<Bytes, Error>>,
    asked: Vec<Host>,
}

impl Rest {
    /// Creates the rest of a stream of which `splitter` has seen the beginning.
    pub fn new(
        pipeline: Arc<Pipeline>,
        accepted: Accepted,
        attempts: Attempts,
        splitter: Splitter,
        sender: mpsc::Sender<Result<Bytes, Error>>,
    ) -> Self {
        Self {
            pipeline,
            accepted,
            attempts,
            splitter,
            sender,
            asked: Vec::new(),
        }
    }

    /// Relays the events of `upstream`, and continues at other hosts where the route allows it.
    pub async fn run(mut self, mut upstream: Option<Upstream>) {
        loop {
            if let Some(current) = upstream.take() {
                let host = current.running.host.clone();
                match self.relay(current).await {
                    Ok(()) => return,
                    Err(reason) => {
                        self.pipeline.record_peer_failure(&host);
                        log_outcome(&self.accepted, &self.attempts, &host, "broken", &reason);
                    }
                }
            }
            self.splitter.discard_partial();
            if !self.accepted.route.resumable
                || self.pipeline.clock.now() >= self.accepted.deadline
                || self.sender.is_closed()
            {
                break;
            }
            let last = self.splitter.last_id().map(str::to_owned);
            let asking = ask(
                &self.pipeline,
                &self.accepted,
                &mut self.attempts,
                last.as_deref(),
                &mut self.asked,
            );
            let answer = tokio::select! {
                answer = asking => answer,
                () = self.sender.closed() => return,
            };
            match answer {
                Asked::Stream(next) if next.exchange.head.status.is_success() => {
                    observe::count_interrupted_stream("resumed");
                    upstream = Some(next);
                }
                _ => break,
            }
        }
        observe::count_interrupted_stream("broken_off");
        // Fails if the client has disconnected.
        let _ = self.sender.send(Err(Error::Incomplete)).await;
    }

    /// Relays whole events of one host; the error is the reason why the stream is not complete.
    async fn relay(&mut self, mut upstream: Upstream) -> Result<(), String> {
        let route = Arc::clone(&self.accepted.route);
        let pause = route.pause.unwrap_or(DEFAULT_PAUSE) + SLACK;
        let mut limit = (route.objective * OBJECTIVES + SLACK).max(pause);
        loop {
            let remaining = self.accepted.deadline.since(self.pipeline.clock.now());
            let wait = if route.resumable {
                limit.min(remaining)
            } else {
                remaining
            };
            let next = tokio::select! {
                next = timeout(wait, upstream.exchange.next()) => next,
                () = self.sender.closed() => return Ok(()),
            };
            let bytes = match next {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) if self.splitter.has_partial() || !upstream.exchange.is_framed() => {
                    return Err("the stream ended early".to_owned());
                }
                Ok(Ok(None)) => {
                    upstream.exchange.finish();
                    return Ok(());
                }
                Ok(Err(failure)) => return Err(failure.to_string()),
                Err(_) => return Err("no event in time".to_owned()),
            };
            let Some(events) = self.splitter.feed(&bytes) else {
                return Err("an event exceeds the size limit".to_owned());
            };
            if events.is_empty() {
                continue;
            }
            limit = pause;
            if self.sender.send(Ok(events.into())).await.is_err() {
                return Ok(());
            }
        }
    }
}
