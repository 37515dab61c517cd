//! Membership by gossip: which nodes are live, as learned from heartbeats.
//!
//! Each heartbeat carries the sender's own entry and the counters of the members whose counters
//! grew last, a few bytes for each. A node whose counter has not grown for [`DEAD_AFTER`] counts as
//! dead. Membership only guides decisions; no guarantee depends on it.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::name::{Domain, Host, rendezvous};
use crate::request::Incarnation;

/// Time between two heartbeats of a node.
pub const INTERVAL: Duration = Duration::from_millis(250);
/// Time without a new counter after which a member counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(2_400);
/// How long dead members and replaced or unknown incarnations are kept.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Number of members of the node's own failure domain that get each heartbeat.
const FANOUT: usize = 3;
/// Number of nodes in each failure domain that send heartbeats to other domains.
const DELEGATES_PER_DOMAIN: usize = 2;
/// Maximum number of counters in one heartbeat.
const MAX_BEATS: usize = 128;
/// Maximum number of full entries of other members in one heartbeat.
const MAX_OTHER_ENTRIES: usize = 2;

/// The full entry of a member, as sent in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The member's host.
    pub host: Host,
    /// The member's failure domain.
    pub domain: Domain,
    /// Address for frames from other nodes.
    pub address: String,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Number of heartbeats that the member has sent.
    pub counter: u64,
    /// Whether the member is leaving and accepts no new work.
    pub leaving: bool,
}

/// The counter of a member; ignored by receivers that do not have the member's entry yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The low 32 bits of the member's incarnation.
    #[serde(rename = "name")]
    pub short_id: u32,
    /// Number of heartbeats that the member has sent.
    pub counter: u64,
}

/// The part of a heartbeat that describes members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The sender's own entry, followed by entries of a few other members.
    pub entries: Vec<Entry>,
    /// Counters of the members whose counters grew last at the sender.
    pub beats: Vec<Beat>,
}

#[allow(clippy::cast_possible_truncation)]
const fn short_id(incarnation: Incarnation) -> u32 {
    incarnation.0 as u32
}

#[derive(Clone, Debug)]
struct Member {
    entry: Entry,
    last_seen: Instant,
    dead_since: Option<Instant>,
}

/// The members known to one node.
#[derive(Debug)]
pub struct Table {
    own: Entry,
    members: BTreeMap<Host, Member>,
    /// Replaced incarnations of restarted hosts, with the time of replacement.
    replaced: BTreeMap<Incarnation, Instant>,
    /// Incarnations that hold memory but are named by no heartbeat, with the time of the first
    /// query.
    unknown: BTreeMap<Incarnation, Instant>,
}

/// Liveness of an incarnation, as seen by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its counter has grown within [`DEAD_AFTER`], or it is the node itself.
    Live,
    /// Its counter has not grown, or a newer incarnation of its host has replaced it. Holds the time
    /// since the last growth or the replacement.
    Dead(Duration),
    /// No heartbeat has named it since it was first queried, this long ago.
    Unknown(Duration),
}

