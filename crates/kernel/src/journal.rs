//! A bounded journal of decisions and their reasons, for `filbertctl explain`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::request;

/// Maximum number of requests whose decisions are kept.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of decisions kept for one request; later ones are dropped.
const MAX_DECISIONS_PER_REQUEST: usize = 64;

/// One decision on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of the decision.
    pub at: Instant,
    /// Event name, such as `admitted`.
    pub event: String,
    /// Reason for the decision, with the numbers behind it.
    pub reason: String,
}

/// Decisions on a node's most recent requests.
#[derive(Debug, Default)]
pub struct Journal {
    entries: BTreeMap<request::Id, Vec<Entry>>,
    order: VecDeque<request::Id>,
}

impl Journal {
    /// Records a decision on the request `id`; drops the oldest request when the journal is full.
    pub fn record(&mut self, now: Instant, id: request::Id, event: &str, reason: String) {
        let entries = self.entries.entry(id).or_insert_with(|| {
            self.order.push_back(id);
            Vec::new()
        });
        if entries.len() < MAX_DECISIONS_PER_REQUEST {
            entries.push(Entry {
                at: now,
                event: event.to_owned(),
                reason,
            });
        }
        if self.order.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
    }

    /// The decisions on `id`, oldest first.
    #[must_use]
    pub fn entries(&self, id: request::Id) -> &[Entry] {
        self.entries.get(&id).map_or(&[], Vec::as_slice)
    }
}
