//! HTTP/1.1 connections to endpoints and to the platform.
//!
//! A connection is reused only after a complete exchange without errors. Each exchange owns its
//! connection; dropping an exchange early closes the connection, which also cancels the request. A
//! connection on which a request was refused carries other requests, but never that one again.

mod exchange;
mod idle;
mod tag;

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http::header::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use crate::observe;
pub use exchange::Exchange;
use idle::{Idle, Pool};
use tag::{Refused, Tag};

/// Timeout for opening a connection. TCP retransmits a lost SYN packet only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a connection that only tests whether the peer accepts any.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which unacknowledged data closes a connection (`TCP_USER_TIMEOUT`).
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Statuses that end an exchange. HTTP defines none from 600 on, and no request asks for another protocol
/// (101).
const FINAL_STATUSES: Range<u16> = 200..600;
/// Maximum buffer size of a connection, in bytes; hyper's minimum.
const MAX_BUFFER_BYTES: usize = 8 * 1_024;
/// Bytes that the system receives ahead on a connection, before they are read. It would let this grow
/// to megabytes.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1_024;
/// Maximum time for a connection to become ready for the next request after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

quick_error! {
    /// Reason why an exchange returned no complete response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Failure {
        /// No part of the request was sent.
        Unsent(reason: String) {
            display("nothing was sent: {}", reason)
        }
        /// The peer refused the connection, so nothing was sent.
        Refused(reason: String) {
            display("nothing was sent: {}", reason)
        }
        /// The peer must not get the request any more, so nothing was sent.
        Withheld {
            display("nothing was sent: the peer must get no new requests")
        }
        /// The request was sent, and its outcome is unknown.
        Uncertain(reason: String) {
            display("no whole answer: {}", reason)
        }
    }
}

/// Whether a peer accepts new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// A connection was opened.
    Accepts,
    /// The peer's host is up, but nothing listens at the address.
    Refuses,
    /// Nothing was heard in time.
    Silent,
}

impl Reachability {
    /// Returns the name that appears in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepts => "accepted",
            Self::Refuses => "refused",
            Self::Silent => "silent",
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Opens connections and keeps idle ones for reuse.
#[derive(Clone, Default)]
pub struct Dialer {
    idle: Arc<Pool>,
}

/// A connection in use. Dropping it closes the connection.
struct Connection {
    address: SocketAddr,
    sender: Option<Sender>,
    task: AbortHandle,
    dialer: Dialer,
    /// The request that is under way.
    request: Option<Tag>,
    refused: Refused,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Connection {
    /// Keeps the connection for reuse, unless the response `headers` announce that it closes or it
    /// cannot remember another refusal.
    fn finish(mut self, headers: &HeaderMap) {
        if self.refused.is_full() {
            return;
        }
        let Some(idle) = idle::timeout(headers) else {
            return;
        };
        let Some(sender) = self.sender.take() else {
            return;
        };
        let now = Instant::now();
        let kept = Idle {
            sender,
            task: self.task.clone(),
            refused: std::mem::take(&mut self.refused),
            since: now,
            expires_at: now + idle,
        };
        self.dialer.idle.store(self.address, kept);
    }
}

impl Dialer {
    /// Sends a request to `address` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// See [`Dialer::send_tracked`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        let is_sent = AtomicBool::new(false);
        self.send_if(address, None, || request.clone(), &is_sent, || true)
            .await
    }

    /// Like [`Dialer::send`], but sends nothing unless `allowed` returns true once there is a
    /// connection. Opening one may take longer than the notice that the peer must get nothing more.
    ///
    /// `build` is called once there is a connection, so that the request can state the time that is
    /// left then.
    ///
    /// The request has the identifier `id`, which tells it from all others on its connection.
    ///
    /// Sets `is_sent` while a part of the request may have been sent, for callers that stop waiting.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] or [`Failure::Refused`] if no part of the request was sent,
    /// [`Failure::Withheld`] if `allowed` returns false, otherwise [`Failure::Uncertain`].
    pub async fn send_if(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        build: impl Fn() -> Request<Full<Bytes>>,
        is_sent: &AtomicBool,
        allowed: impl Fn() -> bool,
    ) -> Result<Exchange, Failure> {
        let request = id.map(Tag::of);
        while let Some(connection) = self.reuse_idle(address, request).await {
            if !allowed() {
                return Err(Failure::Withheld);
            }
            is_sent.store(true, Ordering::Relaxed);
            match send_on(connection, build()).await {
                Ok(exchange) => return Ok(exchange),
                Err(SendError::Unsent(_)) => is_sent.store(false, Ordering::Relaxed),
                Err(SendError::Uncertain(reason)) => return Err(Failure::Uncertain(reason)),
            }
        }
        let started = Instant::now();
        let opened = self.open(address, request).await;
        let opening = started.elapsed();
        observe::count_opening(match &opened {
            Ok(_) => "opened",
            Err(Failure::Refused(_)) => "refused",
            Err(_) => "failed",
        });
        let connection = opened?;
        observe::record_opening(opening);
        if !allowed() {
            return Err(Failure::Withheld);
        }
        is_sent.store(true, Ordering::Relaxed);
        send_on(connection, build())
            .await
            .map(|exchange| Exchange {
                opening: Some(opening),
                ..exchange
            })
            .map_err(|error| match error {
                SendError::Unsent(reason) => {
                    is_sent.store(false, Ordering::Relaxed);
                    Failure::Unsent(reason)
                }
                SendError::Uncertain(reason) => Failure::Uncertain(reason),
            })
    }

