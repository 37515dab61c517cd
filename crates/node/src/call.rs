//! Calls to plain services. Repeatable calls are retried; all others run at most once.

use std::sync::Arc;
use std::time::Duration;

use endpoint::{CallError, Client, Service as ServiceClient};
use kernel::claim::{Answer, Claim, Record, Verdict};
use kernel::outcome::{Outcome, Refusal};
use kernel::prelude::*;
use kernel::request::{Attempt, Id};
use sha2::{Digest, Sha256};
use shutdown::Stage;
use wire::Frame;

use crate::claims::AppendOutcome;
use crate::shared::Shared;
use crate::{exit, follow, invariant, peer};

/// Longest time between two checks of a claim that another attempt holds.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time until an appended claim is read back from the log.
const CLAIM_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// `Retry-After` of calls refused because the log is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time before the caller's deadline at which the node ends a call.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// An admitted call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub id: Id,
    pub workspace: Workspace,
    pub service: Service,
    pub name: String,
    /// The caller's idempotency key; empty if it sent none.
    pub key: String,
    pub body: String,
    pub deadline: Instant,
    /// Whether a node of another failure domain forwarded the call to this node.
    pub forwarded: bool,
}

impl Call {
    /// The key of the claim on the log: unique across workspaces, services and calls.
    fn claim_key(&self) -> String {
        format!(
            "{}/{}/{}/{}",
            self.workspace, self.service, self.name, self.key
        )
    }

    /// The SHA-256 digest of the body, in hex.
    fn body_digest(&self) -> String {
        hex::encode(Sha256::digest(self.body.as_bytes()))
    }
}

/// Makes a call in this failure domain, or forwards it to another one if the service has no
/// endpoints here, and returns the service's answer.
pub(crate) async fn run(shared: &Arc<Shared>, call: Call) -> Result<Answer, Refusal> {
    let lists = shared.tables.lists();
    let Some(entry) = lists.call(&call.service, &call.name) else {
        let what = format!(
            "service {:?} has no call {:?}",
            call.service.as_str(),
            call.name
        );
        return Err(Refusal::NotFound(
            what,
            "correct the path or ask the operators to publish it".to_owned(),
        ));
    };
    // A call that may have run gets its outcome until the end.
    let is_new = entry.repeatable || shared.tables.claims.lock().is_free(&call.claim_key());
    if is_new && shared.shutdown.has_reached(Stage::Closing) {
        return Err(exit::not_run());
    }
    let services = local_services(shared, &call.service);
    if services.is_empty() {
        return forward(shared, &call, entry.repeatable).await;
    }
    if entry.repeatable {
        run_repeatable(shared, &call, &services).await
    } else {
        run_once(shared, &call, &services).await
    }
}

/// The clients of the service's endpoints in this failure domain.
fn local_services(shared: &Shared, name: &Service) -> Vec<Arc<dyn ServiceClient>> {
    let lists = shared.tables.lists();
    let entries = lists
        .endpoints(&shared.domain)
        .filter(|entry| entry.service.as_deref() == Some(name.as_str()));
    entries
        .filter_map(|entry| match shared.clients.get(entry) {
            Some(Client::Service(service)) => Some(service),
            _ => None,
        })
        .collect()
}

/// Forwards the call to a node of a failure domain that has endpoints of the service.
async fn forward(shared: &Arc<Shared>, call: &Call, repeatable: bool) -> Result<Answer, Refusal> {
    let what = || {
        format!(
            "no endpoint of service {:?} can be reached",
            call.service.as_str()
        )
    };
    let unavailable = || Refusal::Unavailable(what(), Duration::from_secs(2));
    if call.forwarded {
        return Err(unavailable());
    }
    let now = shared.now();
    let lists = shared.tables.lists();
    let target = {
        let members = shared.tables.members.lock();
        let live = members
            .live(now)
            .into_iter()
            .filter(|member| !member.leaving);
        let mut candidates = live.filter(|member| {
            let mut endpoints = lists.endpoints(&member.domain);
            endpoints.any(|entry| entry.service.as_deref() == Some(call.service.as_str()))
        });
        candidates.find_map(peer::address)
    };
    let target = target.ok_or_else(unavailable)?;
    let mut connection = shared
        .peers
        .connect(target)
        .await
        .map_err(|_| unavailable())?;
    let remaining = call.deadline.since(now);
    let frame = wire::Call {
        request: call.id,
        workspace: call.workspace.clone(),
        service: call.service.clone(),
        call: call.name.clone(),
        key: call.key.clone(),
        body: call.body.clone(),
        remaining: remaining.saturating_sub(DEADLINE_MARGIN),
    };
    // The call may run from here on, so a missing answer no longer means that it did not run.
    let unanswered = || {
        if repeatable {
            Refusal::Exhausted(1, "no answer".to_owned())
        } else {
            Refusal::Unknown(call.key.clone())
        }
    };
    let sent = connection.send(&Frame::Call(Box::new(frame))).await;
    sent.map_err(|_| unanswered())?;
    let response = connection.receive(remaining.saturating_sub(DEADLINE_MARGIN));
    match exit::until_ending(shared, response).await {
        Some(Ok(Frame::Answer(status, body))) => Ok(Answer { status, body }),
        Some(Ok(Frame::Refused(refusal))) => Err(refusal),
        Some(Ok(_) | Err(_)) | None => Err(unanswered()),
    }
}

