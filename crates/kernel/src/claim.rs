//! Calls that may not be repeated: claimed on the log before they are sent.
//!
//! A node appends a claim, reads it back, and sends the call only if its claim is the first one of
//! the key. Exactly one attempt is sent, and its outcome is appended. Whoever repeats the key gets
//! the outcome, or `unknown` when the claimant died between sending and recording it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::request;

/// Longest answer that is recorded for replay, in bytes.
pub const MAX_RECORDED_BYTES: usize = 32 * 1_024;

/// A record of the claims stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A node wants to send the call.
    Claim(Claim),
    /// The claimant has not sent the call and never will.
    Abandon {
        /// The claimed key.
        key: String,
        /// The attempt that is abandoned.
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

/// The claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Workspace, service, call and idempotency key.
    pub key: String,
    /// Digest of the call's body.
    pub body: String,
    /// The attempt that will be sent.
    pub attempt: request::Attempt,
    /// Longest time from the claim to its outcome, in milliseconds.
    pub time_limit_ms: u64,
}

/// A service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body text.
    pub body: String,
}

/// What a node may do about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim has not been read back.
    Pending,
    /// This attempt's claim is the first: send it, once.
    Won,
    /// Another attempt runs; its outcome may still come.
    Running(request::Attempt),
    /// The call has ended with this answer.
    Ended(Answer),
    /// The call may have run.
    Unknown,
    /// The key was used with another body.
    Conflict,
    /// The key is free.
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

/// The keys of the claim window, folded from the log.
#[derive(Debug)]
pub struct Registry {
    next_offset: u64,
    window_ms: u64,
    keys: BTreeMap<String, Entry>,
    order: VecDeque<(u64, String)>,
    /// Attempts whose claim counts no more, or no claim of theirs may count.
    settled: BTreeSet<request::Attempt>,
    settled_order: VecDeque<(u64, request::Attempt)>,
}

/// Margin after a claim's time limit before its outcome is called unknown.
const OUTCOME_MARGIN: Duration = Duration::from_secs(2);

impl Registry {
    /// An empty book that remembers keys for `window`.
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

    /// The offset to read next.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Takes note that the log now starts at `first`.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Folds the batch of records at `offset`, which the log wrote at `logged_ms` of its own clock.
    ///
    /// The window is measured by the log's clock, so every node forgets a key at the same record.
    pub fn apply(&mut self, now: Instant, offset: u64, logged_ms: u64, record: &str) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        self.expire(logged_ms);
        // Garbage is skipped, as at every other node.
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
        // A claim appended twice, or one whose abandonment came first, changes nothing.
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

    /// What `attempt` may do about `key` with a body of digest `body`.
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

    /// Keys whose calls may have run, for operators.
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

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

fn overdue(now: Instant, claim: &Claim, read_at: Instant) -> bool {
    read_at + Duration::from_millis(claim.time_limit_ms) + OUTCOME_MARGIN <= now
}
