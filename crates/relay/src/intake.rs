//! Reads the bodies of requests within the memory and the time that they may take.

use std::time::Duration;

use buffer::{Buffers, Error, Limits};
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::timeout;

use crate::fingerprint::Hasher;
use crate::observe;

/// Maximum time for which a body waits for room in memory. Clients give a request up that is not read
/// within a second.
const PATIENCE: Duration = Duration::from_millis(700);
/// Shortest `Retry-After` of a request for whose body there was no room.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time over which the retries of the clients that are refused meanwhile are spread.
const RETRY_SPREAD: Duration = Duration::from_secs(1);
/// Maximum time for which the rest of a refused request's body is read and dropped, so that its client
/// can read the response.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Why a request is refused while its body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub status: StatusCode,
    pub retry_after: Option<Duration>,
    pub reason: &'static str,
}

impl Rejection {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// The request was not read in time.
    const TOO_SLOW: Self = Self::new(
        StatusCode::REQUEST_TIMEOUT,
        "the body did not arrive in time: send it again",
    );

    fn of(error: &Error, random: f64) -> Self {
        match error {
            Error::TooLarge(_) => Self::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is larger than the limit: send less",
            ),
            Error::Full => Self {
                retry_after: Some(RETRY_AFTER + RETRY_SPREAD.mul_f64(random)),
                ..Self::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "there is no room for the body now: come back later",
                )
            },
            Error::Stalled => Self::TOO_SLOW,
            Error::Broken(_) => Self::new(
                StatusCode::BAD_REQUEST,
                "the body cannot be read: send it with its length or in whole chunks",
            ),
        }
    }
}

/// Reads a whole body of at most `limit` bytes within `time`, and hashes it as it arrives.
pub(crate) async fn read(
    mut body: Incoming,
    buffers: &Buffers,
    limit: usize,
    time: Duration,
) -> Result<(Bytes, Hasher), Rejection> {
    let mut hasher = Hasher::default();
    let limits = Limits {
        bytes: limit,
        patience: PATIENCE.min(time / 3),
    };
    let hold = buffers.open_incoming();
    let reading = buffer::read(&mut body, hold, limits, |bytes| hasher.update(bytes));
    let error = match timeout(time, reading).await {
        Ok(Ok(whole)) => return Ok((whole, hasher)),
        Ok(Err(error)) => error,
        Err(_) => {
            observe::count_refused_body("late");
            return Err(Rejection::TOO_SLOW);
        }
    };
    observe::count_refused_body(match error {
        Error::TooLarge(_) => "too_large",
        Error::Full => "no_room",
        Error::Stalled => "stalled",
        Error::Broken(_) => "broken",
    });
    if error == Error::Full {
        tokio::spawn(timeout(DISCARD_TIME, discard(body, limit)));
    }
    Err(Rejection::of(&error, rand::rng().random()))
}

/// Reads up to `limit` bytes of a body and drops them.
async fn discard(mut body: Incoming, limit: usize) {
    let mut dropped = 0;
    while dropped <= limit
        && let Some(Ok(frame)) = body.frame().await
    {
        dropped += frame.data_ref().map_or(0, Bytes::len);
    }
}
