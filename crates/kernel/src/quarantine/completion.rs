//! Suspects on which runs were completed recently.

use std::collections::HashMap;
use std::time::Duration;

use super::Suspect;
use crate::clock::Instant;

/// Time for which completed runs are remembered.
const MEMORY: Duration = Duration::from_mins(1);
/// Maximum number of suspects of one kind. Further ones are ignored until old ones are forgotten,
/// so that invented suspects cannot push others out.
const MAX_PER_KIND: usize = 4_096;
/// Time between two searches for old suspects while there are too many.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// When runs with a suspect were last completed.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    segments: HashMap<Suspect, Instant>,
    requests: HashMap<Suspect, Instant>,
    swept_at: Option<Instant>,
}

impl Completions {
    /// Records that a run with the suspect was completed.
    pub(super) fn record(&mut self, suspect: Suspect, now: Instant) {
        let due = self
            .swept_at
            .is_none_or(|at| now.since(at) >= SWEEP_INTERVAL);
        if self.of_kind(suspect).len() >= MAX_PER_KIND && due {
            self.swept_at = Some(now);
            self.forget_old(now);
        }
        let known = self.of_kind(suspect);
        if known.len() < MAX_PER_KIND || known.contains_key(&suspect) {
            known.insert(suspect, now);
        }
    }

    /// Whether a run with the suspect was completed recently.
    pub(super) fn contains(&self, suspect: Suspect) -> bool {
        self.segments.contains_key(&suspect) || self.requests.contains_key(&suspect)
    }

    pub(super) fn forget_old(&mut self, now: Instant) {
        let is_recent = |_: &Suspect, at: &mut Instant| now.since(*at) < MEMORY;
        self.segments.retain(is_recent);
        self.requests.retain(is_recent);
    }

    fn of_kind(&mut self, suspect: Suspect) -> &mut HashMap<Suspect, Instant> {
        if suspect.is_request() {
            &mut self.requests
        } else {
            &mut self.segments
        }
    }
}
