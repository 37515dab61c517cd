//! Accepts client connections and serves the requests on them.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use kernel::clock::Instant;
use kernel::detour;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::accepted::Origin;
use crate::body::{Body, Error};
use crate::clock::Clock;
use crate::headers::error_response;
use crate::observe;
use crate::pipeline::{self, Pipeline};
use crate::shutdown::{Shutdown, Stage};
use crate::transport;

/// Maximum buffer size of a client connection, in bytes. The head of a request must fit into it.
/// hyper requires at least 8 KiB.
const MAX_BUFFER_BYTES: usize = 16 * 1_024;
/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 128;
/// Idle timeout of client connections until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// HTTP server for client connections.
pub struct Server {
    pipeline: Arc<Pipeline>,
    clock: Clock,
    running: AtomicUsize,
    /// Running requests of other hosts; they also count as running.
    guests: AtomicUsize,
    /// Connections on which a request was read, and whose last response may not be written yet.
    unwritten: AtomicUsize,
}

/// Time for which a connection without a request stays open in [`Stage::Closing`], so that its
/// first request gets a 503 response instead of a closed connection.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);
/// `Retry-After` of requests of other hosts that are refused so that those of own callers come first.
const GUEST_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Request activity of one connection.
struct Activity {
    running: usize,
    served: bool,
    idle_since: Instant,
}

/// Counts a request as running until it is dropped.
struct ActiveRequest {
    server: Arc<Server>,
    activity: Arc<Mutex<Activity>>,
    origin: Origin,
}

impl ActiveRequest {
    fn start(server: Arc<Server>, activity: Arc<Mutex<Activity>>, origin: Origin) -> Self {
        let guests = usize::from(origin == Origin::Host);
        server.guests.fetch_add(guests, Ordering::SeqCst);
        server.running.fetch_add(1, Ordering::SeqCst);
        {
            let mut activity = activity.lock();
            activity.running += 1;
            if !activity.served {
                activity.served = true;
                server.unwritten.fetch_add(1, Ordering::SeqCst);
            }
        }
        Self {
            server,
            activity,
            origin,
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let guests = usize::from(self.origin == Origin::Host);
        self.server.guests.fetch_sub(guests, Ordering::SeqCst);
        self.server.running.fetch_sub(1, Ordering::SeqCst);
        let mut activity = self.activity.lock();
        activity.running -= 1;
        activity.idle_since = self.server.clock.now();
    }
}

/// Response body whose request counts as running until the body is sent.
struct TrackedBody {
    body: Body,
    _active: ActiveRequest,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Server {
    /// Creates a server without connections.
    #[must_use]
    pub fn new(pipeline: Arc<Pipeline>, clock: Clock) -> Self {
        Self {
            pipeline,
            clock,
            running: AtomicUsize::new(0),
            guests: AtomicUsize::new(0),
            unwritten: AtomicUsize::new(0),
        }
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Whether the request of another host that has just been counted may be served.
    fn takes_guest(&self) -> bool {
        let guests = self.guests.load(Ordering::SeqCst);
        let own = self.running().saturating_sub(guests);
        detour::takes_guest(guests.saturating_sub(1), own)
    }

    /// Whether no request is running and all responses are written.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.running() == 0 && self.unwritten.load(Ordering::SeqCst) == 0
    }

    fn shutdown(&self) -> &Shutdown {
        &self.pipeline.shutdown
    }

    /// Accepts connections of clients or of other hosts until the task is aborted.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, origin: Origin) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let hosts = &self.pipeline.hosts;
                    if origin == Origin::Host && !hosts.has_address(address.ip()) {
                        log::warn!("event=outsider_refused address={address}");
                        continue;
                    }
                    tokio::spawn(Arc::clone(&self).serve(stream, origin));
                }
                Err(error) => {
                    log::warn!("event=not_accepted error=\"{error}\"");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, origin: Origin) {
        if let Err(error) = transport::configure_socket(&stream) {
            log::debug!("event=connection_lost error={error}");
            return;
        }
        let activity = Arc::new(Mutex::new(Activity {
            running: 0,
            served: false,
            idle_since: self.clock.now(),
        }));
        let server = Arc::clone(&self);
        let connection_activity = Arc::clone(&activity);
        let service = service_fn(move |request| {
            let activity = Arc::clone(&connection_activity);
            let guard = ActiveRequest::start(Arc::clone(&server), activity, origin);
            Arc::clone(&server).respond(request, origin, guard)
        });
        let mut builder = Builder::new();
        builder
            .max_buf_size(MAX_BUFFER_BYTES)
            .max_headers(MAX_HEADERS)
            .header_read_timeout(None);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = self.wait_until_idle(&activity) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
            () = self.wait_until_closing(&activity) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if activity.lock().served {
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
        }
        if let Err(error) = ended {
            log::debug!("event=connection_ended error={error}");
        }
    }

    /// Returns when the connection has been idle for the idle timeout.
    async fn wait_until_idle(&self, activity: &Mutex<Activity>) {
        loop {
            let limit = self
                .pipeline
                .registry
                .configuration()
                .map_or(DEFAULT_IDLE_TIMEOUT, |current| current.limits.idle_timeout);
            let remaining = {
                let activity = activity.lock();
                let idle = self.clock.now().since(activity.idle_since);
                if activity.running > 0 {
                    limit
                } else {
                    limit.saturating_sub(idle)
                }
            };
            if remaining.is_zero() {
                return;
            }
            sleep(remaining).await;
        }
    }

    /// Returns when the connection must close because the host shuts down.
    async fn wait_until_closing(&self, activity: &Mutex<Activity>) {
        self.shutdown().wait_until(Stage::Closing).await;
        if !activity.lock().served {
            sleep(FIRST_REQUEST_GRACE).await;
        }
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
        origin: Origin,
        active: ActiveRequest,
    ) -> Result<Response<TrackedBody>, Infallible> {
        let mut response = if origin == Origin::Host && !self.takes_guest() {
            observe::count_detour("declined");
            let reason = "this host has too many requests of other hosts";
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(GUEST_RETRY_AFTER),
                reason,
            )
        } else {
            pipeline::handle(Arc::clone(&self.pipeline), request, origin).await
        };
        if self.shutdown().has_reached(Stage::Draining) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response.map(|body| TrackedBody {
            body,
            _active: active,
        }))
    }
}
