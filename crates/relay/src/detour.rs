//! Sends requests of a host that is cut off from the endpoints to another host, which treats them as
//! requests of its own callers.
//!
//! Keys, limits and the quarantine are the other host's. It makes no more attempts than it is lent (see
//! [`kernel::loan`]), and never sends such a request on.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use buffer::Limits;
use buffer::events::Reader;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use kernel::detour::Wanted;
use kernel::loan::{Loan, Report};
use kernel::name::Host;
use tokio::time::timeout;

use crate::accepted::Accepted;
use crate::adapter::ResponseClass;
use crate::attempts::{Attempts, GiveUp};
use crate::body::{Body, Error};
use crate::budget::Draw;
use crate::headers::{Format, end_to_end, error_response};
use crate::link::Links;
use crate::loan;
use crate::observe;
use crate::pipeline::Pipeline;
use crate::plain::{MAX_RESPONSE_BYTES, NO_ROOM, UNPROVEN_REFUSAL, build_response};
use crate::queue;
use crate::transport::{Exchange, Failure};

/// Maximum number of hosts that are asked to serve one request.
const MAX_HOSTS: usize = 2;
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
    Stream(Upstream, Option<Report>),
    Response(Response<Body>),
    /// A server error of an endpoint, or the host's own.
    Failed(Response<Body>, Option<Report>),
    /// The host refused the request, which has not run.
    Refused(Response<Body>, Option<Report>),
    /// Nothing was sent.
    Unsent(String),
    /// No response came, and the request may have run.
    Lost(String),
}

/// What the hosts that were asked have made of a request.
enum Asked {
    Stream(Upstream),
    Response(Response<Body>),
    /// No host could be asked.
    Nobody,
}

/// Sends a request to another host that reaches the endpoints. `attempts` has those that this host has
/// made.
///
/// Returns `None` if no host could be asked.
pub(crate) async fn run(
    pipeline: &Arc<Pipeline>,
    accepted: &Accepted,
    attempts: &mut Attempts,
) -> Option<Response<Body>> {
    let mut asked = Vec::new();
    let resume_after = accepted.metadata.resume_after.as_deref();
    let mut asking = Asking {
        resume_after,
        avoided: None,
        asked: &mut asked,
    };
    let upstream = match ask(pipeline, accepted, attempts, &mut asking).await {
        Asked::Stream(upstream) => upstream,
        Asked::Response(response) => return Some(response),
        Asked::Nobody => return None,
    };
    let (sender, receiver) = queue::open();
    let mut response = Response::new(Body::Events(receiver));
    *response.status_mut() = upstream.exchange.head.status;
    *response.headers_mut() = end_to_end(&upstream.exchange.head.headers);
    let rest = Rest {
        pipeline: Arc::clone(pipeline),
        accepted: accepted.clone(),
        attempts: attempts.clone(),
        format: Some(Format::of(&upstream.exchange.head)),
        reader: Reader::resume_after(resume_after, &pipeline.buffers),
        sender,
        asked,
    };
    tokio::spawn(rest.run(Some(upstream)));
    Some(response)
}

/// What the hosts are asked for.
struct Asking<'a> {
    /// Event after which a stream goes on.
    resume_after: Option<&'a str>,
    /// Host that is asked only if there is no other.
    avoided: Option<&'a Host>,
    /// Hosts that have refused the request or did not respond, and are not asked again.
    asked: &'a mut Vec<Host>,
}

