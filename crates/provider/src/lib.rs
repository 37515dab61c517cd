//! Interfaces to the services of the platform: an append-only log, a host list and a weight store.
//!
//! The traits separate the node from the platform. [`HttpProvider`] implements them over the HTTP
//! interface that docs/interfaces/platform.md describes.
//!
//! ```
//! use filbertstage_provider::{Log, HttpProvider};
//!
//! let provider = HttpProvider::new("127.0.0.1:9000".parse().expect("an address"));
//! let _log: &dyn Log = &provider;
//! ```

mod client;
pub mod http;

use std::time::Duration;

use async_trait::async_trait;
use kernel::name::{Domain, Host};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use client::HttpProvider;

quick_error! {
    /// The reason why a request to a platform service failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The service rejected the request or it was not sent, and nothing changed.
        Rejected(reason: String) {
            display("the platform rejected the request: {}: try again later", reason)
        }
        /// No complete and valid response arrived. The change may have taken effect.
        Uncertain(reason: String) {
            display("no response from the platform: {}: check the current state before retrying", reason)
        }
    }
}

/// A record of a log stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The record's offset in its stream.
    pub offset: u64,
    /// Time at which the log stored the record, in milliseconds of the log's own clock.
    pub logged_ms: u64,
    /// The record's text.
    pub data: String,
}

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that the log retains.
    pub first: u64,
    /// Offset of the next appended record.
    pub end: u64,
    /// The records, ordered by offset.
    pub records: Vec<Record>,
}

/// An append-only log of named streams.
#[async_trait]
pub trait Log: Send + Sync {
    /// Appends a record to `stream` and returns the record's offset.
    ///
    /// After [`Error::Uncertain`] the record may or may not be in the log.
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error>;

    /// Reads the records of `stream` from offset `from`. If there are none, waits up to `wait` for
    /// the first one.
    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error>;
}

/// A host in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: Host,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Address at which the host accepts frames from other nodes.
    pub address: String,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// The host list, which lags behind the actual hosts.
#[async_trait]
pub trait Hosts: Send + Sync {
    /// Returns the hosts that the platform considers live.
    async fn list(&self) -> Result<Vec<HostEntry>, Error>;
}

/// Load of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of weight copies that are being read.
    pub reading: u32,
    /// Whether the store accepts another reader.
    pub accepting: bool,
}

/// The weight store, which limits the rate of reads.
#[async_trait]
pub trait Weights: Send + Sync {
    /// Returns the current load of the store.
    async fn current_load(&self) -> Result<Load, Error>;
}
