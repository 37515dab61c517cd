//! The messages between nodes.

use std::time::Duration;

use kernel::journal;
use kernel::membership;
use kernel::name::{Domain, Host, Model, Service, Workspace};
use kernel::outcome::Refusal;
use kernel::request;
use kernel::schedule::{Grant, Job, Summary};
use kernel::share::Limit;
use serde::{Deserialize, Serialize};

/// What a node tells others a few times a second, over UDP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// What the sender knows of members, its own entry first.
    #[serde(rename = "news")]
    pub update: membership::Update,
    /// The pools that the sender knows.
    pub pools: Vec<Pool>,
}

/// The digest of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's failure domain.
    pub domain: Domain,
    /// The pool's model.
    pub model: Model,
    /// The node that owns the pool.
    pub host: Host,
    /// The owner's heartbeat counter when the digest was taken.
    pub counter: u64,
    /// The digest.
    #[serde(rename = "digest")]
    pub summary: Summary,
}

/// A request that another failure domain is to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// The request.
    pub request: request::Id,
    /// Who pays for it; its plan was checked by the sender.
    pub workspace: Workspace,
    /// The model.
    pub model: Model,
    /// The adapter, if any.
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Answer tokens that the caller already has.
    pub delivered: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// Time until the request must have ended.
    pub remaining: Duration,
    /// The `traceparent` to continue.
    pub trace: String,
}

/// A request for a part of a plan limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrow {
    /// Whose limit.
    pub workspace: Workspace,
    /// Which limit.
    pub limit: Limit,
}

/// A call of a plain service that another failure domain is to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request.
    pub request: request::Id,
    /// Who pays for it.
    pub workspace: Workspace,
    /// The service.
    pub service: Service,
    /// The call's name.
    pub call: String,
    /// The caller's idempotency key.
    pub key: String,
    /// The body.
    pub body: String,
    /// Time until the request must have ended.
    pub remaining: Duration,
}

/// A deferred request and its answer, as kept on two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deferred {
    /// The request.
    pub request: request::Id,
    /// Who may ask for it.
    pub workspace: Workspace,
    /// The incarnation of the node that runs it.
    pub owner: request::Incarnation,
    /// The call's path.
    pub path: String,
    /// The call's body.
    pub body: String,
    /// Time until the request must have ended.
    pub remaining: Duration,
    /// The final status and answer, once it has ended.
    pub answer: Option<(u16, String)>,
}

/// A message over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks the owner of a pool for an engine; the connection is the ticket.
    Ticket(Box<Job>),
    /// The ticket still waits.
    Waiting,
    /// The ticket's attempt may start.
    Grant(Grant),
    /// The ticket or the forwarded request was refused.
    Refused(Refusal),
    /// The attempt's first token arrived.
    FirstToken,
    /// The attempt has ended.
    Done,
    /// Asks another failure domain to run a request.
    Forward(Box<Forward>),
    /// A token of a forwarded request.
    Token(u64, String),
    /// A forwarded request's answer is whole: prompt, answer and cached tokens.
    End(u64, u64, u64),
    /// Asks another failure domain to make a call.
    Call(Box<Call>),
    /// A service's answer: status and body.
    Answer(u16, String),
    /// Asks for a part of a limit.
    Borrow(Borrow),
    /// The part that is lent.
    Lent(f64),
    /// Asks for the lists if they are newer than this offset.
    Lists(u64),
    /// The folded lists as JSON, or nothing newer.
    State(Option<String>),
    /// Asks for the decisions on a request.
    Explain(request::Id),
    /// Decisions on a request.
    Entries(Vec<journal::Entry>),
    /// Asks for a node's status.
    Status,
    /// A node's status as JSON.
    Report(String),
    /// Keeps a copy of a deferred request.
    Keep(Box<Deferred>),
    /// Asks for a deferred request.
    Fetch(request::Id),
    /// A deferred request, if it is known.
    Deferred(Option<Box<Deferred>>),
    /// The message was carried out.
    Ack,
}