impl Table {
    /// A table of the node `own` without other members.
    #[must_use]
    pub const fn new(own: Entry) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            replaced: BTreeMap::new(),
            unknown: BTreeMap::new(),
        }
    }

    /// The node's own entry.
    #[must_use]
    pub const fn own(&self) -> &Entry {
        &self.own
    }

    /// Marks the node itself as leaving.
    pub fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Increments the node's counter and returns the update for the next heartbeat and its targets.
    pub fn next_update(&mut self, now: Instant, random: &mut SmallRng) -> (Update, Vec<Entry>) {
        self.own.counter += 1;
        self.expire(now);
        (self.update(now, random), self.targets(now, random))
    }

    fn expire(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            if member.dead_since.is_none() && member.last_seen + DEAD_AFTER <= now {
                member.dead_since = Some(now);
            }
        }
        self.members
            .retain(|_, member| member.dead_since.is_none_or(|at| at + FORGET_AFTER > now));
        self.replaced.retain(|_, at| *at + FORGET_AFTER > now);
        self.unknown.retain(|_, since| *since + FORGET_AFTER > now);
    }

    fn update(&self, now: Instant, random: &mut SmallRng) -> Update {
        let mut members: Vec<_> = self.live_members(now).collect();
        let others = members.choose_multiple(random, MAX_OTHER_ENTRIES);
        let others = others.map(|member| member.entry.clone());
        let entries = std::iter::once(self.own.clone()).chain(others).collect();
        members.sort_by_key(|member| std::cmp::Reverse(member.last_seen));
        let beat = |member: &&Member| Beat {
            short_id: short_id(member.entry.incarnation),
            counter: member.entry.counter,
        };
        let beats = members.iter().take(MAX_BEATS).map(beat).collect();
        Update { entries, beats }
    }

    /// Applies the counters of known members.
    fn apply_beats(&mut self, now: Instant, beats: &[Beat]) {
        let beats: BTreeMap<_, _> = beats
            .iter()
            .map(|beat| (beat.short_id, beat.counter))
            .collect();
        for member in self.members.values_mut() {
            let counter = beats.get(&short_id(member.entry.incarnation));
            if let Some(counter) = counter
                && *counter > member.entry.counter
            {
                member.entry.counter = *counter;
                member.last_seen = now;
                member.dead_since = None;
            }
        }
    }

    fn targets(&self, now: Instant, random: &mut SmallRng) -> Vec<Entry> {
        let near: Vec<_> = self
            .live_members(now)
            .filter(|member| member.entry.domain == self.own.domain)
            .collect();
        let mut targets: Vec<_> = near
            .choose_multiple(random, FANOUT)
            .map(|member| member.entry.clone())
            .collect();
        if self.is_delegate(now) {
            targets.extend(self.remote_targets(now, random));
        }
        targets
    }

    /// Whether the node sends heartbeats to other failure domains.
    #[must_use]
    pub fn is_delegate(&self, now: Instant) -> bool {
        let own = rendezvous("delegate", self.own.host.as_str());
        let better = self
            .live_members(now)
            .filter(|member| member.entry.domain == self.own.domain)
            .filter(|member| rendezvous("delegate", member.entry.host.as_str()) > own)
            .count();
        better < DELEGATES_PER_DOMAIN
    }

    /// One random live node of each other failure domain.
    fn remote_targets(&self, now: Instant, random: &mut SmallRng) -> Vec<Entry> {
        let mut domains: BTreeMap<&Domain, Vec<&Member>> = BTreeMap::new();
        for member in self.live_members(now) {
            if member.entry.domain != self.own.domain {
                domains
                    .entry(&member.entry.domain)
                    .or_default()
                    .push(member);
            }
        }
        let chosen = domains
            .values()
            .filter_map(|members| members.choose(random));
        chosen.map(|member| member.entry.clone()).collect()
    }

    fn live_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |member| member.last_seen + DEAD_AFTER > now)
    }

    /// Applies a received update; returns the hosts that are new, restarted or live again.
    pub fn apply(&mut self, now: Instant, update: &Update) -> Vec<Host> {
        self.apply_beats(now, &update.beats);
        let mut up = Vec::new();
        for entry in &update.entries {
            if entry.host != self.own.host && self.merge(now, entry) {
                up.push(entry.host.clone());
            }
        }
        up
    }

    fn merge(&mut self, now: Instant, entry: &Entry) -> bool {
        if self.replaced.contains_key(&entry.incarnation) {
            return false;
        }
        let fresh = Member {
            entry: entry.clone(),
            last_seen: now,
            dead_since: None,
        };
        let Some(member) = self.members.get_mut(&entry.host) else {
            self.members.insert(entry.host.clone(), fresh);
            return true;
        };
        if member.entry.incarnation != entry.incarnation {
            self.replaced.insert(member.entry.incarnation, now);
            *member = fresh;
            return true;
        }
        if entry.counter <= member.entry.counter {
            return false;
        }
        let was_dead = member.dead_since.is_some();
        *member = fresh;
        was_dead
    }

    /// The live members of `domain`, sorted by host; includes this node if it belongs to `domain`.
    #[must_use]
    pub fn live_in(&self, now: Instant, domain: &Domain) -> Vec<&Entry> {
        let mut live: Vec<_> = self
            .live(now)
            .into_iter()
            .filter(|entry| entry.domain == *domain)
            .collect();
        live.sort_by(|left, right| left.host.cmp(&right.host));
        live
    }

    /// All live members, this node first.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<&Entry> {
        let others = self.live_members(now).map(|member| &member.entry);
        std::iter::once(&self.own).chain(others).collect()
    }

    /// All known members, this node first, each with whether it is live.
    #[must_use]
    pub fn known(&self, now: Instant) -> Vec<(&Entry, bool)> {
        let others = self
            .members
            .values()
            .map(|member| (&member.entry, member.last_seen + DEAD_AFTER > now));
        std::iter::once((&self.own, true)).chain(others).collect()
    }

    /// The liveness of `incarnation`.
    ///
    /// A restarted node does not know incarnations that died before its start. They are returned as
    /// [`Liveness::Unknown`] with a duration, because memory held for them would never be freed if
    /// only known incarnations could count as dead.
    pub fn liveness(&mut self, now: Instant, incarnation: Incarnation) -> Liveness {
        if incarnation == self.own.incarnation {
            return Liveness::Live;
        }
        if let Some(at) = self.replaced.get(&incarnation) {
            return Liveness::Dead(now.since(*at));
        }
        let mut members = self.members.values();
        if let Some(member) = members.find(|member| member.entry.incarnation == incarnation) {
            self.unknown.remove(&incarnation);
            if member.last_seen + DEAD_AFTER > now {
                return Liveness::Live;
            }
            return Liveness::Dead(now.since(member.last_seen));
        }
        let since = self.unknown.entry(incarnation).or_insert(now);
        Liveness::Unknown(now.since(*since))
    }

    /// The live node of this failure domain that owns `key`, by rendezvous hashing. Leaving nodes
    /// own no key; if all are leaving, each node returns itself.
    #[must_use]
    pub fn owner(&self, now: Instant, key: &str) -> &Entry {
        self.live_in(now, &self.own.domain)
            .into_iter()
            .filter(|entry| !entry.leaving)
            .max_by_key(|entry| (rendezvous(key, entry.host.as_str()), entry.host.clone()))
            .unwrap_or(&self.own)
    }
}
