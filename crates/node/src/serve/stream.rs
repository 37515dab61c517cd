//! Runs a granted attempt on its engine or gang, and delivers the tokens to the caller.

use std::sync::Arc;

use endpoint::{Client, Engine, EngineRequest, Event, Stream, Usage};
use kernel::attempt::{self, Fault};
use kernel::prelude::*;
use kernel::request::Attempt;
use kernel::schedule::Grant;
use tokio::sync::mpsc;

use super::{Failure, Item, Work};
use crate::dispatch::Ticket;
use crate::observe;
use crate::shared::Shared;

/// Ledger entry of an attempt at an endpoint.
///
/// Dropping it starts to free the endpoint's memory, unless [`LedgerGuard::confirm_freed`] was
/// called.
struct LedgerGuard<'a> {
    shared: &'a Shared,
    endpoint: Endpoint,
    attempt: Attempt,
}

impl<'a> LedgerGuard<'a> {
    fn new(shared: &'a Shared, endpoint: &Endpoint, attempt: Attempt) -> Self {
        shared.tables.ledger.lock().hold(endpoint, attempt);
        Self {
            shared,
            endpoint: endpoint.clone(),
            attempt,
        }
    }

    /// Records that the engine has accepted the attempt.
    fn mark_answered(&self) {
        let mut ledger = self.shared.tables.ledger.lock();
        ledger.mark_answered(&self.endpoint, self.attempt);
    }

    /// Records that the engine ended the stream completely and holds no memory for the attempt.
    fn confirm_freed(&self) {
        let now = self.shared.now();
        let mut ledger = self.shared.tables.ledger.lock();
        ledger.confirm_freed(now, &self.endpoint, self.attempt);
    }
}

impl Drop for LedgerGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared
            .tables
            .ledger
            .lock()
            .release(now, &self.endpoint, self.attempt);
        self.shared.free_notify.notify_one();
    }
}

/// Returns the client of an engine in the usage list.
fn find_engine(shared: &Shared, name: &Endpoint) -> Result<Arc<dyn Engine>, Failure> {
    match shared.client(name) {
        Some(Client::Engine(engine)) => Ok(engine),
        _ => Err(Failure::Fault(Fault::Unreachable, Some(name.clone()))),
    }
}

