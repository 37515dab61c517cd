//! The order of waiting requests: a virtual deadline that is fair between workspaces.
//!
//! The virtual deadline is the arrival plus a multiple of the time that an idle engine would need
//! for the prompt. Short prompts therefore go first, and an old long prompt comes to the front
//! when its virtual deadline is the earliest, so that none starves. A workspace that asks for more
//! than its share is treated as if its requests had arrived later (virtual clock).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::name::Workspace;

/// Multiple of the idle-engine time when all lengths weigh the same.
const BASE_STRETCH: f64 = 1.5;
/// Added to the multiple when short requests weigh most.
const STRETCH_PER_WEIGHT: f64 = 8.5;
/// Furthest that a workspace's virtual clock may run ahead.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(30);
/// Longest prompt that counts as short in an engine, in tokens.
pub(super) const MAX_SHORT_TOKENS: u64 = 8_000;
/// Leaves the size of steps to the engine.
pub(super) const UNLIMITED_CHUNK_TOKENS: u64 = 1 << 20;
/// Virtual clocks kept before idle ones are dropped.
const CLOCK_CLEANUP_THRESHOLD: usize = 1_024;

/// How a pool weighs and spaces requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the routing policy.
    pub policy: String,
    /// Weight of short requests from 0 (all lengths alike) to 1 (short ones first).
    pub short_weight: f64,
    /// Work that an engine is given ahead, as prefill time.
    pub window: Duration,
    /// Prompt tokens in one engine step for a long prompt when all lengths weigh the same.
    pub chunk_even_tokens: u64,
    /// Prompt tokens in one engine step for a long prompt when short requests weigh most.
    pub chunk_short_first_tokens: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: crate::routing::DEFAULT.to_owned(),
            short_weight: 0.5,
            window: Duration::from_millis(20),
            chunk_even_tokens: 256,
            chunk_short_first_tokens: 128,
        }
    }
}

impl Settings {
    /// The multiple of the idle-engine time after which a request's virtual deadline falls.
    #[must_use]
    pub fn stretch(&self) -> f64 {
        BASE_STRETCH + self.short_weight * STRETCH_PER_WEIGHT
    }

    /// Prompt tokens in one engine step for a prompt of `tokens` tokens.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn chunk_tokens(&self, tokens: u64) -> u64 {
        if tokens <= MAX_SHORT_TOKENS {
            return UNLIMITED_CHUNK_TOKENS;
        }
        let even = self.chunk_even_tokens as f64;
        let short_first = self.chunk_short_first_tokens as f64;
        (even + (short_first - even) * self.short_weight).max(1.0) as u64
    }
}

/// Virtual clocks of the workspaces.
#[derive(Debug, Default)]
pub struct VirtualClock {
    clocks: BTreeMap<Workspace, Instant>,
}

impl VirtualClock {
    /// Charges `work` to `workspace` and returns its virtual arrival.
    ///
    /// `share` is the part of the pool that the workspace may use while others wait.
    pub fn charge(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        work: Duration,
        share: f64,
    ) -> Instant {
        self.remove_idle(now);
        let clock = self.clocks.entry(workspace.clone()).or_insert(now);
        let arrival = (*clock).max(now);
        let latest = now + MAX_CLOCK_LEAD;
        *clock = (arrival + work.div_f64(share.max(f64::EPSILON))).min(latest);
        arrival
    }

    /// Forgets what every workspace owes; called when nothing waits.
    pub fn reset(&mut self) {
        self.clocks.clear();
    }

    fn remove_idle(&mut self, now: Instant) {
        if self.clocks.len() >= CLOCK_CLEANUP_THRESHOLD {
            self.clocks.retain(|_, clock| *clock > now);
        }
    }
}
