//! The endpoints that serve requests: model engines and plain services.
//!
//! The traits are the border of the product. A kind of endpoint is a plug-in that registers itself
//! with [`inventory::submit!`] and is named in the usage list; the HTTP kinds beside them speak the
//! interface that docs/interfaces/endpoints.md expects of the real ones.
//!
//! ```
//! let kind = filbertstage_endpoint::find("engine").expect("built in");
//! let address = "127.0.0.1:8000".parse().expect("an address");
//! assert!(matches!((kind.connect)(address), filbertstage_endpoint::Client::Engine(_)));
//! ```

pub mod body;
mod engine;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use kernel::attempt::Fault;
use kernel::claim::Answer;
use kernel::ledger::Holding;
use kernel::reconcile::Order;
use kernel::request::{Attempt, Incarnation};
use kernel::schedule::Report;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why an endpoint did not do what it was asked.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The attempt failed in a way that a retry may mend.
        Failed(fault: Fault, reason: String) {
            display("{}: {}", fault.as_str(), reason)
        }
        /// Another attempt cannot mend it.
        Refused(reason: String) {
            display("the endpoint refused: {}", reason)
        }
    }
}

impl Error {
    /// The fault that this error counts as.
    #[must_use]
    pub const fn fault(&self) -> Fault {
        match self {
            Self::Failed(fault, _) => *fault,
            Self::Refused(_) => Fault::Refused,
        }
    }
}

/// What starts a stream on an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest<'a> {
    /// The attempt, under which the engine accounts memory.
    pub attempt: Attempt,
    /// The node that holds the stream.
    pub holder: Incarnation,
    /// The model that must be loaded.
    pub model: &'a str,
    /// The adapter to use, if any.
    pub adapter: Option<&'a str>,
    /// The prompt, or the last part of it for a gang.
    pub prompt: &'a str,
    /// Handle of the KV cache of the parts before, for a gang.
    pub context: Option<&'a str>,
    /// Answer tokens that the caller already has.
    pub delivered: u64,
    /// Most tokens of the whole answer.
    pub answer_tokens: u64,
    /// Order in the engine: a lower number goes first.
    pub priority: u64,
    /// Most prompt tokens in one step.
    pub chunk_tokens: u64,
    /// The `traceparent` header to pass on.
    pub trace: &'a str,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt, as the engine counted them.
    pub prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub answer_tokens: u64,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u64,
}

/// Something that a stream delivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engine still works on the prompt.
    Progress,
    /// The answer's token number `index`, from zero.
    Token {
        /// Place in the answer.
        index: u64,
        /// The token's text.
        text: String,
    },
    /// The answer is whole.
    End(Usage),
}

/// A running answer.
#[async_trait]
pub trait Stream: Send + Sync {
    /// The next event, waiting at most `timeout`.
    async fn next(&mut self, timeout: Duration) -> Result<Event, Error>;
}

/// News of an engine's prefix cache; may come late and with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events.
    pub sequence: u64,
    /// Prefixes that are now held.
    pub stored: Vec<u64>,
    /// Prefixes that are no longer held.
    pub evicted: Vec<u64>,
}

/// A part of a gang's KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Names the exported KV cache of all parts so far.
    pub handle: String,
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a stream; `timeout` bounds the wait for its acceptance.
    async fn open(
        &self,
        request: EngineRequest<'_>,
        timeout: Duration,
    ) -> Result<Box<dyn Stream>, Error>;

    /// Prefills one part of a gang's prompt and exports its KV cache.
    async fn prefill_part(
        &self,
        request: EngineRequest<'_>,
        timeout: Duration,
    ) -> Result<Part, Error>;

    /// Frees all that an attempt holds; repeating it is harmless.
    async fn free(&self, attempt: Attempt) -> Result<(), Error>;

    /// Lists what attempts hold.
    async fn holdings(&self) -> Result<Vec<Holding>, Error>;

    /// The engine's lagged load report.
    async fn report(&self) -> Result<Report, Error>;

    /// News of the prefix cache after event number `after`.
    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error>;

    /// Orders the engine to load a model, under a fencing number.
    async fn send_order(&self, order: &Order, fence: u64) -> Result<(), Error>;

    /// Drops idle connections after one of them went silent.
    fn close_idle(&self);
}

/// How a call to a plain service ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent.
    NotSent,
    /// The call may have run.
    Uncertain,
}

/// A plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Makes one call under an idempotency key.
    async fn call(
        &self,
        call: &str,
        key: &str,
        body: bytes::Bytes,
        timeout: Duration,
    ) -> Result<Answer, CallError>;
}

/// A connected endpoint.
#[derive(Clone)]
pub enum Client {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn Service>),
}

/// A registered kind of endpoint.
pub struct Kind {
    /// The name that the usage list uses.
    pub name: &'static str,
    /// Makes a client; nothing is connected yet.
    pub connect: fn(SocketAddr) -> Client,
}

inventory::collect!(Kind);

/// The kind of endpoint called `name`.
#[must_use]
pub fn find(name: &str) -> Option<&'static Kind> {
    inventory::iter::<Kind>().find(|kind| kind.name == name)
}
