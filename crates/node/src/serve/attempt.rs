//! One attempt of a request, on engines of this failure domain or at a node of another one.

use std::sync::Arc;
use std::time::Duration;

use endpoint::Usage;
use kernel::attempt::Fault;
use kernel::outcome::{Outcome, Refusal};
use kernel::prelude::*;
use kernel::schedule::Grant;
use shutdown::Stage;
use tokio::sync::mpsc;

use super::forward::{better_domain, forward, other_domain};
use super::{Failure, Item, Work, stream};
use crate::dispatch::{self, Denial, Ticket};
use crate::shared::Shared;

/// Maximum time that a request waits for an engine if none is known and it cannot spill.
const ENGINE_WAIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two requests for an engine.
const ENGINE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks for a better failure domain while a request is queued.
const SPILL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs one attempt.
///
/// The request is forwarded to another failure domain if that is predicted to be faster, before or
/// while the request is queued here, or if the pool of this failure domain refuses it. A request
/// that was itself forwarded stays here.
pub(super) async fn run(
    shared: &Arc<Shared>,
    work: &mut Work,
    number: u32,
    avoid: &[Endpoint],
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Failure> {
    let sent = work.sent;
    if !sent && shared.shutdown.has_reached(Stage::Closing) {
        return Err(Failure::ShuttingDown);
    }
    if !work.forwarded
        && let Some(domain) = better_domain(shared, work)
        && let Some(result) = spill(shared, work, &domain, sink).await
    {
        return result;
    }
    let grant_result = tokio::select! {
        grant_result = wait_for_grant(shared, work, number, avoid) => grant_result,
        domain = wait_for_better_domain(shared, work) => {
            shared.record(work.id, "spilled", format!("domain={domain} reason=waits"));
            let spilled = spill(shared, work, &domain, sink).await;
            return spilled.unwrap_or(Err(Failure::Fault(Fault::Unreachable, None)));
        }
        () = shared.shutdown.wait_until(Stage::Closing), if !sent => {
            return Err(Failure::ShuttingDown);
        }
    };
    match grant_result {
        Ok((grant, ticket)) => stream::run(shared, work, &grant, ticket, sink).await,
        Err(Failure::Refused(refusal)) if !work.forwarded => {
            let Some(domain) = other_domain(shared, work) else {
                return Err(Failure::Refused(refusal));
            };
            let reason = format!("domain={domain} reason={refusal}");
            shared.record(work.id, "spilled", reason);
            let spilled = spill(shared, work, &domain, sink).await;
            spilled.unwrap_or(Err(Failure::Refused(refusal)))
        }
        Err(failure) => Err(failure),
    }
}

/// Forwards the request to another failure domain; returns `None` if nothing ran there.
///
/// From then on, the request avoids a domain that failed or refused it.
async fn spill(
    shared: &Arc<Shared>,
    work: &mut Work,
    domain: &Domain,
    sink: &mpsc::Sender<Item>,
) -> Option<Result<Usage, Failure>> {
    let had_sent = std::mem::replace(&mut work.sent, true);
    let result = forward(shared, work, domain, sink).await;
    let not_run = match &result {
        Err(Failure::Refused(refusal)) => refusal.outcome() == Outcome::NotRun,
        Err(Failure::Fault(fault, _)) => *fault == Fault::Unreachable,
        _ => false,
    };
    work.sent = had_sent || !not_run;
    if matches!(result, Err(Failure::Refused(_) | Failure::Fault(..))) {
        work.avoid_domains.push(domain.clone());
    }
    if !not_run {
        return Some(result);
    }
    shared.record(work.id, "spill_failed", format!("domain={domain}"));
    None
}

/// Waits until the pool of this failure domain grants an engine or a gang.
async fn wait_for_grant(
    shared: &Arc<Shared>,
    work: &Work,
    number: u32,
    avoid: &[Endpoint],
) -> Result<(Grant, Ticket), Failure> {
    let started = shared.now();
    let span = shared.tracing.client_span("queue", &work.span);
    loop {
        let now = shared.now();
        let job = work.job(now, number, avoid);
        let denial = match dispatch::request_grant(shared, job).await {
            Ok((grant, ticket)) => {
                let waited = shared.now().since(started);
                let names: Vec<_> = grant.endpoints.iter().map(Endpoint::as_str).collect();
                let names = names.join("+");
                span.set_attribute("endpoint", names.clone());
                let reason = format!(
                    "number={number} endpoint={names} waited_ms={} predicted_ms={} priority={}",
                    waited.as_millis(),
                    grant.predicted.as_millis(),
                    grant.priority
                );
                shared.record(work.id, "granted", reason);
                return Ok((grant, ticket));
            }
            Err(denial) => denial,
        };
        let can_spill = !work.forwarded && other_domain(shared, work).is_some();
        let keep_waiting = !can_spill && shared.now().since(started) < ENGINE_WAIT_TIMEOUT;
        match denial {
            Denial::OwnerLost => {}
            Denial::Refused(Refusal::Unavailable(..)) if keep_waiting => {}
            Denial::Refused(refusal) => return Err(Failure::Refused(refusal)),
        }
        tokio::time::sleep(ENGINE_RETRY_INTERVAL).await;
    }
}

/// Waits until another failure domain is predicted to be faster for a queued request.
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
