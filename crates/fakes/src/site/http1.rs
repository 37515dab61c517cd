//! Serves one stand-in on a free loopback port.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

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

/// A request as a stand-in sees it.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &http::HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// What a stand-in answers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers a request; `None` closes the connection without an answer.
    async fn handle(self: Arc<Self>, request: Request) -> Option<Response<Body>>;
}

/// A stand-in on its address; dropping it ends its connections, as a crash does.
pub struct Server<S> {
    /// Where it listens.
    pub address: SocketAddr,
    /// The stand-in.
    pub state: Arc<S>,
    _tasks: JoinSet<()>,
}

impl<S: Handler> Server<S> {
    /// Starts serving `state`.
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
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        connections.spawn(async move {
            let service = service_fn(move |request| serve(Arc::clone(&state), request));
            let mut builder = Builder::new();
            builder.header_read_timeout(None);
            // A connection that breaks is what the tests are about.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn serve<S: Handler>(
    state: Arc<S>,
    request: http::Request<hyper::body::Incoming>,
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
    };
    state.handle(request).await.ok_or(Error::Incomplete)
}

/// A JSON answer.
pub(super) fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(Body::whole(value.to_string()));
    *response.status_mut() = status;
    response
}
