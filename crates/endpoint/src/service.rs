//! The HTTP client of plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http_body_util::{BodyExt, Limited};
use kernel::claim::{Answer, MAX_RECORDED_BYTES};
use provider::http::{Call, Connection, Error as HttpError};

use crate::{Client, Kind, Missing, Service};

struct Remote {
    connection: Connection,
}

#[async_trait]
impl Service for Remote {
    async fn call(
        &self,
        call: &str,
        key: &str,
        body: bytes::Bytes,
        limit: Duration,
    ) -> Result<Answer, Missing> {
        let path = format!("/v1/calls/{call}");
        let headers = [("idempotency-key", key)];
        let call = Call {
            method: http::Method::POST,
            path: &path,
            headers: &headers,
            body,
        };
        let answer = async {
            // An idle connection may have died unnoticed, and a call may be sent only once.
            self.connection.reset();
            let response = self
                .connection
                .send(call, limit)
                .await
                .map_err(|error| missing(&error))?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RECORDED_BYTES)
                .collect()
                .await;
            let body = body.map_err(|_| Missing::Uncertain)?.to_bytes();
            Ok(Answer {
                status,
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        };
        let timed = tokio::time::timeout(limit, answer).await;
        timed.unwrap_or(Err(Missing::Uncertain))
    }
}

fn missing(error: &HttpError) -> Missing {
    match error {
        HttpError::NotSent(_) => Missing::NotSent,
        _ => Missing::Uncertain,
    }
}

inventory::submit! {
    Kind {
        name: "service",
        connect: |address| Client::Service(Arc::new(connect(address))),
    }
}

fn connect(address: SocketAddr) -> Remote {
    Remote {
        connection: Connection::new(address),
    }
}
