//! The recorder of all metrics, as text for Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Upper bounds of the histograms' buckets, in seconds: first tokens are due within 0.1 to 4 s, and
/// prompts of a million tokens take a minute.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 300.0,
];

/// Installs the recorder; all nodes of a process share it.
pub fn install() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new()
            .set_buckets(&BUCKET_BOUNDS_SECONDS)
            .ok()?;
        builder.install_recorder().ok()
    });
}

/// Sorts the samples of histograms into their buckets; they take memory until then.
pub fn run_upkeep() {
    if let Some(handle) = HANDLE.get().and_then(Option::as_ref) {
        handle.run_upkeep();
    }
}

/// The metrics as text for Prometheus.
#[must_use]
pub fn render() -> String {
    run_upkeep();
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map_or_else(String::new, PrometheusHandle::render)
}
