//! Random callers: prompts of all lengths, bookings, deferred requests, and callers that leave.

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
use crate::caller::{self, Ask, End};
use crate::fleet::{self, BOOKING, Fleet, MODEL, Member, Plan, SERVICE};
use crate::scenario::{self, Arrival, Scenario};

/// Time limit of a request: this much, and a multiple of its idle-engine time.
const LIMIT_BASE: Duration = Duration::from_secs(6);
const LIMIT_FLOORS: f64 = 10.0;
/// Time limit of a booking.
const BOOKING_LIMIT: Duration = Duration::from_secs(5);
/// Time limit of a deferred request.
const DEFERRED_LIMIT: Duration = Duration::from_secs(30);

/// The nodes that the platform's balancer sends callers to.
#[derive(Default)]
pub struct Roster {
    callers: Mutex<Vec<SocketAddr>>,
}

impl Roster {
    /// Takes the running nodes of the fleet.
    pub fn set(&self, fleet: &Fleet) {
        *self.callers.lock() = fleet.members().map(Member::callers).collect();
    }

    /// Takes one node out.
    pub fn remove(&self, address: Option<SocketAddr>) {
        self.callers
            .lock()
            .retain(|caller| Some(*caller) != address);
    }

    fn pick(&self, choice: usize) -> SocketAddr {
        let callers = self.callers.lock();
        callers[choice % callers.len()]
    }
}

/// Sends random requests for `time` and waits until all have ended.
pub async fn run(
    plan: Plan,
    roster: Arc<Roster>,
    tally: Arc<Tally>,
    seed: u64,
    time: Duration,
    load: f64,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    let rate = plan.engine("any").prefill_rate();
    for (index, arrival) in Scenario::Charnwood
        .arrivals(&plan, seed, time, load)
        .into_iter()
        .enumerate()
    {
        tokio::time::sleep_until(started + arrival.at).await;
        let (roster, tally) = (Arc::clone(&roster), Arc::clone(&tally));
        let choice = random.random_range(0..1_000_000);
        match random.random_range(0..100) {
            0..12 => tasks.spawn(booking(roster, tally, index, choice)),
            12..16 if arrival.tokens < 30_000 => {
                tasks.spawn(deferred(roster, tally, arrival, choice))
            }
            16..22 => {
                let patience = Duration::from_millis(random.random_range(1..400));
                tasks.spawn(impatient(roster, tally, arrival, choice, patience))
            }
            _ => tasks.spawn(completion(roster, tally, arrival, choice, rate)),
        };
    }
    while tasks.join_next().await.is_some() {}
}

#[allow(clippy::cast_precision_loss)]
fn limit(tokens: u64, rate: f64) -> Duration {
    LIMIT_BASE + Duration::from_secs_f64(tokens as f64 / rate * LIMIT_FLOORS)
}

/// Asks for a completion and goes on at another node when the first one is lost.
async fn completion(
    roster: Arc<Roster>,
    tally: Arc<Tally>,
    arrival: Arrival,
    choice: usize,
    rate: f64,
) {
    const TRIES: usize = 4;
    let prompt = scenario::prompt(arrival.tokens, arrival.text_seed);
    let expected = fakes::text::answer(&prompt, arrival.answer_tokens);
    let key = fleet::key(arrival.workspace % 4);
    let mut text = String::new();
    let mut last_event = String::new();
    let mut end = End::NodeLost;
    let mut error = String::new();
    let mut request = String::new();
    let mut cuts = 0;
    for number in 0..TRIES {
        let ask = Ask {
            key: &key,
            model: MODEL,
            prompt: &prompt,
            answer_tokens: arrival.answer_tokens,
            limit: limit(arrival.tokens, rate),
            last_event: &last_event,
        };
        let seen = caller::complete(roster.pick(choice + number), ask).await;
        text.push_str(&seen.text);
        end = seen.end;
        error = seen.error;
        request = seen.request;
        if !seen.last_event.is_empty() {
            last_event = seen.last_event;
        }
        if end != End::NodeLost {
            break;
        }
        tally.cut();
        cuts += 1;
    }
    if cuts > 0 && !last_event.is_empty() && end == End::Whole && text == expected {
        tally.continued();
    }
    if !expected.starts_with(&text) || (end == End::Whole && text != expected) {
        end = End::Wrong;
    }
    let what = format!("completion {request} of {} tokens", arrival.tokens);
    tally.ended(&what, end, &error);
}

