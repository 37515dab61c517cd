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
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use kernel::connection::Pause;
use kernel::detour;
use shutdown::{Shutdown, Stage, Work};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::accepted::Origin;
use crate::body::{Body, Error};
use crate::clock::Clock;
use crate::connection::{Connection, Connections, Limits, Watched};
use crate::headers::error_response;
use crate::observe;
use crate::pipeline::{self, Pipeline};
use crate::settings::Resources;
use crate::transport;

/// Maximum buffer size of a client connection, in bytes. The head of a request must fit into it.
/// hyper requires at least 8 KiB.
const MAX_BUFFER_BYTES: usize = 16 * 1_024;
/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 128;
/// Limits of connections until a configuration sets them.
const DEFAULT_LIMITS: Limits = Limits {
    head: Duration::from_secs(5),
    idle: Duration::from_secs(15),
};
/// Time in which a connection that is to close, and has had no request, may still get its first one.
const CLOSING_TIME: Duration = Duration::from_millis(50);
/// Longest delay of the next accept until a connection that makes room is closed. One that has a response
/// to write may take longer.
const EVICTION_TIME: Duration = Duration::from_millis(5);
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// HTTP server for client connections.
pub struct Server {
    pipeline: Arc<Pipeline>,
    running: AtomicUsize,
    /// Running requests of other hosts; they also count as running.
    guests: AtomicUsize,
    /// Connections on which a request was read, and whose last response may not be written yet.
    unwritten: AtomicUsize,
    clients: Arc<Connections>,
    hosts: Arc<Connections>,
}

/// Time for which a connection without a request stays open in [`Stage::Closing`], so that its
/// first request gets a 503 response instead of a closed connection.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);
/// `Retry-After` of requests of other hosts that are refused so that those of own callers come first.
const GUEST_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Counts a request as running until it is dropped.
struct ActiveRequest {
    server: Arc<Server>,
    connection: Arc<Connection>,
    origin: Origin,
}

impl ActiveRequest {
    fn start(server: Arc<Server>, connection: Arc<Connection>, origin: Origin) -> Self {
        let guests = usize::from(origin == Origin::Host);
        server.guests.fetch_add(guests, Ordering::SeqCst);
        server.running.fetch_add(1, Ordering::SeqCst);
        if connection.start_request() {
            server.unwritten.fetch_add(1, Ordering::SeqCst);
        }
        Self {
            server,
            connection,
            origin,
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let guests = usize::from(self.origin == Origin::Host);
        self.server.guests.fetch_sub(guests, Ordering::SeqCst);
        self.server.running.fetch_sub(1, Ordering::SeqCst);
        self.connection.end_request();
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

impl Work for Server {
    fn is_idle(&self) -> bool {
        self.running() == 0
    }

    fn is_finished(&self) -> bool {
        self.is_idle() && self.unwritten.load(Ordering::SeqCst) == 0
    }
}

impl Server {
    /// Creates a server without connections.
    #[must_use]
    pub fn new(pipeline: Arc<Pipeline>, clock: Clock, resources: &Resources) -> Self {
        Self {
            pipeline,
            clients: Connections::new(resources.max_clients(), clock),
            hosts: Connections::new(resources.max_hosts(), clock),
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

    fn shutdown(&self) -> &Shutdown {
        &self.pipeline.shutdown
    }

    fn connections(&self, origin: Origin) -> &Arc<Connections> {
        match origin {
            Origin::Client => &self.clients,
            Origin::Host => &self.hosts,
        }
    }

    /// Number of open connections of clients and of other hosts.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.clients.count() + self.hosts.count()
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
                    let Some(admitted) = self.connections(origin).admit() else {
                        continue;
                    };
                    tokio::spawn(Arc::clone(&self).serve(stream, admitted.connection, origin));
                    if let Some(replaced) = admitted.replaced {
                        // Its descriptor may be needed for the next one.
                        let _ = timeout(EVICTION_TIME, replaced.wait_until_ended()).await;
                    }
                }
                Err(error) => {
                    log::warn!("event=not_accepted error=\"{error}\"");
                    self.connections(origin).close_idle();
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        connection: Arc<Connection>,
        origin: Origin,
    ) {
        if let Err(error) = transport::configure_socket(&stream) {
            log::debug!("event=connection_lost error={error}");
            return connection.end();
        }
        let server = Arc::clone(&self);
        let used = Arc::clone(&connection);
        let service = service_fn(move |request| {
            let active = ActiveRequest::start(Arc::clone(&server), Arc::clone(&used), origin);
            Arc::clone(&server).respond(request, origin, active)
        });
        let mut builder = Builder::new();
        builder
            .max_buf_size(MAX_BUFFER_BYTES)
            .max_headers(MAX_HEADERS)
            .header_read_timeout(None);
        let stream = TokioIo::new(Watched::new(stream, Arc::clone(&connection)));
        let exchanges = builder.serve_connection(stream, service);
        let ended = self.run(exchanges, &connection).await;
        connection.end();
        if connection.has_served() {
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
        }
        if let Err(error) = ended {
            log::debug!("event=connection_ended error={error}");
        }
    }

    /// Serves the requests on a connection until it is closed.
    async fn run<S>(
        &self,
        exchanges: hyper::server::conn::http1::Connection<TokioIo<Watched>, S>,
        connection: &Connection,
    ) -> hyper::Result<()>
    where
        S: HttpService<Incoming, ResBody = TrackedBody, Error = Infallible>,
    {
        tokio::pin!(exchanges);
        let ended = tokio::select! {
            ended = exchanges.as_mut() => Some(ended),
            () = connection.wait_until_idle(|| self.limits()) => None,
            () = self.wait_until_closing(connection) => None,
        };
        if let Some(ended) = ended {
            return ended;
        }
        exchanges.as_mut().graceful_shutdown();
        // Without a first request, hyper would wait for it.
        let closing_time = if connection.makes_room() {
            Duration::ZERO
        } else {
            CLOSING_TIME
        };
        match timeout(closing_time, exchanges.as_mut()).await {
            Err(_) if connection.has_served() => exchanges.await,
            ended => ended.unwrap_or(Ok(())),
        }
    }

    /// Returns the limits in force for connections without a request.
    fn limits(&self) -> Limits {
        let configuration = self.pipeline.registry.configuration();
        configuration.map_or(DEFAULT_LIMITS, |current| Limits {
            head: current.limits.header_timeout,
            idle: current.limits.idle_timeout,
        })
    }

    /// Returns when the connection must close because the host shuts down.
    async fn wait_until_closing(&self, connection: &Connection) {
        self.shutdown().wait_until(Stage::Closing).await;
        if !connection.has_served() {
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
            let pipeline = Arc::clone(&self.pipeline);
            pipeline::handle(pipeline, request, origin, &active.connection).await
        };
        if matches!(response.body(), Body::Whole(_)) {
            // No endpoint works for the client, which may be gone.
            let pause = Pause::For(self.limits().idle);
            active.connection.allow_read_pause(pause);
        }
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
