//! Generates random load: completions of all lengths, bookings, deferred requests, and callers that
//! disconnect early.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::tally::Tally;
use crate::caller::{self, End, Request};
use crate::fleet::{self, BOOKING_CALL, Fleet, MODEL, Member, Plan, SERVICE};
use crate::scenario::{self, Arrival, Scenario};

/// Fixed part of a completion's time limit.
const TIME_LIMIT_BASE: Duration = Duration::from_secs(6);
/// Part of a completion's time limit that grows with its length, as a multiple of its prefill time
/// on an idle engine.
const TIME_LIMIT_FACTOR: f64 = 10.0;
/// Time limit of a booking.
const BOOKING_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Time limit of a deferred request.
const DEFERRED_TIME_LIMIT: Duration = Duration::from_secs(30);

/// Picks a node for each request, in place of the platform's load balancer.
#[derive(Default)]
pub struct LoadBalancer {
    addresses: Mutex<Vec<SocketAddr>>,
}

impl LoadBalancer {
    /// Routes callers to all running nodes of the fleet.
    pub fn set(&self, fleet: &Fleet) {
        *self.addresses.lock() = fleet.members().map(Member::caller_address).collect();
    }

    /// Stops routing callers to the node at `excluded`.
    pub fn remove(&self, excluded: Option<SocketAddr>) {
        self.addresses
            .lock()
            .retain(|address| Some(*address) != excluded);
    }

    fn pick(&self, choice: usize) -> SocketAddr {
        let addresses = self.addresses.lock();
        addresses[choice % addresses.len()]
    }
}

/// Sends random requests for `duration` and waits until all have ended.
pub async fn run(
    plan: Plan,
    balancer: Arc<LoadBalancer>,
    tally: Arc<Tally>,
    seed: u64,
    duration: Duration,
    load: f64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    let rate = plan.engine_config("any").prefill_rate();
    for (index, arrival) in Scenario::Charnwood
        .arrivals(&plan, seed, duration, load)
        .into_iter()
        .enumerate()
    {
        tokio::time::sleep_until(started + arrival.at).await;
        let (balancer, tally) = (Arc::clone(&balancer), Arc::clone(&tally));
        let choice = rng.random_range(0..1_000_000);
        match rng.random_range(0..100) {
            0..12 => tasks.spawn(booking(balancer, tally, index, choice)),
            12..16 if arrival.prompt_tokens < 30_000 => {
                tasks.spawn(deferred(balancer, tally, arrival, choice))
            }
            16..22 => {
                let disconnect_after = Duration::from_millis(rng.random_range(1..400));
                tasks.spawn(abandoned_completion(
                    balancer,
                    tally,
                    arrival,
                    choice,
                    disconnect_after,
                ))
            }
            _ => tasks.spawn(completion(balancer, tally, arrival, choice, rate)),
        };
    }
    while tasks.join_next().await.is_some() {}
}

#[allow(clippy::cast_precision_loss)]
fn time_limit(tokens: u64, rate: f64) -> Duration {
    TIME_LIMIT_BASE + Duration::from_secs_f64(tokens as f64 / rate * TIME_LIMIT_FACTOR)
}

/// Requests a completion and resumes it at another node when the connection to a node is lost.
async fn completion(
    balancer: Arc<LoadBalancer>,
    tally: Arc<Tally>,
    arrival: Arrival,
    choice: usize,
    rate: f64,
) {
    const MAX_ATTEMPTS: usize = 4;
    let prompt = scenario::prompt(arrival.prompt_tokens, arrival.text_seed);
    let expected = fakes::text::answer(&prompt, arrival.answer_tokens);
    let key = fleet::workspace_key(arrival.workspace % 4);
    let mut text = String::new();
    let mut last_event_id = String::new();
    let mut end = End::NodeLost;
    let mut error = String::new();
    let mut request_id = String::new();
    let mut lost_connections = 0;
    for number in 0..MAX_ATTEMPTS {
        let request = Request {
            key: &key,
            model: MODEL,
            prompt: &prompt,
            answer_tokens: arrival.answer_tokens,
            time_limit: time_limit(arrival.prompt_tokens, rate),
            last_event_id: &last_event_id,
        };
        let reply = caller::complete(balancer.pick(choice + number), request).await;
        text.push_str(&reply.text);
        end = reply.end;
        error = reply.error;
        request_id = reply.request_id;
        if !reply.last_event_id.is_empty() {
            last_event_id = reply.last_event_id;
        }
        if end != End::NodeLost {
            break;
        }
        tally.record_connection_loss();
        lost_connections += 1;
    }
    if lost_connections > 0 && !last_event_id.is_empty() && end == End::Whole && text == expected {
        tally.record_continued();
    }
    if !expected.starts_with(&text) || (end == End::Whole && text != expected) {
        end = End::Wrong;
    }
    let what = format!(
        "completion {request_id} of {} tokens",
        arrival.prompt_tokens
    );
    tally.record_end(&what, end, &error);
}

