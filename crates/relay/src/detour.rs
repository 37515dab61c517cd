//! Sends requests of a host that is cut off from the endpoints to another host, which treats them as
//! requests of its own callers.
//!
//! Keys, limits, the quarantine and the retry budget are the other host's. It never sends such a
//! request on.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use kernel::name::Host;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::adapter::ResponseClass;
use crate::attempts::{Attempts, GiveUp};
use crate::body::{Body, Error};
use crate::headers::end_to_end;
use crate::link::Links;
use crate::observe;
use crate::pipeline::{Accepted, Pipeline};
use crate::plain::{MAX_RESPONSE_BYTES, build_response};
use crate::transport::{Exchange, Failure};

/// Maximum number of hosts that are asked to serve one request.
const MAX_HOSTS: usize = 2;
/// Maximum number of chunks of a stream that wait for a slow client.
const MAX_BUFFERED_CHUNKS: usize = 4;
/// Time that is left to answer the client when the other host does not.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Counts a request as running at another host until it is dropped.
struct Running {
    links: Arc<Links>,
    host: Host,
}

impl Running {
    fn start(links: &Arc<Links>, host: &Host) -> Self {
        links.peers.lock().record_start(host);
        Self {
            links: Arc::clone(links),
            host: host.clone(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.links.peers.lock().record_end(&self.host);
    }
}

/// What a host has made of a request.
enum Outcome {
    Response(Response<Body>),
    /// The host refused the request, which has not run.
    Refused(Response<Body>),
    /// Nothing was sent.
    Unsent(String),
    /// The request may have run.
    Uncertain(String),
}

/// Sends a request to another host that reaches the endpoints. `attempts` says whether it may have
/// run here.
///
/// Returns `None` if no host could be asked.
pub(crate) async fn run(
    pipeline: &Pipeline,
    accepted: &Accepted,
    attempts: &mut Attempts,
) -> Option<Response<Body>> {
    let mut asked = Vec::new();
    let mut refusal = None;
    while asked.len() < MAX_HOSTS && attempts.may_run_elsewhere() {
        let Some(host) = pipeline.links.pick(pipeline.hosts.candidates(), &asked) else {
            break;
        };
        if attempts.sent() > 0 && !pipeline.budgets.withdraw(&accepted.service) {
            break;
        }
        asked.push(host.clone());
        let outcome = send(pipeline, accepted, &host).await;
        let (name, reason) = match outcome {
            Outcome::Response(response) => {
                observe::count_detour("served");
                return Some(response);
            }
            Outcome::Refused(response) => {
                refusal = Some(response);
                ("refused", String::new())
            }
            Outcome::Unsent(reason) => {
                pipeline.record_peer_failure(&host);
                ("unsent", reason)
            }
            Outcome::Uncertain(reason) => {
                pipeline.record_peer_failure(&host);
                attempts.record_detour();
                ("uncertain", reason)
            }
        };
        observe::count_detour(name);
        log::info!(
            "event=detour request={} host={host} outcome={name} reason=\"{reason}\"",
            accepted.id()
        );
    }
    if attempts.may_run_elsewhere() {
        return refusal;
    }
    let expired = pipeline.clock.now() + ANSWER_MARGIN >= accepted.deadline;
    let give_up = if expired {
        GiveUp::Expired
    } else {
        GiveUp::Exhausted
    };
    accepted.log_give_up(attempts, give_up, pipeline.clock.now());
    Some(attempts.final_response(give_up))
}

async fn send(pipeline: &Pipeline, accepted: &Accepted, host: &Host) -> Outcome {
    let Some(address) = pipeline.hosts.address(host) else {
        return Outcome::Unsent("the host is gone".to_owned());
    };
    let running = Running::start(&pipeline.links, host);
    let remaining = accepted.deadline.since(pipeline.clock.now());
    let request = accepted.detoured(&*pipeline.dialect, remaining);
    let exchange = async {
        let exchange = pipeline.dialer.send(address, request).await?;
        let id = accepted.metadata.id.as_deref();
        let head = &exchange.head;
        let class = pipeline
            .dialect
            .classify_response(id, head.status, &head.headers);
        let is_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE
            && matches!(class, ResponseClass::Mismatched | ResponseClass::Unsigned);
        if !head.headers.contains_key(CONTENT_LENGTH) {
            return Ok(Outcome::Response(stream(exchange, running)));
        }
        let (head, body) = exchange.collect(MAX_RESPONSE_BYTES).await?;
        let response = build_response(&head, body);
        if is_refusal {
            return Ok(Outcome::Refused(response));
        }
        Ok(Outcome::Response(response))
    };
    match timeout(remaining.saturating_sub(ANSWER_MARGIN), exchange).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(Failure::Unsent(reason) | Failure::Refused(reason))) => Outcome::Unsent(reason),
        Ok(Err(Failure::Uncertain(reason))) => Outcome::Uncertain(reason),
        Err(_) => Outcome::Uncertain("no answer in time".to_owned()),
    }
}

/// Forwards a response whose length is not known as it arrives.
fn stream(exchange: Exchange, running: Running) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let mut response = Response::new(Body::Events(receiver));
    *response.status_mut() = exchange.head.status;
    *response.headers_mut() = end_to_end(&exchange.head.headers);
    tokio::spawn(forward(exchange, running, sender));
    response
}

async fn forward(
    mut exchange: Exchange,
    _running: Running,
    sender: mpsc::Sender<Result<bytes::Bytes, Error>>,
) {
    loop {
        let next = tokio::select! {
            next = exchange.next() => next,
            () = sender.closed() => return,
        };
        match next {
            Ok(Some(bytes)) => {
                if sender.send(Ok(bytes)).await.is_err() {
                    return;
                }
            }
            Ok(None) if exchange.is_framed() => return exchange.finish(),
            Ok(None) | Err(_) => {
                observe::count_interrupted_stream("broken_off");
                // Fails if the client has disconnected.
                let _ = sender.send(Err(Error::Incomplete)).await;
                return;
            }
        }
    }
}
