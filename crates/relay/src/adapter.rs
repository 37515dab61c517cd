//! The traits that a platform's adapter implements, and their types.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use http::{HeaderMap, StatusCode};
use kernel::catalogue::{Configuration, Entry};
use kernel::evacuation::Change;
use kernel::fleet::Announcement;
use kernel::name::{Domain, Endpoint, Workspace};
use kernel::pace::Limit;
use kernel::segment::Segment;
use quick_error::quick_error;
use tokio::sync::Notify;

quick_error! {
    /// Why a call to the platform or to an endpoint failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The call was rejected and changed nothing.
        Refused(reason: String) {
            display("refused: {}: try again later", reason)
        }
        /// No response arrived. The change may have taken effect or may take effect later.
        Uncertain(reason: String) {
            display("no response: {}: check the current state before retrying", reason)
        }
        /// The store no longer keeps the requested records.
        Truncated {
            display("the records are no longer kept: read the newest record of each key")
        }
    }
}

/// Metadata in the headers of a client's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Identifier of the client's attempt.
    pub id: Option<String>,
    /// Time left until the client gives up.
    pub remaining: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Number of prompt tokens and maximum number of answer tokens.
    pub tokens: Option<(u64, u64)>,
    /// Segments of the prompt that other requests may share, in the order of the prompt.
    pub segments: Vec<Segment>,
    /// Identifier of the event after which a resumed stream continues.
    pub resume_after: Option<String>,
}

/// An engine that prefills a part of a prompt for another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Identifier of the memory reservation for its part, if one was made.
    pub ticket: Option<String>,
}

/// What a forwarded request states in addition to the client's own headers.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// The only endpoint that may run the request.
    pub endpoint: &'a Endpoint,
    /// Workspace of the caller.
    pub workspace: Option<&'a Workspace>,
    /// Time left until the client gives up.
    pub remaining: Duration,
    /// Identifier of the event after which a resumed stream continues.
    pub resume_after: Option<&'a str>,
    /// Engines that prefill parts of the prompt.
    pub helpers: &'a [Helper],
    /// Rank among the requests at the endpoint, from 0 (first) to 9 (last); `None` to state none.
    pub urgency: Option<u8>,
}

/// Classification of an endpoint's response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The response belongs to another request.
    Mismatched,
    /// The endpoint did not run the request. Carries the address of the endpoint at fault if the
    /// response names one.
    NotRun(Option<SocketAddr>),
    /// The endpoint's own failure. Its status promises that the request has not run, and the endpoint
    /// does not state that.
    Unproven,
    /// The response does not count as signed by the endpoint.
    Unsigned,
    /// The endpoint's own, signed response to this request.
    Valid,
}

/// What an endpoint announces about itself in the headers of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The endpoint leaves and wants no new requests.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests from this host.
    pub backoff: Option<Duration>,
    /// The rate of requests that the endpoint accepts from all hosts together.
    pub limit: Limit,
}

/// Reads and writes the headers of a platform.
pub trait Dialect: Send + Sync {
    /// Parses the metadata of a client's request.
    fn parse_request(&self, headers: &HeaderMap) -> Metadata;

    /// Builds the end-to-end headers of a forwarded request from the client's headers.
    fn build_headers(&self, headers: &HeaderMap, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// Sets the time left until the client gives up, and the event after which a resumed stream
    /// continues, in a client's headers.
    fn set_progress(
        &self,
        headers: &mut HeaderMap,
        remaining: Duration,
        resume_after: Option<&str>,
    );

    /// Classifies the response to the attempt `id` by its status and headers. On a connection that
    /// `is_reused`, it may be one to an earlier request.
    fn classify_response(
        &self,
        id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
        is_reused: bool,
    ) -> ResponseClass;

    /// Parses what an endpoint announces about itself in the head of any response.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;
}

/// A topic of the platform's store, which all hosts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The operator's configurations.
    Configuration,
    /// The entries that endpoints publish about themselves.
    Endpoints,
    /// The hosts of this system and their addresses.
    Hosts,
}

impl Topic {
    /// The topic's name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Hosts => "hosts",
        }
    }
}

/// Where a host of this system runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Address at which other hosts reach the host.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: Domain,
}

/// A decoded record of a topic.
#[derive(Debug)]
pub enum Record {
    /// A published configuration.
    Configuration(Box<Configuration>),
    /// A failure domain is evacuated, or its evacuation has ended.
    Evacuation(Change),
    /// An endpoint's entry.
    Endpoint(Entry),
    /// The removal of an endpoint's entry.
    EndpointRemoved(Endpoint),
    /// A host of this system and where it runs.
    Host(Announcement, Location),
    /// A record that cannot be decoded.
    Unreadable {
        /// The record's key.
        key: String,
        /// Why decoding failed.
        reason: String,
    },
}

/// Records read from a topic and the position after them.
#[derive(Debug)]
pub struct Batch {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// Position at which the next read starts.
    pub next: u64,
    /// Era of the store, which changes when the store returns from an older copy; `None` if the
    /// store does not say it.
    pub era: Option<u64>,
}

/// Tells who waits for a response that bytes of it arrive.
#[derive(Debug, Default)]
pub struct Progress(Notify);

impl Progress {
    /// Records that bytes have arrived.
    pub fn record(&self) {
        self.0.notify_one();
    }

    /// Returns when bytes have arrived since the last call.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}

/// The platform's store of keyed records.
///
/// Calls fail with [`Error::Refused`] if they had no effect, and with [`Error::Uncertain`] if no
/// usable response arrived.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads the newest record of each key of a topic. `progress` is told of each part of a response.
    async fn read_newest(&self, topic: Topic, progress: &Progress) -> Result<Batch, Error>;

    /// Reads the records from position `from`, waiting up to `wait` for the first one. `progress` is told
    /// of each part of the response.
    ///
    /// Fails with [`Error::Truncated`] if the store no longer keeps that position.
    async fn read_changes(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Batch, Error>;

    /// Asks for little, to find out whether the store responds.
    async fn probe(&self) -> Result<(), Error>;

    /// Closes the connections that wait for their next call. Called after a call got no response, since
    /// they may have been lost together.
    fn close_idle(&self);

    /// Publishes this host's announcement and where it runs.
    async fn announce(&self, announcement: &Announcement, location: &Location)
    -> Result<(), Error>;
}

/// An engine's response to a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Whether the command was carried out.
    pub result: Result<(), Error>,
    /// What the engine announces about itself.
    pub notice: Notice,
}

/// Reservations of memory at engines.
///
/// Calls fail with [`Error::Refused`] if the engine rejects them or they were not sent, and with
/// [`Error::Uncertain`] if no response arrived.
#[async_trait]
pub trait Memory: Send + Sync {
    /// Reserves memory for `tokens` under `ticket`, or renews the reservation. It expires after
    /// `ttl`.
    async fn reserve(&self, engine: &Entry, ticket: &str, tokens: u64, ttl: Duration) -> Reply;

    /// Releases a reservation. The call is idempotent.
    async fn release(&self, engine: &Entry, ticket: &str) -> Reply;
}