/// Makes a call that a node of another failure domain forwarded.
pub(crate) async fn serve(shared: &Arc<Shared>, call: wire::Call) -> Frame {
    let call = Call {
        id: call.request,
        workspace: call.workspace,
        service: call.service,
        name: call.call,
        key: call.key,
        body: call.body,
        deadline: shared.now() + call.remaining,
        forwarded: true,
    };
    match run(shared, call).await {
        Ok(answer) => Frame::Answer(answer.status, answer.body),
        Err(refusal) => Frame::Refused(refusal),
    }
}

/// Time left until the node ends the call.
fn remaining(shared: &Shared, call: &Call) -> Duration {
    call.deadline
        .since(shared.now())
        .saturating_sub(DEADLINE_MARGIN)
}

/// Makes a repeatable call: tries the endpoints in turn, and splits the time left evenly between
/// the attempts that remain.
async fn run_repeatable(
    shared: &Shared,
    call: &Call,
    services: &[Arc<dyn ServiceClient>],
) -> Result<Answer, Refusal> {
    let first = usize::try_from(call.id.sequence).unwrap_or(0);
    let attempts = services.len() + 1;
    for number in 0..attempts {
        let left = remaining(shared, call);
        if left.is_zero() {
            return Err(Refusal::TimedOut(Outcome::Failed));
        }
        let timeout = left.div_f64(f64::from(u32::try_from(attempts - number).unwrap_or(1)));
        let service = &services[(first + number) % services.len()];
        let body = bytes::Bytes::from(call.body.clone());
        let answer = service.call(&call.name, &call.key, body, timeout);
        match exit::until_ending(shared, answer).await {
            Some(Ok(answer)) if answer.status < 500 => return Ok(answer),
            None => return Err(exit::interrupted()),
            Some(Ok(_) | Err(_)) => {
                shared.record(call.id, "call_failed", format!("number={number}"));
            }
        }
    }
    let attempts = u32::try_from(attempts).unwrap_or(u32::MAX);
    Err(Refusal::Exhausted(attempts, "no answer".to_owned()))
}

/// Makes a call that must not be repeated: claims its key on the log, then sends it once.
async fn run_once(
    shared: &Arc<Shared>,
    call: &Call,
    services: &[Arc<dyn ServiceClient>],
) -> Result<Answer, Refusal> {
    if call.key.is_empty() {
        let what = format!(
            "call {:?} is not repeatable and has no idempotency key",
            call.name
        );
        return Err(Refusal::Invalid(
            what,
            "send a key of your own in the Idempotency-Key header".to_owned(),
        ));
    }
    let deadline = tokio::time::Instant::now() + remaining(shared, call);
    let fresh = async { Ok(follow::wait_until_claims_fresh(shared, deadline).await) };
    if !exit::unless_closing(shared, fresh).await? {
        let what = "the log cannot be read, and the call may not run without it".to_owned();
        return Err(Refusal::Unavailable(what, LOG_RETRY_AFTER));
    }
    let attempt = Attempt {
        request: call.id,
        number: 1,
    };
    let key = call.claim_key();
    if shared.tables.claims.lock().is_free(&key) {
        append_claim(shared, call, &key, attempt).await?;
    }
    match wait_for_verdict(shared, call, &key, attempt).await? {
        Verdict::Won => send(shared, call, &key, attempt, services).await,
        Verdict::Ended(answer) => {
            shared.record(call.id, "replayed", format!("key={key}"));
            Ok(answer)
        }
        Verdict::Conflict => Err(Refusal::Conflict(call.key.clone())),
        _ => Err(Refusal::Unknown(call.key.clone())),
    }
}

