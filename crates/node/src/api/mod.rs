//! HTTP API for callers and operators.

mod auth;
mod complete;
mod document;
mod error;
mod prompt;
mod service;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use buffer::{Error, Hold, Limits};
use http::StatusCode;
use http_body_util::BodyExt;
use kernel::lists::Change;
use kernel::outcome::{Outcome, Refusal};
use kernel::request::Id;
use serde_json::{Value, json};
use shutdown::Stage;
use tokio::time::{sleep, timeout};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};

use crate::shared::Shared;
use crate::{deferred, exit, follow, observe, status};

pub(crate) use complete::run_deferred;

/// Builds the router with all routes of a node.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(bind(shared, complete::chat)))
        .route("/v1/completions", post(bind(shared, complete::text)))
        .route("/v1/models", get(bind(shared, models)))
        .route(
            "/v1/services/{service}/{call}",
            post(bind_path(shared, service::call)),
        )
        .route("/v1/deferred/{id}", get(bind_path(shared, deferred_status)))
        .route("/operator/status", get(bind(shared, operator_status)))
        .route(
            "/operator/explain/{id}",
            get(bind_path(shared, operator_explain)),
        )
        .route("/operator/publish", post(bind(shared, operator_publish)))
        .route("/operator/lists", get(bind(shared, operator_lists)))
        .route("/metrics", get(bind(shared, metrics)))
        .route("/healthz", get(bind(shared, healthy)))
        .route("/readyz", get(bind(shared, ready)))
}

/// A handler's response, or a refusal that is converted to an error response.
type HandlerResult = Result<Response, Refusal>;

/// Binds a handler to the node's shared state and converts its refusals to responses.
fn bind<F, Fut>(
    shared: &Arc<Shared>,
    handler: F,
) -> impl FnOnce(Request) -> std::pin::Pin<Box<dyn Future<Output = Response> + Send>>
+ Clone
+ Send
+ use<F, Fut>
where
    F: FnOnce(Arc<Shared>, Request) -> Fut + Clone + Send,
    Fut: Future<Output = HandlerResult> + Send + 'static,
{
    let shared = Arc::clone(shared);
    move |request: Request| {
        let future = handler(shared, request);
        Box::pin(async move {
            future
                .await
                .unwrap_or_else(|refusal| error::response(&refusal, None))
        })
    }
}

/// Like [`bind`], for a handler that also takes the path parameters.
fn bind_path<P, F, Fut>(
    shared: &Arc<Shared>,
    handler: F,
) -> impl FnOnce(PathParams<P>, Request) -> std::pin::Pin<Box<dyn Future<Output = Response> + Send>>
+ Clone
+ Send
+ use<P, F, Fut>
where
    F: FnOnce(Arc<Shared>, P, Request) -> Fut + Clone + Send,
    Fut: Future<Output = HandlerResult> + Send + 'static,
{
    let shared = Arc::clone(shared);
    move |path: PathParams<P>, request: Request| {
        let future = handler(shared, path.0, request);
        Box::pin(async move {
            future
                .await
                .unwrap_or_else(|refusal| error::response(&refusal, None))
        })
    }
}

