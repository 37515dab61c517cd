//! Continuous batching: each step decodes one token of every prefilled stream and spends the rest
//! of the token budget on prefill, ordered by priority.

use std::collections::BTreeMap;
use std::time::Duration;

use endpoint::{Usage, body};
use kernel::cost::{self, Digest};
use kernel::request::{Attempt, Incarnation};
use tokio::sync::mpsc::UnboundedSender;

use super::cache::Cache;
use super::{Config, Fault};
use crate::text;

/// An item that a stream sends to its connection.
#[derive(Debug)]
pub enum Item {
    /// The stream is queued or in prefill.
    Progress,
    /// Index and text of a token.
    Token(u64, String),
    /// The end marker of a stream.
    End(Usage),
    /// The handle of a part whose prefill has finished.
    Part(String),
}

/// A stream or part in prefill or decoding.
struct Run {
    attempt: Attempt,
    priority: u64,
    arrival: u64,
    chunk_tokens: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    prefill_left: u64,
    prefix_hashes: Vec<u64>,
    digest: u64,
    next_index: u64,
    answer_tokens: u64,
    part: bool,
    hung: bool,
    sender: UnboundedSender<Item>,
}

/// KV memory that is allocated to an attempt.
struct Allocation {
    holder: Incarnation,
    kv_tokens: u64,
    sender: UnboundedSender<Item>,
}

/// The reason why an engine rejects a stream or part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Another model, version or adapter is loaded.
    WrongModel,
    /// The prompt and its answer do not fit into the engine's memory.
    TooLarge,
    /// The engine is draining, loading a model or crashed.
    Unavailable,
    /// The context is not the handle of an exported KV cache.
    InvalidContext,
}

/// The streams, KV memory and prefix cache of one engine.
pub struct Batch {
    /// Body, whether it is a part, sender of the items and number of the arrival.
    queued: Vec<(
        body::EngineRequest<'static>,
        bool,
        UnboundedSender<Item>,
        u64,
    )>,
    runs: Vec<Run>,
    allocations: BTreeMap<Attempt, Allocation>,
    cache: Cache,
    arrivals: u64,
    omit_end_marker: bool,
}

impl Batch {
    pub fn new(config: &Config) -> Self {
        Self {
            queued: Vec::new(),
            runs: Vec::new(),
            allocations: BTreeMap::new(),
            cache: Cache::new(config.cache_tokens),
            arrivals: 0,
            omit_end_marker: false,
        }
    }

    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Returns the KV memory in use, in tokens.
    pub fn kv_used(&self) -> u64 {
        self.allocations
            .values()
            .map(|allocation| allocation.kv_tokens)
            .sum()
    }

