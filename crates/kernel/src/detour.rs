//! Decides when a host is cut off from the endpoints, and which other host serves its requests then.
//!
//! If a host reaches none of several endpoints, in different failure domains where there are some,
//! its own link is at fault and not the endpoints. Other hosts may still reach them.
//!
//! Endpoints may be dead for reasons of their own, and many at once, so that hosts can be wrong about
//! their links. A host that no other one can help therefore goes on to try its own.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::name::Host;

/// Number of endpoints that are probed in one round.
pub const ROUND: usize = 4;
/// Rounds of probes in a row that reach no endpoint after which the host counts as cut off.
const FAILED_ROUNDS: u32 = 2;
/// Rounds in a row that reach most endpoints after which the link counts as restored.
const GOOD_ROUNDS: u32 = 2;
/// Time between two requests that try the links of a host that is cut off and has no helper. The others
/// are refused at once.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds after one that reached an endpoint, however many requests fail.
const REACHED_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds while the host is cut off. [`GOOD_ROUNDS`] at this interval take longer
/// than a second, so that a link that works for a second only is not used again.
const CUT_INTERVAL: Duration = Duration::from_millis(1_250);
/// Time over which the requests return to a restored link.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Load penalty of a host in another failure domain, in requests that this host has sent there.
const REMOTE_DOMAIN_REQUESTS: u32 = 2;
/// Time for which a host that could not be reached is not asked again.
const FAILURE_TIME: Duration = Duration::from_secs(1);
/// Requests of other hosts that a host serves at the same time even if it has fewer of its own.
const MIN_GUESTS: usize = 16;

/// What a round of probes shows about the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Another round is needed at once.
    Unclear,
    /// The state of the link is as before.
    Unchanged,
    /// The host is cut off. Sends that failed since the given time are no evidence against their
    /// endpoints.
    Lost(Instant),
    /// The host reaches endpoints again.
    Restored,
}

/// Whether this host reaches the endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    is_cut: bool,
    failed_rounds: u32,
    good_rounds: u32,
    /// First failed send since the last round that reached an endpoint.
    suspected: Option<Instant>,
    /// Time of the last request that tried the links of a host without a helper.
    tried: Option<Instant>,
    restored: Option<Instant>,
}

impl Link {
    /// Whether the host is cut off from all endpoints.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Whether sends have failed since the last round that reached an endpoint.
    #[must_use]
    pub const fn is_suspected(&self) -> bool {
        self.suspected.is_some()
    }

    /// Records that a request could not be sent, or that its connection broke or fell silent.
    pub fn record_failure(&mut self, now: Instant) {
        self.suspected.get_or_insert(now);
    }

    /// Returns how many endpoints the next round probes. One that is reached is enough to show that
    /// the link works, so the first round after a failed send probes a single one.
    #[must_use]
    pub const fn round_size(&self) -> usize {
        if self.is_cut || self.failed_rounds > 0 {
            ROUND
        } else {
            1
        }
    }

    /// Returns the time until the next round.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        if self.is_cut {
            CUT_INTERVAL
        } else {
            REACHED_INTERVAL
        }
    }

    /// Records how many of the endpoints that were probed at the same time were reached.
    pub fn record_round(&mut self, reached: usize, probed: usize, now: Instant) -> Finding {
        if probed == 0 {
            self.suspected = None;
            return Finding::Unchanged;
        }
        if self.is_cut {
            self.good_rounds = if reached * 2 > probed {
                self.good_rounds + 1
            } else {
                0
            };
            if self.good_rounds < GOOD_ROUNDS {
                return Finding::Unchanged;
            }
            return self.restore(now);
        }
        if reached > 0 {
            self.failed_rounds = 0;
            self.suspected = None;
            return Finding::Unchanged;
        }
        self.failed_rounds += 1;
        // The round of a single probe is not counted.
        if self.failed_rounds <= FAILED_ROUNDS {
            return Finding::Unclear;
        }
        let since = self.suspected.unwrap_or(now);
        *self = Self {
            is_cut: true,
            ..Self::default()
        };
        Finding::Lost(since)
    }

    fn restore(&mut self, now: Instant) -> Finding {
        *self = Self {
            restored: Some(now),
            ..Self::default()
        };
        Finding::Restored
    }

    /// Records that an endpoint answered a request that tried the links; returns whether the host was cut
    /// off until then. See [`Link::may_try`].
    pub fn record_trial(&mut self, now: Instant) -> bool {
        let was_cut = self.is_cut;
        if was_cut {
            self.restore(now);
        }
        was_cut
    }

    /// Whether a request may try the links although the host is cut off, because no other host reaches
    /// the endpoints either. All hosts can be wrong at once.
    pub fn may_try(&mut self, now: Instant) -> bool {
        let is_due = self
            .tried
            .is_none_or(|tried| now.since(tried) >= TRIAL_INTERVAL);
        if is_due {
            self.tried = Some(now);
        }
        is_due
    }

    /// Whether a request goes to another host. After a cut, the share of requests that use the own
    /// link grows from none to all; `draw` is a random number of the request from 0 to 1.
    #[must_use]
    pub fn is_avoided(&self, draw: f64, now: Instant) -> bool {
        let returning = self
            .restored
            .map(|restored| now.since(restored).as_secs_f64() / RETURN_TIME.as_secs_f64());
        self.is_cut || returning.is_some_and(|share| draw >= share)
    }
}

