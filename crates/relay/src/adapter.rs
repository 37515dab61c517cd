//! The borders of the relay: what a platform's adapter provides.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use http::{HeaderMap, StatusCode};
use kernel::catalogue::{Configuration, Entry};
use kernel::name::{Endpoint, Host, Workspace};
use quick_error::quick_error;

quick_error! {
    /// Why the platform or an endpoint did not do what it was asked.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// It refused, and nothing changed.
        Refused(reason: String) {
            display("refused: {}: try again later", reason)
        }
        /// No answer came; the change may have taken effect, or may do so later.
        Uncertain(reason: String) {
            display("no answer: {}: read back before repeating", reason)
        }
        /// The records that were asked for are no longer kept.
        Truncated {
            display("the records are no longer kept: read the newest of each key")
        }
    }
}

/// What a client's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Identifier of the client's attempt.
    pub id: Option<String>,
    /// How long the client waits.
    pub remaining: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Prompt tokens and most answer tokens.
    pub tokens: Option<(u64, u64)>,
    /// Identifier of the event after which a stream is to go on.
    pub resume_after: Option<String>,
}

/// An engine that helps with reading a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Its address.
    pub address: SocketAddr,
    /// The reserved memory in which it keeps its part.
    pub ticket: Option<String>,
}

/// What an endpoint is told beside the client's own headers.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// The only endpoint that may run the request.
    pub endpoint: &'a Endpoint,
    /// Who asks.
    pub workspace: Option<&'a Workspace>,
    /// How long the client will wait.
    pub remaining: Duration,
    /// Identifier of the event after which a stream is to go on.
    pub resume_after: Option<&'a str>,
    /// Engines that help.
    pub helpers: &'a [Helper],
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the answer to another request.
    Mismatched,
    /// The endpoint did not run the request; it may name the one that was at fault.
    NotRun(Option<SocketAddr>),
    /// The endpoint does not vouch for the answer.
    Unsigned,
    /// It is the endpoint's own answer to this request.
    Valid,
}

/// Reads and writes the headers of a platform.
pub trait Dialect: Send + Sync {
    /// What a client's request says of itself.
    fn parse_request(&self, headers: &HeaderMap) -> Metadata;

    /// The end-to-end headers that an endpoint gets for a client's request.
    fn build_headers(&self, headers: &HeaderMap, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// What the head of an answer to `id` says.
    fn classify_response(
        &self,
        id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseClass;
}

/// What the platform keeps for all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The operator's configurations.
    Configuration,
    /// The endpoints' own entries.
    Endpoints,
    /// The hosts of this system.
    Hosts,
}

impl Topic {
    /// The topic's name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Hosts => "hosts",
        }
    }
}

/// One record of a topic, decoded.
#[derive(Debug)]
pub enum Record {
    /// A configuration was published.
    Configuration(Box<Configuration>),
    /// An endpoint's entry.
    Endpoint(Entry),
    /// An endpoint's entry was removed.
    EndpointRemoved(Endpoint),
    /// A host of this system and its address for other hosts.
    Host(Host, SocketAddr),
    /// A record that cannot be used.
    Unreadable {
        /// The record's key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Facts and the position after them.
#[derive(Debug)]
pub struct Batch {
    /// The facts, oldest first.
    pub records: Vec<Record>,
    /// Where the next reading starts.
    pub next: u64,
}

/// The platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// The newest record of each key of a topic.
    async fn read_newest(&self, topic: Topic) -> Result<Batch, Error>;

    /// The records from position `from`, waiting up to `wait` for the first one.
    async fn read_changes(&self, topic: Topic, from: u64, wait: Duration) -> Result<Batch, Error>;

    /// Tells the other hosts where this one is reached.
    async fn announce(&self, host: &Host, address: SocketAddr) -> Result<(), Error>;
}

/// Memory that an engine sets aside.
#[async_trait]
pub trait Memory: Send + Sync {
    /// Reserves `tokens` under `ticket`, or renews the reservation, for `hold`.
    async fn reserve(
        &self,
        engine: &Entry,
        ticket: &str,
        tokens: u64,
        ttl: Duration,
    ) -> Result<(), Error>;

    /// Frees a reservation; repeating it is harmless.
    async fn release(&self, engine: &Entry, ticket: &str) -> Result<(), Error>;
}
