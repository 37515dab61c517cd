//! Headers that concern one connection only, and answers of the relay's own.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Response, StatusCode};

use crate::body::Body;

/// Headers that are never passed on, beside those that `Connection` names.
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

/// The headers that are passed on: all but those of the connection and the body's length.
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

/// Bytes of a request's head as the client sent it, without the request line.
#[must_use]
pub fn encoded_len(headers: &HeaderMap) -> usize {
    /// The colon, the space and the line's end.
    const SEPARATORS: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS)
        .sum()
}

/// An answer of the relay itself; `after` tells when the client may come back.
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
