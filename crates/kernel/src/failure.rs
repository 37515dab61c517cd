//! Failures of endpoints that other hosts of the same failure domain report.
//!
//! Hosts of one domain share their path to an endpoint. An endpoint that closes connections at once looks idle to each
//! host in turn, so without reports every host has to see failures of its own before it avoids the endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::catalogue::Identity;
use crate::clock::Instant;

/// Time for which a report counts.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of hosts that must report an endpoint. One host may be at fault itself.
const MIN_HOSTS: usize = 2;
/// A host that reports more than the endpoints divided by this number within the window has probably lost its own
/// links, and its reports do not count.
const MAX_REPORTED_DIVISOR: usize = 3;

/// Recent reports, by endpoint and by the incarnation of the host that sent them.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    received: BTreeMap<(Identity, u64), Instant>,
}

impl Reports {
    /// Records that a request of the host `holder` failed at an endpoint; returns whether enough hosts have seen this.
    ///
    /// `endpoints` is the number of endpoints of the service. An own failure is recorded like that of another host.
    pub fn record(
        &mut self,
        endpoint: Identity,
        holder: u64,
        endpoints: usize,
        now: Instant,
    ) -> bool {
        self.received.retain(|_, at| now.since(*at) < WINDOW);
        self.received.insert((endpoint, holder), now);
        let reporters: Vec<_> = self
            .received
            .keys()
            .filter(|(reported, _)| *reported == endpoint)
            .map(|(_, holder)| *holder)
            .collect();
        let credible = reporters
            .into_iter()
            .filter(|holder| self.count_reported_by(*holder) <= endpoints / MAX_REPORTED_DIVISOR);
        credible.count() >= MIN_HOSTS
    }

    fn count_reported_by(&self, holder: u64) -> usize {
        let reported = self.received.keys().filter(|(_, other)| *other == holder);
        let reported: BTreeSet<_> = reported.map(|(endpoint, _)| *endpoint).collect();
        reported.len()
    }

    /// Forgets the reports about an endpoint, because a request has just succeeded there.
    pub fn clear(&mut self, endpoint: Identity) {
        self.received
            .retain(|(reported, _), _| *reported != endpoint);
    }
}
