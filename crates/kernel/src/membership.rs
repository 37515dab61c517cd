//! Which nodes are alive, learned from heartbeats that pass on what the sender has heard.
//!
//! Each heartbeat carries the sender's own entry and the counters of the members that it heard
//! from last, a few bytes for each. A node whose counter has not grown for [`DEAD_AFTER`] counts as
//! dead. Membership only steers; no promise rests on it.

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
/// Age of the last counter at which a member counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(2_400);
/// How long a dead member is remembered.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Members of the own failure domain that get each heartbeat.
const FANOUT: usize = 3;
/// Nodes of each failure domain that speak with other domains.
const DELEGATES_PER_DOMAIN: usize = 2;
/// Counters carried by one heartbeat.
const MAX_BEATS: usize = 128;
/// Entries of other members that one heartbeat introduces in full.
const MAX_INTRODUCED: usize = 2;

/// One member, as heartbeats introduce it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The member's host.
    pub host: Host,
    /// Its failure domain.
    pub domain: Domain,
    /// Address for frames from other nodes.
    pub address: String,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Counts the member's heartbeats.
    pub counter: u64,
    /// Whether the member takes no new work.
    pub leaving: bool,
}

/// The counter of a member that the receiver has been introduced to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The low bits of the member's incarnation.
    pub name: u32,
    /// The member's counter.
    pub counter: u64,
}

/// What a heartbeat says about members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The sender's own entry first, then some that it introduces.
    pub entries: Vec<Entry>,
    /// Counters of the members that the sender heard from last.
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

/// The members that a node knows.
#[derive(Debug)]
pub struct Table {
    own: Entry,
    members: BTreeMap<Host, Member>,
    /// Incarnations that were replaced by a newer one of the same host, and when.
    replaced: BTreeMap<Incarnation, Instant>,
    /// Incarnations that something is held for and that no heartbeat has named, and since when.
    unknown: BTreeMap<Incarnation, Instant>,
}

/// What is known of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It sends heartbeats.
    Live,
    /// It was heard from and has been silent or replaced for this time.
    Dead(Duration),
    /// No heartbeat has named it in this time.
    Unknown(Duration),
}

impl Table {
    /// A table of the node `own` that knows nobody else.
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

    /// Counts a heartbeat and returns what it carries and whom it goes to.
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
        let introduced = members.choose_multiple(random, MAX_INTRODUCED);
        let introduced = introduced.map(|member| member.entry.clone());
        let entries = std::iter::once(self.own.clone())
            .chain(introduced)
            .collect();
        members.sort_by_key(|member| std::cmp::Reverse(member.last_seen));
        let beat = |member: &&Member| Beat {
            name: short_id(member.entry.incarnation),
            counter: member.entry.counter,
        };
        let beats = members.iter().take(MAX_BEATS).map(beat).collect();
        Update { entries, beats }
    }

    /// Takes the counters of members that are known.
    fn apply_beats(&mut self, now: Instant, beats: &[Beat]) {
        let beats: BTreeMap<_, _> = beats.iter().map(|beat| (beat.name, beat.counter)).collect();
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
            targets.extend(self.remote_delegates(now, random));
        }
        targets
    }

    /// Whether the node speaks with other failure domains.
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

    /// One node of each other failure domain.
    fn remote_delegates(&self, now: Instant, random: &mut SmallRng) -> Vec<Entry> {
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

    /// Takes what a heartbeat says; returns the hosts that came up or returned.
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
        let returned = member.dead_since.is_some();
        *member = fresh;
        returned
    }

    /// The live members of `domain`, this node included where it belongs there.
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

    /// All known members with whether they are alive.
    #[must_use]
    pub fn known(&self, now: Instant) -> Vec<(&Entry, bool)> {
        let others = self
            .members
            .values()
            .map(|member| (&member.entry, member.last_seen + DEAD_AFTER > now));
        std::iter::once((&self.own, true)).chain(others).collect()
    }

    /// What is known of `incarnation`.
    ///
    /// A node that restarts knows nobody of before; what was held for such an incarnation would
    /// never be freed if only known ones could be dead.
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

    /// The live node of the own failure domain that owns `key`, by rendezvous hashing.
    #[must_use]
    pub fn owner(&self, now: Instant, key: &str) -> &Entry {
        self.live_in(now, &self.own.domain)
            .into_iter()
            .filter(|entry| !entry.leaving)
            .max_by_key(|entry| (rendezvous(key, entry.host.as_str()), entry.host.clone()))
            .unwrap_or(&self.own)
    }
}
