//! Runs an idempotent request until its answer is complete, it is refused, or its time is up.

mod attempt;
mod forward;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use endpoint::Usage;
use kernel::attempt::{Attempts, Fault, Step};
use kernel::outcome::{Outcome, Refusal};
use kernel::prelude::*;
use kernel::request::{Attempt, Id};
use kernel::schedule::Job;
use shutdown::Stage;
use tokio::sync::mpsc;

use crate::shared::Shared;
use crate::trace::Span;
use crate::{exit, invariant, observe};

pub(crate) use forward::serve_forward;

/// Maximum number of items buffered for a slow caller.
const ITEM_CHANNEL_CAPACITY: usize = 256;
/// Maximum time for a caller to receive the last item.
const LAST_ITEM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time before the caller's deadline at which the node ends a request.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// An item that a running request delivers. The last one is `End` or `Refused`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Item {
    /// The index, from zero, and the text of an answer token.
    Token(u64, String),
    /// The answer is complete.
    End(Usage),
    /// The request ended without a complete answer; tokens may have been delivered before.
    Refused(Refusal),
}

/// An admitted idempotent request and its progress.
pub(crate) struct Work {
    /// Identifies the request in the journal.
    pub id: Id,
    /// Identifies the request in its attempts. It differs from `id` for a forwarded request, which
    /// may arrive twice, and for a deferred one, which may run twice.
    pub run_id: Id,
    pub workspace: Workspace,
    pub model: Model,
    pub adapter: Option<String>,
    pub prompt: String,
    /// Prefix hashes of the prompt, see [`kernel::cost::prefix_hashes`].
    pub prefix: Vec<u64>,
    pub prompt_tokens: u64,
    /// Maximum number of answer tokens, including those already delivered.
    pub answer_tokens: u64,
    /// Answer tokens that the caller already has.
    pub delivered: u64,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Whether the request is deferred: it yields to other requests.
    pub deferred: bool,
    /// Whether a node of another failure domain forwarded the request to this node.
    pub forwarded: bool,
    /// Failure domains that failed or refused the request when it was forwarded to them.
    pub avoid_domains: Vec<Domain>,
    /// Whether any part of the request may have been sent to an endpoint.
    pub sent: bool,
    pub span: Span,
}

impl Work {
    /// The job to submit for attempt `number`, avoiding the endpoints that failed before.
    fn job(&self, now: Instant, number: u32, avoid: &[Endpoint]) -> Job {
        Job {
            attempt: Attempt {
                request: self.run_id,
                number,
            },
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            prompt_tokens: self.prompt_tokens + self.delivered,
            answer_tokens: self.answer_tokens.saturating_sub(self.delivered),
            prefix: self.prefix.clone(),
            remaining: self.deadline.since(now),
            waited: now.since(self.arrived),
            deferred: self.deferred,
            avoid: avoid.to_vec(),
        }
    }
}

/// The reason why an attempt ended without a complete answer.
enum Failure {
    /// The request is refused and not retried.
    Refused(Refusal),
    /// The attempt failed, at this endpoint if it is known; a retry may succeed.
    Fault(Fault, Option<Endpoint>),
    /// The caller closed the item channel.
    CallerGone,
    /// The node shuts down.
    ShuttingDown,
}

impl From<endpoint::Error> for Failure {
    fn from(error: endpoint::Error) -> Self {
        match error {
            endpoint::Error::Failed(fault, _) => Self::Fault(fault, None),
            endpoint::Error::Refused(reason) => {
                let remedy = "correct the request".to_owned();
                Self::Refused(Refusal::Invalid(reason, remedy))
            }
        }
    }
}

/// Starts a request and returns the channel of its items; closing the channel cancels the request.
///
/// `permit` is held until the request has ended.
pub(crate) fn start(
    shared: &Arc<Shared>,
    work: Work,
    permit: impl Send + 'static,
) -> mpsc::Receiver<Item> {
    let (sink, items) = mpsc::channel(ITEM_CHANNEL_CAPACITY);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        run(&shared, work, sink).await;
        drop(permit);
    });
    items
}

