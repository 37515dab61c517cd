//! Serves the load balancer's readiness probes and the requests of operators.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::body::Body;

/// Longest time for reading a request and sending its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections. Beyond it the oldest one is closed.
const MAX_CONNECTIONS: usize = 32;
/// Maximum buffer size of a connection, in bytes; hyper's minimum.
const MAX_BUFFER_BYTES: usize = 8 * 1_024;
/// Wait after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Sends the response of `respond` to each request on `listener`. Never returns.
pub(crate) async fn serve(
    listener: TcpListener,
    respond: impl Fn(&Request<Incoming>) -> Response<Body> + Send + Sync + 'static,
) {
    let respond = Arc::new(respond);
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
        }
        let respond = Arc::clone(&respond);
        let connection = tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = respond(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = Builder::new();
            builder
                .keep_alive(false)
                .max_buf_size(MAX_BUFFER_BYTES)
                .header_read_timeout(None);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            // An aborted request needs no response.
            let _ = timeout(REQUEST_TIMEOUT, connection).await;
        });
        connections.push_back(connection.abort_handle());
    }
}