fn json_response(status: StatusCode, body: &Value) -> Response {
    let mut response = Response::new(Body::from(body.to_string()));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn text_response(status: StatusCode, text: String) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

/// Maximum time for which a body waits for room in memory.
const PATIENCE: Duration = Duration::from_millis(700);
/// Maximum time for which the rest of a refused body is read and dropped, so that its caller can read the
/// response.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Maximum time for which a body is still read while the node shuts down.
const LATE_BODY_TIME: Duration = Duration::from_millis(300);
/// `Retry-After` of requests for whose body there is no room.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads the complete body within `time`. The hold stands for its memory, and must be kept as long as the
/// body or a copy of it.
///
/// Fails if the body exceeds `admission.body_bytes`, does not arrive in time or has no room.
async fn read_body(
    shared: &Shared,
    mut body: Body,
    time: Duration,
) -> Result<(Vec<u8>, Hold), Refusal> {
    let limits = Limits {
        bytes: shared.settings.admission.body_bytes,
        patience: PATIENCE.min(time / 3),
    };
    let hold = shared.bodies.open_incoming();
    let reading = buffer::fill(&mut body, hold, limits, |_| {});
    let is_late = async {
        shared.shutdown.wait_until(Stage::Closing).await;
        sleep(LATE_BODY_TIME).await;
    };
    let read = tokio::select! {
        read = timeout(time, reading) => read,
        () = is_late => return Err(exit::not_run()),
    };
    let error = match read {
        Ok(Ok(filled)) => return Ok(filled),
        Ok(Err(error)) => error,
        Err(_) => return Err(Refusal::TimedOut(Outcome::NotRun)),
    };
    if matches!(error, Error::TooLarge(_) | Error::Full) {
        tokio::spawn(timeout(DISCARD_TIME, discard(body, limits.bytes)));
    }
    Err(match error {
        Error::TooLarge(limit) => {
            let what = format!("the body is larger than {limit} bytes");
            Refusal::Invalid(what, "send a smaller one".to_owned())
        }
        Error::Broken(_) => {
            let what = "the body is incomplete".to_owned();
            Refusal::Invalid(what, "send it again".to_owned())
        }
        Error::Full => {
            let what = "there is no room for the body".to_owned();
            Refusal::Unavailable(what, ROOM_RETRY_AFTER)
        }
        Error::Stalled => {
            let what = "the body stopped, and others need its room".to_owned();
            Refusal::Unavailable(what, ROOM_RETRY_AFTER)
        }
    })
}

/// Reads up to twice `limit` bytes of a refused body and drops them.
async fn discard(mut body: Body, limit: usize) {
    let mut dropped = 0;
    while dropped <= 2 * limit
        && let Some(Ok(frame)) = body.frame().await
    {
        dropped += frame.data_ref().map_or(0, bytes::Bytes::len);
    }
}

/// Handles `/v1/models`: lists the models of the usage list that the caller's plan allows.
async fn models(shared: Arc<Shared>, request: Request) -> HandlerResult {
    let caller = auth::authenticate(&shared, request.headers())?;
    let lists = shared.tables.lists();
    let listed = lists.usage().models.iter().filter(|model| {
        caller
            .plan
            .models
            .iter()
            .any(|name| name == model.name.as_str())
    });
    let entries: Vec<_> = listed
        .map(|model| {
            json!({
                "id": model.name.as_str(),
                "object": "model",
                "created": 0,
                "owned_by": "filbertstage",
            })
        })
        .collect();
    Ok(json_response(
        StatusCode::OK,
        &json!({ "object": "list", "data": entries }),
    ))
}

/// Handles `/v1/deferred/{id}`: responds with the answer, or with status 202 while it is pending.
///
/// A request of another workspace counts as not found.
async fn deferred_status(shared: Arc<Shared>, id: String, request: Request) -> HandlerResult {
    let caller = auth::authenticate(&shared, request.headers())?;
    let not_found = || {
        let what = format!("no deferred request {id:?}");
        Refusal::NotFound(what, "use the id from the 202 answer".to_owned())
    };
    let parsed: Id = id.parse().map_err(|_| not_found())?;
    let deferred = deferred::find_anywhere(&shared, parsed).await;
    let deferred = deferred
        .filter(|deferred| deferred.workspace == caller.workspace)
        .ok_or_else(not_found)?;
    match deferred.answer {
        Some((status, body)) => {
            let status = StatusCode::from_u16(status).unwrap_or_default();
            let body = serde_json::from_str(&body).unwrap_or(Value::Null);
            Ok(json_response(status, &body))
        }
        None => Ok(json_response(
            StatusCode::ACCEPTED,
            &json!({ "id": id, "status": "pending" }),
        )),
    }
}

async fn operator_status(shared: Arc<Shared>, request: Request) -> HandlerResult {
    auth::require_operator(&shared, request.headers())?;
    Ok(json_response(StatusCode::OK, &status::fleet(&shared).await))
}

async fn operator_explain(shared: Arc<Shared>, id: String, request: Request) -> HandlerResult {
    auth::require_operator(&shared, request.headers())?;
    let parsed: Id = id.parse().map_err(|error: kernel::request::ParseError| {
        Refusal::Invalid(format!("{id:?}"), error.to_string())
    })?;
    Ok(json_response(
        StatusCode::OK,
        &status::explain(&shared, parsed).await,
    ))
}

async fn metrics(shared: Arc<Shared>, _request: Request) -> HandlerResult {
    use std::sync::atomic::Ordering;
    let host = shared.host.as_str();
    observe::set_gauge(
        "filbertstage_running",
        host,
        shared.running.load(Ordering::SeqCst),
    );
    observe::set_gauge(
        "filbertstage_held_at_endpoints",
        host,
        shared.tables.ledger.lock().len(),
    );
    let waiting = shared
        .tables
        .pools
        .lock()
        .values()
        .map(|local| local.pool.waiting())
        .sum();
    observe::set_gauge("filbertstage_waiting", host, waiting);
    Ok(text_response(StatusCode::OK, telemetry::metrics::render()))
}

async fn healthy(_shared: Arc<Shared>, _request: Request) -> HandlerResult {
    Ok(text_response(StatusCode::OK, "alive\n".to_owned()))
}

async fn ready(shared: Arc<Shared>, _request: Request) -> HandlerResult {
    if shared.ready() {
        return Ok(text_response(StatusCode::OK, "ready\n".to_owned()));
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Ok(text_response(
        status,
        "not ready: draining, or no lists yet\n".to_owned(),
    ))
}

/// Maximum time in which a published change must arrive.
const PUBLISH_TIME: Duration = Duration::from_secs(30);

/// Handles `/operator/publish`: appends a list change and responds with its verdict.
async fn operator_publish(shared: Arc<Shared>, request: Request) -> HandlerResult {
    let (parts, body) = request.into_parts();
    auth::require_operator(&shared, &parts.headers)?;
    let (body, _hold) = read_body(&shared, body, PUBLISH_TIME).await?;
    let change: Change = serde_json::from_slice(&body).map_err(|error| {
        let what = format!("the body is not a change: {error}");
        Refusal::Invalid(what, "follow schemas/lists.schema.json".to_owned())
    })?;
    let verdict = follow::publish_change(&shared, &change).await?;
    Ok(json_response(StatusCode::OK, &json!(verdict)))
}

/// Handles `/operator/lists`: responds with the lists in force and their versions.
async fn operator_lists(shared: Arc<Shared>, request: Request) -> HandlerResult {
    auth::require_operator(&shared, request.headers())?;
    let state = shared.tables.fold.lock().state().clone();
    let lists = json!({
        "plans_version": state.plans_version,
        "plans": state.plans,
        "usage_version": state.usage_version,
        "usage": state.usage,
    });
    Ok(json_response(StatusCode::OK, &lists))
}
