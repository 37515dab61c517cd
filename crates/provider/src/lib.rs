//! What the platform gives: an append-only log, a host list and a weight store.
//!
//! The traits are the border of the product; the HTTP clients beside them speak the interface that
//! docs/interfaces/platform.md expects of the real services.
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
    /// Why a platform service did not do what it was asked.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The service refused, and nothing changed.
        Rejected(reason: String) {
            display("the platform refused: {}: try again later", reason)
        }
        /// No answer came; the change may have taken effect.
        Uncertain(reason: String) {
            display("the platform did not answer: {}: read back before repeating", reason)
        }
    }
}

/// A record as the log returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The record's offset in its stream.
    pub offset: u64,
    /// When the log wrote it, in milliseconds of the log's own clock.
    pub logged_ms: u64,
    /// The record's text.
    pub data: String,
}

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest offset that the log still keeps.
    pub first: u64,
    /// The offset that the next append will get.
    pub end: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<Record>,
}

/// The append-only log.
#[async_trait]
pub trait Log: Send + Sync {
    /// Appends a record and returns its offset.
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error>;

    /// Reads records from offset `from`, waiting up to `wait` for the first one.
    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error>;
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host.
    pub host: Host,
    /// Its failure domain.
    pub domain: Domain,
    /// Address for frames from other nodes.
    pub address: String,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
}

/// The host list, which lags.
#[async_trait]
pub trait Hosts: Send + Sync {
    /// The hosts that the platform believes to be live.
    async fn list(&self) -> Result<Vec<HostEntry>, Error>;
}

/// How busy the weight store is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Copies of weights that are being read now.
    pub reading: u32,
    /// Whether the store takes another reader now.
    pub accepting: bool,
}

/// The weight store, which is limited in rate.
#[async_trait]
pub trait Weights: Send + Sync {
    /// How busy the store is.
    async fn current_load(&self) -> Result<Load, Error>;
}
