//! Units of the figures that several commands print.

use std::time::Duration;

use hdrhistogram::Histogram;

/// KV memory of one token, in bytes.
pub const KV_BYTES_PER_TOKEN: u64 = 128 * 1_024;

/// A time as whole microseconds, as histograms record it.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A quantile of recorded microseconds, in milliseconds.
#[allow(clippy::cast_precision_loss)]
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
