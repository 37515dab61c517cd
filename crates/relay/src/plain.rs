//! Forwards calls to plain services, which return one complete response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use buffer::Limits;
use http::{Response, StatusCode, response};
use kernel::catalogue::{Entry, Identity};
use kernel::clock::Instant;
use kernel::outlier::Observation;
use kernel::quarantine::Suspect;
use rand::Rng;
use shutdown::Stage;
use tokio::time::timeout;

use crate::accepted::Accepted;
use crate::adapter::{Forwarding, ResponseClass};
use crate::attempts::{Attempts, GiveUp};
use crate::body::Body;
use crate::broken;
use crate::budget::Draw;
use crate::headers::end_to_end;
use crate::observe;
use crate::pipeline::Pipeline;
use crate::quarantine::Admission;
use crate::transport::Failure;

/// Maximum response size of a plain service, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// Maximum size of a refusal's body that is read to keep its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1_024;
/// Maximum time for reading it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Attempt timeout of a call that may be retried, as a multiple of the route's objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 4;

/// Logged reason for a response that belongs to another request.
pub(crate) const MISMATCHED_RESPONSE: &str = "the response is to another request";
/// Logged reason for a response without the endpoint's signature.
pub(crate) const UNSIGNED_RESPONSE: &str = "the response is not signed by the endpoint";

/// Logged reason for a response whose status promises what the endpoint does not state.
pub(crate) const UNPROVEN_REFUSAL: &str = "the endpoint does not state that nothing was run";

/// Logged reason for a request whose time ended before its connection was open.
pub(crate) const NO_CONNECTION: &str = "no connection before the end of the request's time";

/// Logged reason for an answer for which there is no room in memory.
pub(crate) const NO_ROOM: &str = "there is no room in memory for the answer";

/// Counts a call as running at an endpoint until it is dropped.
struct ActiveCall<'a> {
    pipeline: &'a Pipeline,
    endpoint: Identity,
}

impl<'a> ActiveCall<'a> {
    fn start(pipeline: &'a Pipeline, endpoint: Identity) -> Self {
        pipeline.balancer.lock().record_start(endpoint);
        pipeline.notices.record_call(endpoint);
        Self { pipeline, endpoint }
    }
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        self.pipeline.balancer.lock().record_end(self.endpoint);
    }
}

/// What one send takes once it has a connection.
#[derive(Clone, Copy)]
struct Permits<'a> {
    draw: &'a Draw<'a>,
    admission: &'a Admission,
}

impl Permits<'_> {
    /// Returns whether the call may be sent.
    fn take(self, pipeline: &Pipeline, accepted: &Accepted) -> bool {
        let quarantine = &pipeline.quarantine;
        self.draw.take() && quarantine.begin(accepted.id(), &accepted.suspects, self.admission)
    }
}

/// Outcome of one attempt.
enum Outcome {
    /// A response to forward to the client.
    Response(response::Parts, bytes::Bytes),
    /// A server error that is signed by the endpoint itself.
    Failed(response::Parts, bytes::Bytes),
    /// The endpoint did not run the call, with the reason.
    NotRun(String),
    /// Nothing was sent, with what this says about the endpoint and the reason.
    Unsent(Observation, String),
    /// Nothing was sent, because the endpoint must get nothing new.
    Withheld,
    /// The connection ended before the response did, with the reason. The call may have run.
    Broken(String),
    /// The endpoint has answered, and there is no room for its answer. This says nothing about the
    /// endpoint.
    NoRoom,
    /// The call may have run, with the reason why there is no usable response.
    Uncertain(String),
}