/// Appends a claim and waits until a claim on the key, this one or another, is read back.
async fn append_claim(
    shared: &Arc<Shared>,
    call: &Call,
    key: &str,
    attempt: Attempt,
) -> Result<(), Refusal> {
    let left = remaining(shared, call);
    let record = Record::Claim(Claim {
        key: key.to_owned(),
        body: call.body_digest(),
        attempt,
        time_limit_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    });
    shared.record(call.id, "claiming", format!("key={key}"));
    let deadline = tokio::time::Instant::now() + CLAIM_READ_TIMEOUT.min(left);
    let outcome = shared.tables.outbox.append_once(record);
    let claimed = async {
        let outcome = tokio::time::timeout_at(deadline, outcome).await;
        let digest = call.body_digest();
        Ok(matches!(outcome, Ok(Ok(AppendOutcome::MaybeWritten)))
            && follow::wait_for_claim(shared, key, &digest, attempt, deadline).await)
    };
    let refusal = match exit::unless_closing(shared, claimed).await {
        Ok(true) => return Ok(()),
        Ok(false) => {
            let what = "the claim could not be written to the log".to_owned();
            Refusal::Unavailable(what, LOG_RETRY_AFTER)
        }
        Err(refusal) => refusal,
    };
    // The call is not sent. The claim may still be on the log, so it is abandoned.
    shared.tables.outbox.append_with_retry(Record::Abandon {
        key: key.to_owned(),
        attempt,
    });
    Err(refusal)
}

/// Waits while another attempt runs under the key, and returns the verdict on `attempt`.
///
/// Returns `Unknown` at the call's deadline, or shortly before the node exits, because the other attempt may
/// have run.
async fn wait_for_verdict(
    shared: &Arc<Shared>,
    call: &Call,
    key: &str,
    attempt: Attempt,
) -> Result<Verdict, Refusal> {
    let body = call.body_digest();
    let deadline = tokio::time::Instant::now() + remaining(shared, call);
    loop {
        let notified = shared.claims_notify.notified();
        let now = shared.now();
        let verdict = shared
            .tables
            .claims
            .lock()
            .verdict(now, key, &body, attempt);
        match verdict {
            Verdict::Running(_) => {}
            Verdict::Free | Verdict::Pending => {
                // The claim was abandoned before its call was sent, so the caller may repeat it.
                let what = "another claim on the key was abandoned".to_owned();
                return Err(Refusal::Unavailable(what, Duration::from_secs(1)));
            }
            verdict => return Ok(verdict),
        }
        let until = deadline.min(tokio::time::Instant::now() + CLAIM_POLL_INTERVAL);
        let notified = exit::until_ending(shared, tokio::time::timeout_at(until, notified)).await;
        if notified.is_none() || tokio::time::Instant::now() >= deadline {
            return Ok(Verdict::Unknown);
        }
    }
}

/// Checks the invariant that a call that must not be repeated is sent only if its claim won.
fn check_won(shared: &Shared, call: &Call, key: &str, attempt: Attempt) {
    let now = shared.now();
    let body = call.body_digest();
    let verdict = shared
        .tables
        .claims
        .lock()
        .verdict(now, key, &body, attempt);
    invariant::check(verdict == Verdict::Won, || {
        format!("call {key} is sent, but the verdict on its claim is {verdict:?}")
    });
}

/// Sends a claimed call and records its outcome.
///
/// Tries the next endpoint only if nothing was sent to the previous one. If no endpoint got the
/// call, the claim is abandoned.
async fn send(
    shared: &Arc<Shared>,
    call: &Call,
    key: &str,
    attempt: Attempt,
    services: &[Arc<dyn ServiceClient>],
) -> Result<Answer, Refusal> {
    let first = usize::try_from(call.id.sequence).unwrap_or(0);
    for number in 0..services.len() {
        let left = remaining(shared, call);
        if left.is_zero() || shared.shutdown.has_reached(Stage::Closing) {
            break;
        }
        check_won(shared, call, key, attempt);
        let service = &services[(first + number) % services.len()];
        let body = bytes::Bytes::from(call.body.clone());
        let answer = service.call(&call.name, &call.key, body, left);
        let answer = exit::until_ending(shared, answer).await;
        match answer.unwrap_or(Err(CallError::Uncertain)) {
            Ok(answer) => {
                shared.tables.outbox.append_with_retry(Record::Outcome {
                    key: key.to_owned(),
                    attempt,
                    answer: answer.clone(),
                });
                return Ok(answer);
            }
            Err(CallError::NotSent) => {
                shared.record(call.id, "call_not_sent", format!("number={number}"));
            }
            Err(CallError::Uncertain) => {
                shared.record(call.id, "call_unknown", format!("key={key}"));
                return Err(Refusal::Unknown(call.key.clone()));
            }
        }
    }
    shared.tables.outbox.append_with_retry(Record::Abandon {
        key: key.to_owned(),
        attempt,
    });
    if shared.shutdown.has_reached(Stage::Closing) {
        return Err(exit::not_run());
    }
    let what = format!(
        "no endpoint of service {:?} can be reached",
        call.service.as_str()
    );
    Err(Refusal::Unavailable(what, Duration::from_secs(2)))
}
