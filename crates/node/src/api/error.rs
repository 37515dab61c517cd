//! Converts refusals to HTTP responses with a JSON body.

use http::{HeaderValue, StatusCode};
use kernel::outcome::Refusal;
use kernel::request::Id;
use serde_json::{Value, json};
use volo_http::response::Response;

use super::json_response;

/// Builds the JSON body of a refusal.
pub(super) fn body(refusal: &Refusal, id: Option<Id>) -> Value {
    let kind = if refusal.status() < 500 {
        "invalid_request_error"
    } else {
        "server_error"
    };
    json!({
        "error": {
            "message": refusal.to_string(),
            "type": kind,
            "code": refusal.code(),
            "param": null,
            "outcome": refusal.outcome().as_str(),
            "request_id": id.map(|id| id.to_string()),
        }
    })
}

/// Builds the HTTP response of a refusal, with `Retry-After` if a retry may succeed.
pub(super) fn response(refusal: &Refusal, id: Option<Id>) -> Response {
    let status = StatusCode::from_u16(refusal.status()).unwrap_or_default();
    let mut response = json_response(status, &body(refusal, id));
    if let Some(seconds) = refusal.retry_after() {
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(id) = id {
        set_request_id(&mut response, id);
    }
    response
}

/// Sets the `X-Request-Id` header.
pub(super) fn set_request_id(response: &mut Response, id: Id) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert("x-request-id", value);
    }
}
