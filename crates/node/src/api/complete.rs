//! Handlers of the completion routes: admission of requests, and running or deferring them.

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
use shutdown::Stage;
use volo_http::request::Request;
use wire::Deferred;

use super::auth::Caller;
use super::document::Builder;
use super::prompt::{Kind, Prompt};
use super::stream::{Signer, collect, respond};
use super::{HandlerResult, auth, error, json_response, prompt, read_body};
use crate::serve::{self, Work};
use crate::shared::{Running, Shared};
use crate::{deferred, exit, limits};

/// Handles `/v1/chat/completions`.
pub(super) async fn chat(shared: Arc<Shared>, request: Request) -> HandlerResult {
    complete(shared, Kind::Chat, request).await
}

/// Handles `/v1/completions`.
pub(super) async fn text(shared: Arc<Shared>, request: Request) -> HandlerResult {
    complete(shared, Kind::Text, request).await
}

/// Admits a completion request, then defers it or runs it and returns the response.
async fn complete(shared: Arc<Shared>, kind: Kind, request: Request) -> HandlerResult {
    let arrived = shared.now();
    let id = shared.next_id();
    let (parts, body) = request.into_parts();
    let headers = parts.headers;
    let caller = auth::authenticate(&shared, &headers)?;
    let running = Running::try_start(&shared).ok_or(Refusal::Overloaded(Duration::from_secs(1)))?;
    let requested =
        auth::header_number(&headers, "x-request-timeout-ms")?.map(Duration::from_millis);
    let time_limit = admission::time_limit(&caller.plan, requested);
    let (body, hold) = read_body(&shared, body, time_limit).await?;
    let mut prompt = prompt::parse(kind, &body)?;
    let admitted = admit(&shared, &caller, &headers, &prompt)?;
    let cost = Cost {
        tokens: admitted.prompt_tokens + prompt.answer_tokens,
    };
    let permit = limits::acquire(&shared, &caller.workspace, cost);
    let permit = exit::unless_closing(&shared, permit).await;
    let permit = permit.inspect_err(|refusal| {
        shared.record(id, refusal.code(), refusal.to_string());
    })?;
    if prefers_async(&headers) {
        if shared.shutdown.has_reached(Stage::Closing) {
            return Err(exit::not_run());
        }
        return defer(&shared, caller, id, &prompt, body, admitted).await;
    }
    drop(body);
    let trace = auth::header_text(&headers, "traceparent").to_owned();
    let work = new_work(
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
        admitted.time_limit.as_millis()
    );
    shared.record(id, "admitted", reason);
    let items = serve::start(&shared, work, (running, permit, hold));
    let signer = Signer {
        key: shared.settings.fleet_key.clone(),
        prompt_digest: admitted.digest,
    };
    let builder = Builder {
        id,
        created: arrived.as_millis() / 1_000,
        model: prompt.model.clone(),
        kind,
        max_tokens: prompt.answer_tokens,
    };
    Ok(respond(builder, signer, &prompt, items).await)
}

/// Properties of a request that admission computes.
struct Admitted {
    /// Estimated length of the prompt.
    prompt_tokens: u64,
    /// Digest of the prompt; ties a `Last-Event-ID` to it.
    digest: u64,
    /// Answer tokens that the caller already has.
    delivered: u64,
    time_limit: Duration,
}

/// Checks a request against the caller's plan, the admission rules and the usage list.
fn admit(
    shared: &Shared,
    caller: &Caller,
    headers: &HeaderMap,
    prompt: &Prompt,
) -> Result<Admitted, Refusal> {
    let requested =
        auth::header_number(headers, "x-request-timeout-ms")?.map(Duration::from_millis);
    let prompt_tokens = cost::estimate_tokens(prompt.text.len());
    let context = Context {
        plan: &caller.plan,
        target: Target::Model(&prompt.model),
        prompt_tokens,
        answer_tokens: prompt.answer_tokens,
        time_limit: requested,
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
        delivered: delivered_tokens(shared, headers, digest)?,
        time_limit: admission::time_limit(&caller.plan, requested),
    })
}

