//! Sends the arrivals to one fleet and records how each request ended.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fakes::engine::Config;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::caller::{self, End, Request};
use crate::fleet::{self, Fleet, Plan};
use crate::scenario::{self, Arrival};

/// Maximum wait until the engines have freed all KV memory after the last answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(10);
/// Fixed part of a request's time limit, at the speed of real engines.
const TIME_LIMIT_BASE: Duration = Duration::from_secs(20);
/// Part of a request's time limit that grows with its length, as a multiple of its prefill time on
/// an idle engine.
const TIME_LIMIT_FACTOR: u32 = 10;

/// The measurement of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// How the request ended.
    pub end: End,
    /// Time to the first token, if one arrived.
    pub first_token: Option<Duration>,
    /// Prefill time on an idle engine.
    pub idle_prefill_time: Duration,
    /// End of the request, measured from the start of the run.
    pub ended_at: Duration,
}

/// The measurements of one run.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// One sample per request, in order of their ends.
    pub samples: Vec<Sample>,
    /// KV memory still held after [`FREE_TIMEOUT`], in tokens.
    pub leaked_tokens: u64,
}

/// Returns the time in which an idle engine prefills `tokens` tokens.
pub fn idle_prefill_time(config: &Config, tokens: u64) -> Duration {
    let steps = tokens / config.max_step_tokens;
    let rest = tokens % config.max_step_tokens;
    let step = |tokens: u64| {
        config.step_base + config.step_per_token * u32::try_from(tokens).unwrap_or(u32::MAX)
    };
    let full_steps = step(config.max_step_tokens) * u32::try_from(steps).unwrap_or(u32::MAX);
    if rest > 0 {
        full_steps + step(rest)
    } else {
        full_steps
    }
}

/// Returns the time limit of a request whose prefill takes `idle_prefill_time` on an idle engine.
pub fn time_limit(plan: &Plan, idle_prefill_time: Duration) -> Duration {
    TIME_LIMIT_BASE / plan.scale + idle_prefill_time * TIME_LIMIT_FACTOR
}

/// Starts a new fleet and sends `arrivals` to its nodes in turn; `title` names the run in the
/// progress line.
///
/// # Errors
///
/// The I/O error, if the fleet does not start.
pub async fn run(plan: &Plan, arrivals: &[Arrival], title: &str) -> io::Result<Measurements> {
    let fleet = Fleet::start(plan.clone()).await?;
    let addresses = fleet.caller_addresses();
    let config = plan.engine_config("any");
    let samples = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let ended = Arc::new(AtomicUsize::new(0));
    let progress = tokio::spawn(show_progress(
        title.to_owned(),
        arrivals.len(),
        Arc::clone(&ended),
    ));
    for (index, arrival) in arrivals.iter().enumerate() {
        let arrival = arrival.clone();
        let prompt = scenario::prompt(arrival.prompt_tokens, arrival.text_seed);
        let address = addresses[index % addresses.len()];
        let idle_prefill_time = idle_prefill_time(&config, arrival.prompt_tokens);
        let time_limit = time_limit(plan, idle_prefill_time);
        let (samples, ended) = (Arc::clone(&samples), Arc::clone(&ended));
        tokio::time::sleep_until(started + arrival.at).await;
        tasks.spawn(async move {
            let key = fleet::workspace_key(arrival.workspace);
            let request = Request::new(&key, &prompt, arrival.answer_tokens, time_limit);
            let reply = caller::complete(address, request).await;
            let sample = Sample {
                prompt_tokens: arrival.prompt_tokens,
                end: reply.end,
                first_token: reply.first_token,
                idle_prefill_time,
                ended_at: started.elapsed(),
            };
            samples.lock().push(sample);
            ended.fetch_add(1, Ordering::Relaxed);
        });
    }
    while tasks.join_next().await.is_some() {}
    progress.abort();
    let leaked_tokens = fleet.wait_until_freed(FREE_TIMEOUT).await;
    let samples = samples.lock().clone();
    Ok(Measurements {
        samples,
        leaked_tokens,
    })
}

async fn show_progress(title: String, total: usize, ended: Arc<AtomicUsize>) {
    use std::io::{IsTerminal, Write};
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        eprint!(
            "\r{title}: {} of {total} requests ended   ",
            ended.load(Ordering::Relaxed)
        );
        // The progress line is optional, so a failed write is ignored.
        let _ = std::io::stderr().flush();
    }
}