/// Sends the call to an endpoint, and retries at others where the route allows it.
pub(crate) async fn run(
    pipeline: &Arc<Pipeline>,
    accepted: &Accepted,
    attempts: &mut Attempts,
) -> Response<Body> {
    let mut last_failure = None;
    let mut admitted = pipeline.admit(accepted, attempts).await;
    let give_up = loop {
        if pipeline.clock.now() >= accepted.deadline {
            break GiveUp::Expired;
        }
        if attempts.is_unsent() && pipeline.shutdown.has_reached(Stage::Closing) {
            break GiveUp::ShuttingDown;
        }
        // Over links that are lost, an attempt would be wasted.
        let detoured = if attempts.has_failed() {
            pipeline.detour_at_end(accepted, attempts).await
        } else {
            pipeline.detour(accepted, attempts).await
        };
        if let Some(response) = detoured {
            return response;
        }
        let admission = match &admitted {
            Ok(admission) => admission,
            Err(give_up) => break *give_up,
        };
        let checked = pipeline.quarantine.recheck(&accepted.suspects, admission);
        if let Err(wait) = checked {
            break GiveUp::Quarantined(wait);
        }
        let entry = match pick_endpoint(pipeline, accepted, attempts) {
            Ok(entry) => entry,
            Err(give_up) => break give_up,
        };
        let started = attempts.try_start(&pipeline.budgets, &accepted.service, accepted.id());
        let Some(draw) = started else {
            break GiveUp::Exhausted;
        };
        accepted.log_repeat(&entry, attempts);
        let endpoint = entry.identity();
        let began = pipeline.clock.now();
        let outcome = send(
            pipeline,
            accepted,
            &entry,
            Permits {
                draw: &draw,
                admission,
            },
            attempts.allowed_after_run(),
        )
        .await;
        let is_probe = admission.is_probe();
        record_outcome(pipeline, accepted, &entry, &outcome);
        match outcome {
            Outcome::Response(head, body) => {
                accepted.log_completed(&entry, 0);
                let request = [Suspect::Request(accepted.fingerprint)];
                pipeline.quarantine.record_completion(&request, began);
                return build_response(&head, body);
            }
            Outcome::Failed(head, body) => {
                attempts.record_run(endpoint);
                last_failure = Some((head, body));
            }
            Outcome::NotRun(_) => attempts.record_rejected(endpoint),
            Outcome::Unsent(..) | Outcome::Withheld => {
                draw.refund();
                attempts.record_unsent(endpoint);
            }
            Outcome::Broken(_) => {
                attempts.record_run(endpoint);
                if has_crashed(pipeline, accepted, &entry, began).await {
                    admitted = pipeline.admit(accepted, attempts).await;
                }
            }
            Outcome::NoRoom | Outcome::Uncertain(_) => attempts.record_run(endpoint),
        }
        if attempts.sent() > 0 && is_probe {
            // A request that tests what is quarantined is sent once, by this host or another one.
            attempts.exhaust();
        }
        if !attempts.allowed() {
            break GiveUp::Exhausted;
        }
    };
    if last_failure.is_none()
        && give_up == GiveUp::Exhausted
        && let Some(response) = pipeline.detour_at_end(accepted, attempts).await
    {
        return response;
    }
    accepted.log_give_up(attempts, give_up, pipeline.clock.now());
    match last_failure {
        Some((head, body)) => build_response(&head, body),
        None => attempts.final_response(give_up),
    }
}

/// Returns whether the endpoint of a call that broke has crashed.
async fn has_crashed(
    pipeline: &Arc<Pipeline>,
    accepted: &Accepted,
    entry: &Entry,
    began: Instant,
) -> bool {
    let run = broken::Run {
        endpoint: entry,
        began,
        events: 0,
        answering: None,
    };
    let crashed = broken::examine(pipeline, accepted, &run).await;
    if crashed && !pipeline.links.is_cut() {
        let now = pipeline.clock.now();
        let mut balancer = pipeline.balancer.lock();
        balancer.record(entry.identity(), Observation::Gone, now);
    }
    crashed
}

fn pick_endpoint(
    pipeline: &Arc<Pipeline>,
    accepted: &Accepted,
    attempts: &Attempts,
) -> Result<Entry, GiveUp> {
    let ready = pipeline.registry.ready(&accepted.service);
    if ready.is_empty()
        && let Some(give_up) = pipeline.evacuated(&accepted.service)
    {
        return Err(give_up);
    }
    let mut balancer = pipeline.balancer.lock();
    balancer.set_paths(pipeline.paths.current());
    let now = pipeline.clock.now();
    let picked = balancer.pick(ready.iter(), attempts.excluded(), &pipeline.domain, now);
    picked.cloned().ok_or_else(|| {
        if ready
            .iter()
            .any(|entry| balancer.is_cold(entry.identity(), now))
        {
            observe::count_cold_wait("refused");
        }
        let wait = balancer.retry_after(ready.iter(), pipeline.rng.lock().random(), now);
        wait.map_or(GiveUp::Exhausted, GiveUp::Refused)
    })
}