/// Runs a granted attempt.
///
/// Each engine of a gang prefills one part of the prompt. Each but the last exports its KV cache to
/// the next one, and the last one generates the answer.
pub(super) async fn run(
    shared: &Arc<Shared>,
    work: &mut Work,
    grant: &Grant,
    mut ticket: Ticket,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Failure> {
    let guards: Vec<_> = grant
        .endpoints
        .iter()
        .map(|endpoint| LedgerGuard::new(shared, endpoint, grant.attempt))
        .collect();
    work.sent = true;
    let span = shared.tracing.client_span("engine", &work.span);
    let trace = span.header();
    let parts = split_prompt(&work.prompt, grant.endpoints.len());
    let mut context: Option<String> = None;
    let (last, earlier) = grant.endpoints.split_last().ok_or(Failure::CallerGone)?;
    for ((endpoint, prompt), guard) in earlier.iter().zip(&parts).zip(&guards) {
        let request = engine_request(shared, work, grant, prompt, context.as_deref(), &trace);
        let request = EngineRequest {
            answer_tokens: 0,
            ..request
        };
        let timeout = attempt::part_timeout(grant.predicted, work.deadline.since(shared.now()));
        let part = find_engine(shared, endpoint)?
            .prefill_part(request, timeout)
            .await;
        context = Some(part.map_err(|error| with_endpoint(error, endpoint))?.handle);
        guard.mark_answered();
        shared.record(work.id, "part_done", format!("endpoint={endpoint}"));
    }
    let prompt = parts.last().copied().unwrap_or_default();
    let request = engine_request(shared, work, grant, prompt, context.as_deref(), &trace);
    let engine = find_engine(shared, last)?;
    let timeout = attempt::progress_timeout(work.deadline.since(shared.now()));
    let stream = engine
        .open(request, timeout)
        .await
        .map_err(|error| with_endpoint(error, last))?;
    if let Some(guard) = guards.last() {
        guard.mark_answered();
    }
    let result = relay_tokens(shared, work, stream, &mut ticket, sink).await;
    match result {
        Ok(usage) => {
            if let Some(guard) = guards.last() {
                guard.confirm_freed();
            }
            Ok(usage)
        }
        Err(Failure::Fault(fault, _)) => {
            if fault == Fault::Silent {
                engine.close_idle();
            }
            Err(Failure::Fault(fault, Some(last.clone())))
        }
        Err(failure) => Err(failure),
    }
}

/// Converts an endpoint's error to a failure that names the endpoint.
fn with_endpoint(error: endpoint::Error, endpoint: &Endpoint) -> Failure {
    match Failure::from(error) {
        Failure::Fault(fault, _) => Failure::Fault(fault, Some(endpoint.clone())),
        failure => failure,
    }
}

/// Builds the request to an engine for `prompt`, the whole prompt or one part of it.
fn engine_request<'a>(
    shared: &Shared,
    work: &'a Work,
    grant: &Grant,
    prompt: &'a str,
    context: Option<&'a str>,
    trace: &'a str,
) -> EngineRequest<'a> {
    EngineRequest {
        attempt: grant.attempt,
        holder: shared.incarnation,
        model: work.model.as_str(),
        adapter: work.adapter.as_deref(),
        prompt,
        context,
        delivered: work.delivered,
        answer_tokens: work.answer_tokens,
        priority: grant.priority,
        chunk_tokens: grant.chunk_tokens,
        trace,
    }
}

/// Splits a prompt into `count` parts of about the same size, at character boundaries.
fn split_prompt(prompt: &str, count: usize) -> Vec<&str> {
    let size = prompt.len().div_ceil(count.max(1));
    let mut rest = prompt;
    let mut parts = Vec::new();
    while parts.len() + 1 < count {
        let mut end = size.min(rest.len());
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, tail) = rest.split_at(end);
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}

/// Delivers an engine's tokens to the caller, until the answer is complete.
async fn relay_tokens(
    shared: &Shared,
    work: &mut Work,
    mut stream: Box<dyn Stream>,
    ticket: &mut Ticket,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Failure> {
    let mut first = true;
    loop {
        let timeout = attempt::progress_timeout(work.deadline.since(shared.now()));
        match stream.next(timeout).await? {
            Event::Progress => {}
            Event::Token { index, text } => {
                if std::mem::take(&mut first) {
                    ticket.record_first_token().await;
                }
                deliver_token(shared, work, index, text, sink).await?;
            }
            Event::End(usage) if usage.answer_tokens == work.delivered => return Ok(usage),
            Event::End(_) => return Err(Failure::Fault(Fault::Truncated, None)),
        }
    }
}

/// Sends a token to the caller, in order and exactly once.
///
/// Drops a token that an earlier attempt already delivered; a gap fails with `Truncated`.
pub(super) async fn deliver_token(
    shared: &Shared,
    work: &mut Work,
    index: u64,
    text: String,
    sink: &mpsc::Sender<Item>,
) -> Result<(), Failure> {
    if index < work.delivered {
        observe::count_dropped_token();
        return Ok(());
    }
    if index > work.delivered {
        return Err(Failure::Fault(Fault::Truncated, None));
    }
    if index == 0 {
        let took = shared.now().since(work.arrived);
        observe::record_first_token(work.prompt_tokens, took);
        shared.record(
            work.id,
            "first_token",
            format!("after_ms={}", took.as_millis()),
        );
    }
    let sent = sink.send(Item::Token(index, text)).await;
    sent.map_err(|_| Failure::CallerGone)?;
    work.delivered += 1;
    Ok(())
}