/// Returns the number of answer tokens that the caller already has, from its `Last-Event-ID`.
///
/// Fails if the identifier has no valid signature or belongs to another prompt.
fn delivered_tokens(shared: &Shared, headers: &HeaderMap, digest: u64) -> Result<u64, Refusal> {
    let text = auth::header_text(headers, "last-event-id");
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

/// Creates the `Work` of an admitted request, and moves the text out of `prompt`.
fn new_work(
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
        run_id: id,
        workspace: workspace.clone(),
        model: Model::from(prompt.model.as_str()),
        adapter: prompt.adapter.clone(),
        prefix: cost::prefix_hashes(&prompt.text),
        prompt_tokens: admitted.prompt_tokens,
        prompt: std::mem::take(&mut prompt.text),
        answer_tokens: prompt.answer_tokens,
        delivered: admitted.delivered,
        arrived,
        deadline: arrived + admitted.time_limit,
        deferred: false,
        forwarded: false,
        avoid_domains: Vec::new(),
        sent: false,
        span,
    }
}

/// Whether the request carries `Prefer: respond-async`.
fn prefers_async(headers: &HeaderMap) -> bool {
    auth::header_text(headers, "prefer").contains("respond-async")
}

/// Accepts a request as a deferred one and responds with status 202 and its location.
async fn defer(
    shared: &Arc<Shared>,
    caller: Caller,
    id: Id,
    prompt: &Prompt,
    body: Vec<u8>,
    admitted: Admitted,
) -> HandlerResult {
    let deferred = Deferred {
        request: id,
        workspace: caller.workspace,
        owner: shared.incarnation,
        path: prompt.kind.path().to_owned(),
        body: String::from_utf8(body).unwrap_or_default(),
        remaining: admitted.time_limit,
        answer: None,
    };
    let copies = deferred::accept(shared, deferred).await?;
    shared.record(
        id,
        "deferred",
        format!(
            "limit_ms={} copies={copies}",
            admitted.time_limit.as_millis()
        ),
    );
    let location = format!("/v1/deferred/{id}");
    let body = json!({ "id": id.to_string(), "status": "pending", "copies": copies, "location": location });
    let mut response = json_response(StatusCode::ACCEPTED, &body);
    error::set_request_id(&mut response, id);
    Ok(response)
}

/// Runs a deferred request to its end and returns the HTTP status and JSON body of its answer.
pub(crate) async fn run_deferred(shared: &Arc<Shared>, deferred: &Deferred) -> (u16, String) {
    let kind = Kind::from_path(&deferred.path);
    let mut prompt = match prompt::parse(kind, deferred.body.as_bytes()) {
        Ok(prompt) => prompt,
        Err(refusal) => {
            return (
                refusal.status(),
                error::body(&refusal, Some(deferred.request)).to_string(),
            );
        }
    };
    let admitted = Admitted {
        prompt_tokens: cost::estimate_tokens(prompt.text.len()),
        digest: Digest::of(&prompt.text),
        delivered: 0,
        time_limit: deferred.remaining,
    };
    let now = shared.now();
    let mut work = new_work(
        shared,
        &deferred.workspace,
        deferred.request,
        now,
        &mut prompt,
        &admitted,
        "",
    );
    work.run_id = shared.next_id();
    work.deferred = true;
    let items = serve::start(shared, work, Running::try_start(shared));
    let builder = Builder {
        id: deferred.request,
        created: now.as_millis() / 1_000,
        model: prompt.model.clone(),
        kind,
        max_tokens: prompt.answer_tokens,
    };
    match collect(items).await {
        Ok(completion) => (200, builder.completion(&completion).to_string()),
        Err(refusal) => (
            refusal.status(),
            error::body(&refusal, Some(deferred.request)).to_string(),
        ),
    }
}
