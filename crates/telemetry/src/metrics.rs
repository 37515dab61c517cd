//! The metrics recorder of the process and its Prometheus text output.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Upper bounds of the histogram buckets, in seconds. The targets for the first token are 0.1 to
/// 4 s, and a prompt of a million tokens takes a minute.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 300.0,
];

/// Installs the recorder, which all nodes of the process share. Further calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new()
            .set_buckets(&BUCKET_BOUNDS_SECONDS)
            .ok()?;
        builder.install_recorder().ok()
    });
}

/// Moves histogram samples into their buckets. Until then each sample occupies memory, so this must
/// run regularly.
pub fn run_upkeep() {
    if let Some(handle) = HANDLE.get().and_then(Option::as_ref) {
        handle.run_upkeep();
    }
}

/// Returns the metrics in the Prometheus text format; empty if no recorder is installed.
#[must_use]
pub fn render() -> String {
    run_upkeep();
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map_or_else(String::new, PrometheusHandle::render)
}
