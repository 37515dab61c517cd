//! The endpoints that serve requests: model engines and plain services.
//!
//! The traits separate the node from the endpoints. A kind of endpoint is a plug-in that registers
//! itself with [`inventory::submit!`]; the usage list refers to it by name. The two built-in kinds
//! implement the traits over the HTTP interface that docs/interfaces/endpoints.md describes.
//!
//! ```
//! let kind = filbertstage_endpoint::find("engine").expect("built in");
//! let address = "127.0.0.1:8000".parse().expect("an address");
//! assert!(matches!((kind.connect)(address), filbertstage_endpoint::Client::Engine(_)));
//! ```

pub mod body;
mod engine;
pub mod event;
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
    /// The reason why a request to an engine failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The attempt failed; a retry may succeed.
        Failed(fault: Fault, reason: String) {
            display("{}: {}", fault.as_str(), reason)
        }
        /// The endpoint rejected the request; a retry cannot succeed.
        Refused(reason: String) {
            display("the endpoint rejected the request: {}", reason)
        }
    }
}

impl Error {
    /// Returns the fault under which this error is counted.
    #[must_use]
    pub const fn fault(&self) -> Fault {
        match self {
            Self::Failed(fault, _) => *fault,
            Self::Refused(_) => Fault::Refused,
        }
    }
}

/// A request to an engine for a stream or for the prefill of a part.
#[derive(Clone, Debug)]
pub struct EngineRequest<'a> {
    /// The attempt, to which the engine assigns the memory it uses.
    pub attempt: Attempt,
    /// The incarnation of the node that holds the stream.
    pub holder: Incarnation,
    /// The model, which must be loaded.
    pub model: &'a str,
    /// The adapter to use, if any.
    pub adapter: Option<&'a str>,
    /// The prompt, or one part of it for a gang.
    pub prompt: &'a str,
    /// Handle of the KV cache of the preceding parts, for a gang.
    pub context: Option<&'a str>,
    /// Number of answer tokens that the caller already has; the stream leaves them out.
    pub delivered: u64,
    /// Maximum number of tokens of the whole answer.
    pub answer_tokens: u64,
    /// Priority in the engine; a lower number runs first.
    pub priority: u64,
    /// Maximum number of prompt tokens in one step.
    pub chunk_tokens: u64,
    /// Value of the `traceparent` header.
    pub trace: &'a str,
}

/// Token counts of a finished answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens, as counted by the engine.
    pub prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub answer_tokens: u64,
    /// Prompt tokens that were read from the prefix cache.
    pub cached_tokens: u64,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engine is still processing the prompt.
    Progress,
    /// A token of the answer.
    Token {
        /// Position in the answer, from zero.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    End(Usage),
}

/// A stream of the tokens of one answer.
#[async_trait]
pub trait Stream: Send + Sync {
    /// Returns the next event.
    ///
    /// Fails with [`Fault::Silent`] if there is none within `timeout`, with [`Fault::Broken`] if the
    /// connection is lost, and with [`Fault::Truncated`] if an event is malformed or the stream ends
    /// without its end marker.
    async fn next(&mut self, timeout: Duration) -> Result<Event, Error>;
}

/// A change of an engine's prefix cache. Events may be late, and some may be missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event in its engine.
    pub sequence: u64,
    /// Hashes of the prefixes that were stored.
    pub stored: Vec<u64>,
    /// Hashes of the prefixes that were evicted.
    pub evicted: Vec<u64>,
}

/// The result of the prefill of a part of a gang's prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Handle of the exported KV cache of this part and the preceding ones.
    pub handle: String,
}

/// A model engine.
///
/// Requests fail with [`Error::Failed`] if a retry may succeed, and with [`Error::Refused`] if it
/// cannot.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a stream. `timeout` limits the wait for the engine to accept the request.
    async fn open(
        &self,
        request: EngineRequest<'_>,
        timeout: Duration,
    ) -> Result<Box<dyn Stream>, Error>;

    /// Prefills one part of a gang's prompt within `timeout` and exports the KV cache.
    async fn prefill_part(
        &self,
        request: EngineRequest<'_>,
        timeout: Duration,
    ) -> Result<Part, Error>;

    /// Frees all memory that an attempt holds. The call is idempotent.
    async fn free(&self, attempt: Attempt) -> Result<(), Error>;

    /// Lists the attempts that hold memory.
    async fn holdings(&self) -> Result<Vec<Holding>, Error>;

    /// Returns the load report of the engine, which lags behind the actual load.
    async fn report(&self) -> Result<Report, Error>;

    /// Returns the events of the prefix cache after sequence number `after`.
    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error>;

    /// Orders the engine to load a model, with fencing number `fence`.
    async fn send_order(&self, order: &Order, fence: u64) -> Result<(), Error>;

    /// Closes all idle connections. Callers use it after one connection stopped responding.
    fn close_idle(&self);
}

/// The reason why a call to a plain service brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent, so the call did not run.
    NotSent,
    /// The call may have run.
    Uncertain,
}

/// A plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Makes the call named `call` with idempotency key `key`, within `timeout`. Returns the answer
    /// whatever its status.
    ///
    /// Fails with [`CallError::Uncertain`] also if the answer's body is larger than
    /// [`kernel::claim::MAX_RECORDED_BYTES`].
    async fn call(
        &self,
        call: &str,
        key: &str,
        body: bytes::Bytes,
        timeout: Duration,
    ) -> Result<Answer, CallError>;
}

/// A client of an endpoint.
#[derive(Clone)]
pub enum Client {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn Service>),
}

/// A registered kind of endpoint.
pub struct Kind {
    /// Name of the kind in the usage list.
    pub name: &'static str,
    /// Creates a client, without connecting yet.
    pub connect: fn(SocketAddr) -> Client,
}

inventory::collect!(Kind);

/// Returns the kind of endpoint that is registered as `name`.
#[must_use]
pub fn find(name: &str) -> Option<&'static Kind> {
    inventory::iter::<Kind>().find(|kind| kind.name == name)
}
