//! Jobs: attempts of requests that wait for an engine, and the grants that let them start.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::name::{Endpoint, Model, Workspace};
use crate::request;

/// One attempt of a request, submitted to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The identifier of the attempt.
    pub attempt: request::Attempt,
    /// The workspace that is charged for the request.
    pub workspace: Workspace,
    /// The model that the engine must have loaded.
    pub model: Model,
    /// Tokens to prefill: the prompt and the part of the answer that was already delivered.
    pub prompt_tokens: u64,
    /// Maximum number of answer tokens still to generate.
    pub answer_tokens: u64,
    /// Prefix hashes of the prompt, one for each whole block; see [`crate::cost::prefix_hashes`].
    pub prefix: Vec<u64>,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Time that the request already waited, before this attempt.
    pub waited: Duration,
    /// Whether the request is deferred: it yields to other requests.
    pub deferred: bool,
    /// Endpoints that failed this request before; used only if there are no others.
    pub avoid: Vec<Endpoint>,
}

impl Job {
    /// Returns the KV memory that the request needs at its end, in tokens.
    #[must_use]
    pub const fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// Permission to start an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The attempt that may start.
    pub attempt: request::Attempt,
    /// The engine, or the engines of a gang in order of the prompt's parts.
    pub endpoints: Vec<Endpoint>,
    /// Priority in the engine, the virtual deadline in milliseconds: lower numbers go first.
    pub priority: u64,
    /// Maximum number of prompt tokens to prefill in one engine step for this request.
    pub chunk_tokens: u64,
    /// Prompt tokens of each part of a gang, or of the whole prompt for a single engine.
    pub part_tokens: u64,
    /// Predicted time from the grant to the first token.
    pub predicted: Duration,
    /// Time that the job waited in the pool.
    pub waited: Duration,
}

/// A job in the queue of a pool.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub job: Job,
    /// Virtual deadline; the queue is sorted by it.
    pub rank: Instant,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Shortest prefill time on an idle engine, computed when the job was queued.
    pub idle_prefill_time: Duration,
}