/// Asks hosts in turn until one serves the request.
async fn ask(
    pipeline: &Pipeline,
    accepted: &Accepted,
    attempts: &mut Attempts,
    asking: &mut Asking<'_>,
) -> Asked {
    let Asking {
        resume_after,
        avoided,
        asked,
    } = asking;
    let (mut refusal, mut failure) = (None, None);
    while asked.len() < MAX_HOSTS && attempts.may_lend() {
        let now = pipeline.clock.now();
        let wanted = Wanted {
            excluded: asked,
            avoided: *avoided,
            is_untouched: attempts.is_untouched(),
        };
        let candidates = pipeline.hosts.candidates();
        let Some(helper) = pipeline.links.pick(candidates, wanted) else {
            break;
        };
        if now + ANSWER_MARGIN >= accepted.deadline {
            break;
        }
        let (budgets, service) = (&pipeline.budgets, &accepted.service);
        let Some(draw) = attempts.prepare_send(budgets, service, accepted.id()) else {
            break;
        };
        let loan = attempts.lend();
        let outcome = send(
            pipeline,
            accepted,
            attempts,
            &helper.host,
            *resume_after,
            loan,
            &draw,
        )
        .await;
        let (name, reason) = match outcome {
            Outcome::Stream(upstream, report) => {
                attempts.settle(loan, report);
                log_outcome(accepted, attempts, &helper.host, "served", "");
                return Asked::Stream(upstream);
            }
            Outcome::Refused(response, report) => {
                if report.is_some_and(|report| report.arrivals() == 0) {
                    draw.refund();
                }
                // A refusal states that the request has not run.
                attempts.settle(loan, Some(report.unwrap_or_default()));
                asked.push(helper.host.clone());
                refusal = Some(response);
                ("refused", String::new())
            }
            Outcome::Failed(response, report) => {
                attempts.settle(loan, report);
                if report.is_none_or(|report| report.runs == 0) {
                    asked.push(helper.host.clone());
                }
                failure = Some(response);
                ("failed", String::new())
            }
            Outcome::Response(response) => {
                log_outcome(accepted, attempts, &helper.host, "served", "");
                return Asked::Response(response);
            }
            Outcome::Unsent(reason) => {
                draw.refund();
                attempts.settle(loan, Some(Report::default()));
                asked.push(helper.host.clone());
                pipeline.record_peer_failure(&helper.host);
                ("unsent", reason)
            }
            Outcome::Lost(reason) => {
                attempts.record_lost(helper.keeps_loans);
                asked.push(helper.host.clone());
                pipeline.record_peer_failure(&helper.host);
                ("uncertain", reason)
            }
        };
        log_outcome(accepted, attempts, &helper.host, name, &reason);
    }
    // A refusal is true only as long as no other host may have run the request.
    let refusal = refusal.filter(|_| !attempts.may_have_run());
    if let Some(response) = failure.or(refusal) {
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
    attempts: &Attempts,
    host: &Host,
    resume_after: Option<&str>,
    loan: Loan,
    draw: &Draw<'_>,
) -> Outcome {
    let Some(address) = pipeline.hosts.address(host) else {
        return Outcome::Unsent("the host is gone".to_owned());
    };
    let running = Running::start(&pipeline.links, host);
    let remaining = accepted.deadline.since(pipeline.clock.now());
    let request = || {
        let remaining = accepted.deadline.since(pipeline.clock.now());
        accepted.detoured(&*pipeline.dialect, remaining, resume_after, loan)
    };
    let is_sent = draw.sent_flag();
    let id = accepted.metadata.id.as_deref();
    let exchange = async {
        let sending = pipeline
            .dialer
            .send_if(address, id, request, is_sent, || draw.take());
        let mut exchange = sending.await?;
        let report = loan::take_report(&mut exchange.head.headers);
        let head = &exchange.head;
        let class = pipeline.dialect.classify_response(
            id,
            head.status,
            &head.headers,
            exchange.is_reused(),
        );
        if !head.headers.contains_key(CONTENT_LENGTH) {
            return Ok(Outcome::Stream(Upstream { exchange, running }, report));
        }
        let limits = Limits {
            bytes: MAX_RESPONSE_BYTES,
            patience: remaining,
        };
        let hold = pipeline.buffers.open();
        let Some((head, body)) = exchange.collect_into(hold, limits).await? else {
            let response = error_response(StatusCode::BAD_GATEWAY, None, NO_ROOM);
            return Ok(Outcome::Failed(response, report));
        };
        let response = if class == ResponseClass::Unproven {
            // A host of an earlier build forwards it.
            error_response(StatusCode::BAD_GATEWAY, None, UNPROVEN_REFUSAL)
        } else {
            build_response(&head, body)
        };
        // Responses of the host itself are not signed by an endpoint.
        let is_own = matches!(class, ResponseClass::Mismatched | ResponseClass::Unsigned);
        Ok(match response.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT if is_own => {
                Outcome::Refused(response, report)
            }
            status if status.is_server_error() => Outcome::Failed(response, report),
            _ => Outcome::Response(response),
        })
    };
    let limit = remaining.saturating_sub(ANSWER_MARGIN);
    let limit = if attempts.may_lend() {
        limit.min((accepted.route.objective * OBJECTIVES + SLACK).max(remaining / 2))
    } else {
        limit
    };
    match timeout(limit, exchange).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(Failure::Unsent(reason) | Failure::Refused(reason))) => Outcome::Unsent(reason),
        Ok(Err(failure @ Failure::Withheld)) => Outcome::Unsent(failure.to_string()),
        Ok(Err(Failure::Uncertain(reason))) => Outcome::Lost(reason),
        Err(_) if !is_sent.load(Ordering::Relaxed) => Outcome::Unsent("no connection".to_owned()),
        Err(_) => {
            pipeline.dialer.close_idle(address);
            Outcome::Lost("no answer in time".to_owned())
        }
    }
}

