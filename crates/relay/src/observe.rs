//! Metrics of a host.

use std::time::Duration;

use http::StatusCode;
use kernel::catalogue::Kind;
use kernel::cost::Band;
use kernel::name::{Domain, Service};
use kernel::place::path::Estimate;

use crate::placer::Audit;

/// Counts a request whose response has the status `status`.
pub(crate) fn count_request(kind: Option<Kind>, status: StatusCode) {
    let kind = kind.map_or("none", kind_name);
    let status = status.as_str().to_owned();
    metrics::counter!("filbertstage_requests_total", "kind" => kind, "status" => status)
        .increment(1);
}

/// Records the duration of a call to a plain service on this host, including all attempts.
pub(crate) fn record_call(kind: Kind, elapsed: Duration) {
    metrics::histogram!("filbertstage_call_seconds", "kind" => kind_name(kind))
        .record(elapsed.as_secs_f64());
}

/// Records the time from a stream's arrival to the first event of an engine, and its absolute
/// difference from the predicted time, by prompt size.
pub(crate) fn record_first_event(prompt: u64, elapsed: Duration, predicted: Duration) {
    let band = || Band::of(prompt).tokens_up_to.to_string();
    metrics::histogram!("filbertstage_first_event_seconds", "tokens_up_to" => band())
        .record(elapsed.as_secs_f64());
    let error = elapsed.abs_diff(predicted);
    metrics::histogram!("filbertstage_prediction_error_seconds", "tokens_up_to" => band())
        .record(error.as_secs_f64());
}

/// Records the time from a stream's arrival until it is sent to an engine, and counts its helpers.
pub(crate) fn record_placement(waited: Duration, helpers: usize) {
    metrics::histogram!("filbertstage_wait_seconds").record(waited.as_secs_f64());
    let helpers = u64::try_from(helpers).unwrap_or(u64::MAX);
    metrics::counter!("filbertstage_helpers_total").increment(helpers);
}

/// Counts a waiting stream that is refused under the order by value, by priority up to 9.
pub(crate) fn count_not_admitted(priority: u32, reason: &'static str) {
    let priority = priority.min(9).to_string();
    metrics::counter!(
        "filbertstage_not_admitted_total", "priority" => priority, "reason" => reason
    )
    .increment(1);
}

/// Counts clients that were sent away and came back, by whether they were then served.
pub(crate) fn count_returned(outcome: &'static str, number: u64) {
    metrics::counter!("filbertstage_returned_total", "outcome" => outcome).increment(number);
}

/// Sets the gauges of the requests to which engines of a service are assigned, and of loads that belong
/// to none.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_placements(audit: &Audit) {
    let set = |name: &'static str, value: usize| {
        metrics::gauge!(name, "service" => audit.service.to_string()).set(value as f64);
    };
    set("filbertstage_placements", audit.placements);
    set("filbertstage_unowned_loads", audit.unowned_loads);
}

/// Counts a claim on engines that lost to another host's claim.
pub(crate) fn count_lost_claim() {
    metrics::counter!("filbertstage_claims_lost_total").increment(1);
}

/// Counts a response with which an endpoint asked for no requests for a while.
pub(crate) fn count_backoff() {
    metrics::counter!("filbertstage_backoffs_total").increment(1);
}

/// Counts a request that waited for the turn of a cold endpoint, by what became of it.
pub(crate) fn count_cold_wait(outcome: &'static str) {
    metrics::counter!("filbertstage_cold_waits_total", "outcome" => outcome).increment(1);
}

/// Counts an event of the quarantine: a crash, a request that is held or refused, or a probe.
pub(crate) fn count_quarantine(event: &'static str) {
    metrics::counter!("filbertstage_quarantine_total", "event" => event).increment(1);
}

/// Counts a request that is sent to another host because this one reaches no endpoints.
pub(crate) fn count_detour(outcome: &'static str) {
    metrics::counter!("filbertstage_detours_total", "outcome" => outcome).increment(1);
}

