//! Attempts that hold memory at endpoints, and retries of freeing that memory.
//!
//! An attempt is added before its first byte is sent. It is removed only when the endpoint confirms
//! that it holds nothing for the attempt, or when the endpoint is gone. If the endpoint never
//! answered the attempt, the request to free it can overtake the attempt on another connection. The
//! attempt is then freed again once nothing sent before can still arrive.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::membership::Liveness;
use crate::name::Endpoint;
use crate::request::{Attempt, Incarnation};

/// Delay before the first retry of freeing; doubles with each retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay between two tries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// How long an unanswered attempt can still reach an endpoint after its sender gave up. Buffered
/// bytes are read within the time limit of a short call to an endpoint; the window is three times
/// that limit.
pub const LATE_ARRIVAL_WINDOW: Duration = Duration::from_secs(3);
/// How long a holder must have been dead before its memory is freed.
pub const DEAD_GRACE: Duration = Duration::from_secs(5);
/// How long a holder must have been unknown, named by no heartbeat, before its memory is freed.
pub const UNKNOWN_GRACE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// `answered` is set once the endpoint has answered: the attempt is no longer in flight.
    Held { answered: bool },
    /// The next try is due at `next_try`. A confirmation before `in_flight_until` is not final,
    /// because the attempt may still arrive.
    Freeing {
        tries: u32,
        next_try: Instant,
        in_flight_until: Instant,
    },
}

/// Memory that an endpoint holds for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The incarnation of the node that sent the attempt.
    pub holder: Incarnation,
    /// The attempt that the memory is held for.
    pub attempt: Attempt,
    /// Whether the holder's connection is open.
    pub connected: bool,
}

/// Attempts that may hold memory at endpoints.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<(Endpoint, Attempt), State>,
}

impl Ledger {
    /// Adds an attempt; must be called before anything is sent for it.
    pub fn hold(&mut self, endpoint: &Endpoint, attempt: Attempt) {
        self.entries
            .insert((endpoint.clone(), attempt), State::Held { answered: false });
    }

    /// Records that the endpoint has answered the attempt, which is therefore no longer in flight.
    pub fn mark_answered(&mut self, endpoint: &Endpoint, attempt: Attempt) {
        let state = self.entries.get_mut(&(endpoint.clone(), attempt));
        if let Some(State::Held { answered }) = state {
            *answered = true;
        }
    }

    /// Starts freeing what an attempt holds; the first try is due at once.
    pub fn release(&mut self, now: Instant, endpoint: &Endpoint, attempt: Attempt) {
        if let Some(state) = self.entries.get_mut(&(endpoint.clone(), attempt))
            && let State::Held { answered } = *state
        {
            *state = State::Freeing {
                tries: 0,
                next_try: now,
                in_flight_until: if answered {
                    now
                } else {
                    now + LATE_ARRIVAL_WINDOW
                },
            };
        }
    }

    /// Removes an attempt after its endpoint confirmed that it holds nothing for it. If the attempt
    /// may still be in flight, another try is scheduled for the end of that time instead.
    pub fn confirm_freed(&mut self, now: Instant, endpoint: &Endpoint, attempt: Attempt) {
        let key = (endpoint.clone(), attempt);
        match self.entries.get_mut(&key) {
            Some(State::Freeing {
                next_try,
                in_flight_until,
                ..
            }) if now < *in_flight_until => *next_try = *in_flight_until,
            _ => {
                self.entries.remove(&key);
            }
        }
    }

    /// Removes all attempts at an endpoint that restarted or is permanently gone.
    pub fn remove_endpoint(&mut self, endpoint: &Endpoint) {
        self.entries.retain(|(name, _), _| name != endpoint);
    }

    /// Returns the attempts that are due to be freed now, and schedules the next try of each.
    pub fn take_due(&mut self, now: Instant) -> Vec<(Endpoint, Attempt)> {
        let mut due = Vec::new();
        for ((endpoint, attempt), state) in &mut self.entries {
            if let State::Freeing {
                tries, next_try, ..
            } = state
                && *next_try <= now
            {
                let wait = RETRY_DELAY
                    .saturating_mul(1 << (*tries).min(8))
                    .min(MAX_RETRY_DELAY);
                *tries += 1;
                *next_try = now + wait;
                due.push((endpoint.clone(), *attempt));
            }
        }
        due
    }

    /// Number of attempts that are held or being freed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no attempt is held or being freed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Selects the attempts that may be freed from the holdings that an endpoint lists.
///
/// `liveness` returns the liveness of a holder. Holdings of a live node or of a connected holder
/// are never selected.
pub fn sweep(
    holdings: &[Holding],
    mut liveness: impl FnMut(Incarnation) -> Liveness,
) -> Vec<Attempt> {
    let mut abandoned = |holder| match liveness(holder) {
        Liveness::Live => false,
        Liveness::Dead(time) => time >= DEAD_GRACE,
        Liveness::Unknown(time) => time >= UNKNOWN_GRACE,
    };
    holdings
        .iter()
        .filter(|holding| !holding.connected && abandoned(holding.holder))
        .map(|holding| holding.attempt)
        .collect()
}
