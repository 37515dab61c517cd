//! The results of a load run, as JSON or as a table.

use std::time::Duration;

use hdrhistogram::Histogram;
use kernel::cost::{BAND_LIMITS_TOKENS, Band};
use serde::Serialize;

use super::super::units::{KV_BYTES_PER_TOKEN, micros, quantile_ms};
use super::run::{Measurements, Sample};
use crate::caller::End;
use crate::fleet::Plan;
use crate::scenario::MAX_SHORT_TOKENS;

/// Percentiles of the time to the first token, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// Results for the prompts of one length band.
#[derive(Clone, Debug, Serialize)]
pub struct Bucket {
    /// Maximum prompt length of the band, in tokens.
    pub tokens_up_to: u64,
    pub requests: usize,
    /// Time to the first token.
    pub ttft_ms: Percentiles,
    /// 95th percentile of the time to the first token, as a multiple of the prefill time on an idle
    /// engine.
    pub ttft_over_floor_p95: f64,
}

/// Results under one policy.
#[derive(Clone, Debug, Serialize)]
#[allow(clippy::struct_field_names)]
pub struct Run {
    pub policy: String,
    pub short_weight: f64,
    pub finished: usize,
    pub failed: usize,
    pub not_run: usize,
    pub late: usize,
    /// KV memory that engines still held at the end of the runs.
    pub leaked_bytes: u64,
    pub wrong_answers: usize,
    /// 95th percentile of the time to the first token of short prompts in the run with all prompts,
    /// divided by that in the run with only the short ones.
    pub short_blocking_p95: Option<f64>,
    /// Prompt tokens per second of the requests that completed in the second half of the time in
    /// which requests arrive.
    pub goodput_tokens_per_second: f64,
    pub buckets: Vec<Bucket>,
}

/// Results under all policies.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub scenario: &'static str,
    pub seed: u64,
    pub runs: Vec<Run>,
}

fn histogram() -> Histogram<u64> {
    const MAX_US: u64 = 3_600_000_000;
    Histogram::new_with_max(MAX_US, 3).expect("the bounds of the histogram are constant")
}

/// Histogram of the times to the first token, in microseconds.
fn first_token_times<'a>(samples: impl Iterator<Item = &'a Sample>) -> Histogram<u64> {
    let mut histogram = histogram();
    for duration in samples.filter_map(|sample| sample.first_token) {
        histogram.saturating_record(micros(duration));
    }
    histogram
}

fn short_samples(samples: &[Sample]) -> impl Iterator<Item = &Sample> {
    samples
        .iter()
        .filter(|sample| sample.prompt_tokens <= MAX_SHORT_TOKENS)
}

/// Prompt tokens per second of the requests that completed in the second half of `duration`.
///
/// The first half is left out because the queues are still filling.
#[allow(clippy::cast_precision_loss)]
fn goodput(measured: &Measurements, duration: Duration) -> f64 {
    let half = duration / 2;
    let completed = measured
        .samples
        .iter()
        .filter(|sample| sample.end == End::Whole);
    let second_half =
        completed.filter(|sample| sample.ended_at > half && sample.ended_at <= duration);
    let tokens: u64 = second_half.map(|sample| sample.prompt_tokens).sum();
    tokens as f64 / half.as_secs_f64()
}

impl Bucket {
    #[allow(clippy::cast_precision_loss)]
    fn new(tokens_up_to: u64, samples: &[Sample]) -> Self {
        const RATIO_SCALE: u32 = 1_000;
        let in_band = || {
            samples
                .iter()
                .filter(|sample| Band::of(sample.prompt_tokens).tokens_up_to == tokens_up_to)
        };
        let times = first_token_times(in_band());
        let mut ratios = histogram();
        for sample in in_band() {
            if let Some(duration) = sample.first_token {
                let ratio = micros(duration) * u64::from(RATIO_SCALE)
                    / micros(sample.idle_prefill_time).max(1);
                ratios.saturating_record(ratio);
            }
        }
        Self {
            tokens_up_to,
            requests: in_band().count(),
            ttft_ms: Percentiles {
                p50: quantile_ms(&times, 0.50),
                p95: quantile_ms(&times, 0.95),
                p99: quantile_ms(&times, 0.99),
            },
            ttft_over_floor_p95: ratios.value_at_quantile(0.95) as f64 / f64::from(RATIO_SCALE),
        }
    }
}

impl Run {
    /// Summarizes the run with all prompts and, if there is one, the run with only short prompts.
    pub fn new(
        policy: &str,
        plan: &Plan,
        duration: Duration,
        mixed: &Measurements,
        alone: Option<&Measurements>,
    ) -> Self {
        let count = |ends: &[End]| {
            mixed
                .samples
                .iter()
                .filter(|sample| ends.contains(&sample.end))
                .count()
        };
        let mixed_p95 = quantile_ms(&first_token_times(short_samples(&mixed.samples)), 0.95);
        let alone_p95 = alone.map(|measured| {
            quantile_ms(&first_token_times(short_samples(&measured.samples)), 0.95)
        });
        let alone_leaked = alone.map_or(0, |measured| measured.leaked_tokens);
        let goodput = goodput(mixed, duration);
        Self {
            policy: policy.to_owned(),
            short_weight: plan.short_weight,
            finished: count(&[End::Whole]),
            failed: count(&[End::Failed, End::Unknown, End::NodeLost]),
            not_run: count(&[End::NotRun]),
            late: count(&[End::Late]),
            leaked_bytes: (mixed.leaked_tokens + alone_leaked) * KV_BYTES_PER_TOKEN,
            wrong_answers: count(&[End::Wrong]),
            short_blocking_p95: alone_p95.map(|alone_p95| mixed_p95 / alone_p95.max(f64::EPSILON)),
            goodput_tokens_per_second: goodput,
            buckets: BAND_LIMITS_TOKENS
                .iter()
                .map(|end| Bucket::new(*end, &mixed.samples))
                .collect(),
        }
    }
}

impl Report {
    /// Whether no answer was late or wrong and no memory leaked.
    pub fn passed(&self) -> bool {
        let passed = |run: &Run| run.late == 0 && run.wrong_answers == 0 && run.leaked_bytes == 0;
        self.runs.iter().all(passed)
    }

    /// Prints the report as a table.
    pub fn print(&self) {
        for run in &self.runs {
            println!(
                "\n{}, policy {} (short weight {}), seed {}: {} finished, {} failed, {} not run, {} late, {} wrong, {} bytes leaked",
                self.scenario,
                run.policy,
                run.short_weight,
                self.seed,
                run.finished,
                run.failed,
                run.not_run,
                run.late,
                run.wrong_answers,
                run.leaked_bytes
            );
            if let Some(ratio) = run.short_blocking_p95 {
                println!(
                    "p95 time to first token of short prompts, relative to the run without long ones: {ratio:.2}"
                );
            }
            println!(
                "{:>12} {:>9} {:>10} {:>10} {:>10} {:>14}",
                "tokens up to", "requests", "p50 ms", "p95 ms", "p99 ms", "p95 over floor"
            );
            for bucket in &run.buckets {
                println!(
                    "{:>12} {:>9} {:>10.1} {:>10.1} {:>10.1} {:>14.2}",
                    bucket.tokens_up_to,
                    bucket.requests,
                    bucket.ttft_ms.p50,
                    bucket.ttft_ms.p95,
                    bucket.ttft_ms.p99,
                    bucket.ttft_over_floor_p95
                );
            }
        }
    }
}
