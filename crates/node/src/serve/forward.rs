//! Forwards requests to other failure domains, and runs requests forwarded from them.

use std::sync::Arc;
use std::time::Duration;

use endpoint::Usage;
use kernel::attempt::{self, Fault};
use kernel::cost;
use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::schedule::Summary;
use tokio::sync::mpsc;
use wire::stream::Connection;
use wire::{Error, Forward, Frame};

use super::stream::deliver_token;
use super::{Failure, Item, Work, start};
use crate::peer;
use crate::shared::{Running, Shared};

/// Maximum length of a short prompt when pools are compared.
const MAX_SHORT_TOKENS: u64 = 8_000;
/// Longer prompts may always spill: they are too few to overload the other failure domain.
const UNTHROTTLED_SPILL_TOKENS: u64 = 32_000;
/// Interval between keepalive frames on a forwarded request.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the wait that the summary of a pool predicts for the request.
fn predicted_wait(summary: &Summary, work: &Work) -> Duration {
    if work.prompt_tokens <= MAX_SHORT_TOKENS {
        summary.short_wait
    } else {
        summary.long_wait
    }
}

/// Returns the failure domain and summary of the remote pool with the shortest predicted wait, and
/// with the most idle engines among equals.
fn best_remote_pool(shared: &Shared, work: &Work) -> Option<(Domain, Summary)> {
    let summaries = shared.tables.pool_summaries.lock();
    summaries
        .values()
        .filter(|entry| entry.model == work.model && entry.domain != shared.domain)
        .filter(|entry| !work.avoid_domains.contains(&entry.domain))
        .filter(|entry| entry.summary.engines > 0)
        .map(|entry| (entry.domain.clone(), entry.summary))
        .min_by_key(|(_, summary)| {
            (
                predicted_wait(summary, work),
                std::cmp::Reverse(summary.idle),
            )
        })
}

/// Returns another failure domain that is better for the request.
///
/// The predicted wait here must exceed the sum of the spill gain and twice the wait there, or the
/// prompt is long, no engine is idle here, and at least two are idle there.
pub(super) fn better_domain(shared: &Shared, work: &Work) -> Option<Domain> {
    let gain = Duration::from_millis(shared.settings.routing.spill_gain_ms);
    let (domain, remote) = best_remote_pool(shared, work)?;
    let local = {
        let summaries = shared.tables.pool_summaries.lock();
        let pool = summaries.get(&(shared.domain.clone(), work.model.clone()));
        pool.map(|entry| entry.summary)
            .filter(|summary| summary.engines > 0)
    }?;
    // Only every second request may spill, so that the nodes do not all overload one domain.
    let may_spill =
        work.id.sequence.is_multiple_of(2) || work.prompt_tokens > UNTHROTTLED_SPILL_TOKENS;
    let faster =
        predicted_wait(&local, work) > predicted_wait(&remote, work).saturating_mul(2) + gain;
    let long = work.prompt_tokens > MAX_SHORT_TOKENS;
    let only_remote_idle = long && local.idle == 0 && remote.idle > 1;
    (may_spill && (faster || only_remote_idle)).then_some(domain)
}

/// Returns the best other failure domain with engines for the request, whatever the wait there.
pub(super) fn other_domain(shared: &Shared, work: &Work) -> Option<Domain> {
    best_remote_pool(shared, work).map(|(domain, _)| domain)
}

