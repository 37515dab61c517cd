//! Runs whose connection ended before their response did.

use std::sync::Arc;
use std::time::Duration;

use kernel::catalogue::Entry;
use kernel::clock::Instant;
use kernel::name::Service;
use kernel::place::LoadId;
use kernel::quarantine::{EVENTS_AT_START, Suspect};
use kernel::segment::Segment;
use tokio::time::sleep;

use crate::accepted::Accepted;
use crate::pipeline::Pipeline;
use crate::quarantine::Crashed;
use crate::transport::Reachability;

/// Logged reason for a response without a length that ended when its endpoint did.
pub(crate) const ENDPOINT_GONE: &str = "the endpoint ended with the connection";

/// Time within which the system closes all sockets of a process that ends. It may close the listener
/// after the connections.
const EXIT_TIME: Duration = Duration::from_millis(25);
/// Intervals between further probes of an endpoint that accepts connections then. One that crashes may
/// close the connection of the run some time before it ends.
const LATE_PROBES: [Duration; 3] = [
    Duration::from_millis(75),
    Duration::from_millis(150),
    Duration::from_millis(250),
];

/// Returns whether an endpoint whose connection has just ended accepts others. The system closes the
/// connections of a process that ends like those of one that is done.
async fn probe_after_end(pipeline: &Pipeline, endpoint: &Entry) -> Reachability {
    sleep(EXIT_TIME).await;
    pipeline.dialer.probe(endpoint.address).await
}

/// Returns whether a response without a length ended because its endpoint did, so that there may be
/// more of it.
pub(crate) async fn ended_with_endpoint(pipeline: &Pipeline, endpoint: &Entry) -> bool {
    probe_after_end(pipeline, endpoint).await == Reachability::Refuses
}

/// A broken run of a request at an endpoint.
pub(crate) struct Run<'a> {
    /// The endpoint.
    pub endpoint: &'a Entry,
    /// Time at which the run began, as far as this host knows.
    pub began: Instant,
    /// Number of events that the endpoint sent.
    pub events: u64,
    /// The run's placement, if the head of the response had come.
    pub answering: Option<LoadId>,
}

/// Logs a broken run. If it had only just begun and its endpoint refuses connections now, this is
/// evidence that the request, or a segment of its prompt, crashes endpoints.
///
/// A broken connection to an endpoint that goes on accepting connections is none, nor is one to an endpoint that
/// cannot be reached, nor the end of an endpoint that was to leave.
///
/// Returns whether the endpoint has ended.
pub(crate) async fn examine(pipeline: &Arc<Pipeline>, accepted: &Accepted, run: &Run<'_>) -> bool {
    let ended = pipeline.clock.now();
    let reachability = if run.events <= EVENTS_AT_START {
        Some(probe_after_end(pipeline, run.endpoint).await)
    } else {
        None
    };
    log::info!(
        "event=run_broken request={} endpoint={} events={} began_ms={} connections={} fingerprint={} segments={}",
        accepted.id(),
        run.endpoint.name,
        run.events,
        ended.since(run.began).as_millis(),
        reachability.map_or("-", Reachability::as_str),
        accepted.fingerprint,
        accepted.segments()
    );
    let Some(reachability) = reachability else {
        return false;
    };
    let suspicion = Suspicion {
        endpoint: run.endpoint.clone(),
        crashed: Crashed {
            endpoint: run.endpoint.identity(),
            began: run.began,
            ended,
        },
        answering: run.answering,
        service: accepted.service.clone(),
        request: Suspect::Request(accepted.fingerprint),
        segments: accepted.metadata.segments.clone(),
    };
    match reachability {
        Reachability::Refuses => suspicion.confirm(pipeline).await,
        Reachability::Accepts => {
            tokio::spawn(suspicion.watch(Arc::clone(pipeline)));
            false
        }
        Reachability::Silent => false,
    }
}

/// A broken run that counts against its suspects if its endpoint has ended.
struct Suspicion {
    endpoint: Entry,
    crashed: Crashed,
    answering: Option<LoadId>,
    service: Service,
    request: Suspect,
    segments: Vec<Segment>,
}

impl Suspicion {
    /// Probes an endpoint that accepts connections until it ends, for a short time.
    async fn watch(self, pipeline: Arc<Pipeline>) {
        for interval in LATE_PROBES {
            sleep(interval).await;
            if pipeline.dialer.probe(self.endpoint.address).await == Reachability::Refuses {
                self.confirm(&pipeline).await;
                return;
            }
        }
    }

    /// Records a crash of an endpoint that refuses connections; returns whether it has ended.
    async fn confirm(&self, pipeline: &Pipeline) -> bool {
        let endpoint = self.crashed.endpoint;
        let in_use = pipeline.registry.endpoint(&self.service, endpoint);
        // On a host that reaches no endpoint at all, each of them looks as if it had crashed.
        let links = &pipeline.links;
        if links.is_cut() || !links.reaches_other(self.endpoint.address).await {
            return false;
        }
        if in_use.is_some() {
            self.record_crash(pipeline);
        }
        true
    }

    fn record_crash(&self, pipeline: &Pipeline) {
        let quarantine = &pipeline.quarantine;
        quarantine.record_crash(quarantine.next_run(), vec![self.request], &self.crashed);
        // An engine that crashes as it begins the answer may end before the head of the response.
        let segments = self.segments.iter().copied();
        let segments: Vec<_> = segments.map(Suspect::Segment).collect();
        if !segments.is_empty() {
            let run = self.answering.unwrap_or_else(|| quarantine.next_run());
            quarantine.record_crash(run, segments, &self.crashed);
        }
    }
}
