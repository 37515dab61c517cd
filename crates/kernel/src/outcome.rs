//! Errors sent to a caller when a request ends without an answer.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Whether a request that ended without an answer may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request was sent to an endpoint.
    NotRun,
    /// The request was sent and failed; it is safe to send it again.
    Failed,
    /// The request may have taken effect and must not be sent again under another key.
    Unknown,
}

impl Outcome {
    /// Returns the value used in JSON responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

quick_error! {
    /// The reason why a request ended without an answer. Each message states a remedy.
    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    pub enum Refusal {
        /// The request is malformed or cannot be served in this form.
        Invalid(what: String, remedy: String) {
            display("{}: {}", what, remedy)
        }
        /// The bearer key is missing or belongs to no workspace.
        Unauthorized {
            display("the bearer key belongs to no workspace: send a key from the plan list as 'Authorization: Bearer KEY'")
        }
        /// The plan does not allow the request.
        Forbidden(what: String, remedy: String) {
            display("{}: {}", what, remedy)
        }
        /// The model, service, call or stored request does not exist.
        NotFound(what: String, remedy: String) {
            display("{}: {}", what, remedy)
        }
        /// The same idempotency key arrived with another body.
        Conflict(key: String) {
            display("idempotency key {:?} was used with another body: use a new key for a new call", key)
        }
        /// A plan limit is reached.
        Limited(what: String, after: Duration) {
            display("{} is reached: send the request again after {} s", what, ceil_seconds(*after))
        }
        /// The request would miss its deadline or make an admitted one late, or a queue is full.
        Overloaded(after: Duration) {
            display("the request cannot be finished within its time limit: send it again after {} s or allow more time", ceil_seconds(*after))
        }
        /// A resource that the request needs is temporarily unreachable.
        Unavailable(what: String, after: Duration) {
            display("{}: send the request again after {} s", what, ceil_seconds(*after))
        }
        /// The time limit passed before the answer was complete.
        TimedOut(outcome: Outcome) {
            display("the time limit passed before the answer was complete: send the request again with a longer time limit")
        }
        /// All attempts that the retry budget allows failed.
        Exhausted(attempts: u32, last: String) {
            display("{} attempts failed, the last with {:?}: send the request again", attempts, last)
        }
        /// A non-idempotent call may have run.
        Unknown(key: String) {
            display("the call with idempotency key {:?} may have run: ask the service about it, and repeat the request with the same key only to read its outcome", key)
        }
    }
}

fn ceil_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

impl Refusal {
    /// Returns whether the request may have taken effect.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Exhausted(..) => Outcome::Failed,
            Self::TimedOut(outcome) => *outcome,
            Self::Unknown(_) => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the HTTP status code of the response.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Invalid(..) => 400,
            Self::Unauthorized => 401,
            Self::Forbidden(..) => 403,
            Self::NotFound(..) => 404,
            Self::Conflict(_) => 409,
            Self::Limited(..) => 429,
            Self::Overloaded(_) | Self::Unavailable(..) => 503,
            Self::TimedOut(_) => 504,
            Self::Exhausted(..) | Self::Unknown(_) => 502,
        }
    }

    /// Returns the machine-readable error code of the response.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Invalid(..) => "invalid_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden(..) => "forbidden",
            Self::NotFound(..) => "not_found",
            Self::Conflict(_) => "idempotency_conflict",
            Self::Limited(..) => "limit_reached",
            Self::Overloaded(_) => "overloaded",
            Self::Unavailable(..) => "unavailable",
            Self::TimedOut(_) => "timed_out",
            Self::Exhausted(..) => "attempts_exhausted",
            Self::Unknown(_) => "outcome_unknown",
        }
    }

    /// Returns the seconds after which a retry may succeed, at least 1, if known.
    #[must_use]
    pub fn retry_after(&self) -> Option<u64> {
        match self {
            Self::Limited(_, after) | Self::Overloaded(after) | Self::Unavailable(_, after) => {
                Some(ceil_seconds(*after).max(1))
            }
            _ => None,
        }
    }
}
