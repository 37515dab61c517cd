//! Runs one idempotent request until its answer is whole, refused, or out of time.

use std::sync::Arc;
use std::time::Duration;

use endpoint::{Client, Engine, Event, Start, Stream, Usage};
use kernel::attempt::{self, Fault, Plan, Step};
use kernel::cost;
use kernel::outcome::{Outcome, Refusal};
use kernel::prelude::*;
use kernel::request::{Attempt, Id};
use kernel::schedule::{Digest, Grant, Job};
use tokio::sync::mpsc;
use wire::stream::Connection;
use wire::{Error, Forward, Frame, Refused};

use crate::dispatch::{self, Denied, Ticket};
use crate::shared::{Running, Shared};
use crate::trace::Span;
use crate::{invariant, peer, telemetry};

/// Items that may wait for a slow caller.
const SINK_ITEMS: usize = 256;
/// Prompts up to this length count as short when pools are compared, in tokens.
const SHORT_TOKENS: u64 = 8_000;
/// How long a request waits for an engine to appear where none is known.
const ENGINE_WAIT: Duration = Duration::from_millis(1_500);
/// Time between two looks for an engine.
const ENGINE_RETRY: Duration = Duration::from_millis(100);
/// The node ends a request this long before the caller's time limit.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
/// Time between two signs of life on a forwarded request.
const KEEPALIVE: Duration = Duration::from_millis(500);

/// What a request delivers to whoever asked for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Item {
    /// A token of the answer.
    Token(u64, String),
    /// The answer is whole.
    End(Usage),
    /// There is no (further) answer.
    Refused(Refusal),
}

/// An admitted idempotent request.
pub(crate) struct Work {
    /// The request, for the journal.
    pub id: Id,
    /// Names the attempts; differs from `id` for a forwarded request, which may come twice.
    pub run: Id,
    pub workspace: Workspace,
    pub model: Model,
    pub adapter: Option<String>,
    pub prompt: String,
    pub prefix: Vec<u64>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    /// Answer tokens that the caller already has.
    pub delivered: u64,
    pub arrived: Instant,
    pub deadline: Instant,
    pub deferred: bool,
    /// Whether another failure domain sent the request here.
    pub forwarded: bool,
    /// Failure domains that the request could not be forwarded to.
    pub avoid_domains: Vec<Domain>,
    /// Whether a byte of the request may have left for an endpoint.
    pub sent: bool,
    pub span: Span,
}