    async fn reuse_idle(&self, address: SocketAddr, request: Option<Tag>) -> Option<Connection> {
        while let Some(idle) = self.idle.take(address, request) {
            let mut connection = Connection {
                address,
                sender: Some(idle.sender),
                task: idle.task,
                dialer: self.clone(),
                request,
                refused: idle.refused,
            };
            let sender = connection.sender.as_mut()?;
            let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns the addresses to which there are idle connections.
    #[must_use]
    pub fn idle_addresses(&self) -> Vec<SocketAddr> {
        self.idle.addresses()
    }

    /// Closes all idle connections to `address`. Called after a connection to it stopped
    /// responding.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.close(address);
    }

    /// Tries to open a connection to `address`, which is closed again.
    pub async fn probe(&self, address: SocketAddr) -> Reachability {
        match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => Reachability::Accepts,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Reachability::Refuses
            }
            Ok(Err(_)) | Err(_) => Reachability::Silent,
        }
    }

    /// Closes idle connections that have expired, and drops those that the peer closed.
    pub fn close_expired(&self, now: Instant) {
        self.idle.close_expired(now);
    }

    async fn open(&self, address: SocketAddr, request: Option<Tag>) -> Result<Connection, Failure> {
        let unsent = |error: io::Error| {
            let reason = format!("{address}: {error}");
            match error.kind() {
                io::ErrorKind::ConnectionRefused => Failure::Refused(reason),
                _ => Failure::Unsent(reason),
            }
        };
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address));
        let stream = connecting
            .await
            .map_err(|_| Failure::Unsent(format!("{address}: no connection in time")))?
            .map_err(unsent)?;
        configure_socket(&stream).map_err(unsent)?;
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let opened = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            opened.map_err(|error| Failure::Unsent(format!("{address}: {error}")))?;
        metrics::counter!("filbertstage_connections_opened_total").increment(1);
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection_ended address={address} error={error}");
            }
        });
        Ok(Connection {
            address,
            sender: Some(sender),
            task: task.abort_handle(),
            dialer: self.clone(),
            request,
            refused: Refused::default(),
        })
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// Bounds what the system receives ahead on the connections of a listener.
pub(crate) fn configure_listener(listener: &TcpListener) -> io::Result<()> {
    socket2::SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize)
}

/// Disables Nagle's algorithm and makes the system detect an unresponsive peer.
pub(crate) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    socket.set_tcp_keepalive(&probes)
}

/// Sets the time after which the system closes a connection whose peer does not read what was sent.
pub(crate) fn set_user_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Why there is no response on a connection, with the reason.
enum SendError {
    /// No part of the request was sent.
    Unsent(String),
    Uncertain(String),
}

async fn send_on(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<Exchange, SendError> {
    let Some(sender) = connection.sender.as_mut() else {
        return Err(SendError::Unsent("the connection is closed".to_owned()));
    };
    match sender.try_send_request(request).await {
        Ok(response) if !FINAL_STATUSES.contains(&response.status().as_u16()) => {
            let status = response.status().as_u16();
            Err(SendError::Uncertain(format!("{status} is no final status")))
        }
        Ok(response) => {
            let (head, incoming) = response.into_parts();
            Ok(Exchange {
                head,
                body: incoming,
                connection,
                opening: None,
            })
        }
        Err(mut error) => {
            let unsent = error.take_message();
            let reason = error.into_error().to_string();
            Err(match unsent {
                Some(_) => SendError::Unsent(reason),
                None => SendError::Uncertain(reason),
            })
        }
    }
}
