//! A request that waits for an engine, and the grant that ends the wait.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::name::{Endpoint, Model, Workspace};
use crate::request;

/// One attempt of a request that needs an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The attempt.
    pub attempt: request::Attempt,
    /// Who pays for it.
    pub workspace: Workspace,
    /// The model that must be loaded.
    pub model: Model,
    /// Tokens to hold before the answer starts: the prompt and what was already delivered.
    pub prompt_tokens: u64,
    /// Most tokens that are still to be answered.
    pub answer_tokens: u64,
    /// Prefix hashes of the prompt, one for each whole block.
    pub prefix: Vec<u64>,
    /// Time until the request must have ended.
    pub remaining: Duration,
    /// How long the request has waited before this attempt.
    pub waited: Duration,
    /// Whether the request may wait for gaps between others.
    pub deferred: bool,
    /// Endpoints that failed this request before.
    pub avoid: Vec<Endpoint>,
}

impl Job {
    /// Tokens of KV memory that the request holds at its end.
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
    /// The engine, or the engines of a gang in the order of the prompt's parts.
    pub endpoints: Vec<Endpoint>,
    /// Order in the engine: a lower number goes first.
    pub priority: u64,
    /// Prompt tokens that the engine may prefill in one step for this request.
    pub chunk_tokens: u64,
    /// Prompt tokens of each part of a gang; the whole prompt for one engine.
    pub part_tokens: u64,
    /// Predicted time from now to the first token.
    pub predicted: Duration,
    /// How long the job waited in the pool.
    pub waited: Duration,
}

/// A job with its place in the queue.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub job: Job,
    pub rank: Instant,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Prefill time on the best idle engine, when the job was queued.
    pub idle_prefill_time: Duration,
}