async fn send(
    pipeline: &Arc<Pipeline>,
    accepted: &Accepted,
    entry: &Entry,
    permits: Permits<'_>,
    retry_allowed: bool,
) -> Outcome {
    let _active_call = ActiveCall::start(pipeline, entry.identity());
    let sent_at = pipeline.clock.now();
    let remaining = accepted.deadline.since(sent_at);
    let request = || {
        let forwarding = Forwarding {
            endpoint: &entry.name,
            workspace: accepted.workspace.as_ref(),
            remaining: accepted.deadline.since(pipeline.clock.now()),
            resume_after: accepted.metadata.resume_after.as_deref(),
            helpers: &[],
            urgency: None,
        };
        accepted.outgoing(&*pipeline.dialect, &forwarding)
    };
    let limit = if retry_allowed {
        remaining.min(accepted.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES)
    } else {
        remaining
    };
    let is_sent = permits.draw.sent_flag();
    let id = accepted.metadata.id.as_deref();
    let exchange = async {
        let sending = pipeline
            .dialer
            .send_if(entry.address, id, request, is_sent, || {
                !pipeline.registry.is_withheld(entry.identity()) && permits.take(pipeline, accepted)
            });
        let mut exchange = sending.await?;
        pipeline.record_answer(accepted, entry, &exchange);
        let head = &exchange.head;
        pipeline.handle_notice(entry, head, sent_at);
        let class = pipeline.dialect.classify_response(
            id,
            head.status,
            &head.headers,
            exchange.is_reused(),
        );
        let description = exchange.describe();
        if class == ResponseClass::Mismatched {
            // Dropping the exchange closes the connection, whose responses no longer match the
            // requests.
            return Ok(Err(format!("{MISMATCHED_RESPONSE}: {description}")));
        }
        if matches!(class, ResponseClass::NotRun(_)) {
            exchange.record_refusal();
            // What a refusal says does not depend on its body.
            let rest = exchange.collect(MAX_REFUSAL_BYTES);
            let _ = timeout(REFUSAL_TIMEOUT, rest).await;
            return Ok(Ok(Outcome::NotRun(description)));
        }
        let may_be_cut = class == ResponseClass::Valid && exchange.ends_with_connection();
        let limits = Limits {
            bytes: MAX_RESPONSE_BYTES,
            patience: accepted.deadline.since(pipeline.clock.now()),
        };
        let hold = pipeline.buffers.open();
        let Some((head, body)) = exchange.collect_into(hold, limits).await? else {
            return Ok(Ok(Outcome::NoRoom));
        };
        if may_be_cut && broken::ended_with_endpoint(pipeline, entry).await {
            return Err(Failure::Uncertain(broken::ENDPOINT_GONE.to_owned()));
        }
        Ok(Ok(classify(class, head, body, description)))
    };
    match timeout(limit, exchange).await {
        Ok(Ok(Ok(outcome))) => outcome,
        Ok(Ok(Err(reason))) => Outcome::Uncertain(reason),
        Ok(Err(Failure::Unsent(reason))) => Outcome::Unsent(Observation::Unresponsive, reason),
        Ok(Err(Failure::Refused(reason))) => Outcome::Unsent(Observation::Gone, reason),
        Ok(Err(Failure::Withheld)) => Outcome::Withheld,
        Ok(Err(Failure::Uncertain(reason))) => Outcome::Broken(reason),
        Err(_) if !is_sent.load(Ordering::Relaxed) => {
            Outcome::Unsent(Observation::Unresponsive, NO_CONNECTION.to_owned())
        }
        Err(_) => {
            pipeline.dialer.close_idle(entry.address);
            Outcome::Uncertain("no answer in time".to_owned())
        }
    }
}

fn classify(
    class: ResponseClass,
    head: response::Parts,
    body: bytes::Bytes,
    description: String,
) -> Outcome {
    match class {
        ResponseClass::Mismatched => Outcome::Uncertain(MISMATCHED_RESPONSE.to_owned()),
        ResponseClass::NotRun(_) => Outcome::NotRun(description),
        ResponseClass::Unproven => Outcome::Uncertain(UNPROVEN_REFUSAL.to_owned()),
        ResponseClass::Unsigned => Outcome::Uncertain(UNSIGNED_RESPONSE.to_owned()),
        ResponseClass::Valid if head.status.is_server_error() => Outcome::Failed(head, body),
        ResponseClass::Valid => Outcome::Response(head, body),
    }
}

/// Records the outcome for the endpoint's health, and logs every outcome but a response.
fn record_outcome(pipeline: &Pipeline, accepted: &Accepted, entry: &Entry, result: &Outcome) {
    let now = pipeline.clock.now();
    if matches!(
        result,
        Outcome::Unsent(..) | Outcome::Broken(_) | Outcome::Uncertain(_)
    ) {
        pipeline.links.suspect();
    }
    if matches!(result, Outcome::Unsent(..) | Outcome::Uncertain(_)) {
        pipeline.links.doubt(&entry.domain);
    }
    let is_cut = pipeline.links.is_cut();
    let record = |seen| {
        // Failures of a host without links say nothing about the endpoint.
        if !is_cut || seen == Observation::Succeeded {
            let mut balancer = pipeline.balancer.lock();
            balancer.record(entry.identity(), seen, now);
        }
    };
    let (outcome, reason) = match result {
        Outcome::Response(..) => return record(Observation::Succeeded),
        Outcome::Failed(head, _) => {
            record(Observation::Failed);
            ("failed", head.status.to_string())
        }
        Outcome::NotRun(reason) => ("not_run", reason.clone()),
        Outcome::Withheld => ("withheld", String::new()),
        Outcome::NoRoom => ("uncertain", NO_ROOM.to_owned()),
        Outcome::Unsent(observation, reason) => {
            record(*observation);
            ("unsent", reason.clone())
        }
        Outcome::Broken(reason) | Outcome::Uncertain(reason) => {
            record(Observation::Failed);
            ("uncertain", reason.clone())
        }
    };
    observe::count_failed_send(outcome);
    log::info!(
        "event=send request={} endpoint={} outcome={outcome} reason=\"{reason}\"",
        accepted.id(),
        entry.name
    );
}

/// Builds the client's response from the endpoint's response.
pub(crate) fn build_response(head: &response::Parts, body: bytes::Bytes) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    if head.status == StatusCode::NO_CONTENT {
        *response.body_mut() = Body::Whole(None);
    }
    response
}
