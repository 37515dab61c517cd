//! An HTTP client for one address, with a time limit on every call.
//!
//! A connection that went silent is dropped together with all idle ones to the same address, since
//! whatever lost track of one connection may have lost track of the others.

mod listener;

use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo::layer::Identity;
use volo::loadbalance::CustomLayer;
use volo_http::body::Body;
use volo_http::client::Client as VoloClient;
use volo_http::response::Response;

pub use listener::{AcceptFlag, Listener};

/// Idle time after which a connection is not used again.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer that is read whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1_024 * 1_024;

quick_error! {
    /// Why a call brought no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No connection could be made, so nothing was sent.
        NotSent(reason: String) {
            display("nothing was sent: {}", reason)
        }
        /// The call was sent and no whole answer came.
        Broken(reason: String) {
            display("the connection broke: {}", reason)
        }
        /// The call was sent and nothing came within the time limit.
        TimedOut {
            display("no answer within the time limit")
        }
        /// The other side answered with an error status.
        Status(status: u16, body: String) {
            display("status {}: {}", status, body)
        }
    }
}

/// Calls to one address.
pub struct Client {
    address: SocketAddr,
    client: RwLock<VoloClient>,
}

/// One call.
pub struct Call<'a> {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: &'a str,
    /// Additional headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body; empty for none.
    pub body: bytes::Bytes,
}

impl Client {
    /// Calls to `address`; nothing is connected yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: RwLock::new(new_client()),
        }
    }

    /// The address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all idle connections, so that the next call makes a fresh one.
    pub fn close_idle(&self) {
        *self.client.write().unwrap_or_else(PoisonError::into_inner) = new_client();
    }

    fn client(&self) -> VoloClient {
        self.client
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a call and returns the head of the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Error`], also when the head has not come within `timeout`.
    pub async fn send(&self, call: Call<'_>, timeout: Duration) -> Result<Response, Error> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = self
            .client()
            .request(call.method, uri.as_str())
            .header(http::header::CONTENT_TYPE, "application/json");
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let response = request.body(Body::from(call.body)).send();
        match tokio::time::timeout(timeout, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify(&error)),
            Err(_) => {
                self.close_idle();
                Err(Error::TimedOut)
            }
        }
    }

    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`Error`], also for an error status and when the answer is not whole within `timeout`.
    pub async fn fetch(&self, call: Call<'_>, timeout: Duration) -> Result<bytes::Bytes, Error> {
        let deadline = tokio::time::Instant::now() + timeout;
        let response = self.send(call, timeout).await?;
        let status = response.status();
        let collected = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
        let body = match tokio::time::timeout_at(deadline, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err(Error::Broken(error.to_string())),
            Err(_) => {
                self.close_idle();
                return Err(Error::TimedOut);
            }
        };
        if status.is_success() {
            return Ok(body);
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        Err(Error::Status(status.as_u16(), text))
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// [`Error`], also when the answer is not the expected document.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        let call = Call {
            method: http::Method::GET,
            path,
            headers: &[],
            body: bytes::Bytes::new(),
        };
        parse(&self.fetch(call, timeout).await?)
    }

    /// Posts a JSON document and reads the JSON answer.
    ///
    /// # Errors
    ///
    /// [`Error`], also when the answer is not the expected document.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        let call = Call {
            method: http::Method::POST,
            path,
            headers: &[],
            body: to_json(body)?,
        };
        parse(&self.fetch(call, timeout).await?)
    }
}

/// The JSON form of `body`.
///
/// # Errors
///
/// [`Error::NotSent`] when it has none.
pub fn to_json(body: &impl Serialize) -> Result<bytes::Bytes, Error> {
    serde_json::to_vec(body)
        .map(bytes::Bytes::from)
        .map_err(|error| Error::NotSent(error.to_string()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Broken(error.to_string()))
}

fn new_client() -> VoloClient {
    let mut builder = VoloClient::builder().mk_load_balance(CustomLayer(Identity::new()));
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder.set_pool_idle_timeout(POOL_IDLE_TIMEOUT);
    builder.build().expect("the client's settings are constant")
}

/// Tells a call that was never sent from one that may have been.
fn classify(error: &volo_http::error::ClientError) -> Error {
    use volo_http::error::client::ErrorKind;
    let reason = error.to_string();
    match error.kind() {
        ErrorKind::Builder | ErrorKind::LoadBalance => Error::NotSent(reason),
        _ if is_refused(error) => Error::NotSent(reason),
        _ => Error::Broken(reason),
    }
}

/// Whether the connection itself was refused or not made in time.
fn is_refused(error: &volo_http::error::ClientError) -> bool {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(current) = source {
        if let Some(io) = current.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = current.source();
    }
    false
}
