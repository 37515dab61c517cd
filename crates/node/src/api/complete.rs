//! Completions: admission, running, and deferring.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use kernel::admission::{self, Context, Target};
use kernel::cost::{self, Digest};
use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::request::Id;
use kernel::resume::Token;
use kernel::share::Cost;
use serde_json::json;
use volo_http::request::Request;
use wire::Deferred;

use super::auth::Caller;
use super::document::Shape;
use super::prompt::{Kind, Prompt};
use super::stream::{Seal, collect, respond};
use super::{Answer, auth, error, json_response, prompt, read_body};
use crate::serve::{self, Work};
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
    let running = Running::try_start(&shared).ok_or(Refusal::Overloaded(Duration::from_secs(1)))?;
    let body = read_body(&shared, body).await?;
    let mut prompt = prompt::read(kind, &body)?;
    let admitted = admit(&shared, &caller, &headers, &prompt)?;
    let need = Cost {
        tokens: admitted.prompt_tokens + prompt.answer_tokens,
    };
    let place = limits::acquire(&shared, &caller.workspace, need).await;
    let place = place.inspect_err(|refusal| {
        shared.record(id, refusal.code(), refusal.to_string());
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
        &mut prompt,
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
    shared.record(id, "admitted", reason);
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
    let prompt_tokens = cost::estimate_tokens(prompt.text.len());
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
    let digest = Digest::of(&prompt.text);
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
    let token = Token::verify(text, shared.settings.fleet_key.as_bytes())
        .map_err(|error| Refusal::Invalid(error.to_string(), remedy()))?;
    if token.prompt != digest {
        let what = "the Last-Event-ID belongs to another prompt".to_owned();
        return Err(Refusal::Invalid(what, remedy()));
    }
    Ok(token.delivered)
}

/// The work that a request asks for; takes the prompt's text.
fn work(
    shared: &Shared,
    workspace: &Workspace,
    id: Id,
    arrived: Instant,
    prompt: &mut Prompt,
    admitted: &Admitted,
    trace: &str,
) -> Work {
    let span = shared.tracing.server_span("request", trace);
    span.set_attribute("request", id.to_string());
    Work {
        id,
        run: id,
        workspace: workspace.clone(),
        model: Model::from(prompt.model.as_str()),
        adapter: prompt.adapter.clone(),
        prefix: cost::prefix_hashes(&prompt.text),
        prompt_tokens: admitted.prompt_tokens,
        prompt: std::mem::take(&mut prompt.text),
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
    let kept = Deferred {
        request: id,
        workspace: caller.workspace,
        owner: shared.incarnation,
        path: prompt.kind.path().to_owned(),
        body: String::from_utf8(body).unwrap_or_default(),
        remaining: admitted.limit,
        answer: None,
    };
    let copies = deferred::accept(shared, kept).await?;
    shared.record(
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
pub(crate) async fn run_deferred(shared: &Arc<Shared>, kept: &Deferred) -> (u16, String) {
    let kind = Kind::of_path(&kept.path);
    let mut prompt = match prompt::read(kind, kept.body.as_bytes()) {
        Ok(prompt) => prompt,
        Err(refusal) => {
            return (
                refusal.status(),
                error::body(&refusal, Some(kept.request)).to_string(),
            );
        }
    };
    let admitted = Admitted {
        prompt_tokens: cost::estimate_tokens(prompt.text.len()),
        digest: Digest::of(&prompt.text),
        delivered: 0,
        limit: kept.remaining,
    };
    let now = shared.now();
    let mut work = work(
        shared,
        &kept.workspace,
        kept.request,
        now,
        &mut prompt,
        &admitted,
        "",
    );
    work.run = shared.next_id();
    work.deferred = true;
    let items = serve::start(shared, work, Running::try_start(shared));
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
