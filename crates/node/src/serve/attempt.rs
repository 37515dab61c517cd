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
use super::{Ended, Item, Work, stream};
use crate::dispatch::{self, Failure, Ticket};
use crate::shared::Shared;

/// How long a request waits for an engine to appear where none is known.
const ENGINE_WAIT: Duration = Duration::from_millis(1_500);
/// Time between two looks for an engine.
const ENGINE_RETRY: Duration = Duration::from_millis(100);
/// Time between two looks for a better failure domain while a request waits.
const SPILL_AGAIN: Duration = Duration::from_millis(250);

/// Runs one attempt, here or in another failure domain.
pub(super) async fn run(
    shared: &Arc<Shared>,
    work: &mut Work,
    number: u32,
    avoid: &[Endpoint],
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Ended> {
    if !work.forwarded
        && let Some(domain) = better_domain(shared, work)
        && let Some(ended) = spill(shared, work, &domain, sink).await
    {
        return ended;
    }
    let waited = tokio::select! {
        waited = granted(shared, work, number, avoid) => waited,
        domain = better_domain_later(shared, work) => {
            shared.record(work.id, "spilled", format!("domain={domain} reason=waits"));
            let spilled = spill(shared, work, &domain, sink).await;
            return spilled.unwrap_or(Err(Ended::Fault(Fault::Unreachable, None)));
        }
    };
    match waited {
        Ok((grant, ticket)) => stream::run(shared, work, &grant, ticket, sink).await,
        Err(Ended::Refused(refusal)) if !work.forwarded => {
            let Some(domain) = other_domain(shared, work) else {
                return Err(Ended::Refused(refusal));
            };
            let reason = format!("domain={domain} reason={refusal}");
            shared.record(work.id, "spilled", reason);
            let spilled = spill(shared, work, &domain, sink).await;
            spilled.unwrap_or(Err(Ended::Refused(refusal)))
        }
        Err(ended) => Err(ended),
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
) -> Option<Result<Usage, Ended>> {
    let ended = forward(shared, work, domain, sink).await;
    let nothing_ran = match &ended {
        Err(Ended::Refused(refusal)) => refusal.outcome() == Outcome::NotRun,
        Err(Ended::Fault(fault, _)) => *fault == Fault::Unreachable,
        _ => false,
    };
    work.sent |= !nothing_ran;
    if matches!(ended, Err(Ended::Refused(_) | Ended::Fault(..))) {
        work.avoid_domains.push(domain.clone());
    }
    if !nothing_ran {
        return Some(ended);
    }
    shared.record(work.id, "spill_failed", format!("domain={domain}"));
    None
}

/// Waits for an engine of this failure domain.
async fn granted(
    shared: &Arc<Shared>,
    work: &Work,
    number: u32,
    avoid: &[Endpoint],
) -> Result<(Grant, Ticket), Ended> {
    let started = shared.now();
    let span = shared.tracing.client_span("queue", &work.span);
    loop {
        let now = shared.now();
        let job = work.job(now, number, avoid);
        let denied = match dispatch::request_grant(shared, job).await {
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
            Err(denied) => denied,
        };
        let elsewhere = !work.forwarded && other_domain(shared, work).is_some();
        let patient = !elsewhere && shared.now().since(started) < ENGINE_WAIT;
        match denied {
            Failure::OwnerLost => {}
            Failure::Refused(Refusal::Unavailable(..)) if patient => {}
            Failure::Refused(refusal) => return Err(Ended::Refused(refusal)),
        }
        tokio::time::sleep(ENGINE_RETRY).await;
    }
}

/// Waits until another failure domain is predicted to be faster for a request that waits here.
async fn better_domain_later(shared: &Shared, work: &Work) -> Domain {
    loop {
        tokio::time::sleep(SPILL_AGAIN).await;
        if !work.forwarded
            && let Some(domain) = better_domain(shared, work)
        {
            return domain;
        }
    }
}