impl Work {
    fn job(&self, now: Instant, number: u32, avoid: &[Endpoint]) -> Job {
        Job {
            attempt: Attempt {
                request: self.run,
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

/// Why an attempt brought no whole answer.
enum Ended {
    Refused(Refusal),
    Fault(Fault, Option<Endpoint>),
    CallerGone,
}

impl From<endpoint::Error> for Ended {
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

/// Starts a request; its items arrive on the returned channel, which cancels it when closed.
///
/// `place` is what the request occupies; it is dropped when the request has ended.
pub(crate) fn start(
    shared: &Arc<Shared>,
    work: Work,
    place: impl Send + 'static,
) -> mpsc::Receiver<Item> {
    let (sink, items) = mpsc::channel(SINK_ITEMS);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        run(&shared, work, sink).await;
        drop(place);
    });
    items
}

async fn run(shared: &Arc<Shared>, mut work: Work, sink: mpsc::Sender<Item>) {
    let limit = work
        .deadline
        .since(shared.now())
        .saturating_sub(DEADLINE_MARGIN);
    let id = work.id;
    let ended = tokio::select! {
        ended = tokio::time::timeout(limit, drive(shared, &mut work, &sink)) => ended,
        () = sink.closed() => Ok(Err(Ended::CallerGone)),
    };
    let last = match ended {
        Ok(Ok(usage)) => Item::End(usage),
        Ok(Err(Ended::CallerGone)) => {
            shared.note(id, "caller_gone", format!("delivered={}", work.delivered));
            telemetry::ended("caller_gone");
            return;
        }
        Ok(Err(Ended::Refused(refusal))) => Item::Refused(truthful(refusal, work.sent)),
        Ok(Err(Ended::Fault(fault, _))) => {
            Item::Refused(Refusal::Exhausted(1, fault.as_str().to_owned()))
        }
        Err(_) => Item::Refused(Refusal::TimedOut(Outcome::Failed)),
    };
    finish(shared, &work, &last);
    // A caller that is gone needs no last item.
    let _ = sink.send(last).await;
}

/// A refusal that says `not_run` only when nothing was sent.
fn truthful(refusal: Refusal, sent: bool) -> Refusal {
    if sent && refusal.outcome() == Outcome::NotRun {
        return Refusal::Exhausted(1, refusal.code().to_owned());
    }
    refusal
}

fn finish(shared: &Shared, work: &Work, last: &Item) {
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
    telemetry::ended(code);
    work.span.set("outcome", code);
    let took = now.since(work.arrived).as_millis();
    let reason = match last {
        Item::Refused(refusal) => format!("took_ms={took} reason={refusal}"),
        _ => format!("took_ms={took} tokens={}", work.delivered),
    };
    shared.note(work.id, code, reason);
}

/// Tries the request until an attempt brings the whole answer or no retry is left.
async fn drive(
    shared: &Arc<Shared>,
    work: &mut Work,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Ended> {
    let mut plan = Plan::new(work.deadline);
    let mut avoid = Vec::new();
    loop {
        let number = plan.start(&mut shared.tables.budget.lock());
        let ended = match attempt(shared, work, number, &avoid, sink).await {
            Ok(usage) => return Ok(usage),
            Err(ended) => ended,
        };
        let Ended::Fault(fault, endpoint) = ended else {
            return Err(ended);
        };
        telemetry::fault(fault.as_str());
        let at = endpoint.as_ref().map_or("none", Endpoint::as_str);
        let reason = format!(
            "number={number} fault={} endpoint={at} delivered={}",
            fault.as_str(),
            work.delivered
        );
        shared.note(work.id, "attempt_failed", reason);
        avoid.extend(endpoint);
        let now = shared.now();
        let step = shared
            .with_random(|random| plan.after(now, fault, &mut shared.tables.budget.lock(), random));
        match step {
            Step::Retry(wait) => tokio::time::sleep(wait).await,
            Step::End(refusal) => return Err(Ended::Refused(refusal)),
        }
    }
}

/// Runs one attempt, here or in another failure domain.
async fn attempt(
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
    match granted(shared, work, number, avoid).await {
        Ok((grant, ticket)) => run_grant(shared, work, &grant, ticket, sink).await,
        Err(Ended::Refused(refusal)) if !work.forwarded => {
            let Some(domain) = other_domain(shared, work) else {
                return Err(Ended::Refused(refusal));
            };
            let reason = format!("domain={domain} reason={refusal}");
            shared.note(work.id, "spilled", reason);
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
    shared.note(work.id, "spill_failed", format!("domain={domain}"));
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
        let elsewhere = !work.forwarded && other_domain(shared, work).is_some();
        let patient = !elsewhere && shared.now().since(started) < ENGINE_WAIT;
        match denied {
            Denied::OwnerLost => {}
            Denied::Refused(Refusal::Unavailable(..)) if patient => {}
            Denied::Refused(refusal) => return Err(Ended::Refused(refusal)),
        }
        tokio::time::sleep(ENGINE_RETRY).await;
    }
}

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

    /// The engine has ended the stream whole and holds nothing for it.
    fn confirm(&self) {
        self.shared
            .tables
            .ledger
            .lock()
            .confirm(&self.endpoint, self.attempt);
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
    let lists = shared.tables.lists();
    let entry = lists
        .endpoints(&shared.domain)
        .find(|entry| entry.name.as_str() == name.as_str());
    match entry.and_then(|entry| shared.clients.get(entry)) {
        Some(Client::Engine(engine)) => Ok(engine),
        _ => Err(Ended::Fault(Fault::Unreachable, Some(name.clone()))),
    }
}

/// Runs a granted attempt on its engine or gang.
async fn run_grant(
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
    for (endpoint, prompt) in earlier.iter().zip(&parts) {
        let start = start_of(shared, work, grant, prompt, context.as_deref(), &trace);
        let start = Start {
            answer_tokens: 0,
            ..start
        };
        let limit = attempt::part_bound(grant.predicted, work.deadline.since(shared.now()));
        let part = engine(shared, endpoint)?.part(start, limit).await;
        context = Some(part.map_err(|error| at(error, endpoint))?.handle);
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
                engine.reset();
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
) -> Start<'a> {
    Start {
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

async fn deliver(
    shared: &Shared,
    work: &mut Work,
    index: u64,
    text: String,
    sink: &mpsc::Sender<Item>,
) -> Result<(), Ended> {
    if index < work.delivered {
        telemetry::dropped();
        return Ok(());
    }
    if index > work.delivered {
        return Err(Ended::Fault(Fault::Truncated, None));
    }
    if index == 0 {
        let took = shared.now().since(work.arrived);
        telemetry::first_token(work.prompt_tokens, took);
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

/// The wait that a pool's digest predicts for the request.
fn wait(digest: &Digest, work: &Work) -> Duration {
    if work.prompt_tokens <= SHORT_TOKENS {
        digest.short_wait
    } else {
        digest.long_wait
    }
}

/// The other failure domain with the shortest predicted wait for the request's model.
fn shortest_elsewhere(shared: &Shared, work: &Work) -> Option<(Domain, Duration)> {
    let digests = shared.tables.digests.lock();
    digests
        .values()
        .filter(|entry| entry.model == work.model && entry.domain != shared.domain)
        .filter(|entry| !work.avoid_domains.contains(&entry.domain))
        .filter(|entry| entry.digest.engines > 0)
        .map(|entry| (entry.domain.clone(), wait(&entry.digest, work)))
        .min_by_key(|(_, wait)| *wait)
}

/// Another failure domain that is predicted to be faster by more than the spill gain.
fn better_domain(shared: &Shared, work: &Work) -> Option<Domain> {
    let gain = Duration::from_millis(shared.settings.routing.spill_gain_ms);
    let (domain, there) = shortest_elsewhere(shared, work)?;
    let here = {
        let digests = shared.tables.digests.lock();
        let own = digests.get(&(shared.domain.clone(), work.model.clone()));
        own.filter(|entry| entry.digest.engines > 0)
            .map(|entry| wait(&entry.digest, work))
    }?;
    // Only every second request moves, so that all nodes do not fill the same domain at once.
    let moves = work.id.sequence.is_multiple_of(2);
    (moves && here > there.saturating_mul(2) + gain).then_some(domain)
}

/// A failure domain that has engines for the request, when this one refused it.
fn other_domain(shared: &Shared, work: &Work) -> Option<Domain> {
    shortest_elsewhere(shared, work).map(|(domain, _)| domain)
}

/// Lets another failure domain run the request and passes on what it delivers.
async fn forward(
    shared: &Arc<Shared>,
    work: &mut Work,
    domain: &Domain,
    sink: &mpsc::Sender<Item>,
) -> Result<Usage, Ended> {
    let span = shared.tracing.child("forward", &work.span);
    let now = shared.now();
    let target = {
        let members = shared.tables.members.lock();
        let nodes = members.live_in(now, domain);
        let nodes: Vec<_> = nodes.into_iter().filter(|node| !node.leaving).collect();
        let place = usize::try_from(work.id.sequence).unwrap_or(0);
        nodes
            .get(place % nodes.len().max(1))
            .and_then(|node| peer::address(node))
    };
    let lost = || Ended::Fault(Fault::Unreachable, None);
    let mut connection = shared
        .peers
        .connect(target.ok_or_else(lost)?)
        .await
        .map_err(|_| lost())?;
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
    shared.note(work.id, "forwarded", format!("domain={domain}"));
    let sent = connection.send(&Frame::Forward(Box::new(forward))).await;
    sent.map_err(|_| lost())?;
    loop {
        let limit = attempt::silence_bound(work.deadline.since(shared.now()));
        match connection.receive(limit).await {
            Ok(Frame::Waiting) => {}
            Ok(Frame::Token(index, text)) => deliver(shared, work, index, text, sink).await?,
            Ok(Frame::End(prompt_tokens, answer_tokens, cached_tokens)) => {
                if answer_tokens != work.delivered {
                    return Err(Ended::Fault(Fault::Truncated, None));
                }
                return Ok(Usage {
                    prompt_tokens,
                    answer_tokens,
                    cached_tokens,
                });
            }
            Ok(Frame::Refused(refused)) => return Err(Ended::Refused(refused.refusal)),
            Ok(_) => return Err(Ended::Fault(Fault::Truncated, None)),
            Err(Error::Silent) => return Err(Ended::Fault(Fault::Silent, None)),
            Err(_) => return Err(Ended::Fault(Fault::Broken, None)),
        }
    }
}

/// Runs a request that another failure domain forwarded, until it ends.
pub(crate) async fn serve_forward(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    forward: Forward,
) -> Result<(), Error> {
    let place = Running::enter(shared).filter(|_| shared.ready());
    let Some(place) = place else {
        const RETRY_AFTER: Duration = Duration::from_secs(1);
        let refusal = Refusal::Unavailable("the node takes no work".to_owned(), RETRY_AFTER);
        return connection.send(&Frame::Refused(Refused { refusal })).await;
    };
    let mut items = start(shared, forwarded_work(shared, forward), place);
    loop {
        let frame = tokio::select! {
            item = items.recv() => match item {
                Some(Item::Token(index, text)) => Frame::Token(index, text),
                Some(Item::End(usage)) => {
                    let end = Frame::End(usage.prompt_tokens, usage.answer_tokens, usage.cached_tokens);
                    return connection.send(&end).await;
                }
                Some(Item::Refused(refusal)) => {
                    return connection.send(&Frame::Refused(Refused { refusal })).await;
                }
                None => return Err(Error::Closed),
            },
            // The other side sends nothing more, so whatever arrives ends the request.
            frame = connection.receive(KEEPALIVE) => match frame {
                Err(Error::Silent) => Frame::Waiting,
                Ok(_) | Err(_) => return Err(Error::Closed),
            },
        };
        connection.send(&frame).await?;
    }
}

fn forwarded_work(shared: &Shared, forward: Forward) -> Work {
    let now = shared.now();
    Work {
        id: forward.request,
        run: shared.next_id(),
        workspace: forward.workspace,
        model: forward.model,
        adapter: forward.adapter,
        prefix: cost::prefix(&forward.prompt),
        prompt_tokens: cost::tokens(forward.prompt.len()),
        prompt: forward.prompt,
        answer_tokens: forward.answer_tokens,
        delivered: forward.delivered,
        arrived: now,
        deadline: now + forward.remaining,
        deferred: false,
        forwarded: true,
        avoid_domains: Vec::new(),
        sent: false,
        span: shared.tracing.root("forwarded", &forward.trace),
    }
}
