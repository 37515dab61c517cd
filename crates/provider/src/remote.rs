//! HTTP clients of the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::http::{self, Connection};
use crate::{Batch, Entry, Error, Hosts, Load, Log, Weights};

/// Time limit of an append or a short read.
const LIMIT: Duration = Duration::from_secs(2);

/// The platform at one address.
pub struct Remote {
    connection: Connection,
}

/// Body of an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct Append {
    /// The record's text.
    pub data: String,
}

/// Answer to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: u64,
}

impl Remote {
    /// The platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            connection: Connection::new(address),
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
impl Log for Remote {
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error> {
        let path = format!("/v1/streams/{stream}/records");
        let body = Append {
            data: record.to_owned(),
        };
        let appended: Appended = self.connection.post(&path, &body, LIMIT).await?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
        Ok(self.connection.get(&path, LIMIT + wait).await?)
    }
}

#[async_trait]
impl Hosts for Remote {
    async fn list(&self) -> Result<Vec<Entry>, Error> {
        Ok(self.connection.get("/v1/hosts", LIMIT).await?)
    }
}

#[async_trait]
impl Weights for Remote {
    async fn load(&self) -> Result<Load, Error> {
        Ok(self.connection.get("/v1/weights/load", LIMIT).await?)
    }
}
