//! Metrics of the node.

use std::time::Duration;

use kernel::cost::Band;

/// Counts an ended request by its outcome `code`.
pub(crate) fn count_request(code: &'static str) {
    metrics::counter!("filbertstage_requests_total", "outcome" => code).increment(1);
}

/// Counts an attempt that ended with `fault`.
pub(crate) fn count_fault(fault: &'static str) {
    metrics::counter!("filbertstage_attempt_faults_total", "fault" => fault).increment(1);
}

/// Counts a duplicate token that was dropped.
pub(crate) fn count_dropped_token() {
    metrics::counter!("filbertstage_tokens_dropped_total").increment(1);
}

/// Records the time to the first token, by prompt size.
pub(crate) fn record_first_token(prompt_tokens: u64, took: Duration) {
    let band = Band::of(prompt_tokens).tokens_up_to.to_string();
    metrics::histogram!("filbertstage_first_token_seconds", "tokens_up_to" => band)
        .record(took.as_secs_f64());
}

/// Sets the gauge `name` of the node on `host`.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_gauge(name: &'static str, host: &str, value: usize) {
    metrics::gauge!(name, "host" => host.to_owned()).set(value as f64);
}