/// Whether a host takes another request of hosts that are cut off. It serves at most as many of
/// them as of its own callers, who come first, and a few if it has fewer.
#[must_use]
pub fn takes_guest(guests: usize, own: usize) -> bool {
    guests < own.max(MIN_GUESTS)
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

/// What a request needs of the host that serves it.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Hosts that are not asked.
    pub excluded: &'a [Host],
    /// Host that is asked only if there is no other.
    pub avoided: Option<&'a Host>,
    /// Whether no attempt was made yet. Otherwise only a host that keeps to loans may serve it.
    pub is_untouched: bool,
}

/// The host that is chosen to serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Name of the host.
    pub host: Host,
    /// Whether it keeps to the attempts that it is lent. A host of an earlier build makes as many as
    /// the route allows.
    pub keeps_loans: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    holder: Option<u64>,
    reaches: bool,
    /// Incarnation that has stated that it keeps to loans.
    borrower: Option<u64>,
    running: u32,
    failed_until: Option<Instant>,
}

/// The other hosts that serve requests of hosts that are cut off.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<Host, Peer>,
}

impl Peers {
    /// Records what the incarnation `holder` of a host has stated: whether it reaches endpoints and
    /// serves requests of other hosts. Returns whether the incarnation had stated nothing before.
    pub fn record_statement(&mut self, host: &Host, holder: u64, reaches: bool) -> bool {
        let peer = self.peers.entry(host.clone()).or_default();
        let is_new = peer.holder != Some(holder);
        peer.holder = Some(holder);
        peer.reaches = reaches;
        is_new
    }

    /// Records whether the incarnation `holder` of a host has stated that it keeps to the attempts that
    /// it is lent.
    pub fn record_borrows(&mut self, host: &Host, holder: u64, borrows: bool) {
        let peer = self.peers.entry(host.clone()).or_default();
        peer.borrower = borrows.then_some(holder);
    }

    /// Whether any of the candidates has stated that it reaches endpoints.
    pub fn has_helper(&self, mut candidates: impl Iterator<Item = Candidate>) -> bool {
        candidates.any(|candidate| {
            let peer = self.peers.get(&candidate.host);
            peer.is_some_and(|peer| peer.reaches && peer.holder == Some(candidate.holder))
        })
    }

    /// Whether any of the candidates has stated whether it reaches endpoints. If none has, there is
    /// no way around a lost link, and a host goes on to try its own.
    pub fn has_statement(&self, mut candidates: impl Iterator<Item = Candidate>) -> bool {
        candidates.any(|candidate| {
            let peer = self.peers.get(&candidate.host);
            peer.is_some_and(|peer| peer.holder == Some(candidate.holder))
        })
    }

    /// Returns the candidate with the fewest requests of this host, preferring near ones. Among
    /// equals, `random` chooses, so that several hosts do not ask the same one.
    ///
    /// Hosts that the request excludes and those that failed a moment ago are never returned.
    pub fn pick(
        &self,
        candidates: impl Iterator<Item = Candidate>,
        wanted: Wanted<'_>,
        mut random: impl FnMut() -> u32,
        now: Instant,
    ) -> Option<Helper> {
        let serving = candidates.filter_map(|candidate| {
            let peer = self.peers.get(&candidate.host)?;
            let failed = peer.failed_until.is_some_and(|until| until > now);
            let serves = peer.reaches && peer.holder == Some(candidate.holder) && !failed;
            let penalty = if candidate.is_near {
                0
            } else {
                REMOTE_DOMAIN_REQUESTS
            };
            let helper = Helper {
                host: candidate.host,
                keeps_loans: peer.borrower == Some(candidate.holder),
            };
            serves.then_some((peer.running + penalty, helper))
        });
        let allowed = serving.filter(|(_, helper)| {
            let fits = helper.keeps_loans || wanted.is_untouched;
            fits && !wanted.excluded.contains(&helper.host)
        });
        allowed
            .map(|(load, helper)| {
                let is_avoided = wanted.avoided == Some(&helper.host);
                ((is_avoided, load, random()), helper)
            })
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, helper)| helper)
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
