//! The prefix cache of an engine, with limited memory and a stream of events.

use std::collections::{BTreeMap, VecDeque};

use endpoint::CacheEvent;
use kernel::cost::PREFIX_BLOCK_TOKENS;

/// Events kept for readers.
const MAX_EVENTS: usize = 256;

/// Cached prefixes, the least recently used going first.
#[derive(Debug)]
pub struct Cache {
    capacity_blocks: usize,
    last_used: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl Cache {
    /// A cache that holds prefixes of `tokens` tokens in all.
    pub fn new(tokens: u64) -> Self {
        Self {
            capacity_blocks: usize::try_from(tokens / PREFIX_BLOCK_TOKENS).unwrap_or(usize::MAX),
            last_used: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Tokens of a prompt with these prefix hashes that need no prefill.
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

    /// Keeps the prefixes of a prompt.
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

    /// Loses the events that have not been read, which readers see as a gap.
    pub fn lose_events(&mut self) {
        self.events.clear();
        self.sequence += 1;
    }

    /// The events after number `after` that are still kept.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let newer = self.events.iter().filter(|event| event.sequence > after);
        newer.cloned().collect()
    }
}
