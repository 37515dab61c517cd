//! What hosts tell each other of the requests that they placed on engines.

use serde::{Deserialize, Serialize};

/// News of one host's placements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placements {
    /// The sender's host.
    pub host: String,
    /// The sender's life; another one means that it started again.
    pub holder: u64,
    /// Version of the configuration that the sender has in force.
    pub version: u64,
    /// What the items are.
    pub scope: Scope,
    /// Number of the sender's last account, which this frame belongs to or follows.
    #[serde(rename = "account")]
    pub snapshot: u32,
    /// The news.
    pub items: Vec<Item>,
}

/// What the items of a frame are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Changes since the last frame.
    #[serde(rename = "News")]
    Updates,
    /// A part of all that the sender has, which takes so many frames: what no frame of a whole
    /// account names has ended. Frames may arrive in any order.
    #[serde(rename = "Account")]
    Snapshot {
        /// Frames of the account.
        frames: u32,
    },
}

/// One change of a placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A part of a request lies on an engine.
    Put(Part),
    /// The prompt of the request was read.
    #[serde(rename = "Read")]
    Prefilled(u32),
    /// The request has ended.
    Done(u32),
}

/// The part of a request that lies on one engine; times count from the sending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The sender's count of the request.
    pub sequence: u32,
    /// Identity of the engine's life.
    pub engine: u64,
    /// Memory, in tokens.
    pub tokens: u64,
    /// Milliseconds of reading that it takes there, alone.
    #[serde(rename = "work_ms")]
    pub prefill_ms: u32,
    /// Whether its reading has ended.
    #[serde(rename = "read")]
    pub prefilled: bool,
    /// Milliseconds until its reading should end.
    #[serde(rename = "read_ms")]
    pub prefilled_by_ms: u32,
    /// Milliseconds until all should have ended.
    #[serde(rename = "ends_ms")]
    pub ends_by_ms: u32,
    /// Whether it writes there.
    #[serde(rename = "writes")]
    pub decodes: bool,
    /// Longest allowed pause between its events, in milliseconds.
    pub pause_ms: u32,
}
