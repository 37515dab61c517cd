//! Completions: admission, and answers as one JSON document or as server-sent events.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use endpoint::Usage;
use futures_util::stream;
use http::{HeaderMap, StatusCode};
use kernel::admission::{self, Context, Target};
use kernel::cost::{self, Digest};
use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::request::Id;
use kernel::resume::Token;
use kernel::share::Need;
use serde_json::{Value, json};
use tokio::sync::mpsc::Receiver;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, Sse};
use wire::Kept;

use super::auth::Caller;
use super::prompt::{Kind, Prompt};
use super::{Answer, auth, error, json_response, prompt, read_body};
use crate::serve::{self, Item, Work};
use crate::shared::{Running, Shared};
use crate::{deferred, limits};

/// Handles `/v1/chat/completions`.
pub(super) async fn chat(shared: Arc<Shared>, request: Request) -> Answer {
    complete(shared, Kind::Chat, request).await
}

/// Handles `/v1/completions`.
pub(super) async fn text(shared: Arc<Shared>, request: Request) -> Answer {
    complete(shared, Kind::Text, request).await
}

async fn complete(shared: Arc<Shared>, kind: Kind, request: Request) -> Answer {
    let arrived = shared.now();
    let id = shared.next_id();
    let (parts, body) = request.into_parts();
    let headers = parts.headers;
    let caller = auth::caller(&shared, &headers)?;
    let running = Running::enter(&shared).ok_or(Refusal::Overloaded(Duration::from_secs(1)))?;
    let body = read_body(&shared, body).await?;
    let prompt = prompt::read(kind, &body)?;
    let admitted = admit(&shared, &caller, &headers, &prompt)?;
    let need = Need {
        tokens: admitted.prompt_tokens + prompt.answer_tokens,
    };
    let place = limits::take(&shared, &caller.workspace, need).await;
    let place = place.inspect_err(|refusal| {
        shared.note(id, refusal.code(), refusal.to_string());
    })?;
    if asks_to_defer(&headers) {
        return defer(&shared, caller, id, &prompt, body, admitted).await;
    }
    let trace = auth::text(&headers, "traceparent").to_owned();
    let work = work(
        &shared,
        &caller.workspace,
        id,
        arrived,
        &prompt,
        &admitted,
        &trace,
    );
    let reason = format!(
        "workspace={} model={} prompt_tokens={} answer_tokens={} limit_ms={}",
        caller.workspace,
        prompt.model,
        admitted.prompt_tokens,
        prompt.answer_tokens,
        admitted.limit.as_millis()
    );
    shared.note(id, "admitted", reason);
    let items = serve::start(&shared, work, (running, place));
    let seal = Seal {
        key: shared.settings.fleet_key.clone(),
        prompt: admitted.digest,
    };
    let answer = Shape {
        id,
        created: arrived.as_millis() / 1_000,
        model: prompt.model.clone(),
        kind,
        limit: prompt.answer_tokens,
    };
    Ok(respond(answer, seal, &prompt, items).await)
}

/// What admission found out about a request.
struct Admitted {
    prompt_tokens: u64,
    digest: u64,
    delivered: u64,
    limit: Duration,
}

fn admit(
    shared: &Shared,
    caller: &Caller,
    headers: &HeaderMap,
    prompt: &Prompt,
) -> Result<Admitted, Refusal> {
    let asked = auth::number(headers, "x-request-timeout-ms")?.map(Duration::from_millis);
    let prompt_tokens = cost::tokens(prompt.text.len());
    let context = Context {
        plan: &caller.plan,
        target: Target::Model(&prompt.model),
        prompt_tokens,
        answer_tokens: prompt.answer_tokens,
        time_limit: asked,
    };
    let rules = &shared.settings.admission.rules;
    admission::check(rules, &context)?;
    if let Some(adapter) = &prompt.adapter {
        let target = Target::Adapter(adapter);
        admission::check(rules, &Context { target, ..context })?;
    }
    let lists = shared.tables.lists();
    let listed = lists
        .usage()
        .models
        .iter()
        .any(|model| model.name.as_str() == prompt.model);
    if !listed {
        let what = format!("model {:?} is not in the usage list", prompt.model);
        return Err(Refusal::NotFound(
            what,
            "use a model of /v1/models".to_owned(),
        ));
    }
    let mut digest = Digest::default();
    digest.update(prompt.text.as_bytes());
    let digest = digest.value();
    Ok(Admitted {
        prompt_tokens,
        digest,
        delivered: delivered(shared, headers, digest)?,
        limit: admission::time_limit(&caller.plan, asked),
    })
}

