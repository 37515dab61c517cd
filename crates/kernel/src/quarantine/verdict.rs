//! Decisions about requests, and why a suspect is quarantined.

use std::time::Duration;

use crate::clock::Instant;

/// Time after which a caller may come back to a suspect that is not tested any more.
const RETRY_AFTER_LAST_PROBE: Duration = Duration::from_mins(10);

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None of its suspects is quarantined.
    Admitted,
    /// The request is for now the only one to test its quarantined suspects.
    Probe,
    /// An endpoint crashed on the request; it may be run again after this time.
    Held(Duration),
    /// Refused; the caller may come back after this time.
    Refused(Duration),
}

/// Why and until when a suspect is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of endpoints that crashed on the suspect.
    pub endpoints: usize,
    /// Time of the first of these crashes.
    pub first_crash: Instant,
    /// Time of the last of these crashes.
    pub last_crash: Instant,
    /// Time at which the next probe is due; `None` if there were enough of them.
    pub probe_due: Option<Instant>,
}

impl Entry {
    /// Returns the time after which a refused caller may come back.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        let due = self.probe_due.map(|due| due.since(now));
        due.unwrap_or(RETRY_AFTER_LAST_PROBE)
    }
}
