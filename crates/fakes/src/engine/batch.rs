//! Continuous batching: each step decodes one token of every ready stream and spends the rest of
//! the token budget on prefill, in the order of priority.

use std::collections::BTreeMap;
use std::time::Duration;

use endpoint::{Usage, body};
use kernel::cost::{self, Digest};
use kernel::request::{Attempt, Incarnation};
use tokio::sync::mpsc::UnboundedSender;

use super::cache::Cache;
use super::{Faults, Setting};
use crate::text;

/// What a stream sends to its connection.
#[derive(Debug)]
pub enum Item {
    /// The prompt is still being worked on.
    Progress,
    /// Token number and text.
    Token(u64, String),
    /// The end marker of a stream.
    End(Usage),
    /// The handle of a part that was prefilled.
    Part(String),
}

struct Run {
    attempt: Attempt,
    priority: u64,
    arrived: u64,
    chunk: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    left: u64,
    prefix: Vec<u64>,
    digest: u64,
    next: u64,
    length: u64,
    part: bool,
    silent: bool,
    sender: UnboundedSender<Item>,
}

struct Held {
    holder: Incarnation,
    kv_tokens: u64,
    sender: UnboundedSender<Item>,
}

/// Why a stream was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another model, version or adapter is loaded.
    WrongModel,
    /// The prompt does not fit into the engine's memory.
    TooLarge,
    /// The engine takes no work.
    Closed,
    /// The handle of the parts before is not one of an export.
    BadContext,
}

/// Streams, memory and cache of one engine.
pub struct Batch {
    queued: Vec<(
        body::EngineRequest<'static>,
        bool,
        UnboundedSender<Item>,
        u64,
    )>,
    runs: Vec<Run>,
    held: BTreeMap<Attempt, Held>,
    cache: Cache,
    arrivals: u64,
    cut_next_end: bool,
}

impl Batch {
    pub fn new(setting: &Setting) -> Self {
        Self {
            queued: Vec::new(),
            runs: Vec::new(),
            held: BTreeMap::new(),
            cache: Cache::new(setting.cache_tokens),
            arrivals: 0,
            cut_next_end: false,
        }
    }

    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// KV memory in use, in tokens.
    pub fn kv_used(&self) -> u64 {
        self.held.values().map(|held| held.kv_tokens).sum()
    }