/// Why a host's part of a stream is not complete.
enum Interruption {
    /// No event arrived in time.
    Silent,
    /// The stream ended or was invalid, with the reason.
    Broken(String),
}

/// The rest of a stream whose head the client has, served by other hosts.
pub(crate) struct Rest {
    pipeline: Arc<Pipeline>,
    accepted: Accepted,
    attempts: Attempts,
    /// Format of the response, whose head the client has.
    format: Option<Format>,
    reader: Reader,
    sender: queue::Sender,
    asked: Vec<Host>,
}

impl Rest {
    /// Creates the rest of a stream of which `reader` has seen the beginning.
    pub fn new(
        pipeline: Arc<Pipeline>,
        accepted: Accepted,
        attempts: Attempts,
        format: Option<Format>,
        reader: Reader,
        sender: queue::Sender,
    ) -> Self {
        Self {
            pipeline,
            accepted,
            attempts,
            format,
            reader,
            sender,
            asked: Vec::new(),
        }
    }

    /// Whether the response of another host goes on with the one that has begun.
    fn continues(&self, next: &Upstream) -> bool {
        let format = Format::of(&next.exchange.head);
        format.is_success() && self.format.as_ref().is_none_or(|begun| *begun == format)
    }

    /// Relays the events of `upstream`, and continues at other hosts where the route allows it.
    pub async fn run(mut self, mut upstream: Option<Upstream>) {
        loop {
            let mut avoided = None;
            if let Some(current) = upstream.take() {
                let host = current.running.host.clone();
                // Either the host or its endpoint has failed. A host that is gone is found out when it
                // is asked again.
                let (outcome, reason) = match self.relay(current).await {
                    Ok(()) => return,
                    Err(Interruption::Silent) => ("silent", String::new()),
                    Err(Interruption::Broken(reason)) => ("broken", reason),
                };
                log_outcome(&self.accepted, &self.attempts, &host, outcome, &reason);
                avoided = (outcome == "silent").then_some(host);
            }
            self.reader.resume();
            if !self.accepted.route.resumable
                || self.pipeline.clock.now() >= self.accepted.deadline
                || self.sender.is_closed()
            {
                break;
            }
            let last = self.reader.last_id().map(str::to_owned);
            let mut asking = Asking {
                resume_after: last.as_deref(),
                avoided: avoided.as_ref(),
                asked: &mut self.asked,
            };
            let asking = ask(
                &self.pipeline,
                &self.accepted,
                &mut self.attempts,
                &mut asking,
            );
            let answer = tokio::select! {
                answer = asking => answer,
                () = self.sender.closed() => return,
            };
            match answer {
                Asked::Stream(next) if self.continues(&next) => {
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
    async fn relay(&mut self, mut upstream: Upstream) -> Result<(), Interruption> {
        let broken = |reason: &str| Interruption::Broken(reason.to_owned());
        let route = Arc::clone(&self.accepted.route);
        let pause = route.pause.unwrap_or(DEFAULT_PAUSE) + SLACK;
        let mut limit = (route.objective * OBJECTIVES + SLACK).max(pause);
        loop {
            let remaining = self.accepted.deadline.since(self.pipeline.clock.now());
            let wait = if route.resumable && self.attempts.may_lend() {
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
                Ok(Ok(None)) if self.reader.has_partial() || !upstream.exchange.is_framed() => {
                    return Err(broken("the stream ended early"));
                }
                Ok(Ok(None)) => {
                    upstream.exchange.finish();
                    return Ok(());
                }
                Ok(Err(failure)) => return Err(broken(&failure.to_string())),
                Err(_) => return Err(Interruption::Silent),
            };
            let events = self.reader.feed(&bytes);
            let events = events.map_err(|defect| broken(&defect.to_string()))?;
            if events.is_empty() {
                continue;
            }
            limit = pause;
            let sent = queue::send(&self.sender, &self.pipeline.buffers, events).await;
            if sent.is_err() {
                return Ok(());
            }
        }
    }
}
