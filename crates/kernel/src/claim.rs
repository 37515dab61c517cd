//! Claims on the log for calls that must not be repeated.
//!
//! A node appends a claim, reads it back, and sends the call only if its claim is the first one for
//! the key. At most one attempt is therefore sent, and its outcome is appended. A caller that
//! repeats the key gets that outcome, or `unknown` if the claimant died between sending the call
//! and recording its outcome.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::request;

/// Maximum size of an answer that is recorded for replay, in bytes.
pub const MAX_RECORDED_BYTES: usize = 32 * 1_024;

/// A record of the claims stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A node claims the key in order to send the call.
    Claim(Claim),
    /// The claimant has not sent the call and will not send it.
    Abandon {
        /// The claimed key.
        key: String,
        /// The abandoned attempt.
        attempt: request::Attempt,
    },
    /// The call ended with an answer.
    Outcome {
        /// The claimed key.
        key: String,
        /// The attempt that ended.
        attempt: request::Attempt,
        /// The service's answer.
        answer: Answer,
    },
}

/// A node's claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key: workspace, service, call and the caller's idempotency key.
    pub key: String,
    /// Digest of the call's body.
    pub body: String,
    /// The attempt that will be sent.
    pub attempt: request::Attempt,
    /// Maximum time from the claim to its outcome, in milliseconds.
    pub time_limit_ms: u64,
}

/// A service's answer, as recorded for replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body as text.
    pub body: String,
}

/// Whether an attempt may be sent for a key, and if not, why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt's claim has not been read back, or it lost to a claim that was then abandoned.
    Pending,
    /// The attempt's claim is the first for the key: it may be sent once.
    Won,
    /// Another attempt holds the claim, and its outcome may still arrive.
    Running(request::Attempt),
    /// The call has ended with this answer.
    Ended(Answer),
    /// The call may have run: no outcome was recorded within the time limit.
    Unknown,
    /// The key was claimed with a different body.
    Conflict,
    /// The attempt's claim was abandoned, and the key is unclaimed.
    Free,
}

#[derive(Clone, Debug)]
enum State {
    Claimed { claim: Claim, read_at: Instant },
    Ended { body: String, answer: Answer },
}

#[derive(Clone, Debug)]
struct Entry {
    state: State,
    claimed_ms: u64,
}

/// The keys claimed within the claim window, folded from the claims stream.
#[derive(Debug)]
pub struct Registry {
    next_offset: u64,
    window_ms: u64,
    keys: BTreeMap<String, Entry>,
    /// Log time and key of each claim, oldest first.
    order: VecDeque<(u64, String)>,
    /// Attempts that won a key or were abandoned; their further claims are ignored.
    settled: BTreeSet<request::Attempt>,
    /// Log time and attempt of each entry in `settled`, oldest first.
    settled_order: VecDeque<(u64, request::Attempt)>,
}

/// Time after a claim's time limit until its outcome counts as unknown.
const OUTCOME_MARGIN: Duration = Duration::from_secs(2);

