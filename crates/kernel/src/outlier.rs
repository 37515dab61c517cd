//! Leaves endpoints out for a while that fail what they are sent, and domains that are cut off.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;

/// Failures in a row after which an endpoint is left out.
const CONSECUTIVE_FAILURES: u32 = 2;
/// First time for which an endpoint is left out.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is left out.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Most doublings of the first time; reaches the longest one.
const MAX_DOUBLINGS: u32 = 4;

/// Endpoints of one failure domain that must fall silent before all of it is left out.
const UNRESPONSIVE_ENDPOINTS: usize = 3;
/// Time within which they must fall silent.
const DOMAIN_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a failure domain is left out; then its endpoints are tried again.
const DOMAIN_EJECTION: Duration = Duration::from_millis(1_500);

/// How an endpoint dealt with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered well.
    Succeeded,
    /// It failed or spoiled the request.
    Failed,
    /// It could not be reached, or fell silent.
    Unresponsive,
}

/// Failure domains whose endpoints fell silent lately, as a partition makes them.
#[derive(Clone, Debug, Default)]
pub struct DomainHealth {
    unresponsive: HashMap<Domain, Vec<(Identity, Instant)>>,
    ejected: HashMap<Domain, Instant>,
}

impl DomainHealth {
    /// Notes how an endpoint of `domain` dealt with a request.
    pub fn record(
        &mut self,
        domain: &Domain,
        endpoint: Identity,
        observation: Observation,
        now: Instant,
    ) {
        match observation {
            Observation::Succeeded => {
                self.unresponsive.remove(domain);
                self.ejected.remove(domain);
            }
            Observation::Failed => {}
            Observation::Unresponsive => self.record_unresponsive(domain, endpoint, now),
        }
    }

    fn record_unresponsive(&mut self, domain: &Domain, endpoint: Identity, now: Instant) {
        let unresponsive = self.unresponsive.entry(domain.clone()).or_default();
        unresponsive.retain(|(other, at)| *other != endpoint && now.since(*at) < DOMAIN_WINDOW);
        unresponsive.push((endpoint, now));
        if unresponsive.len() >= UNRESPONSIVE_ENDPOINTS {
            self.ejected.insert(domain.clone(), now + DOMAIN_EJECTION);
        }
    }

    /// Whether the domain is left out now.
    #[must_use]
    pub fn is_ejected(&self, domain: &Domain, now: Instant) -> bool {
        self.ejected.get(domain).is_some_and(|until| *until > now)
    }
}

/// How an endpoint answered lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    unresponsive: bool,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Notes how the endpoint dealt with a request.
    pub fn record(&mut self, observation: Observation, now: Instant) {
        match observation {
            Observation::Succeeded => self.record_success(),
            Observation::Failed => self.record_failure(now),
            Observation::Unresponsive => self.record_unresponsive(now),
        }
    }

    /// Notes a good answer.
    fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure that speaks against the endpoint.
    fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.unresponsive = false;
        if let Some(doublings) = self.failures.checked_sub(CONSECUTIVE_FAILURES) {
            self.eject(now, doublings);
        }
    }

    /// Notes that the endpoint could not be reached, which alone leaves it out.
    fn record_unresponsive(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.unresponsive = true;
        self.eject(now, self.failures - 1);
    }

    fn eject(&mut self, now: Instant, doublings: u32) {
        let time = FIRST_EJECTION * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
    }

    /// Whether the endpoint is left out now.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether the endpoint is left out because it could not be reached.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.unresponsive && self.is_ejected(now)
    }
}
