//! JSON bodies of the HTTP interface of engines.

use std::borrow::Cow;

use kernel::request::{Attempt, Incarnation};
use serde::{Deserialize, Serialize};

/// Body of a request for a stream or for the prefill of a part.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRequest<'a> {
    /// The attempt, serialized as text.
    pub attempt: Attempt,
    /// The incarnation of the node that holds the stream.
    pub holder: Incarnation,
    /// The model, which must be loaded.
    pub model: String,
    /// The adapter to use, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The prompt, or one part of it for a gang.
    pub prompt: Cow<'a, str>,
    /// Handle of the KV cache of the preceding parts, for a gang.
    #[serde(default)]
    pub context: Option<String>,
    /// Number of answer tokens to leave out, since the caller already has them.
    #[serde(default)]
    pub delivered: u64,
    /// Maximum number of tokens of the whole answer.
    pub answer_tokens: u64,
    /// Priority in the engine; a lower number runs first.
    pub priority: u64,
    /// Maximum number of prompt tokens in one step.
    pub chunk_tokens: u64,
}

/// Body of a request to free an attempt's memory.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Free {
    /// The attempt.
    pub attempt: Attempt,
}

/// Memory that an engine holds for an attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Holding {
    /// The attempt.
    pub attempt: Attempt,
    /// The incarnation of the node that holds the stream.
    pub holder: Incarnation,
    /// Whether the connection from the node is open.
    pub connected: bool,
    /// Size of the KV memory, in tokens.
    pub kv_tokens: u64,
}

/// Body of an order to load a model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// The model to load.
    pub model: String,
    /// The version to load.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// The fencing number of the order.
    pub fence: u64,
}
