//! HTTP client of the demo, the measurements and the end-to-end tests: sends requests and checks
//! every answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use kernel::outcome::Outcome;
use provider::http::{Call, Client, Error};
use serde::Serialize;
use serde_json::{Value, json};
use volo_http::client::sse::SseExt;

use crate::fleet::MODEL;

/// Time that a caller waits beyond a request's time limit before a missing answer counts as late.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Maximum wait until a node accepts a deferred request.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The complete and correct answer arrived.
    Whole,
    /// The request was refused before any part of it ran.
    NotRun,
    /// The request failed and can be repeated safely.
    Failed,
    /// It is unknown whether the call ran.
    Unknown,
    /// The answer is malformed or differs from the expected one.
    Wrong,
    /// The request did not end within its time limit and [`DEADLINE_GRACE`].
    Late,
    /// The node was unreachable, or the connection to it broke.
    NodeLost,
}

impl End {
    const fn from_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::NotRun,
            Outcome::Failed => Self::Failed,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

/// The recorded reply to a completion request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How the request ended.
    pub end: End,
    /// Time from sending the request to the first token, if one arrived.
    pub first_token: Option<Duration>,
    /// Time from sending the request to its end.
    pub total: Duration,
    /// The identifier from the `x-request-id` header, or an empty text.
    pub request_id: String,
    /// The identifier of the last event, from which another node can resume the stream.
    pub last_event_id: String,
    /// The received text.
    pub text: String,
    /// The error's code and message, or an empty text.
    pub error: String,
}

/// A text completion request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The workspace's bearer key.
    pub key: &'a str,
    /// The name of the model.
    pub model: &'a str,
    /// The prompt's text.
    pub prompt: &'a str,
    /// Maximum length of the answer, in tokens.
    pub answer_tokens: u64,
    /// The time limit, sent as `x-request-timeout-ms`.
    pub time_limit: Duration,
    /// The identifier of the event to resume after, or an empty text to start anew.
    pub last_event_id: &'a str,
}

impl<'a> Request<'a> {
    /// Creates a request to the fleet's model that does not resume an earlier stream.
    #[must_use]
    pub const fn new(
        key: &'a str,
        prompt: &'a str,
        answer_tokens: u64,
        time_limit: Duration,
    ) -> Self {
        Self {
            key,
            model: MODEL,
            prompt,
            answer_tokens,
            time_limit,
            last_event_id: "",
        }
    }
}

/// Sends a streaming completion request and checks the answer's text.
///
/// The text of a resumed stream is not checked, because it lacks the first part.
pub async fn complete(address: SocketAddr, request: Request<'_>) -> Reply {
    complete_with(address, request, &mut |_| {}).await
}

/// Like [`complete`], and calls `on_token` after each token with the number of tokens so far.
pub async fn complete_with(
    address: SocketAddr,
    request: Request<'_>,
    on_token: &mut (dyn FnMut(usize) + Send),
) -> Reply {
    let started = Instant::now();
    let mut reply = Reply {
        end: End::NodeLost,
        first_token: None,
        total: Duration::ZERO,
        request_id: String::new(),
        last_event_id: String::new(),
        text: String::new(),
        error: String::new(),
    };
    let end = tokio::time::timeout(
        request.time_limit + DEADLINE_GRACE,
        stream(address, request, started, &mut reply, on_token),
    )
    .await;
    reply.end = end.unwrap_or(End::Late);
    reply.total = started.elapsed();
    if request.last_event_id.is_empty() {
        let expected = fakes::text::answer(request.prompt, request.answer_tokens);
        let completed = reply.end == End::Whole;
        if !expected.starts_with(&reply.text) || (completed && expected != reply.text) {
            reply.end = End::Wrong;
        }
    }
    reply
}

async fn stream(
    address: SocketAddr,
    request: Request<'_>,
    started: Instant,
    reply: &mut Reply,
    on_token: &mut (dyn FnMut(usize) + Send),
) -> End {
    let mut tokens = 0;
    let body = json!({
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.answer_tokens,
        "stream": true,
    });
    let time_limit_ms = request.time_limit.as_millis().to_string();
    let authorization = format!("Bearer {}", request.key);
    let headers = [
        ("authorization", authorization.as_str()),
        ("x-request-timeout-ms", time_limit_ms.as_str()),
        ("last-event-id", request.last_event_id),
    ];
    let call = Call {
        method: Method::POST,
        path: "/v1/completions",
        headers: &headers,
        body: bytes::Bytes::from(body.to_string()),
    };
    let client = Client::new(address);
    let Ok(response) = client.send(call, request.time_limit + DEADLINE_GRACE).await else {
        return End::NodeLost;
    };
    if let Some(request_id) = response.headers().get("x-request-id") {
        request_id
            .to_str()
            .unwrap_or_default()
            .clone_into(&mut reply.request_id);
    }
    if !response.status().is_success() {
        return read_error(response.into_body(), reply).await;
    }
    let Ok(mut reader) = response.into_sse() else {
        return End::Wrong;
    };
    loop {
        let Ok(Some(event)) = reader.read().await else {
            return End::NodeLost;
        };
        let data = event.data().unwrap_or_default();
        if data == "[DONE]" {
            return End::Whole;
        }
        let Ok(document) = serde_json::from_str::<Value>(data) else {
            return End::Wrong;
        };
        if document.get("error").is_some() {
            return record_error(&document, reply);
        }
        let text = document["choices"][0]["text"].as_str().unwrap_or_default();
        if !text.is_empty() {
            reply.first_token.get_or_insert_with(|| started.elapsed());
            reply.text.push_str(text);
            tokens += 1;
            on_token(tokens);
        }
        if let Some(id) = event.id() {
            id.clone_into(&mut reply.last_event_id);
        }
    }
}

