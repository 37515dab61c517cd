//! Decides how long a read of the store may take, and when it is sent again.
//!
//! A call that was sent while the store did not respond gets no response after that either. So a read is
//! given up by the time since its last byte, and not by its duration: a store that sends much slowly is
//! waited for, and a silent one is asked again. A store that has much to send may also take long for the
//! first byte. What tells it from a silent one is a probe, a second call that asks for little.

use std::time::Duration;

use crate::clock::Instant;

/// Longest time without a byte of a response that needs no preparation by the store.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a second try needs after a read was given up: a wait, a new connection and the response.
const RETRY_TIME: Duration = Duration::from_millis(300);
/// Time between a probe without a response and the next one.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Longest first wait for a byte of the newest record of each key from a store that responds to probes.
/// Doubles with each read that is given up, up to [`NEWEST_TIMEOUT_LONGEST`], because a store that sends
/// all records to many hosts at once takes longer.
const NEWEST_TIMEOUT_FIRST: Duration = Duration::from_millis(1_400);
/// Longest wait for a byte of the newest record of each key.
const NEWEST_TIMEOUT_LONGEST: Duration = Duration::from_secs(8);
/// Longest silence of the store that must have been seen for a read of the newest records to count as
/// lost, after earlier ones were lost.
const MIN_SILENCE_LONGEST: Duration = Duration::from_millis(2_800);
/// Longest time for all of the newest records.
const NEWEST_DURATION: Duration = Duration::from_secs(8);
/// Longest time for changes, beyond the wait for the first one.
const CHANGES_DURATION: Duration = Duration::from_secs(2);
/// Wait after the first failed read. Doubles with each further failure up to [`BACKOFF_LONGEST`].
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Longest wait between two reads while the store fails.
pub const BACKOFF_LONGEST: Duration = Duration::from_millis(600);

/// Returns how long a read may wait at the store for changes that must be known within `limit`: if no
/// response comes, there is time for another read.
#[must_use]
pub fn longest_wait(limit: Duration) -> Duration {
    limit
        .saturating_sub(RESPONSE_TIMEOUT + RETRY_TIME)
        .max(limit / 2)
}

/// What to do about a read that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for the response, but no longer than this.
    Wait(Instant),
    /// Find out by another call whether the store responds, and go on waiting meanwhile.
    Probe,
    /// Give the read up.
    GiveUp,
}

/// Progress of one read.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// Longest time without a byte, from a store that responds to probes.
    timeout: Duration,
    /// Time at which the read is given up in any case.
    ends_at: Instant,
    /// Time of the last byte; before the first one, the time at which the store has to respond.
    heard_at: Instant,
    /// Whether the store is probed while no bytes arrive.
    probes: bool,
    /// Time at which the last probe since then ended.
    probed_at: Option<Instant>,
    /// Time of the first probe without a response, if none got one later.
    silent_since: Option<Instant>,
    /// Time for which the store must have been silent for the read to count as lost.
    min_silence: Duration,
    /// Whether the store responds again after it was silent, so that the read is lost.
    is_lost: bool,
}

impl Watch {
    /// Watches a read of changes that is sent at `now` and waits at the store for up to `wait`.
    #[must_use]
    pub fn changes(now: Instant, wait: Duration) -> Self {
        Self {
            timeout: RESPONSE_TIMEOUT,
            ends_at: now + wait + CHANGES_DURATION,
            heard_at: now + wait,
            probes: false,
            probed_at: None,
            silent_since: None,
            min_silence: Duration::ZERO,
            is_lost: false,
        }
    }

    /// Watches a read of the newest record of each key that is sent at `now`.
    #[must_use]
    pub fn newest(now: Instant, retry: &Retry) -> Self {
        Self {
            timeout: retry.newest_timeout,
            ends_at: now + NEWEST_DURATION,
            probes: true,
            min_silence: retry.min_silence,
            ..Self::changes(now, Duration::ZERO)
        }
    }

    /// Records that bytes of the response arrived.
    pub fn record_bytes(&mut self, now: Instant) {
        self.heard_at = now;
        self.probed_at = None;
        self.silent_since = None;
    }

    /// Records whether the store responded to a probe.
    pub fn record_probe(&mut self, responded: bool, now: Instant) {
        self.probed_at = Some(now);
        if responded {
            let since = self.silent_since.take();
            self.is_lost = since.is_some_and(|since| now.since(since) >= self.min_silence);
        } else {
            self.silent_since.get_or_insert(now);
        }
    }

    /// Returns what to do at `now`.
    #[must_use]
    pub fn step(&self, now: Instant) -> Step {
        let is_silent = self.silent_since.is_some();
        let timeout_at = if is_silent {
            // Nothing is to be gained by another read before a probe gets a response.
            self.ends_at
        } else {
            self.ends_at.min(self.heard_at + self.timeout)
        };
        if self.is_lost || now >= timeout_at {
            return Step::GiveUp;
        }
        if !self.probes {
            return Step::Wait(timeout_at);
        }
        let probe_at = match self.probed_at {
            Some(probed_at) if is_silent => probed_at + PROBE_INTERVAL,
            Some(probed_at) => probed_at + RESPONSE_TIMEOUT,
            None => self.heard_at + RESPONSE_TIMEOUT,
        };
        if now >= probe_at {
            return Step::Probe;
        }
        Step::Wait(timeout_at.min(probe_at))
    }
}

/// When failed reads of one topic are sent again.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    backoff: Duration,
    newest_timeout: Duration,
    min_silence: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            backoff: BACKOFF_FIRST,
            newest_timeout: NEWEST_TIMEOUT_FIRST,
            min_silence: Duration::ZERO,
        }
    }
}

impl Retry {
    /// Records that a read was given up, or failed, and returns how long to wait before the next one.
    pub fn record_failure(&mut self, watch: &Watch, now: Instant) -> Duration {
        if watch.is_lost {
            self.backoff = BACKOFF_FIRST;
            // A busy store that responds to some probes in time is not to be asked for all records each
            // time.
            self.min_silence = (self.min_silence * 2).clamp(RESPONSE_TIMEOUT, MIN_SILENCE_LONGEST);
            return Duration::ZERO;
        }
        let timed_out = now >= watch.heard_at + watch.timeout;
        if watch.probes && timed_out && watch.silent_since.is_none() {
            self.newest_timeout = (self.newest_timeout * 2).min(NEWEST_TIMEOUT_LONGEST);
        }
        let wait = self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_LONGEST);
        wait
    }
}
