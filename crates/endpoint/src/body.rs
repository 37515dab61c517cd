//! JSON bodies of the engine interface.

use std::borrow::Cow;

use kernel::request::{Attempt, Incarnation};
use serde::{Deserialize, Serialize};

/// Body of a request for a stream or a part.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRequest<'a> {
    /// The attempt, as text.
    pub attempt: Attempt,
    /// The node that holds the stream.
    pub holder: Incarnation,
    /// The model that must be loaded.
    pub model: String,
    /// The adapter to use.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: Cow<'a, str>,
    /// Handle of the KV cache before the prompt.
    #[serde(default)]
    pub context: Option<String>,
    /// Answer tokens to leave out.
    #[serde(default)]
    pub delivered: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// Order in the engine: a lower number goes first.
    pub priority: u64,
    /// Most prompt tokens in one step.
    pub chunk_tokens: u64,
}

/// Body of a request to free an attempt's memory.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Free {
    /// The attempt.
    pub attempt: Attempt,
}

/// What an engine holds for an attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Holding {
    /// The attempt.
    pub attempt: Attempt,
    /// The node that holds it.
    pub holder: Incarnation,
    /// Whether the node's connection is open.
    pub connected: bool,
    /// KV memory held, in tokens.
    pub kv_tokens: u64,
}

/// Body of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// The model to load.
    pub model: String,
    /// The version to load.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// The fencing number.
    pub fence: u64,
}
