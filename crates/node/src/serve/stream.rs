//! Runs a granted attempt on its engine or gang, and passes the tokens on.

use std::sync::Arc;

use endpoint::{Client, Engine, EngineRequest, Event, Stream, Usage};
use kernel::attempt::{self, Fault};
use kernel::prelude::*;
use kernel::request::Attempt;
use kernel::schedule::Grant;
use tokio::sync::mpsc;

use super::{Ended, Item, Work};
use crate::dispatch::Ticket;
use crate::observe;
use crate::shared::Shared;

/// Entry of an attempt in the ledger; starts freeing when it is dropped unconfirmed.
struct Hold<'a> {
    shared: &'a Shared,
    endpoint: Endpoint,
    attempt: Attempt,
}

impl<'a> Hold<'a> {
    fn new(shared: &'a Shared, endpoint: &Endpoint, attempt: Attempt) -> Self {
        shared.tables.ledger.lock().hold(endpoint, attempt);
        Self {
            shared,
            endpoint: endpoint.clone(),
            attempt,
        }
    }

    /// The engine has taken the attempt.
    fn answered(&self) {
        let mut ledger = self.shared.tables.ledger.lock();
        ledger.mark_answered(&self.endpoint, self.attempt);
    }

    /// The engine has ended the stream whole and holds nothing for it.
    fn confirm(&self) {
        let now = self.shared.now();
        let mut ledger = self.shared.tables.ledger.lock();
        ledger.confirm_freed(now, &self.endpoint, self.attempt);
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared
            .tables
            .ledger
            .lock()
            .release(now, &self.endpoint, self.attempt);
        self.shared.freeing.notify_one();
    }
}

/// The client of an engine in the usage list.
fn engine(shared: &Shared, name: &Endpoint) -> Result<Arc<dyn Engine>, Ended> {
    match shared.client(name) {
        Some(Client::Engine(engine)) => Ok(engine),
        _ => Err(Ended::Fault(Fault::Unreachable, Some(name.clone()))),
    }
}

/// Runs a granted attempt on its engine or gang.
pub(super) async fn run(
    shared: &Arc<Shared>,
    work: &mut Work,
    grant: &Grant,
    mut ticket: Ticket,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Ended> {
    let holds: Vec<_> = grant
        .endpoints
        .iter()
        .map(|endpoint| Hold::new(shared, endpoint, grant.attempt))
        .collect();
    work.sent = true;
    let span = shared.tracing.child("engine", &work.span);
    let trace = span.header();
    let parts = split(&work.prompt, grant.endpoints.len());
    let mut context: Option<String> = None;
    let (last, earlier) = grant.endpoints.split_last().ok_or(Ended::CallerGone)?;
    for ((endpoint, prompt), hold) in earlier.iter().zip(&parts).zip(&holds) {
        let start = start_of(shared, work, grant, prompt, context.as_deref(), &trace);
        let start = EngineRequest {
            answer_tokens: 0,
            ..start
        };
        let limit = attempt::part_bound(grant.predicted, work.deadline.since(shared.now()));
        let part = engine(shared, endpoint)?.prefill_part(start, limit).await;
        context = Some(part.map_err(|error| at(error, endpoint))?.handle);
        hold.answered();
        shared.note(work.id, "part_done", format!("endpoint={endpoint}"));
    }
    let prompt = parts.last().copied().unwrap_or_default();
    let start = start_of(shared, work, grant, prompt, context.as_deref(), &trace);
    let engine = engine(shared, last)?;
    let limit = attempt::silence_bound(work.deadline.since(shared.now()));
    let stream = engine
        .open(start, limit)
        .await
        .map_err(|error| at(error, last))?;
    if let Some(hold) = holds.last() {
        hold.answered();
    }
    let ended = relay(shared, work, stream, &mut ticket, sink).await;
    match ended {
        Ok(usage) => {
            if let Some(hold) = holds.last() {
                hold.confirm();
            }
            Ok(usage)
        }
        Err(Ended::Fault(fault, _)) => {
            if fault == Fault::Silent {
                engine.close_idle();
            }
            Err(Ended::Fault(fault, Some(last.clone())))
        }
        Err(ended) => Err(ended),
    }
}

fn at(error: endpoint::Error, endpoint: &Endpoint) -> Ended {
    match Ended::from(error) {
        Ended::Fault(fault, _) => Ended::Fault(fault, Some(endpoint.clone())),
        ended => ended,
    }
}

fn start_of<'a>(
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

/// Splits a prompt into `count` parts of about the same size, between characters.
fn split(prompt: &str, count: usize) -> Vec<&str> {
    let size = prompt.len().div_ceil(count.max(1));
    let mut rest = prompt;
    let mut parts = Vec::new();
    while parts.len() + 1 < count {
        let mut end = size.min(rest.len());
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, others) = rest.split_at(end);
        parts.push(part);
        rest = others;
    }
    parts.push(rest);
    parts
}

/// Passes an engine's tokens on to the caller, in order and each once.
async fn relay(
    shared: &Shared,
    work: &mut Work,
    mut stream: Box<dyn Stream>,
    ticket: &mut Ticket,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Ended> {
    let mut first = true;
    loop {
        let limit = attempt::silence_bound(work.deadline.since(shared.now()));
        match stream.next(limit).await? {
            Event::Progress => {}
            Event::Token { index, text } => {
                if std::mem::take(&mut first) {
                    ticket.first_token().await;
                }
                deliver(shared, work, index, text, sink).await?;
            }
            Event::End(usage) if usage.answer_tokens == work.delivered => return Ok(usage),
            Event::End(_) => return Err(Ended::Fault(Fault::Truncated, None)),
        }
    }
}

pub(super) async fn deliver(
    shared: &Shared,
    work: &mut Work,
    index: u64,
    text: String,
    sink: &mpsc::Sender<Item>,
) -> Result<(), Ended> {
    if index < work.delivered {
        observe::dropped();
        return Ok(());
    }
    if index > work.delivered {
        return Err(Ended::Fault(Fault::Truncated, None));
    }
    if index == 0 {
        let took = shared.now().since(work.arrived);
        observe::first_token(work.prompt_tokens, took);
        shared.note(
            work.id,
            "first_token",
            format!("after_ms={}", took.as_millis()),
        );
    }
    let sent = sink.send(Item::Token(index, text)).await;
    sent.map_err(|_| Ended::CallerGone)?;
    work.delivered += 1;
    Ok(())
}
