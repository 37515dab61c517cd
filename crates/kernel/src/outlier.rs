//! Leaves endpoints out for a while that fail what they are sent, and domains that are cut off.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;

/// Failures in a row after which an endpoint is left out.
const FAILURES: u32 = 2;
/// First time for which an endpoint is left out.
const FIRST: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is left out.
const LONGEST: Duration = Duration::from_secs(5);
/// Most doublings of the first time; reaches the longest one.
const DOUBLINGS: u32 = 4;

/// Endpoints of one failure domain that must fall silent before all of it is left out.
const SILENT_ENDPOINTS: usize = 3;
/// Time within which they must fall silent.
const SILENT_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a failure domain is left out; then its endpoints are tried again.
const DOMAIN_TIME: Duration = Duration::from_millis(1_500);

/// How an endpoint dealt with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It answered well.
    Succeeded,
    /// It failed or spoiled the request.
    Failed,
    /// It could not be reached, or fell silent.
    Silent,
}

/// Failure domains whose endpoints fell silent lately, as a partition makes them.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    silent: HashMap<Domain, Vec<(Identity, Instant)>>,
    avoided: HashMap<Domain, Instant>,
}

impl Partition {
    /// Notes how an endpoint of `domain` dealt with a request.
    pub fn note(&mut self, domain: &Domain, endpoint: Identity, how: Judgement, now: Instant) {
        match how {
            Judgement::Succeeded => {
                self.silent.remove(domain);
                self.avoided.remove(domain);
            }
            Judgement::Failed => {}
            Judgement::Silent => self.note_silent(domain, endpoint, now),
        }
    }

    fn note_silent(&mut self, domain: &Domain, endpoint: Identity, now: Instant) {
        let silent = self.silent.entry(domain.clone()).or_default();
        silent.retain(|(other, at)| *other != endpoint && now.since(*at) < SILENT_WINDOW);
        silent.push((endpoint, now));
        if silent.len() >= SILENT_ENDPOINTS {
            self.avoided.insert(domain.clone(), now + DOMAIN_TIME);
        }
    }

    /// Whether the domain is left out now.
    #[must_use]
    pub fn avoids(&self, domain: &Domain, now: Instant) -> bool {
        self.avoided.get(domain).is_some_and(|until| *until > now)
    }
}

/// How an endpoint answered lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    failures: u32,
    silent: bool,
    avoided_until: Option<Instant>,
}

impl Standing {
    /// Notes how the endpoint dealt with a request.
    pub fn note(&mut self, how: Judgement, now: Instant) {
        match how {
            Judgement::Succeeded => self.succeeded(),
            Judgement::Failed => self.failed(now),
            Judgement::Silent => self.unreachable(now),
        }
    }

    /// Notes a good answer.
    fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure that speaks against the endpoint.
    fn failed(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.silent = false;
        if let Some(over) = self.failures.checked_sub(FAILURES) {
            self.avoid(now, over);
        }
    }

    /// Notes that the endpoint could not be reached, which alone leaves it out.
    fn unreachable(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.silent = true;
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

    /// Whether the endpoint is left out because it could not be reached.
    #[must_use]
    pub fn silent(&self, now: Instant) -> bool {
        self.silent && self.avoided(now)
    }
}