/// Counts connections that were opened to test whether this host reaches endpoints.
pub(crate) fn count_probes(probes: usize) {
    let probes = u64::try_from(probes).unwrap_or(u64::MAX);
    metrics::counter!("filbertstage_link_probes_total").increment(probes);
}

/// Counts a return of the store from an older copy, as seen by the reader of a topic.
pub(crate) fn count_restore(topic: &'static str) {
    metrics::counter!("filbertstage_store_restores_total", "topic" => topic).increment(1);
}

/// Counts a failed attempt at an endpoint by its outcome.
pub(crate) fn count_failed_send(outcome: &'static str) {
    metrics::counter!("filbertstage_failed_sends_total", "outcome" => outcome).increment(1);
}

/// Counts a stream that resumed at another engine or ended early.
pub(crate) fn count_interrupted_stream(how: &'static str) {
    metrics::counter!("filbertstage_interrupted_streams_total", "how" => how).increment(1);
}

/// Counts a retry by what the retry budget of its service made of it.
pub(crate) fn count_retry(service: &Service, outcome: &'static str) {
    metrics::counter!(
        "filbertstage_retries_total", "service" => service.to_string(), "outcome" => outcome
    )
    .increment(1);
}

/// Counts a connection of a client or of another host that is closed without a request of its own.
pub(crate) fn count_closed_connection(reason: &'static str) {
    metrics::counter!("filbertstage_closed_connections_total", "reason" => reason).increment(1);
}

/// Counts a request that is refused because of its body.
pub(crate) fn count_refused_body(reason: &'static str) {
    metrics::counter!("filbertstage_refused_bodies_total", "reason" => reason).increment(1);
}

/// Counts a request for which no further attempt is made.
pub(crate) fn count_given_up(reason: &'static str) {
    metrics::counter!("filbertstage_given_up_total", "reason" => reason).increment(1);
}

/// Counts a read of a topic of the store.
pub(crate) fn count_store_call(topic: &'static str, outcome: &'static str) {
    metrics::counter!(
        "filbertstage_store_calls_total", "topic" => topic, "outcome" => outcome
    )
    .increment(1);
}

/// Counts the outcome of a reserve or release request at an engine.
pub(crate) fn count_reservation(outcome: &'static str) {
    metrics::counter!("filbertstage_reservations_total", "outcome" => outcome).increment(1);
}

/// Sets the gauges of the path to a failure domain.
pub(crate) fn set_path(domain: &Domain, estimate: &Estimate) {
    let set = |name: &'static str, value: f64| {
        metrics::gauge!(name, "domain" => domain.to_string()).set(value);
    };
    set("filbertstage_path_extra_seconds", estimate.extra_ms / 1e3);
    set("filbertstage_path_spread_seconds", estimate.spread_ms / 1e3);
    set(
        "filbertstage_path_opening_seconds",
        estimate.opening_ms / 1e3,
    );
    set("filbertstage_path_late_ratio", estimate.late);
}

/// Counts a stream of which an event arrived late, by the failure domain of its engine.
pub(crate) fn count_late_stream(domain: &Domain) {
    metrics::counter!("filbertstage_path_late_streams_total", "domain" => domain.to_string())
        .increment(1);
}

/// Counts an attempt to open a connection.
pub(crate) fn count_opening(outcome: &'static str) {
    metrics::counter!("filbertstage_openings_total", "outcome" => outcome).increment(1);
}

/// Records the time in which a connection was opened.
pub(crate) fn record_opening(time: Duration) {
    metrics::histogram!("filbertstage_opening_seconds").record(time.as_secs_f64());
}

/// Sets the gauge `name`.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_gauge(name: &'static str, value: u64) {
    metrics::gauge!(name).set(value as f64);
}

const fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Stream => "stream",
        Kind::Idempotent => "idempotent",
        Kind::Once => "once",
    }
}
