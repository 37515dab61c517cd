//! Decides when a host is cut off from the endpoints, and which other host serves its requests then.
//!
//! If a host reaches none of several endpoints, in different failure domains where there are some,
//! its own link is at fault and not the endpoints. Other hosts may still reach them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::name::Host;

/// Rounds of probes in a row that reach no endpoint after which the host counts as cut off.
const FAILED_ROUNDS: u32 = 2;
/// Rounds in a row that reach most endpoints after which the link counts as restored. A link that
/// works for a moment only is not used again.
const GOOD_ROUNDS: u32 = 2;
/// Load penalty of a host in another failure domain, in requests that this host has sent there.
const REMOTE_DOMAIN_REQUESTS: u32 = 2;
/// Time for which a host that could not be reached is not asked again.
const FAILURE_TIME: Duration = Duration::from_secs(1);

/// Whether this host reaches the endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    is_cut: bool,
    failed_rounds: u32,
    good_rounds: u32,
}

impl Link {
    /// Whether the host is cut off from all endpoints.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Records how many of the endpoints that were probed at the same time were reached; returns
    /// whether this changes the state of the link.
    pub const fn record_round(&mut self, reached: usize, probed: usize) -> bool {
        if probed == 0 {
            return false;
        }
        self.failed_rounds = if reached == 0 {
            self.failed_rounds.saturating_add(1)
        } else {
            0
        };
        self.good_rounds = if reached * 2 > probed {
            self.good_rounds.saturating_add(1)
        } else {
            0
        };
        let changes = if self.is_cut {
            self.good_rounds >= GOOD_ROUNDS
        } else {
            self.failed_rounds >= FAILED_ROUNDS
        };
        if changes {
            self.is_cut = !self.is_cut;
        }
        changes
    }
}

/// A host that can be asked to serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the host.
    pub host: Host,
    /// Incarnation of the host.
    pub holder: u64,
    /// Whether it is in the failure domain of this host.
    pub is_near: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    holder: u64,
    serves: bool,
    running: u32,
    failed_until: Option<Instant>,
}

/// The other hosts that serve requests of hosts that are cut off.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<Host, Peer>,
}

impl Peers {
    /// Records what the incarnation `holder` of a host has said: whether it reaches endpoints and
    /// serves requests of other hosts. A host that has said nothing does not.
    pub fn record_statement(&mut self, host: &Host, holder: u64, serves: bool) {
        let peer = self.peers.entry(host.clone()).or_default();
        peer.holder = holder;
        peer.serves = serves;
    }

    /// Returns the candidate with the fewest requests of this host, preferring near ones. Among
    /// equals, `random` chooses, so that several hosts do not ask the same one.
    ///
    /// Hosts in `excluded` and those that failed a moment ago are never returned.
    pub fn pick(
        &self,
        candidates: impl Iterator<Item = Candidate>,
        excluded: &[Host],
        mut random: impl FnMut() -> u32,
        now: Instant,
    ) -> Option<Host> {
        let serving = candidates.filter_map(|candidate| {
            let peer = self.peers.get(&candidate.host)?;
            let failed = peer.failed_until.is_some_and(|until| until > now);
            let serves = peer.serves && peer.holder == candidate.holder && !failed;
            let penalty = if candidate.is_near {
                0
            } else {
                REMOTE_DOMAIN_REQUESTS
            };
            serves.then_some((peer.running + penalty, candidate.host))
        });
        let allowed = serving.filter(|(_, host)| !excluded.contains(host));
        allowed
            .map(|(load, host)| ((load, random()), host))
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, host)| host)
    }

    /// Records that a request is sent to a host.
    pub fn record_start(&mut self, host: &Host) {
        self.peers.entry(host.clone()).or_default().running += 1;
    }

    /// Records that a request which was sent to a host has ended.
    pub fn record_end(&mut self, host: &Host) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.running = peer.running.saturating_sub(1);
        }
    }

    /// Records that a host could not be reached or broke a request off.
    pub fn record_failure(&mut self, host: &Host, now: Instant) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.failed_until = Some(now + FAILURE_TIME);
        }
    }
}
