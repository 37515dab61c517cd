//! Filters hop-by-hop headers and builds the relay's own error responses.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode, response};

use crate::body::Body;

/// Headers that are never forwarded, in addition to those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Returns the headers to forward: all except hop-by-hop headers and `Content-Length`.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let named = value.to_str().unwrap_or_default().split(',');
        for name in named.filter_map(|name| HeaderName::try_from(name.trim()).ok()) {
            kept.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    kept.remove(header::CONTENT_LENGTH);
    kept
}

/// Returns the size of a request's headers as the client sent them, in bytes, without the request
/// line.
#[must_use]
pub fn encoded_len(headers: &HeaderMap) -> usize {
    /// Colon, space, and the two bytes of the line ending.
    const SEPARATORS: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum()
}

/// Builds an error response of the relay itself, with `reason` in a JSON body.
///
/// `retry_after` sets the `Retry-After` header, in seconds with two decimals.
#[must_use]
pub fn error_response(
    status: StatusCode,
    retry_after: Option<Duration>,
    reason: &str,
) -> Response<Body> {
    let text = format!("{{\"error\":\"{reason}\"}}\n");
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.2}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// What the responses of all endpoints to one stream have in common, when one goes on for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Format {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl Format {
    /// Returns the format that a response's head states.
    #[must_use]
    pub fn of(head: &response::Parts) -> Self {
        Self {
            status: head.status,
            content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
        }
    }

    /// Whether the response is a success.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }
}