async fn read_error(body: volo_http::body::Body, reply: &mut Reply) -> End {
    use volo_http::body::BodyConversion;
    let Ok(body) = body.into_vec().await else {
        return End::NodeLost;
    };
    match serde_json::from_slice(&body) {
        Ok(document) => record_error(&document, reply),
        Err(_) => End::Wrong,
    }
}

fn record_error(document: &Value, reply: &mut Reply) -> End {
    let error = &document["error"];
    let message = error["message"].as_str().unwrap_or_default();
    reply.error = format!("{}: {message}", error["code"].as_str().unwrap_or_default());
    match serde_json::from_value(error["outcome"].clone()) {
        Ok(outcome) => End::from_outcome(outcome),
        Err(_) => End::Wrong,
    }
}

/// Calls the plain service; returns how the call ended and the response body.
pub async fn call(
    address: SocketAddr,
    key: &str,
    path: &str,
    idempotency_key: &str,
    time_limit: Duration,
) -> (End, String) {
    let time_limit_ms = time_limit.as_millis().to_string();
    let authorization = format!("Bearer {key}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("x-request-timeout-ms", time_limit_ms.as_str()),
        ("idempotency-key", idempotency_key),
    ];
    let call = Call {
        method: Method::POST,
        path,
        headers: &headers,
        body: bytes::Bytes::from_static(b"{\"gate\": 4}"),
    };
    match Client::new(address)
        .fetch(call, time_limit + DEADLINE_GRACE)
        .await
    {
        Ok(body) => (End::Whole, String::from_utf8_lossy(&body).into_owned()),
        Err(error) => classify_error(error),
    }
}

/// Returns how a failed call ended, with the body of the error response if there is one.
fn classify_error(error: Error) -> (End, String) {
    match error {
        Error::Status(_, body) => {
            let document: Value = serde_json::from_str(&body).unwrap_or_default();
            let outcome = serde_json::from_value(document["error"]["outcome"].clone());
            (outcome.map_or(End::Wrong, End::from_outcome), body)
        }
        Error::Silent => (End::Late, String::new()),
        Error::NotSent(_) | Error::Broken(_) => (End::NodeLost, String::new()),
    }
}

/// Requests a deferred completion.
///
/// Returns [`End::Whole`] and the identifier if the node accepted the request, and otherwise how
/// the call ended and the body of the error response.
pub async fn defer(address: SocketAddr, request: Request<'_>) -> (End, String) {
    let body = json!({
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.answer_tokens,
    });
    let time_limit_ms = request.time_limit.as_millis().to_string();
    let authorization = format!("Bearer {}", request.key);
    let headers = [
        ("authorization", authorization.as_str()),
        ("x-request-timeout-ms", time_limit_ms.as_str()),
        ("prefer", "respond-async"),
    ];
    let call = Call {
        method: Method::POST,
        path: "/v1/completions",
        headers: &headers,
        body: bytes::Bytes::from(body.to_string()),
    };
    match Client::new(address).fetch(call, ACCEPT_TIMEOUT).await {
        Ok(body) => {
            let document: Value = serde_json::from_slice(&body).unwrap_or_default();
            let id = document["id"].as_str().unwrap_or_default().to_owned();
            (End::Whole, id)
        }
        Err(error) => classify_error(error),
    }
}

/// Fetches the state of a deferred request as a JSON document.
///
/// An error status other than 404 and 503 carries a document too: that of a request that failed.
///
/// # Errors
///
/// The text of the error, if the node cannot be reached, answers with status 404 or 503, or
/// returns no JSON.
pub async fn fetch_deferred(address: SocketAddr, key: &str, id: &str) -> Result<Value, String> {
    const TIMEOUT: Duration = Duration::from_secs(2);
    let path = format!("/v1/deferred/{id}");
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let call = Call {
        method: Method::GET,
        path: &path,
        headers: &headers,
        body: bytes::Bytes::new(),
    };
    match Client::new(address).fetch(call, TIMEOUT).await {
        Ok(body) => serde_json::from_slice(&body).map_err(|error| error.to_string()),
        Err(Error::Status(status, body)) if !matches!(status, 404 | 503) => {
            serde_json::from_str(&body).map_err(|error| error.to_string())
        }
        Err(error) => Err(error.to_string()),
    }
}
