//! The messages that nodes exchange.

use std::time::Duration;

use kernel::journal;
use kernel::membership;
use kernel::name::{Domain, Host, Model, Service, Workspace};
use kernel::outcome::Refusal;
use kernel::request;
use kernel::schedule::{Grant, Job, Summary};
use kernel::share::Limit;
use serde::{Deserialize, Serialize};

/// A node's periodic message to other nodes, sent over UDP a few times per second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's membership entries and counters, with its own entry first.
    #[serde(rename = "news")]
    pub update: membership::Update,
    /// Summaries of pools, or none in heartbeats that carry membership only.
    pub pools: Vec<Pool>,
}

/// The load summary of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's failure domain.
    pub domain: Domain,
    /// The pool's model.
    pub model: Model,
    /// The node that owns the pool.
    pub host: Host,
    /// The owner's heartbeat counter at the time of the summary; a higher one is newer.
    pub counter: u64,
    /// Number of engines and waiting requests, and predicted waits.
    #[serde(rename = "digest")]
    pub summary: Summary,
}

/// A request that is forwarded to another failure domain to run there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Identifier of the request.
    pub request: request::Id,
    /// Workspace that the request is charged to. The sender has checked its plan limits.
    pub workspace: Workspace,
    /// Model to run.
    pub model: Model,
    /// Adapter of the model, if any.
    pub adapter: Option<String>,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of answer tokens that the caller has already received.
    pub delivered: u64,
    /// Maximum number of answer tokens.
    pub answer_tokens: u64,
    /// Time until the request must have ended.
    pub remaining: Duration,
    /// The `traceparent` header of the trace that the request belongs to.
    pub trace: String,
}

/// A request to borrow a share of a plan limit from another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrow {
    /// Workspace whose limit is borrowed.
    pub workspace: Workspace,
    /// The limit to borrow from.
    pub limit: Limit,
}

/// A call to a plain service that is forwarded to another failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Identifier of the request.
    pub request: request::Id,
    /// Workspace that the call is charged to.
    pub workspace: Workspace,
    /// Service to call.
    pub service: Service,
    /// Name of the call within the service.
    pub call: String,
    /// The caller's idempotency key.
    pub key: String,
    /// Body of the call.
    pub body: String,
    /// Time until the request must have ended.
    pub remaining: Duration,
}

/// A deferred request and its answer, as stored on two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deferred {
    /// Identifier of the request.
    pub request: request::Id,
    /// Workspace that may fetch the answer.
    pub workspace: Workspace,
    /// Incarnation of the node that owns and runs the request.
    pub owner: request::Incarnation,
    /// Path of the API call.
    pub path: String,
    /// Body of the API call.
    pub body: String,
    /// Time until the request must have ended.
    pub remaining: Duration,
    /// HTTP status and body of the final answer, once the request has ended.
    pub answer: Option<(u16, String)>,
}

/// A message that nodes exchange over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks the owner of a pool for an engine. The ticket lasts as long as the connection.
    Ticket(Box<Job>),
    /// The ticket is still waiting, or the forwarded request is still running. Keeps the connection
    /// alive.
    Waiting,
    /// The attempt of the ticket may start.
    Grant(Grant),
    /// The ticket, forwarded request, call or copy was refused.
    Refused(Refusal),
    /// The first token of the ticket's attempt has arrived.
    FirstToken,
    /// The ticket's attempt has ended.
    Done,
    /// Forwards a request to another failure domain.
    Forward(Box<Forward>),
    /// The index and text of an answer token of a forwarded request.
    Token(u64, String),
    /// The answer of a forwarded request is complete. Carries the numbers of prompt, answer and
    /// cached tokens.
    End(u64, u64, u64),
    /// Forwards a service call to another failure domain.
    Call(Box<Call>),
    /// HTTP status and body of a service's answer.
    Answer(u16, String),
    /// Asks to borrow a share of a plan limit.
    Borrow(Borrow),
    /// The amount of the limit that is lent.
    Lent(f64),
    /// Asks for the lists if the peer's next log offset is higher than this one.
    Lists(u64),
    /// The lists as JSON, or `None` if the peer has none that are newer.
    State(Option<String>),
    /// Asks for the decisions that the peer recorded on a request.
    Explain(request::Id),
    /// The recorded decisions, oldest first.
    Entries(Vec<journal::Entry>),
    /// Asks for the peer's status.
    Status,
    /// The status of a node as JSON.
    Report(String),
    /// Asks the peer to store a copy of a deferred request.
    Keep(Box<Deferred>),
    /// Asks for the peer's copy of a deferred request.
    Fetch(request::Id),
    /// The deferred request, or `None` if the node has no copy.
    Deferred(Option<Box<Deferred>>),
    /// The copy of the deferred request is stored.
    Ack,
}
