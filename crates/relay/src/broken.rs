//! Runs whose connection ended before their response did.

use kernel::catalogue::Entry;
use kernel::clock::Instant;
use kernel::quarantine::EVENTS_AT_START;

use crate::pipeline::{Accepted, Pipeline};
use crate::transport::Reachability;

/// A broken run of a request at an endpoint.
pub(crate) struct Run<'a> {
    /// The endpoint.
    pub endpoint: &'a Entry,
    /// Time at which the run began, as far as this host knows.
    pub began: Instant,
    /// Number of events that the endpoint sent.
    pub events: u64,
}

/// Finds out whether the endpoint of a run that had only just begun still accepts connections, and
/// logs the run.
pub(crate) async fn examine(
    pipeline: &Pipeline,
    accepted: &Accepted,
    run: &Run<'_>,
) -> Option<Reachability> {
    let ended = pipeline.clock.now();
    let reachability = if run.events <= EVENTS_AT_START {
        Some(pipeline.dialer.probe(run.endpoint.address).await)
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
    reachability
}
