//! HTTP client of the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use buffer::Buffers;
use serde::{Deserialize, Serialize};

use crate::http::{self, Client, Limits};
use crate::{Batch, Error, HostEntry, Hosts, Load, Log, Weights};

/// Memory for responses without a given account, in bytes.
const BUFFER_BYTES: u64 = 256 * 1_024 * 1_024;
/// Maximum size of a batch of records, in bytes.
const MAX_BATCH_BYTES: usize = 64 * 1_024 * 1_024;
/// Timeout of a request. A read that waits for records adds its wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's services at one address, over HTTP.
pub struct HttpProvider {
    client: Client,
}

/// Body of an append request.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The record's text.
    pub data: String,
}

/// Body of the response to an append request.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The record's offset.
    pub offset: u64,
}

impl HttpProvider {
    /// Creates a client of the platform at `address`, without connecting yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_buffers(address, Buffers::new(BUFFER_BYTES))
    }

    /// Creates a client of the platform at `address` that reads responses into `buffers`.
    #[must_use]
    pub fn with_buffers(address: SocketAddr, buffers: Buffers) -> Self {
        Self {
            client: Client::with_buffers(address, buffers),
        }
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::NotSent(_) | http::Error::Status(..) => Self::Rejected(error.to_string()),
            http::Error::Broken(_) | http::Error::Silent => Self::Uncertain(error.to_string()),
        }
    }
}

#[async_trait]
impl Log for HttpProvider {
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error> {
        let path = format!("/v1/streams/{stream}/records");
        let body = AppendRequest {
            data: record.to_owned(),
        };
        let appended: AppendResponse = self.client.post(&path, &body, REQUEST_TIMEOUT).await?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
        let limits = Limits {
            timeout: REQUEST_TIMEOUT + wait,
            bytes: MAX_BATCH_BYTES,
        };
        Ok(self.client.get(&path, limits).await?)
    }
}

#[async_trait]
impl Hosts for HttpProvider {
    async fn list(&self) -> Result<Vec<HostEntry>, Error> {
        Ok(self.client.get("/v1/hosts", REQUEST_TIMEOUT).await?)
    }
}

#[async_trait]
impl Weights for HttpProvider {
    async fn current_load(&self) -> Result<Load, Error> {
        Ok(self.client.get("/v1/weights/load", REQUEST_TIMEOUT).await?)
    }
}