    /// Queues a stream or a part until enough memory is free and fewer than `max_running` run.
    pub fn submit(
        &mut self,
        config: &Config,
        body: body::EngineRequest<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Rejection> {
        if required_kv_tokens(&body) > config.kv_total {
            return Err(Rejection::TooLarge);
        }
        if body
            .context
            .as_deref()
            .is_some_and(|handle| parse_context(handle).is_none())
        {
            return Err(Rejection::InvalidContext);
        }
        self.arrivals += 1;
        self.queued.push((body, part, sender, self.arrivals));
        Ok(())
    }

    /// Ends the stream of `attempt` and frees its memory.
    pub fn free(&mut self, attempt: Attempt) {
        self.queued.retain(|(body, ..)| body.attempt != attempt);
        self.runs.retain(|run| run.attempt != attempt);
        self.allocations.remove(&attempt);
    }

    /// Returns the memory that each attempt holds, and the node that it belongs to.
    pub fn holdings(&self) -> Vec<body::Holding> {
        let entry = |(attempt, allocation): (&Attempt, &Allocation)| body::Holding {
            attempt: *attempt,
            holder: allocation.holder,
            connected: !allocation.sender.is_closed(),
            kv_tokens: allocation.kv_tokens,
        };
        self.allocations.iter().map(entry).collect()
    }

    /// Injects a fault of the streams or the cache. Other faults have no effect here.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::DropConnections => {
                self.runs.clear();
                let (closed, _) = tokio::sync::mpsc::unbounded_channel();
                for allocation in self.allocations.values_mut() {
                    allocation.sender = closed.clone();
                }
            }
            Fault::HangStreams => self.runs.iter_mut().for_each(|run| run.hung = true),
            Fault::OmitEndMarker => self.omit_end_marker = true,
            Fault::LoseCacheEvents => self.cache.lose_events(),
            _ => {}
        }
    }

    /// Plans one step and returns its duration, or `None` if nothing runs. Starts queued streams that
    /// fit and ends those whose connection is closed, which keep their memory until a request frees
    /// it.
    pub fn step(&mut self, config: &Config) -> Option<Duration> {
        self.start_queued(config);
        self.runs.retain(|run| !run.sender.is_closed());
        if self.runs.is_empty() {
            return None;
        }
        let decoding = self.runs.iter().filter(|run| run.prefill_left == 0).count() as u64;
        let mut budget = config.max_step_tokens.saturating_sub(decoding).max(1);
        let mut spent = decoding;
        self.runs.sort_by_key(|run| (run.priority, run.arrival));
        for run in self.runs.iter_mut().filter(|run| run.prefill_left > 0) {
            let take = run
                .prefill_left
                .min(budget)
                .min(run.chunk_tokens.saturating_sub(spent).max(1));
            let take = if budget == 0 { 0 } else { take };
            run.prefill_left -= take;
            budget -= take;
            spent += take;
        }
        Some(config.step_time(spent))
    }

    /// Sends a progress item to each stream that is queued or in prefill.
    pub fn send_progress(&self) {
        let queued = self.queued.iter().filter(|(_, part, ..)| !part);
        for (_, _, sender, _) in queued {
            let _ = sender.send(Item::Progress);
        }
        for run in self
            .runs
            .iter()
            .filter(|run| run.prefill_left > 0 && !run.part)
        {
            run.send(Item::Progress);
        }
    }

    /// Sends the items that the last step computed, and frees the memory of ended streams. Parts
    /// and hung streams keep their memory until a request frees it.
    pub fn deliver(&mut self) {
        let mut ended = Vec::new();
        for run in self.runs.iter_mut().filter(|run| run.prefill_left == 0) {
            if run.advance(&mut self.cache, &mut self.omit_end_marker) {
                ended.push((run.attempt, run.part || run.hung));
            }
        }
        self.runs
            .retain(|run| ended.iter().all(|(attempt, _)| *attempt != run.attempt));
        for (attempt, keep) in ended {
            if !keep {
                self.allocations.remove(&attempt);
            }
        }
    }

    fn start_queued(&mut self, config: &Config) {
        self.queued.retain(|(_, _, sender, _)| !sender.is_closed());
        self.queued
            .sort_by_key(|(body, _, _, arrival)| (body.priority, *arrival));
        while let Some((body, ..)) = self.queued.first() {
            let fits = self.kv_used() + required_kv_tokens(body) <= config.kv_total;
            if !fits || self.runs.len() >= config.max_running {
                return;
            }
            let (body, part, sender, arrival) = self.queued.remove(0);
            self.start(&body, part, sender, arrival);
        }
    }

    fn start(
        &mut self,
        body: &body::EngineRequest<'_>,
        part: bool,
        sender: UnboundedSender<Item>,
        arrival: u64,
    ) {
        let allocation = Allocation {
            holder: body.holder,
            kv_tokens: required_kv_tokens(body),
            sender: sender.clone(),
        };
        self.allocations.insert(body.attempt, allocation);
        let (context_tokens, seed) = body
            .context
            .as_deref()
            .and_then(parse_context)
            .unwrap_or((0, Digest::default()));
        let mut digest = seed;
        digest.update(body.prompt.as_bytes());
        let own_tokens = cost::estimate_tokens(body.prompt.len());
        let prefix_hashes = if context_tokens == 0 {
            cost::prefix_hashes(&body.prompt)
        } else {
            Vec::new()
        };
        let cached = self
            .cache
            .lookup(&prefix_hashes)
            .min(own_tokens.saturating_sub(1));
        self.runs.push(Run {
            attempt: body.attempt,
            priority: body.priority,
            arrival,
            chunk_tokens: body.chunk_tokens.max(1),
            prompt_tokens: context_tokens + own_tokens,
            cached_tokens: cached,
            prefill_left: (own_tokens - cached).max(1),
            prefix_hashes,
            digest: digest.value(),
            next_index: body.delivered,
            answer_tokens: text::length(digest.value(), body.answer_tokens),
            part,
            hung: false,
            sender,
        });
    }
}

impl Run {
    /// Sends the next item and returns true if the run has ended.
    fn advance(&mut self, cache: &mut Cache, omit_end_marker: &mut bool) -> bool {
        if !self.prefix_hashes.is_empty() {
            cache.store(&std::mem::take(&mut self.prefix_hashes));
        }
        if self.part {
            self.send(Item::Part(format!(
                "{:x}-{:x}",
                self.prompt_tokens, self.digest
            )));
            return true;
        }
        if self.next_index < self.answer_tokens {
            self.send(Item::Token(
                self.next_index,
                text::token(self.digest, self.next_index),
            ));
            self.next_index += 1;
            return false;
        }
        if std::mem::take(omit_end_marker) {
            return true;
        }
        self.send(Item::End(Usage {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            cached_tokens: self.cached_tokens,
        }));
        true
    }

    fn send(&self, item: Item) {
        if !self.hung {
            // The next step removes runs with a closed connection.
            let _ = self.sender.send(item);
        }
    }
}

/// Returns the KV memory that a stream or part needs, in tokens.
fn required_kv_tokens(body: &body::EngineRequest<'_>) -> u64 {
    cost::estimate_tokens(body.prompt.len()) + body.answer_tokens
}

/// Returns the token count and digest that the handle of an exported KV cache contains, or `None`
/// if the handle is malformed.
fn parse_context(handle: &str) -> Option<(u64, Digest)> {
    let (tokens, digest) = handle.split_once('-')?;
    let tokens = u64::from_str_radix(tokens, 16).ok()?;
    let digest = u64::from_str_radix(digest, 16).ok()?;
    Some((tokens, Digest::resume(digest)))
}
