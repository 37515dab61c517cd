//! What a caller is told when a request does not end with an answer.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Whether a request without an answer may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request left for an endpoint.
    NotRun,
    /// The request was sent and failed, and it is safe to send again.
    Failed,
    /// The request may have taken effect and must not be sent again under another key.
    Unknown,
}

impl Outcome {
    /// The word used in JSON answers.
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
    /// Why a request ended without an answer. Each message names the remedy.
    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    pub enum Refusal {
        /// The request itself is wrong.
        Invalid(what: String, remedy: String) {
            display("{}: {}", what, remedy)
        }
        /// No key, or a key of no workspace.
        Unauthorized {
            display("the bearer key belongs to no workspace: send a key from the plan list as 'Authorization: Bearer KEY'")
        }
        /// The plan does not allow the request.
        Forbidden(what: String, remedy: String) {
            display("{}: {}", what, remedy)
        }
        /// No such model, service, call or stored request.
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
        /// The prediction says that the request cannot end in time.
        Overloaded(after: Duration) {
            display("the request cannot be finished within its time limit: send it again after {} s or allow more time", ceil_seconds(*after))
        }
        /// Something that the request needs is not reachable now.
        Unavailable(what: String, after: Duration) {
            display("{}: send the request again after {} s", what, ceil_seconds(*after))
        }
        /// The time limit passed.
        TimedOut(outcome: Outcome) {
            display("the time limit passed before the answer was complete: send the request again with a longer time limit")
        }
        /// Every attempt that the retry budget allows has failed.
        Exhausted(attempts: u32, last: String) {
            display("{} attempts failed, the last with {:?}: send the request again", attempts, last)
        }
        /// A call that may not be repeated may have run.
        Unknown(key: String) {
            display("the call with idempotency key {:?} may have run: ask the service about it, and repeat the request with the same key only to read its outcome", key)
        }
    }
}

fn ceil_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

impl Refusal {
    /// The outcome that goes with this refusal.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Exhausted(..) => Outcome::Failed,
            Self::TimedOut(outcome) => *outcome,
            Self::Unknown(_) => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// The HTTP status that goes with this refusal.
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

    /// A short machine-readable code.
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

    /// Seconds after which a repeated request may succeed, where that is known.
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
