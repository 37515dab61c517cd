//! Drives one fleet with arrivals and notes what the callers see.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fakes::engine::Config;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::caller::{self, Ask, End};
use crate::fleet::{self, Fleet, Plan};
use crate::scenario::{self, Arrival};

/// Longest wait for engines to be free of memory after the last answer.
const SETTLE: Duration = Duration::from_secs(10);
/// Time limit of a request on real engines: this much, and a multiple of its idle-engine time.
const LIMIT_BASE: Duration = Duration::from_secs(20);
const LIMIT_FLOORS: u32 = 10;

/// What one caller saw.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// How the request ended.
    pub end: End,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time of the prefill on an idle engine.
    pub floor: Duration,
    /// When the request ended, from the start of the run.
    pub ended: Duration,
}

/// All that was seen in one run.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What each caller saw.
    pub samples: Vec<Sample>,
    /// KV memory that was still held at the end, in tokens.
    pub leaked_tokens: u64,
}

/// The time in which an idle engine prefills `tokens` tokens.
pub fn floor(setting: &Config, tokens: u64) -> Duration {
    let steps = tokens / setting.max_step_tokens;
    let rest = tokens % setting.max_step_tokens;
    let step = |tokens: u64| {
        setting.step_base + setting.step_per_token * u32::try_from(tokens).unwrap_or(u32::MAX)
    };
    let whole = step(setting.max_step_tokens) * u32::try_from(steps).unwrap_or(u32::MAX);
    if rest > 0 { whole + step(rest) } else { whole }
}

/// The time limit of a request.
pub fn limit(plan: &Plan, floor: Duration) -> Duration {
    LIMIT_BASE / plan.scale + floor * LIMIT_FLOORS
}

/// Drives a fresh fleet with `arrivals`.
pub async fn run(plan: &Plan, arrivals: &[Arrival], title: &str) -> io::Result<Seen> {
    let fleet = Fleet::start(plan.clone()).await?;
    let callers = fleet.callers();
    let setting = plan.engine("any");
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
        let prompt = scenario::prompt(arrival.tokens, arrival.text_seed);
        let address = callers[index % callers.len()];
        let floor = floor(&setting, arrival.tokens);
        let limit = limit(plan, floor);
        let (samples, ended) = (Arc::clone(&samples), Arc::clone(&ended));
        tokio::time::sleep_until(started + arrival.at).await;
        tasks.spawn(async move {
            let key = fleet::key(arrival.workspace);
            let ask = Ask::new(&key, &prompt, arrival.answer_tokens, limit);
            let seen = caller::complete(address, ask).await;
            let sample = Sample {
                tokens: arrival.tokens,
                end: seen.end,
                first_token: seen.first_token,
                floor,
                ended: started.elapsed(),
            };
            samples.lock().push(sample);
            ended.fetch_add(1, Ordering::Relaxed);
        });
    }
    while tasks.join_next().await.is_some() {}
    progress.abort();
    let leaked_tokens = fleet.settle(SETTLE).await;
    let samples = samples.lock().clone();
    Ok(Seen {
        samples,
        leaked_tokens,
    })
}

async fn show_progress(title: String, all: usize, ended: Arc<AtomicUsize>) {
    use std::io::{IsTerminal, Write};
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        eprint!(
            "\r{title}: {} of {all} requests ended   ",
            ended.load(Ordering::Relaxed)
        );
        // A progress line that cannot be shown is not missed.
        let _ = std::io::stderr().flush();
    }
}
