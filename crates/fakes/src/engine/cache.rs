//! The prefix cache of a fake engine, with limited memory and a stream of events.

use std::collections::{BTreeMap, VecDeque};

use endpoint::CacheEvent;
use kernel::cost::PREFIX_BLOCK_TOKENS;

/// Maximum number of events that are retained for readers.
const MAX_EVENTS: usize = 256;

/// A cache of prompt prefixes with least-recently-used eviction.
#[derive(Debug)]
pub struct Cache {
    capacity_blocks: usize,
    last_used: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl Cache {
    /// Creates a cache with a capacity of `tokens` tokens.
    pub fn new(tokens: u64) -> Self {
        Self {
            capacity_blocks: usize::try_from(tokens / PREFIX_BLOCK_TOKENS).unwrap_or(usize::MAX),
            last_used: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the number of leading prompt tokens that are cached and need no prefill. Marks their
    /// blocks as recently used.
    pub fn lookup(&mut self, prefix: &[u64]) -> u64 {
        self.clock += 1;
        let mut blocks = 0;
        for hash in prefix {
            let Some(used) = self.last_used.get_mut(hash) else {
                break;
            };
            *used = self.clock;
            blocks += 1;
        }
        blocks * PREFIX_BLOCK_TOKENS
    }

    /// Stores the prefixes of a prompt and evicts the least recently used ones beyond the capacity.
    pub fn store(&mut self, prefix: &[u64]) {
        self.clock += 1;
        let mut stored = Vec::new();
        for hash in prefix.iter().take(self.capacity_blocks) {
            if self.last_used.insert(*hash, self.clock).is_none() {
                stored.push(*hash);
            }
        }
        let evicted = self.evict();
        if !stored.is_empty() || !evicted.is_empty() {
            self.publish(stored, evicted);
        }
    }

    fn evict(&mut self) -> Vec<u64> {
        let excess = self.last_used.len().saturating_sub(self.capacity_blocks);
        if excess == 0 {
            return Vec::new();
        }
        let mut oldest: Vec<_> = self
            .last_used
            .iter()
            .map(|(hash, used)| (*used, *hash))
            .collect();
        oldest.sort_unstable();
        let evicted: Vec<_> = oldest
            .into_iter()
            .take(excess)
            .map(|(_, hash)| hash)
            .collect();
        for hash in &evicted {
            self.last_used.remove(hash);
        }
        evicted
    }

    fn publish(&mut self, stored: Vec<u64>, evicted: Vec<u64>) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            stored,
            evicted,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Discards all retained events. Readers detect the loss by a gap in the sequence numbers.
    pub fn lose_events(&mut self) {
        self.events.clear();
        self.sequence += 1;
    }

    /// Returns the retained events with a sequence number above `after`.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let newer = self.events.iter().filter(|event| event.sequence > after);
        newer.cloned().collect()
    }
}