/// Answer tokens that the caller has, by its `Last-Event-ID`.
fn delivered(shared: &Shared, headers: &HeaderMap, digest: u64) -> Result<u64, Refusal> {
    let text = auth::text(headers, "last-event-id");
    if text.is_empty() {
        return Ok(0);
    }
    let remedy = || "send the request as it was, or without Last-Event-ID to start over".to_owned();
    let token = Token::open(text, shared.settings.fleet_key.as_bytes())
        .map_err(|error| Refusal::Invalid(error.to_string(), remedy()))?;
    if token.prompt != digest {
        let what = "the Last-Event-ID belongs to another prompt".to_owned();
        return Err(Refusal::Invalid(what, remedy()));
    }
    Ok(token.delivered)
}

fn work(
    shared: &Shared,
    workspace: &Workspace,
    id: Id,
    arrived: Instant,
    prompt: &Prompt,
    admitted: &Admitted,
    trace: &str,
) -> Work {
    let span = shared.tracing.root("request", trace);
    span.set("request", id.to_string());
    Work {
        id,
        run: id,
        workspace: workspace.clone(),
        model: Model::from(prompt.model.as_str()),
        adapter: prompt.adapter.clone(),
        prefix: cost::prefix(&prompt.text),
        prompt_tokens: admitted.prompt_tokens,
        prompt: prompt.text.clone(),
        answer_tokens: prompt.answer_tokens,
        delivered: admitted.delivered,
        arrived,
        deadline: arrived + admitted.limit,
        deferred: false,
        forwarded: false,
        avoid_domains: Vec::new(),
        sent: false,
        span,
    }
}

fn asks_to_defer(headers: &HeaderMap) -> bool {
    auth::text(headers, "prefer").contains("respond-async")
}

async fn defer(
    shared: &Arc<Shared>,
    caller: Caller,
    id: Id,
    prompt: &Prompt,
    body: Vec<u8>,
    admitted: Admitted,
) -> Answer {
    let kept = Kept {
        request: id,
        workspace: caller.workspace,
        owner: shared.host.clone(),
        path: prompt.kind.path().to_owned(),
        body: String::from_utf8(body).unwrap_or_default(),
        remaining: admitted.limit,
        answer: None,
    };
    let copies = deferred::accept(shared, kept).await?;
    shared.note(
        id,
        "deferred",
        format!("limit_ms={} copies={copies}", admitted.limit.as_millis()),
    );
    let location = format!("/v1/deferred/{id}");
    let body = json!({ "id": id.to_string(), "status": "pending", "copies": copies, "location": location });
    let mut response = json_response(StatusCode::ACCEPTED, &body);
    error::stamp(&mut response, id);
    Ok(response)
}

/// Runs a deferred request and returns its status and body.
pub(crate) async fn run_deferred(shared: &Arc<Shared>, kept: &Kept) -> (u16, String) {
    let kind = Kind::of_path(&kept.path);
    let prompt = match prompt::read(kind, kept.body.as_bytes()) {
        Ok(prompt) => prompt,
        Err(refusal) => {
            return (
                refusal.status(),
                error::body(&refusal, Some(kept.request)).to_string(),
            );
        }
    };
    let mut digest = Digest::default();
    digest.update(prompt.text.as_bytes());
    let admitted = Admitted {
        prompt_tokens: cost::tokens(prompt.text.len()),
        digest: digest.value(),
        delivered: 0,
        limit: kept.remaining,
    };
    let now = shared.now();
    let mut work = work(
        shared,
        &kept.workspace,
        kept.request,
        now,
        &prompt,
        &admitted,
        "",
    );
    work.run = shared.next_id();
    work.deferred = true;
    let items = serve::start(shared, work, Running::enter(shared));
    let shape = Shape {
        id: kept.request,
        created: now.as_millis() / 1_000,
        model: prompt.model.clone(),
        kind,
        limit: prompt.answer_tokens,
    };
    match collect(items).await {
        Ok(whole) => (200, shape.whole(&whole).to_string()),
        Err(refusal) => (
            refusal.status(),
            error::body(&refusal, Some(kept.request)).to_string(),
        ),
    }
}

/// Makes the identifiers with which a caller continues a stream.
struct Seal {
    key: String,
    prompt: u64,
}

impl Seal {
    fn event_id(&self, request: Id, delivered: u64) -> String {
        let token = Token {
            request: request.to_string(),
            prompt: self.prompt,
            delivered,
            endpoint: String::new(),
        };
        token.seal(self.key.as_bytes())
    }
}

/// What all documents of an answer have in common.
struct Shape {
    id: Id,
    created: u64,
    model: String,
    kind: Kind,
    /// Most tokens to answer.
    limit: u64,
}

/// An answer that arrived whole.
struct Whole {
    text: String,
    usage: Usage,
}

async fn respond(shape: Shape, seal: Seal, prompt: &Prompt, mut items: Receiver<Item>) -> Response {
    let id = shape.id;
    if !prompt.stream {
        return match collect(items).await {
            Ok(whole) => {
                let mut response = json_response(StatusCode::OK, &shape.whole(&whole));
                error::stamp(&mut response, id);
                response
            }
            Err(refusal) => error::response(&refusal, Some(id)),
        };
    }
    // The status line waits for the first item, so that a refusal is an error status.
    let first = match items.recv().await {
        Some(Item::Refused(refusal)) => return error::response(&refusal, Some(id)),
        Some(item) => item,
        None => return error::response(&lost(), Some(id)),
    };
    let events = events(shape, seal, prompt.include_usage, first, items);
    let mut response = Sse::new(events).into_response();
    error::stamp(&mut response, id);
    response
}

