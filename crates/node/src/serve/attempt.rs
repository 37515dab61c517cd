//! One attempt of a request: an engine of this failure domain, or a node of another.

use std::sync::Arc;
use std::time::Duration;

use endpoint::Usage;
use kernel::attempt::Fault;
use kernel::outcome::{Outcome, Refusal};
use kernel::prelude::*;
use kernel::schedule::Grant;
use tokio::sync::mpsc;

use super::forward::{better_domain, forward, other_domain};
use super::{Failure, Item, Work, stream};
use crate::dispatch::{self, Denied, Ticket};
use crate::shared::Shared;

/// How long a request waits for an engine to appear where none is known.
const ENGINE_WAIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two looks for an engine.
const ENGINE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks for a better failure domain while a request waits.
const SPILL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs one attempt, here or in another failure domain.
pub(super) async fn run(
    shared: &Arc<Shared>,
    work: &mut Work,
    number: u32,
    avoid: &[Endpoint],
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Failure> {
    if !work.forwarded
        && let Some(domain) = better_domain(shared, work)
        && let Some(result) = spill(shared, work, &domain, sink).await
    {
        return result;
    }
    let grant_result = tokio::select! {
        grant_result = wait_for_grant(shared, work, number, avoid) => grant_result,
        domain = wait_for_better_domain(shared, work) => {
            shared.note(work.id, "spilled", format!("domain={domain} reason=waits"));
            let spilled = spill(shared, work, &domain, sink).await;
            return spilled.unwrap_or(Err(Failure::Fault(Fault::Unreachable, None)));
        }
    };
    match grant_result {
        Ok((grant, ticket)) => stream::run(shared, work, &grant, ticket, sink).await,
        Err(Failure::Refused(refusal)) if !work.forwarded => {
            let Some(domain) = other_domain(shared, work) else {
                return Err(Failure::Refused(refusal));
            };
            let reason = format!("domain={domain} reason={refusal}");
            shared.note(work.id, "spilled", reason);
            let spilled = spill(shared, work, &domain, sink).await;
            spilled.unwrap_or(Err(Failure::Refused(refusal)))
        }
        Err(failure) => Err(failure),
    }
}

/// Lets another failure domain run the request; `None` when nothing ran there.
///
/// A domain that could not be used is avoided from then on.
async fn spill(
    shared: &Arc<Shared>,
    work: &mut Work,
    domain: &Domain,
    sink: &mpsc::Sender<Item>,
) -> Option<Result<Usage, Failure>> {
    let result = forward(shared, work, domain, sink).await;
    let not_run = match &result {
        Err(Failure::Refused(refusal)) => refusal.outcome() == Outcome::NotRun,
        Err(Failure::Fault(fault, _)) => *fault == Fault::Unreachable,
        _ => false,
    };
    work.sent |= !not_run;
    if matches!(result, Err(Failure::Refused(_) | Failure::Fault(..))) {
        work.avoid_domains.push(domain.clone());
    }
    if !not_run {
        return Some(result);
    }
    shared.note(work.id, "spill_failed", format!("domain={domain}"));
    None
}

/// Waits for an engine of this failure domain.
async fn wait_for_grant(
    shared: &Arc<Shared>,
    work: &Work,
    number: u32,
    avoid: &[Endpoint],
) -> Result<(Grant, Ticket), Failure> {
    let started = shared.now();
    let span = shared.tracing.child("queue", &work.span);
    loop {
        let now = shared.now();
        let job = work.job(now, number, avoid);
        let denied = match dispatch::request(shared, job).await {
            Ok((grant, ticket)) => {
                let waited = shared.now().since(started);
                let names: Vec<_> = grant.endpoints.iter().map(Endpoint::as_str).collect();
                let names = names.join("+");
                span.set("endpoint", names.clone());
                let reason = format!(
                    "number={number} endpoint={names} waited_ms={} predicted_ms={} priority={}",
                    waited.as_millis(),
                    grant.predicted.as_millis(),
                    grant.priority
                );
                shared.note(work.id, "granted", reason);
                return Ok((grant, ticket));
            }
            Err(denied) => denied,
        };
        let can_spill = !work.forwarded && other_domain(shared, work).is_some();
        let keep_waiting = !can_spill && shared.now().since(started) < ENGINE_WAIT_TIMEOUT;
        match denied {
            Denied::OwnerLost => {}
            Denied::Refused(Refusal::Unavailable(..)) if keep_waiting => {}
            Denied::Refused(refusal) => return Err(Failure::Refused(refusal)),
        }
        tokio::time::sleep(ENGINE_RETRY_INTERVAL).await;
    }
}

/// Waits until another failure domain is predicted to be faster for a request that waits here.
async fn wait_for_better_domain(shared: &Shared, work: &Work) -> Domain {
    loop {
        tokio::time::sleep(SPILL_CHECK_INTERVAL).await;
        if !work.forwarded
            && let Some(domain) = better_domain(shared, work)
        {
            return domain;
        }
    }
}