/// Requests a completion and disconnects after `disconnect_after` if it has not ended.
async fn abandoned_completion(
    balancer: Arc<LoadBalancer>,
    tally: Arc<Tally>,
    arrival: Arrival,
    choice: usize,
    disconnect_after: Duration,
) {
    let prompt = scenario::prompt(arrival.prompt_tokens, arrival.text_seed);
    let key = fleet::workspace_key(0);
    let request = Request::new(&key, &prompt, arrival.answer_tokens, TIME_LIMIT_BASE);
    let reply = tokio::time::timeout(
        disconnect_after,
        caller::complete(balancer.pick(choice), request),
    )
    .await;
    if reply.is_err() {
        tally.trace(format!("caller left after {disconnect_after:?}"));
    }
}

/// Makes a booking with one idempotency key.
///
/// Every third booking is sent to two nodes at once. If any attempt did not complete, the
/// booking is sent once more, to the node two places after the first.
async fn booking(balancer: Arc<LoadBalancer>, tally: Arc<Tally>, index: usize, choice: usize) {
    let key = format!("booking-{index}");
    let path = format!("/v1/services/{SERVICE}/{BOOKING_CALL}");
    let bearer = fleet::workspace_key(index % 4);
    let first = book(&balancer, &bearer, &path, &key, choice);
    let mut ends = Vec::new();
    if index.is_multiple_of(3) {
        let second = book(&balancer, &bearer, &path, &key, choice + 1);
        let (first, second) = tokio::join!(first, second);
        ends.extend([first, second]);
    } else {
        ends.push(first.await);
    }
    if ends.iter().any(|(end, _)| *end != End::Whole) {
        ends.push(book(&balancer, &bearer, &path, &key, choice + 2).await);
    }
    let answers: Vec<_> = ends
        .iter()
        .filter(|(end, _)| *end == End::Whole)
        .map(|(_, body)| body)
        .collect();
    if answers.windows(2).any(|pair| pair[0] != pair[1]) {
        tally.record_violation(format!("booking {key} got different answers"));
    }
    for (end, body) in &ends {
        if *end == End::NodeLost {
            tally.record_connection_loss();
        }
        tally.record_booking(&key, *end);
        tally.record_end(
            &format!("booking {key}"),
            *end,
            if *end == End::Whole { "" } else { body },
        );
    }
}

async fn book(
    balancer: &LoadBalancer,
    bearer: &str,
    path: &str,
    key: &str,
    choice: usize,
) -> (End, String) {
    caller::call(balancer.pick(choice), bearer, path, key, BOOKING_TIME_LIMIT).await
}

/// Requests a deferred completion and polls a different node each time until it has ended.
async fn deferred(balancer: Arc<LoadBalancer>, tally: Arc<Tally>, arrival: Arrival, choice: usize) {
    const POLL_INTERVAL: Duration = Duration::from_millis(500);
    let prompt = scenario::prompt(arrival.prompt_tokens, arrival.text_seed);
    let expected = fakes::text::answer(&prompt, arrival.answer_tokens);
    let bearer = fleet::workspace_key(arrival.workspace % 4);
    let request = Request::new(&bearer, &prompt, arrival.answer_tokens, DEFERRED_TIME_LIMIT);
    let (end, id) = caller::defer(balancer.pick(choice), request).await;
    if end != End::Whole {
        tally.record_end("deferred", end, &id);
        return;
    }
    let accepted = Instant::now();
    let deadline = accepted + DEFERRED_TIME_LIMIT + Duration::from_secs(5);
    let mut number = 0;
    while Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        number += 1;
        let document =
            match caller::fetch_deferred(balancer.pick(choice + number), &bearer, &id).await {
                Ok(document) if document["status"] == "pending" => continue,
                Ok(document) => document,
                Err(error) => {
                    tally.trace(format!("deferred {id} not fetched: {error}"));
                    continue;
                }
            };
        let end = check_deferred(&document, &expected);
        tally.record_end(
            &format!("deferred {id}"),
            end,
            &document["error"].to_string(),
        );
        return;
    }
    tally.record_lost(&id, accepted);
}

fn check_deferred(document: &Value, expected: &str) -> End {
    match document["choices"][0]["text"].as_str() {
        Some(text) if text == expected => End::Whole,
        Some(_) => End::Wrong,
        None => End::Failed,
    }
}
