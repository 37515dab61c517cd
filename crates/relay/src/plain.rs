//! Calls of plain services: one whole answer.

use http::{Response, StatusCode, response};
use kernel::catalogue::{Entry, Identity};
use kernel::outlier::Observation;
use tokio::time::timeout;

use crate::attempts::{Attempts, GaveUp};
use crate::body::Body;
use crate::border::{Answered, Sending};
use crate::headers::end_to_end;
use crate::observe;
use crate::pipeline::{Accepted, Pipeline};
use crate::transport::Failure;

/// Largest answer of a plain service, in bytes.
const ANSWER_BYTES: usize = 8 * 1_024 * 1_024;
/// Multiple of the objective after which a repeatable call is tried elsewhere.
const SILENCE_OBJECTIVES: u32 = 4;

/// Reason for an answer that belongs to another request.
pub(crate) const FOREIGN: &str = "the answer is not to this request";
/// Reason for an answer that its endpoint does not vouch for.
pub(crate) const UNSIGNED: &str = "the endpoint does not vouch for the answer";

/// Counts a call as running at an endpoint until it is dropped.
struct Running<'a> {
    pipeline: &'a Pipeline,
    endpoint: Identity,
}

impl<'a> Running<'a> {
    fn start(pipeline: &'a Pipeline, endpoint: Identity) -> Self {
        pipeline.balancer.lock().record_start(endpoint);
        Self { pipeline, endpoint }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.pipeline.balancer.lock().record_end(self.endpoint);
    }
}

/// What one send brought.
enum Sent {
    /// An answer to pass on.
    Answer(response::Parts, bytes::Bytes),
    /// The endpoint's own failure, which it vouches for.
    Failed(response::Parts, bytes::Bytes),
    /// The endpoint did not run the call.
    NotRun,
    /// Nothing left this host.
    Unsent(String),
    /// The call may have run.
    Uncertain(String),
}

/// Makes the call at one endpoint, or at others where its route allows that.
pub(crate) async fn run(pipeline: &Pipeline, accepted: &Accepted) -> Response<Body> {
    let mut attempts = Attempts::new(&accepted.route);
    let mut last_failure = None;
    let gave_up = loop {
        if pipeline.clock.now() >= accepted.deadline {
            break GaveUp::Expired;
        }
        let Some(entry) = choose(pipeline, accepted, &attempts) else {
            break GaveUp::Exhausted;
        };
        if !attempts.take(&pipeline.budgets, &accepted.service) {
            break GaveUp::Exhausted;
        }
        let endpoint = entry.identity();
        let sent = send(pipeline, accepted, &entry, attempts.allowed_after()).await;
        note(pipeline, accepted, &entry, &sent);
        match sent {
            Sent::Answer(head, body) => return pass_on(&head, body),
            Sent::Failed(head, body) => {
                attempts.ran(endpoint);
                last_failure = Some((head, body));
            }
            Sent::NotRun => attempts.rejected(endpoint),
            Sent::Unsent(_) => attempts.unsent(endpoint),
            Sent::Uncertain(_) => attempts.ran(endpoint),
        }
        if !attempts.allowed() {
            break GaveUp::Exhausted;
        }
    };
    accepted.log_gave_up(&attempts, gave_up, pipeline.clock.now());
    match last_failure {
        Some((head, body)) => pass_on(&head, body),
        None => attempts.answer(gave_up),
    }
}

fn choose(pipeline: &Pipeline, accepted: &Accepted, attempts: &Attempts) -> Option<Entry> {
    let ready = pipeline.known.ready(&accepted.service);
    let balancer = pipeline.balancer.lock();
    let now = pipeline.clock.now();
    let picked = balancer.pick(ready.iter(), attempts.excluded(), &pipeline.domain, now);
    picked.cloned()
}

async fn send(pipeline: &Pipeline, accepted: &Accepted, entry: &Entry, others_left: bool) -> Sent {
    let _running = Running::start(pipeline, entry.identity());
    let remaining = accepted.deadline.since(pipeline.clock.now());
    let sending = Sending {
        endpoint: &entry.name,
        workspace: accepted.workspace.as_ref(),
        remaining,
        resume_after: accepted.asked.resume_after.as_deref(),
        helpers: &[],
    };
    let request = accepted.outgoing(&*pipeline.dialect, &sending);
    let limit = if others_left {
        remaining.min(accepted.route.objective * SILENCE_OBJECTIVES)
    } else {
        remaining
    };
    let exchange = async {
        let exchange = pipeline.dialer.send(entry.address, request).await?;
        let id = accepted.asked.id.as_deref();
        let head = &exchange.head;
        let answered = pipeline.dialect.answered(id, head.status, &head.headers);
        if answered == Answered::Foreign {
            // The connection is dropped with the answer, which belongs to another request.
            return Err(Failure::Uncertain(
                "the answer is not to this request".to_owned(),
            ));
        }
        let (head, body) = exchange.collect(ANSWER_BYTES).await?;
        Ok((answered, head, body))
    };
    match timeout(limit, exchange).await {
        Ok(Ok((answered, head, body))) => judge(answered, head, body),
        Ok(Err(Failure::Unsent(reason))) => Sent::Unsent(reason),
        Ok(Err(Failure::Uncertain(reason))) => Sent::Uncertain(reason),
        Err(_) => {
            pipeline.dialer.reset(entry.address);
            Sent::Uncertain("no answer in time".to_owned())
        }
    }
}

fn judge(answered: Answered, head: response::Parts, body: bytes::Bytes) -> Sent {
    match answered {
        Answered::Foreign => Sent::Uncertain(FOREIGN.to_owned()),
        Answered::NotRun(_) => Sent::NotRun,
        Answered::Unsigned => Sent::Uncertain(UNSIGNED.to_owned()),
        Answered::Genuine if head.status.is_server_error() => Sent::Failed(head, body),
        Answered::Genuine => Sent::Answer(head, body),
    }
}

/// Keeps the endpoint's standing and logs what was not a good answer.
fn note(pipeline: &Pipeline, accepted: &Accepted, entry: &Entry, sent: &Sent) {
    let now = pipeline.clock.now();
    let judge = |how| pipeline.balancer.lock().record(entry.identity(), how, now);
    let (outcome, reason) = match sent {
        Sent::Answer(..) => return judge(Observation::Succeeded),
        Sent::Failed(head, _) => {
            judge(Observation::Failed);
            ("failed", head.status.to_string())
        }
        Sent::NotRun => ("not_run", String::new()),
        Sent::Unsent(reason) => {
            judge(Observation::Unresponsive);
            ("unsent", reason.clone())
        }
        Sent::Uncertain(reason) => {
            judge(Observation::Failed);
            ("uncertain", reason.clone())
        }
    };
    observe::sent(outcome);
    log::info!(
        "event=send request={} endpoint={} outcome={outcome} reason=\"{reason}\"",
        accepted.id(),
        entry.name
    );
}

/// The endpoint's answer as the client gets it.
pub(crate) fn pass_on(head: &response::Parts, body: bytes::Bytes) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    if head.status == StatusCode::NO_CONTENT {
        *response.body_mut() = Body::Whole(None);
    }
    response
}
