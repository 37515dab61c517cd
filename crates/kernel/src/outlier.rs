//! Outlier detection: temporarily ejects failing endpoints and unreachable failure domains.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;

/// Consecutive failures after which an endpoint is ejected.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Duration of the first ejection of an endpoint.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Maximum number of times that the ejection time is doubled; enough to reach `MAX_EJECTION`.
const MAX_DOUBLINGS: u32 = 4;

/// Number of unresponsive endpoints in one failure domain after which the whole domain is ejected.
const UNRESPONSIVE_ENDPOINTS: usize = 3;
/// Time window in which these endpoints must be observed as unresponsive.
const DOMAIN_WINDOW: Duration = Duration::from_secs(2);
/// Number of endpoints of a failure domain that are probed at the same time.
pub const DOMAIN_PROBES: usize = UNRESPONSIVE_ENDPOINTS;
/// Duration of the ejection of a failure domain unless probes renew or end it; afterwards its
/// endpoints are tried again.
const DOMAIN_EJECTION: Duration = Duration::from_millis(1_500);

/// Observed result of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The endpoint answered correctly.
    Succeeded,
    /// The endpoint failed the request or returned an invalid answer.
    Failed,
    /// The endpoint could not be reached or stopped responding.
    Unresponsive,
    /// The endpoint's address refuses connections: the endpoint has ended, but its failure domain
    /// can be reached.
    Gone,
}

/// Detects failure domains that are unreachable, for example because of a network partition.
#[derive(Clone, Debug, Default)]
pub struct DomainHealth {
    unresponsive: HashMap<Domain, Vec<(Identity, Instant)>>,
    ejected: HashMap<Domain, Instant>,
}

impl DomainHealth {
    /// Records the result of a request to an endpoint of `domain`.
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
            Observation::Failed | Observation::Gone => {}
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

    /// Records that `reached` of `probed` endpoints of `domain` accepted a connection.
    ///
    /// One that does is enough to show that the domain can be reached.
    pub fn record_probes(&mut self, domain: &Domain, reached: usize, probed: usize, now: Instant) {
        if reached > 0 {
            self.unresponsive.remove(domain);
            self.ejected.remove(domain);
        } else if probed >= DOMAIN_PROBES {
            self.ejected.insert(domain.clone(), now + DOMAIN_EJECTION);
        }
    }

    /// Ends ejections that began at `since` or later, and drops observations from then on.
    pub fn forgive(&mut self, since: Instant) {
        for observed in self.unresponsive.values_mut() {
            observed.retain(|(_, at)| *at < since);
        }
        self.ejected
            .retain(|_, until| *until < since + DOMAIN_EJECTION);
    }

    /// Returns whether the domain is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, domain: &Domain, now: Instant) -> bool {
        self.ejected.get(domain).is_some_and(|until| *until > now)
    }
}

/// Recent health of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    unresponsive: bool,
    ejected_until: Option<Instant>,
    /// Time of the last failure.
    failed_at: Option<Instant>,
    /// End of the time for which the endpoint wants no requests from this host.
    backoff_until: Option<Instant>,
}

impl Health {
    /// Records the result of a request.
    pub fn record(&mut self, observation: Observation, now: Instant) {
        if observation != Observation::Succeeded {
            self.failed_at = Some(now);
        }
        match observation {
            Observation::Succeeded => self.record_success(),
            Observation::Failed => self.record_failure(now),
            Observation::Unresponsive | Observation::Gone => self.record_unresponsive(now),
        }
    }

    /// Resets the failure count and ends an ejection. A backoff goes on: the success may belong to
    /// a request that was sent before it.
    fn record_success(&mut self) {
        *self = Self {
            backoff_until: self.backoff_until,
            ..Self::default()
        };
    }

    /// Resets the failure count and ends an ejection if the last failure was at `since` or later.
    pub fn forgive(&mut self, since: Instant) {
        if self.failed_at.is_some_and(|at| at >= since) {
            self.record_success();
        }
    }

    /// Records that the endpoint wants no requests for `time`.
    pub fn back_off(&mut self, time: Duration, now: Instant) {
        self.backoff_until = self.backoff_until.max(Some(now + time));
    }

    /// Returns the rest of the time for which the endpoint wants no requests, or `None` if it
    /// accepts them.
    #[must_use]
    pub fn backoff(&self, now: Instant) -> Option<Duration> {
        let until = self.backoff_until.filter(|until| *until > now)?;
        Some(until.since(now))
    }

    /// Counts a failure and ejects the endpoint after `CONSECUTIVE_FAILURES`.
    fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.unresponsive = false;
        if let Some(doublings) = self.failures.checked_sub(CONSECUTIVE_FAILURES) {
            self.eject(now, doublings);
        }
    }

    /// Ejects the endpoint at once because it is unresponsive or gone.
    fn record_unresponsive(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.unresponsive = true;
        self.eject(now, self.failures - 1);
    }

    /// Ejects the endpoint for a short time because other hosts report failures. It counts as no failure of this host's
    /// own requests.
    pub fn record_reported(&mut self, now: Instant) {
        self.ejected_until = self.ejected_until.max(Some(now + FIRST_EJECTION));
    }

    fn eject(&mut self, now: Instant, doublings: u32) {
        let time = FIRST_EJECTION * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
    }

    /// Returns whether the endpoint is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Returns whether the endpoint is ejected at `now` because it is unresponsive.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.unresponsive && self.is_ejected(now)
    }
}
