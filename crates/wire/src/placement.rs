//! Frames with which hosts share the requests that they have placed on engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::evidence::Evidence;

/// Updates to the placements of one host, or a part of a snapshot of all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placements {
    /// Name of the sender.
    pub host: String,
    /// Incarnation of the sender. A new value means that the host has restarted.
    pub holder: u64,
    /// Version of the configuration that the sender uses.
    pub version: u64,
    /// Whether the items are updates or belong to a snapshot.
    pub scope: Scope,
    /// Number of the sender's latest snapshot. The frame belongs to this snapshot or follows it.
    #[serde(rename = "account")]
    pub snapshot: u32,
    /// Changes, or placements of the snapshot.
    pub items: Vec<Item>,
}

/// How the items of a frame are to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The items are the changes since the previous frame.
    #[serde(rename = "News")]
    Updates,
    /// The items are a part of a snapshot of all the sender's placements. A placement that is in
    /// none of the snapshot's frames has ended. The frames may arrive in any order.
    #[serde(rename = "Account")]
    Snapshot {
        /// Number of frames in the snapshot.
        frames: u32,
    },
}

/// A change to one placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A part of a request is placed on an engine.
    Put(Part),
    /// The prompt of the request with this sequence number has been prefilled.
    #[serde(rename = "Read")]
    Prefilled(u32),
    /// The request with this sequence number has ended.
    Done(u32),
    /// The sender has learnt from the endpoint with this identity that it leaves.
    Leaving(u64),
    /// The sender has read a topic of the store.
    StoreRead(Read),
    /// Evidence about a segment that may crash engines.
    Evidence(Evidence),
    /// The receiver is to send all its evidence and the limits that it knows.
    SyncRequest,
    /// The sender has sent all its evidence and the limits that it knows.
    SyncEnd,
    /// The limit of an endpoint has changed.
    Limit(Limit),
    /// The sender sends a request to the endpoint with this identity, which names a limit.
    Request(u64),
}

/// The limit that an endpoint names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Identity of the endpoint's incarnation.
    pub endpoint: u64,
    /// Requests in 1,000 seconds that the endpoint accepts from all hosts together; `None` if it no
    /// longer names a limit.
    pub per_1000_s: Option<u32>,
    /// Age of the endpoint's statement, in milliseconds.
    pub age_ms: u32,
}

/// A read of one topic of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// The topic.
    pub topic: Topic,
    /// Era of the store, if it is known.
    pub era: Option<u64>,
    /// Position of the first record in `changes`.
    pub from: u64,
    /// Position after the last record. If `changes` are fewer than the records between the two
    /// positions, they were too many to send.
    pub next: u64,
    /// Time from the start of the read to sending this report, in milliseconds.
    pub age_ms: u32,
    /// The records, oldest first.
    pub changes: Vec<Change>,
}

/// A topic that hosts read for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The operator's configurations, whose records are never sent.
    Configuration,
    /// The entries of endpoints.
    Endpoints,
}

/// A record of the endpoints' topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An endpoint has written its entry.
    Put(Endpoint),
    /// The entry of the endpoint with this name was removed.
    Removed(String),
    /// The sender could not decode the record.
    Unreadable,
}

/// The entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Start time in milliseconds of the endpoint's own wall clock.
    pub started_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Network address.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint drains.
    pub draining: bool,
}

/// The part of a request that is placed on one engine. Times are relative to the time of sending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The sender's sequence number of the request.
    pub sequence: u32,
    /// Identity of the engine's current incarnation.
    pub engine: u64,
    /// Memory that the part occupies, in tokens.
    pub tokens: u64,
    /// Prefill time of the part on the engine if no other request runs there, in milliseconds.
    #[serde(rename = "work_ms")]
    pub prefill_ms: u32,
    /// Whether prefill has ended.
    #[serde(rename = "read")]
    pub prefilled: bool,
    /// Expected time until prefill ends, in milliseconds.
    #[serde(rename = "read_ms")]
    pub prefilled_by_ms: u32,
    /// Expected time until the part ends, in milliseconds.
    #[serde(rename = "ends_ms")]
    pub ends_by_ms: u32,
    /// Whether the engine generates the answer after prefill.
    #[serde(rename = "writes")]
    pub decodes: bool,
    /// Maximum pause between two events of the stream that meets the objective, in milliseconds.
    pub pause_ms: u32,
}
