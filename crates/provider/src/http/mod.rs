//! An HTTP client for one address, with a timeout on every request.
//!
//! After a timeout, all idle connections to the address are closed as well: if the server or the
//! network lost the state of one connection, it may have lost the others too.

mod listener;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use buffer::Buffers;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo::layer::Identity;
use volo::loadbalance::CustomLayer;
use volo_http::body::Body;
use volo_http::client::Client as VoloClient;
use volo_http::response::Response;

pub use listener::{AcceptFlag, Listener};

/// Idle time after which a connection is not reused.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body for which the caller sets no limit, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;
/// Statuses that end an exchange. HTTP defines none from 600 on, and no request asks for another protocol
/// (101).
const FINAL_STATUSES: Range<u16> = 200..600;
/// Memory for the responses of a client without a given account, in bytes.
const BUFFER_BYTES: u64 = 32 * 1_024 * 1_024;

quick_error! {
    /// The reason why a request brought no successful response.
    ///
    /// The `Debug` form reaches the log through the trace exporter, so variants keep their names.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Nothing was sent: the request could not be built, or the connection was refused.
        NotSent(reason: String) {
            display("nothing was sent: {}", reason)
        }
        /// The request may have been sent, but no complete and valid response arrived.
        Broken(reason: String) {
            display("no valid response: {}", reason)
        }
        /// The request may have been sent, but no complete response arrived within the timeout.
        Silent {
            display("no response within the timeout")
        }
        /// The server responded with an error status.
        Status(status: u16, body: String) {
            display("status {}: {}", status, body)
        }
    }
}

/// Limits on a response.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Maximum size of the body, in bytes.
    pub bytes: usize,
}

impl From<Duration> for Limits {
    /// Returns the limits for a response of up to 4 MiB within `timeout`.
    fn from(timeout: Duration) -> Self {
        Self {
            timeout,
            bytes: MAX_RESPONSE_BYTES,
        }
    }
}

/// An HTTP client for one address, with a pool of connections.
pub struct Client {
    address: SocketAddr,
    buffers: Buffers,
    pool: RwLock<VoloClient>,
}

/// A request to send.
pub struct Call<'a> {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: &'a str,
    /// Additional headers, as names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body; empty if there is none.
    pub body: bytes::Bytes,
}

impl Client {
    /// Creates a client for `address`, without connecting yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_buffers(address, Buffers::new(BUFFER_BYTES))
    }

    /// Creates a client for `address` that reads response bodies into `buffers`, which clients can
    /// share.
    #[must_use]
    pub fn with_buffers(address: SocketAddr, buffers: Buffers) -> Self {
        Self {
            address,
            buffers,
            pool: RwLock::new(new_client()),
        }
    }

    /// Returns the address of the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all idle connections, so that the next request opens a new one.
    pub fn close_idle(&self) {
        *self.pool.write().unwrap_or_else(PoisonError::into_inner) = new_client();
    }

    fn client(&self) -> VoloClient {
        self.pool
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a request and returns the head of the response, whatever its final status.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::Broken`], or [`Error::Silent`] if the head does not arrive
    /// within `timeout`.
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
            Ok(Ok(response)) => {
                let status = response.status().as_u16();
                if FINAL_STATUSES.contains(&status) {
                    Ok(response)
                } else {
                    Err(Error::Broken(format!("{status} is no final status")))
                }
            }
            Ok(Err(error)) => Err(classify(&error)),
            Err(_) => {
                self.close_idle();
                Err(Error::Silent)
            }
        }
    }

    /// Sends a request and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Any [`Error`]: [`Error::Status`] if the status is not a success, [`Error::Silent`] if the
    /// response is not complete in time, and [`Error::Broken`] if its body is too large or has no room.
    pub async fn fetch(
        &self,
        call: Call<'_>,
        limits: impl Into<Limits>,
    ) -> Result<bytes::Bytes, Error> {
        let Limits { timeout, bytes } = limits.into();
        let deadline = tokio::time::Instant::now() + timeout;
        let response = self.send(call, timeout).await?;
        let status = response.status();
        let limits = buffer::Limits {
            bytes,
            patience: timeout,
        };
        let hold = self.buffers.open_incoming();
        let reading = buffer::read(response.into_body(), hold, limits, |_| {});
        let body = match tokio::time::timeout_at(deadline, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(Error::Broken(error.to_string())),
            Err(_) => {
                self.close_idle();
                return Err(Error::Silent);
            }
        };
        if status.is_success() {
            return Ok(body);
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        Err(Error::Status(status.as_u16(), text))
    }

    /// Sends a GET request and deserializes the JSON response.
    ///
    /// # Errors
    ///
    /// Any [`Error`]: [`Error::Broken`] also if the response is not valid JSON for `T`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        limits: impl Into<Limits>,
    ) -> Result<T, Error> {
        let call = Call {
            method: http::Method::GET,
            path,
            headers: &[],
            body: bytes::Bytes::new(),
        };
        parse(&self.fetch(call, limits).await?)
    }

    /// Sends `body` as JSON in a POST request and deserializes the JSON response.
    ///
    /// # Errors
    ///
    /// Any [`Error`]: [`Error::Broken`] also if the response is not valid JSON for `T`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        limits: impl Into<Limits>,
    ) -> Result<T, Error> {
        let call = Call {
            method: http::Method::POST,
            path,
            headers: &[],
            body: to_json(body)?,
        };
        parse(&self.fetch(call, limits).await?)
    }
}

/// Serializes `body` as JSON.
///
/// # Errors
///
/// [`Error::NotSent`] if `body` cannot be represented as JSON.
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
    builder.build().expect("the client configuration is valid")
}

/// Separates requests that were not sent from requests that may have been.
fn classify(error: &volo_http::error::ClientError) -> Error {
    use volo_http::error::client::ErrorKind;
    let reason = error.to_string();
    match error.kind() {
        ErrorKind::Builder | ErrorKind::LoadBalance => Error::NotSent(reason),
        _ if is_refused(error) => Error::NotSent(reason),
        _ => Error::Broken(reason),
    }
}

/// Returns true if the first I/O error among the causes says that the connection was refused.
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
