//! HTTP/1 server of one fake on a free loopback port.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use relay::body::{Body, Error};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time between the ends of a crashed server's connections and of its listener. The system closes the
/// sockets of a killed process in this order.
const CLOSING_TIME: Duration = Duration::from_millis(5);

/// A request with its whole body.
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// URI of the request: path and query.
    pub uri: Uri,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Number of the connection on which the request arrived.
    pub connection: usize,
}

impl Request {
    /// Returns the value of the header `name`, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &http::HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A fake that responds to requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Responds to a request. `None` closes the connection without a response.
    async fn handle(self: Arc<Self>, request: Request) -> Option<Response<Body>>;

    /// Returns when the fake crashes: its connections break, and new ones are refused.
    async fn crash(&self) {
        std::future::pending::<()>().await;
    }
}

/// The running server of a fake. Dropping it breaks all its connections, as a crash does.
pub struct Server<S> {
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// The fake that handles the requests.
    pub state: Arc<S>,
    _tasks: JoinSet<()>,
}

impl<S: Handler> Server<S> {
    /// Starts a server that passes its requests to `state`.
    pub(super) async fn start(state: Arc<S>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            _tasks: tasks,
        })
    }
}

async fn accept<S: Handler>(listener: TcpListener, state: Arc<S>) {
    let mut connections = JoinSet::new();
    for number in 0.. {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.crash() => {
                drop(connections);
                return sleep(CLOSING_TIME).await;
            }
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        let state = Arc::clone(&state);
        connections.spawn(async move {
            let service = service_fn(move |request| serve(Arc::clone(&state), request, number));
            let mut builder = Builder::new();
            builder.header_read_timeout(None);
            // The tests break connections on purpose, so errors are expected.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn serve<S: Handler>(
    state: Arc<S>,
    request: http::Request<hyper::body::Incoming>,
    connection: usize,
) -> Result<Response<Body>, Error> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| Error::Incomplete)?
        .to_bytes();
    let request = Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        connection,
    };
    state.handle(request).await.ok_or(Error::Incomplete)
}

/// Builds a response with `value` as JSON.
pub(super) fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(Body::whole(value.to_string()));
    *response.status_mut() = status;
    response
}