fn lost() -> Refusal {
    Refusal::Exhausted(1, "the request was lost".to_owned())
}

async fn collect(mut items: Receiver<Item>) -> Result<Whole, Refusal> {
    let mut text = String::new();
    while let Some(item) = items.recv().await {
        match item {
            Item::Token(_, token) => text.push_str(&token),
            Item::End(usage) => return Ok(Whole { text, usage }),
            Item::Refused(refusal) => return Err(refusal),
        }
    }
    Err(lost())
}

fn events(
    shape: Shape,
    seal: Seal,
    include_usage: bool,
    first: Item,
    mut items: Receiver<Item>,
) -> impl futures_util::Stream<Item = Result<Event, Infallible>> {
    let mut ready = VecDeque::new();
    let mut ended = push(&mut ready, &shape, &seal, include_usage, first);
    stream::poll_fn(move |context| {
        use std::task::Poll;
        while ready.is_empty() && !ended {
            match items.poll_recv(context) {
                Poll::Ready(Some(item)) => {
                    ended = push(&mut ready, &shape, &seal, include_usage, item);
                }
                Poll::Ready(None) => {
                    ended = push(
                        &mut ready,
                        &shape,
                        &seal,
                        include_usage,
                        Item::Refused(lost()),
                    );
                }
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(ready.pop_front().map(Ok))
    })
}

/// Adds the events of an item; returns true when it is the last.
fn push(
    ready: &mut VecDeque<Event>,
    shape: &Shape,
    seal: &Seal,
    include_usage: bool,
    item: Item,
) -> bool {
    match item {
        Item::Token(index, text) => {
            let id = seal.event_id(shape.id, index + 1);
            ready.push_back(
                Event::new()
                    .id(id)
                    .data(shape.chunk(&text, index == 0).to_string()),
            );
            false
        }
        Item::End(usage) => {
            ready.push_back(Event::new().data(shape.last_chunk(usage, include_usage).to_string()));
            ready.push_back(Event::new().data("[DONE]"));
            true
        }
        Item::Refused(refusal) => {
            ready.push_back(Event::new().data(error::body(&refusal, Some(shape.id)).to_string()));
            true
        }
    }
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.answer_tokens,
        "total_tokens": usage.prompt_tokens + usage.answer_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

impl Shape {
    fn document(&self, object: &str, choice: &Value) -> Value {
        let prefix = match self.kind {
            Kind::Chat => "chatcmpl",
            Kind::Text => "cmpl",
        };
        json!({
            "id": format!("{prefix}-{}", self.id),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    /// Why the answer ended, in the words of the interface.
    const fn finish_reason(&self, usage: Usage) -> &'static str {
        if usage.answer_tokens >= self.limit {
            "length"
        } else {
            "stop"
        }
    }

    fn whole(&self, whole: &Whole) -> Value {
        let finish = self.finish_reason(whole.usage);
        let (object, choice) = match self.kind {
            Kind::Chat => {
                let message = json!({ "role": "assistant", "content": whole.text });
                (
                    "chat.completion",
                    json!({ "index": 0, "message": message, "finish_reason": finish }),
                )
            }
            Kind::Text => (
                "text_completion",
                json!({ "index": 0, "text": whole.text, "finish_reason": finish }),
            ),
        };
        let mut document = self.document(object, &choice);
        document["usage"] = usage_json(whole.usage);
        document
    }

    fn chunk(&self, text: &str, first: bool) -> Value {
        match self.kind {
            Kind::Chat if first => {
                let delta = json!({ "role": "assistant", "content": text });
                self.chunk_with(&json!({ "index": 0, "delta": delta, "finish_reason": null }))
            }
            Kind::Chat => {
                let delta = json!({ "content": text });
                self.chunk_with(&json!({ "index": 0, "delta": delta, "finish_reason": null }))
            }
            Kind::Text => {
                self.chunk_with(&json!({ "index": 0, "text": text, "finish_reason": null }))
            }
        }
    }

    fn chunk_with(&self, choice: &Value) -> Value {
        let object = match self.kind {
            Kind::Chat => "chat.completion.chunk",
            Kind::Text => "text_completion",
        };
        self.document(object, choice)
    }

    fn last_chunk(&self, usage: Usage, include_usage: bool) -> Value {
        let finish = self.finish_reason(usage);
        let choice = match self.kind {
            Kind::Chat => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
            Kind::Text => json!({ "index": 0, "text": "", "finish_reason": finish }),
        };
        let mut document = self.chunk_with(&choice);
        if include_usage {
            document["usage"] = usage_json(usage);
        }
        document
    }
}
