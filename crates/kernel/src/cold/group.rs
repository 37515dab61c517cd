//! The share of a rate that a host may use, by the hosts that it hears and that hear it.
//!
//! Each host tells the others the digest of the set of hosts that it hears. Hosts with the same set
//! form a group: all of them hear each other, so they keep to one rate together. The groups are
//! disjoint, so shares by the number of their hosts add up to the whole rate at most, also where
//! hosts hear one way only.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Age of the last digest of a host at which the host no longer counts as heard. Digests arrive
/// twice a second, and one of them may be lost.
const MAX_AGE: Duration = Duration::from_millis(1_200);
/// Smallest part of the fleet that may use a share. A group may send one request at once after it
/// was idle, so the number of groups bounds the excess in one second.
const MIN_SHARE: f64 = 0.2;

/// The hosts of which a host has heard, and what they hear.
#[derive(Clone, Debug)]
pub struct Group {
    own: u64,
    /// Digests by incarnation of the host, with the time of arrival.
    heard: BTreeMap<u64, (u64, Instant)>,
}

impl Group {
    /// Creates the group of a host with the incarnation `own` that hears no others.
    #[must_use]
    pub const fn new(own: u64) -> Self {
        Self {
            own,
            heard: BTreeMap::new(),
        }
    }

    /// Records the digest of the set of hosts that the incarnation `host` hears.
    pub fn hear(&mut self, host: u64, digest: u64, now: Instant) {
        self.heard.insert(host, (digest, now));
        self.heard.retain(|_, (_, at)| now.since(*at) < MAX_AGE);
    }

    /// Returns the digest of the set of hosts that are heard at `now`, this one included.
    #[must_use]
    pub fn digest(&self, now: Instant) -> u64 {
        let heard = self.heard.iter();
        let heard = heard.filter(|(_, (_, at))| now.since(*at) < MAX_AGE);
        let others = heard.map(|(host, _)| mix(*host));
        // The sum does not depend on the order.
        others.fold(mix(self.own), u64::wrapping_add)
    }

    /// Returns the share of a rate, from 0 to 1, that the hosts of the group may use together.
    /// `fleet` is the number of hosts; `None` if it is not known, which leaves no share.
    #[must_use]
    pub fn share(&self, fleet: Option<u32>, now: Instant) -> f64 {
        let digest = self.digest(now);
        let same = self.heard.values();
        let same = same.filter(|(other, at)| *other == digest && now.since(*at) < MAX_AGE);
        let size = u32::try_from(same.count() + 1).unwrap_or(u32::MAX);
        let Some(fleet) = fleet else { return 0.0 };
        let share = f64::from(size) / f64::from(fleet.max(size));
        if share < MIN_SHARE { 0.0 } else { share }
    }
}

/// Mixes the bits of a number, so that sums of different sets differ.
const fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