/// Forwards the request to a node of `domain` and delivers the tokens that the node returns.
pub(super) async fn forward(
    shared: &Arc<Shared>,
    work: &mut Work,
    domain: &Domain,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Failure> {
    let span = shared.tracing.client_span("forward", &work.span);
    let now = shared.now();
    let target = {
        let members = shared.tables.members.lock();
        let nodes = members.live_in(now, domain);
        let nodes: Vec<_> = nodes.into_iter().filter(|node| !node.leaving).collect();
        let position = usize::try_from(work.id.sequence).unwrap_or(0);
        nodes
            .get(position % nodes.len().max(1))
            .and_then(|node| peer::address(node))
    };
    let unreachable = || Failure::Fault(Fault::Unreachable, None);
    let mut connection = shared
        .peers
        .connect(target.ok_or_else(unreachable)?)
        .await
        .map_err(|_| unreachable())?;
    let forward = Forward {
        request: work.id,
        workspace: work.workspace.clone(),
        model: work.model.clone(),
        adapter: work.adapter.clone(),
        prompt: work.prompt.clone(),
        delivered: work.delivered,
        answer_tokens: work.answer_tokens,
        remaining: work.deadline.since(now),
        trace: span.header(),
    };
    shared.record(work.id, "forwarded", format!("domain={domain}"));
    let sent = connection.send(&Frame::Forward(Box::new(forward))).await;
    sent.map_err(|_| unreachable())?;
    loop {
        let timeout = attempt::progress_timeout(work.deadline.since(shared.now()));
        match connection.receive(timeout).await {
            Ok(Frame::Waiting) => {}
            Ok(Frame::Token(index, text)) => deliver_token(shared, work, index, text, sink).await?,
            Ok(Frame::End(prompt_tokens, answer_tokens, cached_tokens)) => {
                if answer_tokens != work.delivered {
                    return Err(Failure::Fault(Fault::Truncated, None));
                }
                return Ok(Usage {
                    prompt_tokens,
                    answer_tokens,
                    cached_tokens,
                });
            }
            Ok(Frame::Refused(Refusal::Exhausted(attempts, _))) => {
                return Err(Failure::Fault(Fault::Forwarded(attempts), None));
            }
            Ok(Frame::Refused(refusal)) => return Err(Failure::Refused(refusal)),
            Ok(_) => return Err(Failure::Fault(Fault::Truncated, None)),
            Err(Error::TimedOut) => return Err(Failure::Fault(Fault::Silent, None)),
            Err(_) => return Err(Failure::Fault(Fault::Broken, None)),
        }
    }
}

/// Runs a request that a node of another failure domain forwarded, until it ends.
pub(crate) async fn serve_forward(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    forward: Forward,
) -> Result<(), Error> {
    let running = Running::try_start(shared).filter(|_| shared.ready());
    let Some(running) = running else {
        const RETRY_AFTER: Duration = Duration::from_secs(1);
        let refusal =
            Refusal::Unavailable("the node does not accept requests".to_owned(), RETRY_AFTER);
        return connection.send(&Frame::Refused(refusal)).await;
    };
    let mut items = start(shared, forwarded_work(shared, forward), running);
    loop {
        let frame = tokio::select! {
            item = items.recv() => match item {
                Some(Item::Token(index, text)) => Frame::Token(index, text),
                Some(Item::End(usage)) => {
                    let end = Frame::End(usage.prompt_tokens, usage.answer_tokens, usage.cached_tokens);
                    return connection.send(&end).await;
                }
                Some(Item::Refused(refusal)) => {
                    return connection.send(&Frame::Refused(refusal)).await;
                }
                None => return Err(Error::Closed),
            },
            // The peer sends nothing after the request, so any frame or error cancels it.
            frame = connection.receive(KEEPALIVE_INTERVAL) => match frame {
                Err(Error::TimedOut) => Frame::Waiting,
                Ok(_) | Err(_) => return Err(Error::Closed),
            },
        };
        connection.send(&frame).await?;
    }
}

/// Creates the `Work` of a forwarded request.
fn forwarded_work(shared: &Shared, forward: Forward) -> Work {
    let now = shared.now();
    Work {
        id: forward.request,
        run_id: shared.next_id(),
        workspace: forward.workspace,
        model: forward.model,
        adapter: forward.adapter,
        prefix: cost::prefix_hashes(&forward.prompt),
        prompt_tokens: cost::estimate_tokens(forward.prompt.len()),
        prompt: forward.prompt,
        answer_tokens: forward.answer_tokens,
        delivered: forward.delivered,
        arrived: now,
        deadline: now + forward.remaining,
        deferred: false,
        forwarded: true,
        avoid_domains: Vec::new(),
        sent: false,
        span: shared.tracing.server_span("forwarded", &forward.trace),
    }
}
