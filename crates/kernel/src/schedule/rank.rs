//! Ordering of waiting requests by a virtual deadline, with fairness between workspaces.
//!
//! The virtual deadline is the arrival plus a multiple of the prefill time on an idle engine (the
//! stretch). Short prompts therefore go first, and a long prompt goes first once its virtual
//! deadline is the earliest, so that it does not starve. Requests of a workspace that exceeds its
//! share get a later virtual arrival (virtual clock scheduling).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::name::Workspace;

/// Stretch at a `short_weight` of 0.
const BASE_STRETCH: f64 = 1.5;
/// Stretch added at a `short_weight` of 1.
const STRETCH_PER_WEIGHT: f64 = 8.5;
/// Maximum lead of a workspace's virtual clock over the current time.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(30);
/// Maximum length of a short prompt, in tokens; longer prompts are prefilled in chunks.
pub(super) const MAX_SHORT_TOKENS: u64 = 8_000;
/// Chunk size that leaves the step size to the engine.
pub(super) const UNLIMITED_CHUNK_TOKENS: u64 = 1 << 20;
/// Number of virtual clocks at which idle ones are removed.
const CLOCK_CLEANUP_THRESHOLD: usize = 1_024;

/// Scheduling settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the routing policy.
    pub policy: String,
    /// Preference for short requests, from 0 (all lengths weigh the same) to 1 (short ones first).
    pub short_weight: f64,
    /// Maximum work granted to an engine in advance, as prefill time.
    pub window: Duration,
    /// Prompt tokens per engine step of a long prompt at a `short_weight` of 0.
    pub chunk_even_tokens: u64,
    /// Prompt tokens per engine step of a long prompt at a `short_weight` of 1.
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
    /// Returns the stretch: the time from arrival to virtual deadline, as a multiple of the prefill
    /// time on an idle engine.
    #[must_use]
    pub fn stretch(&self) -> f64 {
        BASE_STRETCH + self.short_weight * STRETCH_PER_WEIGHT
    }

    /// Returns the prompt tokens per engine step of a prompt of `tokens` tokens.
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

/// The virtual clocks of the workspaces.
#[derive(Debug, Default)]
pub struct VirtualClocks {
    clocks: BTreeMap<Workspace, Instant>,
}

impl VirtualClocks {
    /// Charges `work` to `workspace` and returns the virtual arrival of the request.
    ///
    /// `share` is the fraction of the pool that the workspace may use while others wait. Its clock
    /// advances by `work / share`.
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

    /// Resets the clocks of all workspaces; called when the queue is empty.
    pub fn reset(&mut self) {
        self.clocks.clear();
    }

    fn remove_idle(&mut self, now: Instant) {
        if self.clocks.len() >= CLOCK_CLEANUP_THRESHOLD {
            self.clocks.retain(|_, clock| *clock > now);
        }
    }
}