impl Registry {
    /// An empty registry that keeps keys for `window`.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            next_offset: 0,
            window_ms: u64::try_from(window.as_millis()).unwrap_or(u64::MAX),
            keys: BTreeMap::new(),
            order: VecDeque::new(),
            settled: BTreeSet::new(),
            settled_order: VecDeque::new(),
        }
    }

    /// The offset of the next record to read.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Skips the records before `first`, which the log no longer retains.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Applies the batch of records at `offset`, read at `now`; `logged_ms` is the time of the
    /// append by the log's clock, in milliseconds.
    ///
    /// Keys expire by the log's clock, so every node drops a key at the same record.
    pub fn apply(&mut self, now: Instant, offset: u64, logged_ms: u64, record: &str) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        self.expire(logged_ms);
        // Every node skips a malformed batch, so all nodes agree.
        for record in serde_json::from_str::<Vec<Record>>(record).unwrap_or_default() {
            self.apply_record(now, logged_ms, record);
        }
    }

    fn apply_record(&mut self, now: Instant, logged_ms: u64, record: Record) {
        match record {
            Record::Claim(claim) => self.claim(now, logged_ms, claim),
            Record::Abandon { key, attempt } => self.abandon(logged_ms, &key, attempt),
            Record::Outcome {
                key,
                attempt,
                answer,
            } => self.end(&key, attempt, answer),
        }
    }

    fn expire(&mut self, logged_ms: u64) {
        while let Some((logged, _)) = self.order.front()
            && logged.saturating_add(self.window_ms) < logged_ms
        {
            let Some((logged, key)) = self.order.pop_front() else {
                break;
            };
            if self
                .keys
                .get(&key)
                .is_some_and(|entry| entry.claimed_ms == logged)
            {
                self.keys.remove(&key);
            }
        }
        while let Some((logged, attempt)) = self.settled_order.front().copied()
            && logged.saturating_add(self.window_ms) < logged_ms
        {
            self.settled_order.pop_front();
            self.settled.remove(&attempt);
        }
    }

    fn claim(&mut self, now: Instant, logged_ms: u64, claim: Claim) {
        // Ignores a claim that was appended twice or that follows its own abandonment.
        if self.keys.contains_key(&claim.key) || self.settled.contains(&claim.attempt) {
            return;
        }
        self.settle(logged_ms, claim.attempt);
        self.order.push_back((logged_ms, claim.key.clone()));
        let entry = Entry {
            state: State::Claimed {
                claim: claim.clone(),
                read_at: now,
            },
            claimed_ms: logged_ms,
        };
        self.keys.insert(claim.key, entry);
    }

    fn settle(&mut self, logged_ms: u64, attempt: request::Attempt) {
        if self.settled.insert(attempt) {
            self.settled_order.push_back((logged_ms, attempt));
        }
    }

    fn abandon(&mut self, logged_ms: u64, key: &str, attempt: request::Attempt) {
        self.settle(logged_ms, attempt);
        if self.claimant(key) == Some(attempt) {
            self.keys.remove(key);
        }
    }

    fn end(&mut self, key: &str, attempt: request::Attempt, answer: Answer) {
        if self.claimant(key) != Some(attempt) {
            return;
        }
        if let Some(entry) = self.keys.get_mut(key)
            && let State::Claimed { claim, .. } = &entry.state
        {
            entry.state = State::Ended {
                body: claim.body.clone(),
                answer,
            };
        }
    }

    fn claimant(&self, key: &str) -> Option<request::Attempt> {
        match &self.keys.get(key)?.state {
            State::Claimed { claim, .. } => Some(claim.attempt),
            State::Ended { .. } => None,
        }
    }

    /// Whether `attempt` may be sent for `key`; `body` is the digest of its body.
    #[must_use]
    pub fn verdict(
        &self,
        now: Instant,
        key: &str,
        body: &str,
        attempt: request::Attempt,
    ) -> Verdict {
        let Some(entry) = self.keys.get(key) else {
            return if self.settled.contains(&attempt) {
                Verdict::Free
            } else {
                Verdict::Pending
            };
        };
        match &entry.state {
            State::Claimed { claim, .. } if claim.body != body => Verdict::Conflict,
            State::Ended { body: known, .. } if known != body => Verdict::Conflict,
            State::Ended { answer, .. } => Verdict::Ended(answer.clone()),
            State::Claimed { claim, .. } if claim.attempt == attempt => Verdict::Won,
            State::Claimed { claim, read_at } if overdue(now, claim, *read_at) => Verdict::Unknown,
            State::Claimed { claim, .. } => Verdict::Running(claim.attempt),
        }
    }

    /// Whether `key` is neither claimed nor ended.
    #[must_use]
    pub fn is_free(&self, key: &str) -> bool {
        !self.keys.contains_key(key)
    }

    /// Keys whose calls may have run without a recorded outcome; shown to operators.
    #[must_use]
    pub fn unknown_keys(&self, now: Instant) -> Vec<String> {
        self.keys
            .iter()
            .filter(|(_, entry)| match &entry.state {
                State::Claimed { claim, read_at } => overdue(now, claim, *read_at),
                State::Ended { .. } => false,
            })
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Number of keys in the claim window.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the claim window contains no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

fn overdue(now: Instant, claim: &Claim, read_at: Instant) -> bool {
    read_at + Duration::from_millis(claim.time_limit_ms) + OUTCOME_MARGIN <= now
}