    /// Takes a stream or a part; it waits in the engine until memory is free.
    pub fn submit(
        &mut self,
        setting: &Setting,
        body: body::EngineRequest<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Refusal> {
        if needed(&body) > setting.kv_total {
            return Err(Refusal::TooLarge);
        }
        if body
            .context
            .as_deref()
            .is_some_and(|handle| context(handle).is_none())
        {
            return Err(Refusal::BadContext);
        }
        self.arrivals += 1;
        self.queued.push((body, part, sender, self.arrivals));
        Ok(())
    }

    /// Frees all that `attempt` holds.
    pub fn free(&mut self, attempt: Attempt) {
        self.queued.retain(|(body, ..)| body.attempt != attempt);
        self.runs.retain(|run| run.attempt != attempt);
        self.held.remove(&attempt);
    }

    /// What attempts hold, and for whom.
    pub fn holdings(&self) -> Vec<body::Holding> {
        let entry = |(attempt, held): (&Attempt, &Held)| body::Holding {
            attempt: *attempt,
            holder: held.holder,
            connected: !held.sender.is_closed(),
            kv_tokens: held.kv_tokens,
        };
        self.held.iter().map(entry).collect()
    }

    /// Breaks all running streams' connections, or makes them silent.
    pub fn disturb(&mut self, faults: Faults) {
        match faults {
            Faults::Cut => {
                self.runs.clear();
                let (closed, _) = tokio::sync::mpsc::unbounded_channel();
                for held in self.held.values_mut() {
                    held.sender = closed.clone();
                }
            }
            Faults::Silence => self.runs.iter_mut().for_each(|run| run.silent = true),
            Faults::Truncate => self.cut_next_end = true,
            Faults::LoseCacheEvents => self.cache.lose_events(),
            _ => {}
        }
    }

    /// Runs one step and returns how long it takes, or `None` when there is nothing to do.
    pub fn step(&mut self, setting: &Setting) -> Option<Duration> {
        self.start_queued(setting);
        self.runs.retain(|run| !run.sender.is_closed());
        if self.runs.is_empty() {
            return None;
        }
        let decoding = self.runs.iter().filter(|run| run.left == 0).count() as u64;
        let mut budget = setting.step_tokens.saturating_sub(decoding).max(1);
        let mut spent = decoding;
        self.runs.sort_by_key(|run| (run.priority, run.arrived));
        for run in self.runs.iter_mut().filter(|run| run.left > 0) {
            let take = run
                .left
                .min(budget)
                .min(run.chunk.saturating_sub(spent).max(1));
            let take = if budget == 0 { 0 } else { take };
            run.left -= take;
            budget -= take;
            spent += take;
        }
        Some(setting.step_time(spent))
    }

    /// Tells the streams that have no token yet that they are being worked on.
    pub fn report_progress(&self) {
        let queued = self.queued.iter().filter(|(_, part, ..)| !part);
        for (_, _, sender, _) in queued {
            let _ = sender.send(Item::Progress);
        }
        for run in self.runs.iter().filter(|run| run.left > 0 && !run.part) {
            run.send(Item::Progress);
        }
    }

    /// Delivers what the last step computed.
    pub fn deliver(&mut self) {
        let mut ended = Vec::new();
        for run in self.runs.iter_mut().filter(|run| run.left == 0) {
            if run.advance(&mut self.cache, &mut self.cut_next_end) {
                ended.push((run.attempt, run.part || run.silent));
            }
        }
        self.runs
            .retain(|run| ended.iter().all(|(attempt, _)| *attempt != run.attempt));
        for (attempt, keep) in ended {
            if !keep {
                self.held.remove(&attempt);
            }
        }
    }

    fn start_queued(&mut self, setting: &Setting) {
        self.queued.retain(|(_, _, sender, _)| !sender.is_closed());
        self.queued
            .sort_by_key(|(body, _, _, arrived)| (body.priority, *arrived));
        while let Some((body, ..)) = self.queued.first() {
            let fits = self.kv_used() + needed(body) <= setting.kv_total;
            if !fits || self.runs.len() >= setting.most_running {
                return;
            }
            let (body, part, sender, arrived) = self.queued.remove(0);
            self.start(&body, part, sender, arrived);
        }
    }

    fn start(
        &mut self,
        body: &body::EngineRequest<'_>,
        part: bool,
        sender: UnboundedSender<Item>,
        arrived: u64,
    ) {
        let held = Held {
            holder: body.holder,
            kv_tokens: needed(body),
            sender: sender.clone(),
        };
        self.held.insert(body.attempt, held);
        let (before, seed) = body
            .context
            .as_deref()
            .and_then(context)
            .unwrap_or((0, Digest::default()));
        let mut digest = seed;
        digest.update(body.prompt.as_bytes());
        let own_tokens = cost::estimate_tokens(body.prompt.len());
        let prefix = if before == 0 {
            cost::prefix_hashes(&body.prompt)
        } else {
            Vec::new()
        };
        let cached = self.cache.cached(&prefix).min(own_tokens.saturating_sub(1));
        self.runs.push(Run {
            attempt: body.attempt,
            priority: body.priority,
            arrived,
            chunk: body.chunk_tokens.max(1),
            prompt_tokens: before + own_tokens,
            cached_tokens: cached,
            left: (own_tokens - cached).max(1),
            prefix,
            digest: digest.value(),
            next: body.delivered,
            length: text::length(digest.value(), body.answer_tokens),
            part,
            silent: false,
            sender,
        });
    }
}

impl Run {
    /// Sends the next item; returns true when the run has ended.
    fn advance(&mut self, cache: &mut Cache, cut_end: &mut bool) -> bool {
        if !self.prefix.is_empty() {
            cache.store(&std::mem::take(&mut self.prefix));
        }
        if self.part {
            self.send(Item::Part(format!(
                "{:x}-{:x}",
                self.prompt_tokens, self.digest
            )));
            return true;
        }
        if self.next < self.length {
            self.send(Item::Token(self.next, text::token(self.digest, self.next)));
            self.next += 1;
            return false;
        }
        if std::mem::take(cut_end) {
            return true;
        }
        self.send(Item::End(Usage {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.length,
            cached_tokens: self.cached_tokens,
        }));
        true
    }

    fn send(&self, item: Item) {
        if !self.silent {
            // A closed connection is noticed at the next step.
            let _ = self.sender.send(item);
        }
    }
}

/// KV memory that a stream or part needs, in tokens.
fn needed(body: &body::EngineRequest<'_>) -> u64 {
    cost::estimate_tokens(body.prompt.len()) + body.answer_tokens
}

/// Tokens and digest behind the handle of an exported KV cache.
fn context(handle: &str) -> Option<(u64, Digest)> {
    let (tokens, digest) = handle.split_once('-')?;
    let tokens = u64::from_str_radix(tokens, 16).ok()?;
    let digest = u64::from_str_radix(digest, 16).ok()?;
    Some((tokens, Digest::resume(digest)))
}
