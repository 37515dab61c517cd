//! Calls of plain services: repeatable ones are retried, the others run at most once.

use std::sync::Arc;
use std::time::Duration;

use endpoint::{CallError, Client, Service as ServiceClient};
use kernel::claim::{Answer, Claim, Record, Verdict};
use kernel::outcome::{Outcome, Refusal};
use kernel::prelude::*;
use kernel::request::{Attempt, Id};
use sha2::{Digest, Sha256};
use wire::Frame;

use crate::claims::Written;
use crate::shared::Shared;
use crate::{follow, invariant, peer};

/// Time between two looks at a claim that another attempt holds.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Longest wait for a claim to be read back.
const READ_BACK: Duration = Duration::from_secs(3);
/// How long a refused caller should wait for the log.
const LOG_RETRY: Duration = Duration::from_secs(5);
/// The node ends a call this long before the caller's time limit.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// An admitted call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub id: Id,
    pub workspace: Workspace,
    pub service: Service,
    pub name: String,
    pub key: String,
    pub body: String,
    pub deadline: Instant,
    /// Whether another failure domain sent the call here.
    pub forwarded: bool,
}

impl Call {
    /// The key's name on the log, unique over workspaces, services and calls.
    fn claim_key(&self) -> String {
        format!(
            "{}/{}/{}/{}",
            self.workspace, self.service, self.name, self.key
        )
    }

    fn body_digest(&self) -> String {
        hex::encode(Sha256::digest(self.body.as_bytes()))
    }
}

/// Makes a call and returns the service's answer.
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
    let services = services(shared, &call.service);
    if services.is_empty() {
        return elsewhere(shared, &call, entry.repeatable).await;
    }
    if entry.repeatable {
        repeat(shared, &call, &services).await
    } else {
        once(shared, &call, &services).await
    }
}

/// The service's endpoints in this failure domain.
fn services(shared: &Shared, name: &Service) -> Vec<Arc<dyn ServiceClient>> {
    let lists = shared.tables.lists();
    let named = lists
        .endpoints(&shared.domain)
        .filter(|entry| entry.service.as_deref() == Some(name.as_str()));
    named
        .filter_map(|entry| match shared.clients.get(entry) {
            Some(Client::Service(service)) => Some(service),
            _ => None,
        })
        .collect()
}

/// Lets a node of a failure domain that has the service make the call.
async fn elsewhere(shared: &Arc<Shared>, call: &Call, repeatable: bool) -> Result<Answer, Refusal> {
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
        let mut having = live.filter(|member| {
            let mut endpoints = lists.endpoints(&member.domain);
            endpoints.any(|entry| entry.service.as_deref() == Some(call.service.as_str()))
        });
        having.find_map(peer::address)
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
    // From here on the call may run.
    let unanswered = || {
        if repeatable {
            Refusal::Exhausted(1, "no answer".to_owned())
        } else {
            Refusal::Unknown(call.key.clone())
        }
    };
    let sent = connection.send(&Frame::Call(Box::new(frame))).await;
    sent.map_err(|_| unanswered())?;
    match connection
        .receive(remaining.saturating_sub(DEADLINE_MARGIN))
        .await
    {
        Ok(Frame::Answer(status, body)) => Ok(Answer { status, body }),
        Ok(Frame::Refused(refusal)) => Err(refusal),
        Ok(_) | Err(_) => Err(unanswered()),
    }
}

/// Makes a call for a node of another failure domain.
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

fn remaining(shared: &Shared, call: &Call) -> Duration {
    call.deadline
        .since(shared.now())
        .saturating_sub(DEADLINE_MARGIN)
}

/// Makes a repeatable call, trying the endpoints in turn.
async fn repeat(
    shared: &Shared,
    call: &Call,
    services: &[Arc<dyn ServiceClient>],
) -> Result<Answer, Refusal> {
    let first = usize::try_from(call.id.sequence).unwrap_or(0);
    let tries = services.len() + 1;
    for number in 0..tries {
        let left = remaining(shared, call);
        if left.is_zero() {
            return Err(Refusal::TimedOut(Outcome::Failed));
        }
        let limit = left.div_f64(f64::from(u32::try_from(tries - number).unwrap_or(1)));
        let service = &services[(first + number) % services.len()];
        let body = bytes::Bytes::from(call.body.clone());
        match service.call(&call.name, &call.key, body, limit).await {
            Ok(answer) if answer.status < 500 => return Ok(answer),
            Ok(_) | Err(_) => shared.note(call.id, "call_failed", format!("number={number}")),
        }
    }
    let tries = u32::try_from(tries).unwrap_or(u32::MAX);
    Err(Refusal::Exhausted(tries, "no answer".to_owned()))
}

