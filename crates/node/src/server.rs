//! Accepts connections of callers and serves the requests on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use shutdown::Stage;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::error::BoxError;
use volo_http::server::route::Router;

use crate::connection::{Connection, Connections, Request, Watched};
use crate::shared::Shared;

/// Maximum buffer size of a connection, in bytes. The head of a request must fit into it.
const MAX_BUFFER_BYTES: usize = 64 * 1_024;
/// Maximum time from the first byte of a head to its end.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// Maximum time for which a connection that closes writes its last response.
const LAST_RESPONSE_TIME: Duration = Duration::from_secs(5);
/// The same for a connection that has had no request.
const NO_RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Time for which a connection without a request stays open while the node shuts down, so that its first
/// request gets a response.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(400);
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// HTTP server for callers.
pub(crate) struct Server {
    pub router: Router,
    pub max_headers: usize,
    pub connections: Arc<Connections>,
    pub shared: Arc<Shared>,
}

impl Server {
    /// Serves connections until the task is aborted.
    pub async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    if let Some(connection) = server.connections.admit() {
                        let server = Arc::clone(&server);
                        tokio::spawn(server.serve(stream, address, connection));
                    }
                }
                Err(error) => {
                    log::warn!("event=accept_failed error={error}");
                    server.connections.close_idle();
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        connection: Arc<Connection>,
    ) {
        if stream.set_nodelay(true).is_err() {
            return connection.end();
        }
        let service = service_fn(|request| {
            let running = connection.start_request();
            Arc::clone(&self).respond(request, address, running)
        });
        let watched = Watched {
            stream,
            connection: Arc::clone(&connection),
        };
        let exchanges = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .max_headers(self.max_headers)
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(watched), service);
        tokio::pin!(exchanges);
        let time = tokio::select! {
            _ = exchanges.as_mut() => None,
            () = connection.wait_until_closed(HEAD_TIME) => Some(LAST_RESPONSE_TIME),
            // A request that is served now ends before the process does.
            () = self.wait_until_closing(&connection) => Some(Duration::MAX),
        };
        if let Some(time) = time {
            exchanges.as_mut().graceful_shutdown();
            let has_served = connection.has_served();
            let time = if has_served { time } else { NO_RESPONSE_TIME };
            let _ = timeout(time, exchanges).await;
        }
        connection.end();
    }

    /// Returns when the connection must close because the node shuts down.
    async fn wait_until_closing(&self, connection: &Connection) {
        self.shared.shutdown.wait_until(Stage::Closing).await;
        if !connection.has_served() {
            sleep(FIRST_REQUEST_TIME).await;
        }
    }

    async fn respond(
        self: Arc<Self>,
        request: http::Request<Incoming>,
        address: SocketAddr,
        running: Request,
    ) -> Result<http::Response<TrackedBody>, Infallible> {
        let mut context = ServerContext::new(address.into());
        let request = request.map(Body::from_incoming);
        let mut response = self.router.call(&mut context, request).await?;
        if self.shared.shutdown.has_reached(Stage::Draining) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response.map(|body| TrackedBody {
            body,
            _running: running,
        }))
    }
}

/// Response body whose request counts as running until the body is sent.
struct TrackedBody {
    body: Body,
    _running: Request,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
