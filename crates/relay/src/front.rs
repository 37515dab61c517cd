//! Accepts clients' connections and serves the requests on them.

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
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::body::{Body, Broken};
use crate::clock::Clock;
use crate::headers::refusal;
use crate::pipeline::{self, Pipeline};
use crate::transport;

/// Largest buffer of a client's connection, in bytes; the library's least.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Most header lines of a request.
const HEADERS: usize = 128;
/// Idle time after which a connection is closed before a configuration names one.
const USUAL_IDLE: Duration = Duration::from_secs(15);
/// Wait after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The connections of clients.
pub struct Front {
    pipeline: Arc<Pipeline>,
    clock: Clock,
    running: AtomicUsize,
    stage: watch::Sender<Stage>,
}

/// How far a host has gone towards its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Takes connections and requests.
    Serving,
    /// Takes requests, and closes each connection after its next answer.
    Leaving,
    /// Closes idle connections and refuses what still comes: it might not end in time.
    Closing,
}

/// Time in which a connection that came late may still send a request, to be told to go elsewhere.
const FIRST_REQUEST: Duration = Duration::from_millis(400);
/// Time after which a client may come back, over another connection, to another host.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(50);

/// What one connection is doing.
struct Activity {
    running: usize,
    served: bool,
    idle_since: Instant,
}

struct Busy {
    front: Arc<Front>,
    activity: Arc<Mutex<Activity>>,
}

impl Busy {
    fn start(front: Arc<Front>, activity: Arc<Mutex<Activity>>) -> Self {
        front.running.fetch_add(1, Ordering::SeqCst);
        {
            let mut activity = activity.lock();
            activity.running += 1;
            activity.served = true;
        }
        Self { front, activity }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.front.running.fetch_sub(1, Ordering::SeqCst);
        let mut activity = self.activity.lock();
        activity.running -= 1;
        activity.idle_since = self.front.clock.now();
    }
}

/// A body whose request counts as running until it was sent.
struct Counted {
    body: Body,
    _busy: Busy,
}

impl HttpBody for Counted {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Front {
    /// A front without connections.
    #[must_use]
    pub fn new(pipeline: Arc<Pipeline>, clock: Clock) -> Self {
        Self {
            pipeline,
            clock,
            running: AtomicUsize::new(0),
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    /// Requests that are served now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Goes on to the next stage of ending.
    pub fn enter(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Accepts connections until the task ends.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).serve(stream));
                }
                Err(error) => {
                    log::warn!("event=not_accepted error=\"{error}\"");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        if let Err(error) = transport::guard(&stream) {
            log::debug!("event=connection_lost error={error}");
            return;
        }
        let activity = Arc::new(Mutex::new(Activity {
            running: 0,
            served: false,
            idle_since: self.clock.now(),
        }));
        let front = Arc::clone(&self);
        let busy = Arc::clone(&activity);
        let service = service_fn(move |request| {
            let guard = Busy::start(Arc::clone(&front), Arc::clone(&busy));
            Arc::clone(&front).answer(request, guard)
        });
        let mut builder = Builder::new();
        builder
            .max_buf_size(BUFFER_BYTES)
            .max_headers(HEADERS)
            .header_read_timeout(None);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = self.idle(&activity) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
            () = self.closing(&activity) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("event=connection_ended error={error}");
        }
    }

    /// Returns when the connection has been idle for too long.
    async fn idle(&self, activity: &Mutex<Activity>) {
        loop {
            let limit = self
                .pipeline
                .known
                .configuration()
                .map_or(USUAL_IDLE, |current| current.limits.idle_timeout);
            let left = {
                let activity = activity.lock();
                let idle = self.clock.now().since(activity.idle_since);
                if activity.running > 0 {
                    limit
                } else {
                    limit.saturating_sub(idle)
                }
            };
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }

    /// Returns when connections are to end.
    async fn closing(&self, activity: &Mutex<Activity>) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as the front.
        let _ = stage.wait_for(|stage| *stage == Stage::Closing).await;
        if !activity.lock().served {
            sleep(FIRST_REQUEST).await;
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        busy: Busy,
    ) -> Result<Response<Counted>, Infallible> {
        let mut response = if *self.stage.borrow() == Stage::Closing {
            let reason = "this host is about to end: send the request to another one";
            let after = Some(ELSEWHERE_RETRY);
            refusal(StatusCode::SERVICE_UNAVAILABLE, after, reason)
        } else {
            pipeline::handle(Arc::clone(&self.pipeline), request).await
        };
        if *self.stage.borrow() != Stage::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response.map(|body| Counted { body, _busy: busy }))
    }
}