/// Runs a request within its deadline and sends the last item, unless the caller is gone.
async fn run(shared: &Arc<Shared>, mut work: Work, sink: mpsc::Sender<Item>) {
    let timeout = work
        .deadline
        .since(shared.now())
        .saturating_sub(DEADLINE_MARGIN);
    let id = work.id;
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout(timeout, run_attempts(shared, &mut work, &sink)) => result,
        () = sink.closed() => Ok(Err(Failure::CallerGone)),
        () = shared.shutdown.wait_until(Stage::Ending) => Ok(Err(Failure::ShuttingDown)),
    };
    let last = match result {
        Ok(Ok(usage)) => Item::End(usage),
        Ok(Err(Failure::CallerGone)) => {
            shared.record(id, "caller_gone", format!("delivered={}", work.delivered));
            observe::count_request("caller_gone");
            return;
        }
        Ok(Err(Failure::ShuttingDown)) if work.sent => Item::Refused(exit::interrupted()),
        Ok(Err(Failure::ShuttingDown)) => Item::Refused(exit::not_run()),
        Ok(Err(Failure::Refused(refusal))) => Item::Refused(correct_outcome(refusal, work.sent)),
        Ok(Err(Failure::Fault(fault, _))) => {
            Item::Refused(Refusal::Exhausted(1, fault.as_str().to_owned()))
        }
        Err(_) => Item::Refused(Refusal::TimedOut(Outcome::Failed)),
    };
    record_end(shared, &work, &last);
    // The caller may be gone or may not read, so a failed or timed-out send is ignored.
    let _ = tokio::time::timeout(LAST_ITEM_TIMEOUT, sink.send(last)).await;
}

/// Replaces a refusal whose outcome is `not_run` if the request was sent, since it may have run.
fn correct_outcome(refusal: Refusal, sent: bool) -> Refusal {
    if sent && refusal.outcome() == Outcome::NotRun {
        return Refusal::Exhausted(1, refusal.code().to_owned());
    }
    refusal
}

/// Records the end of a request in the metrics, the trace and the journal.
fn record_end(shared: &Shared, work: &Work, last: &Item) {
    let now = shared.now();
    invariant::check(now <= work.deadline, || {
        format!(
            "request {} ended {:?} after its deadline",
            work.id,
            now.since(work.deadline)
        )
    });
    let code = match last {
        Item::Refused(refusal) => refusal.code(),
        _ => "whole",
    };
    observe::count_request(code);
    work.span.set_attribute("outcome", code);
    let took = now.since(work.arrived).as_millis();
    let reason = match last {
        Item::Refused(refusal) => format!("took_ms={took} reason={refusal}"),
        _ => format!("took_ms={took} tokens={}", work.delivered),
    };
    shared.record(work.id, code, reason);
}

/// Runs attempts until one delivers the rest of the answer, the request is refused, or no retry is
/// left.
async fn run_attempts(
    shared: &Arc<Shared>,
    work: &mut Work,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Failure> {
    let mut attempts = if work.forwarded {
        Attempts::forwarded(work.deadline)
    } else {
        Attempts::new(work.deadline)
    };
    let mut avoid = Vec::new();
    loop {
        let number = attempts.start(&mut shared.tables.budget.lock());
        let failure = match attempt::run(shared, work, number, &avoid, sink).await {
            Ok(usage) => return Ok(usage),
            Err(failure) => failure,
        };
        let Failure::Fault(fault, endpoint) = failure else {
            return Err(failure);
        };
        observe::count_fault(fault.as_str());
        let endpoint_name = endpoint.as_ref().map_or("none", Endpoint::as_str);
        let reason = format!(
            "number={number} fault={} endpoint={endpoint_name} delivered={}",
            fault.as_str(),
            work.delivered
        );
        shared.record(work.id, "attempt_failed", reason);
        avoid.extend(endpoint);
        let now = shared.now();
        let step = shared.with_random(|random| {
            attempts.next_step(now, fault, &mut shared.tables.budget.lock(), random)
        });
        match step {
            Step::Retry(wait) => tokio::time::sleep(wait).await,
            Step::End(refusal) => return Err(Failure::Refused(refusal)),
        }
    }
}
