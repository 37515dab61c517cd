//! HTTP client of plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http_body_util::{BodyExt, Limited};
use kernel::claim::{Answer, MAX_RECORDED_BYTES};
use provider::http::{Call, Client as HttpClient, Error as HttpError};

use crate::{CallError, Client, Kind, Service};

struct HttpService {
    client: HttpClient,
}

#[async_trait]
impl Service for HttpService {
    async fn call(
        &self,
        call: &str,
        key: &str,
        body: bytes::Bytes,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let path = format!("/v1/calls/{call}");
        let headers = [("idempotency-key", key)];
        let call = Call {
            method: http::Method::POST,
            path: &path,
            headers: &headers,
            body,
        };
        let answer = async {
            // An idle connection may be broken without notice, and a call must be sent only once,
            // so each call opens a new connection.
            self.client.close_idle();
            let response = self
                .client
                .send(call, timeout)
                .await
                .map_err(|error| call_error(&error))?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RECORDED_BYTES)
                .collect()
                .await;
            let body = body.map_err(|_| CallError::Uncertain)?.to_bytes();
            Ok(Answer {
                status,
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        };
        let timed = tokio::time::timeout(timeout, answer).await;
        timed.unwrap_or(Err(CallError::Uncertain))
    }
}

fn call_error(error: &HttpError) -> CallError {
    match error {
        HttpError::NotSent(_) => CallError::NotSent,
        _ => CallError::Uncertain,
    }
}

inventory::submit! {
    Kind {
        name: "service",
        connect: |address| Client::Service(Arc::new(connect(address))),
    }
}

fn connect(address: SocketAddr) -> HttpService {
    HttpService {
        client: HttpClient::new(address),
    }
}