/// Asks for a completion and leaves before it is whole.
async fn impatient(
    roster: Arc<Roster>,
    tally: Arc<Tally>,
    arrival: Arrival,
    choice: usize,
    patience: Duration,
) {
    let prompt = scenario::prompt(arrival.tokens, arrival.text_seed);
    let key = fleet::key(0);
    let ask = Ask::new(&key, &prompt, arrival.answer_tokens, LIMIT_BASE);
    let left = tokio::time::timeout(patience, caller::complete(roster.pick(choice), ask)).await;
    if left.is_err() {
        tally.note(format!("caller left after {patience:?}"));
    }
}

/// Books under one key at several nodes, in turn and sometimes at once.
async fn booking(roster: Arc<Roster>, tally: Arc<Tally>, index: usize, choice: usize) {
    let key = format!("booking-{index}");
    let path = format!("/v1/services/{SERVICE}/{BOOKING}");
    let bearer = fleet::key(index % 4);
    let first = book(&roster, &bearer, &path, &key, choice);
    let mut ends = Vec::new();
    if index.is_multiple_of(3) {
        let second = book(&roster, &bearer, &path, &key, choice + 1);
        let (first, second) = tokio::join!(first, second);
        ends.extend([first, second]);
    } else {
        ends.push(first.await);
    }
    if ends.iter().any(|(end, _)| *end != End::Whole) {
        ends.push(book(&roster, &bearer, &path, &key, choice + 2).await);
    }
    let answers: Vec<_> = ends
        .iter()
        .filter(|(end, _)| *end == End::Whole)
        .map(|(_, body)| body)
        .collect();
    if answers.windows(2).any(|pair| pair[0] != pair[1]) {
        tally.violation(format!("booking {key} got different answers"));
    }
    for (end, body) in &ends {
        tally.booking(&key, *end);
        tally.ended(
            &format!("booking {key}"),
            *end,
            if *end == End::Whole { "" } else { body },
        );
    }
}

async fn book(
    roster: &Roster,
    bearer: &str,
    path: &str,
    key: &str,
    choice: usize,
) -> (End, String) {
    caller::call(roster.pick(choice), bearer, path, key, BOOKING_LIMIT).await
}

/// Asks for a deferred completion and fetches it later, at any node.
async fn deferred(roster: Arc<Roster>, tally: Arc<Tally>, arrival: Arrival, choice: usize) {
    const POLL: Duration = Duration::from_millis(500);
    let prompt = scenario::prompt(arrival.tokens, arrival.text_seed);
    let expected = fakes::text::answer(&prompt, arrival.answer_tokens);
    let bearer = fleet::key(arrival.workspace % 4);
    let ask = Ask::new(&bearer, &prompt, arrival.answer_tokens, DEFERRED_LIMIT);
    let (end, id) = caller::defer(roster.pick(choice), ask).await;
    if end != End::Whole {
        tally.ended("deferred", end, &id);
        return;
    }
    let accepted = Instant::now();
    let deadline = accepted + DEFERRED_LIMIT + Duration::from_secs(5);
    let mut number = 0;
    while Instant::now() < deadline {
        tokio::time::sleep(POLL).await;
        number += 1;
        let document = match caller::fetch(roster.pick(choice + number), &bearer, &id).await {
            Ok(document) if document["status"] == "pending" => continue,
            Ok(document) => document,
            Err(error) => {
                tally.note(format!("deferred {id} not fetched: {error}"));
                continue;
            }
        };
        let end = deferred_end(&document, &expected);
        tally.ended(
            &format!("deferred {id}"),
            end,
            &document["error"].to_string(),
        );
        return;
    }
    tally.lost(&id, accepted);
}

fn deferred_end(document: &Value, expected: &str) -> End {
    match document["choices"][0]["text"].as_str() {
        Some(text) if text == expected => End::Whole,
        Some(_) => End::Wrong,
        None => End::Failed,
    }
}
