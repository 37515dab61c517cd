//! Units and conversions for the measurements of several commands.

use std::time::Duration;

use hdrhistogram::Histogram;

/// KV memory of one token, in bytes.
pub const KV_BYTES_PER_TOKEN: u64 = 128 * 1_024;

/// Converts a duration to whole microseconds, the unit of the histograms.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
#[allow(clippy::cast_precision_loss)]
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
