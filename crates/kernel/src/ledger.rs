//! What each attempt holds at endpoints, and the retried work of freeing it.
//!
//! An attempt is entered before its first byte is sent and leaves the ledger only when the
//! endpoint has confirmed that it holds nothing for it, or when the endpoint is gone. Where the
//! endpoint never answered the attempt, freeing can overtake it on another connection; it is then
//! freed again until nothing sent before can still arrive.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::membership::Liveness;
use crate::name::Endpoint;
use crate::request::{Attempt, Incarnation};

/// Wait before freeing is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait between two tries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// How long an unanswered request can still reach an endpoint after its sender gave it up: three
/// times the limit of a short call, as the bytes lie in buffers that are read within one.
pub const LATE_ARRIVAL_WINDOW: Duration = Duration::from_secs(3);
/// How long a holder must have been dead before its memory is swept.
pub const DEAD_GRACE: Duration = Duration::from_secs(5);
/// How long no heartbeat may have named a holder before its memory is swept.
pub const UNKNOWN_GRACE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// `answered` once the endpoint has said that it took the attempt.
    Held { answered: bool },
    /// Freed at `next` again; a confirmation before `until` is not the last word.
    Freeing {
        tries: u32,
        next_try: Instant,
        in_flight_until: Instant,
    },
}

/// Something that an endpoint holds for a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Who holds it there.
    pub holder: Incarnation,
    /// The attempt it is held for.
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
    /// Enters an attempt, before anything is sent for it.
    pub fn hold(&mut self, endpoint: &Endpoint, attempt: Attempt) {
        self.entries
            .insert((endpoint.clone(), attempt), State::Held { answered: false });
    }

    /// Notes that the endpoint has taken the attempt.
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

    /// Removes an attempt whose endpoint has confirmed that it holds nothing for it, or frees it
    /// again once nothing of it can still be on its way.
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

    /// Removes everything at an endpoint that restarted or is gone for good.
    pub fn remove_endpoint(&mut self, endpoint: &Endpoint) {
        self.entries.retain(|(name, _), _| name != endpoint);
    }

    /// The attempts whose freeing is due, each to be tried once now.
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

    /// Attempts that are held or being freed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Chooses what may be freed of the holdings that an endpoint lists.
///
/// `standing` tells what is known of a holder. Nothing of a live node or of a connected holder is
/// ever chosen.
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
