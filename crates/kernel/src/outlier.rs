//! Leaves endpoints out for a while that fail what they are sent.

use std::time::Duration;

use crate::clock::Instant;

/// Failures in a row after which an endpoint is left out.
const FAILURES: u32 = 2;
/// First time for which an endpoint is left out.
const FIRST: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is left out.
const LONGEST: Duration = Duration::from_secs(5);
/// Most doublings of the first time; reaches the longest one.
const DOUBLINGS: u32 = 4;

/// How an endpoint answered lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    failures: u32,
    avoided_until: Option<Instant>,
}

impl Standing {
    /// Notes a good answer.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure that speaks against the endpoint.
    pub fn failed(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if let Some(over) = self.failures.checked_sub(FAILURES) {
            self.avoid(now, over);
        }
    }

    /// Notes that the endpoint could not be reached, which alone leaves it out.
    pub fn unreachable(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.avoid(now, self.failures - 1);
    }

    fn avoid(&mut self, now: Instant, doublings: u32) {
        let time = FIRST * 2_u32.pow(doublings.min(DOUBLINGS));
        self.avoided_until = Some(now + time.min(LONGEST));
    }

    /// Whether the endpoint is left out now.
    #[must_use]
    pub fn avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| until > now)
    }
}