/// Makes a call that may not be repeated: claims its key, then sends it once.
async fn once(
    shared: &Arc<Shared>,
    call: &Call,
    services: &[Arc<dyn ServiceClient>],
) -> Result<Answer, Refusal> {
    if call.key.is_empty() {
        let what = format!(
            "call {:?} may not be repeated and has no idempotency key",
            call.name
        );
        return Err(Refusal::Invalid(
            what,
            "send a key of your own in the Idempotency-Key header".to_owned(),
        ));
    }
    if !follow::claims_current(shared) {
        let what = "the log cannot be read, and the call may not run without it".to_owned();
        return Err(Refusal::Unavailable(what, LOG_RETRY));
    }
    let attempt = Attempt {
        request: call.id,
        number: 1,
    };
    let key = call.claim_key();
    if shared.tables.book.lock().is_free(&key) {
        claim(shared, call, &key, attempt).await?;
    }
    match settled(shared, call, &key, attempt).await? {
        Verdict::Won => send(shared, call, &key, attempt, services).await,
        Verdict::Ended(answer) => {
            shared.note(call.id, "replayed", format!("key={key}"));
            Ok(answer)
        }
        Verdict::Conflict => Err(Refusal::Conflict(call.key.clone())),
        _ => Err(Refusal::Unknown(call.key.clone())),
    }
}

/// Appends a claim and waits until some claim of the key has been read back.
async fn claim(
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
    shared.note(call.id, "claiming", format!("key={key}"));
    let deadline = tokio::time::Instant::now() + READ_BACK.min(left);
    let written = shared.tables.outbox.claim(record);
    let written = tokio::time::timeout_at(deadline, written).await;
    if matches!(written, Ok(Ok(Written::Perhaps)))
        && follow::claim_read(shared, key, &call.body_digest(), attempt, deadline).await
    {
        return Ok(());
    }
    // Nothing was sent and nothing will be: take the claim back, should it stand on the log.
    shared.tables.outbox.settle(Record::Abandon {
        key: key.to_owned(),
        attempt,
    });
    let what = "the claim could not be written to the log".to_owned();
    Err(Refusal::Unavailable(what, LOG_RETRY))
}

/// Waits until the key is won, ended or unknown.
async fn settled(
    shared: &Arc<Shared>,
    call: &Call,
    key: &str,
    attempt: Attempt,
) -> Result<Verdict, Refusal> {
    let body = call.body_digest();
    let deadline = tokio::time::Instant::now() + remaining(shared, call);
    loop {
        let claimed = shared.claimed.notified();
        let now = shared.now();
        let verdict = shared.tables.book.lock().verdict(now, key, &body, attempt);
        match verdict {
            Verdict::Running(_) => {}
            Verdict::Free | Verdict::Pending => {
                // The claim that ran first was taken back: the caller may repeat the call.
                let what = "another claim of the key was taken back".to_owned();
                return Err(Refusal::Unavailable(what, Duration::from_secs(1)));
            }
            verdict => return Ok(verdict),
        }
        let until = deadline.min(tokio::time::Instant::now() + LOOK_AGAIN);
        let _ = tokio::time::timeout_at(until, claimed).await;
        if tokio::time::Instant::now() >= deadline {
            return Ok(Verdict::Unknown);
        }
    }
}

/// A call that may not be repeated leaves only under the claim that won.
fn check_won(shared: &Shared, call: &Call, key: &str, attempt: Attempt) {
    let now = shared.now();
    let body = call.body_digest();
    let verdict = shared.tables.book.lock().verdict(now, key, &body, attempt);
    invariant::check(verdict == Verdict::Won, || {
        format!("{key} is sent while its claim is {verdict:?}")
    });
}

/// Sends a claimed call; only an endpoint that got nothing is followed by another.
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
        if left.is_zero() {
            break;
        }
        check_won(shared, call, key, attempt);
        let service = &services[(first + number) % services.len()];
        let body = bytes::Bytes::from(call.body.clone());
        match service.call(&call.name, &call.key, body, left).await {
            Ok(answer) => {
                shared.tables.outbox.settle(Record::Outcome {
                    key: key.to_owned(),
                    attempt,
                    answer: answer.clone(),
                });
                return Ok(answer);
            }
            Err(CallError::NotSent) => {
                shared.note(call.id, "call_not_sent", format!("number={number}"));
            }
            Err(CallError::Uncertain) => {
                shared.note(call.id, "call_unknown", format!("key={key}"));
                return Err(Refusal::Unknown(call.key.clone()));
            }
        }
    }
    shared.tables.outbox.settle(Record::Abandon {
        key: key.to_owned(),
        attempt,
    });
    let what = format!(
        "no endpoint of service {:?} can be reached",
        call.service.as_str()
    );
    Err(Refusal::Unavailable(what, Duration::from_secs(2)))
}
