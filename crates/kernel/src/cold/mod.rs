//! Cold endpoints: until when each counts as cold, and at what rate this host may use it.
//!
//! An endpoint is cold for some time after its start, or again when its entry says so. Until it is
//! warm it accepts requests at a low rate from all hosts together, and an engine is slower.

mod group;
mod slowness;

use std::collections::HashMap;
use std::time::Duration;

pub use group::Group;
pub use slowness::Slowness;

use crate::catalogue::{Cold, Identity};
use crate::clock::Instant;
use crate::pace::Rate;

/// Excess of the time until an endpoint is warm, by a later statement, that is taken as a delay of
/// the statement. Entries are read several times a second while the store is available.
const LATENESS: Duration = Duration::from_secs(1);
/// Time between two statements of an endpoint within which no statement was missed. Entries are
/// written about every 1.2 s.
const UNBROKEN: Duration = Duration::from_secs(3);
/// Time for which an endpoint that is gone is remembered, beyond the end of its cold time.
const RETENTION: Duration = Duration::from_mins(1);

/// Where the cold time of an endpoint is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint's entry, as read from the store by this host.
    Entry,
    /// Another host, which has read the entry.
    Host,
    /// The endpoint appeared, and its entry does not say whether it is cold.
    Appearance,
}

impl Source {
    /// Returns the name that appears in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Host => "host",
            Self::Appearance => "appearance",
        }
    }
}

/// The cold time of an endpoint and the rate at which it may be used meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// Requests that the endpoint accepts.
    pub rate: Rate,
    /// Time at which the endpoint is warm.
    pub until: Instant,
}

/// The start of a cold time, or its extension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Time until the endpoint is warm.
    pub remaining: Duration,
    /// Where this is known from.
    pub source: Source,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Time at which the endpoint is warm.
    until: Instant,
    /// Source of `until`.
    source: Source,
    /// The last statement in the endpoint's entry and the time at which this host read it.
    stated: Option<(Duration, Instant)>,
    /// Longest cold time of the service and the rate.
    cold: Cold,
    seen_at: Instant,
}

/// The endpoints that are cold, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: HashMap<Identity, Record>,
    /// Whether this host has read the entries of all endpoints once.
    complete: bool,
}

impl Table {
    /// Records that the entries of all endpoints have been read. Incarnations that appear from now
    /// on have started during operation.
    pub const fn record_full_read(&mut self) {
        self.complete = true;
    }

    /// Records an endpoint's entry, read at `now`; `stated` is the cold time in it, if it states
    /// one. Returns the change if the endpoint becomes cold or is cold for longer than known.
    ///
    /// An entry may arrive late but never early, so of several statements about the same cold time
    /// the one that ends it first is the most exact. A statement that ends it much later means that
    /// the endpoint has become cold again. No statement counts for longer than the service's
    /// published duration, and one that is repeated unchanged counts once.
    pub fn observe(
        &mut self,
        endpoint: Identity,
        stated: Option<Duration>,
        cold: Cold,
        now: Instant,
    ) -> Option<Change> {
        let known = self.records.get(&endpoint).copied();
        let mut record = known.unwrap_or(Record {
            until: now,
            source: Source::Entry,
            stated: None,
            cold,
            seen_at: now,
        });
        record.cold = cold;
        record.seen_at = now;
        let before = record.until.max(now);
        match stated {
            Some(time) => {
                record.apply_statement(time.min(cold.duration), now);
                record.stated = Some((time, now));
            }
            None if known.is_none() && self.complete => {
                record.until = now + cold.duration;
                record.source = Source::Appearance;
            }
            None => {}
        }
        // A shorter published duration applies at once.
        record.until = record.until.min(now + cold.duration);
        self.records.insert(endpoint, record);
        record.change_since(before, now)
    }

    /// Records the cold time of an endpoint that another host has read in its entry and that ends
    /// `remaining` after `now`. Returns the change as [`Table::observe`] does.
    ///
    /// The other host may not have read the latest entry, so this only extends a cold time, unless
    /// that was assumed because the endpoint appeared.
    pub fn observe_forwarded(
        &mut self,
        endpoint: Identity,
        remaining: Duration,
        cold: Cold,
        now: Instant,
    ) -> Option<Change> {
        let until = now + remaining.min(cold.duration);
        let record = self.records.entry(endpoint).or_insert(Record {
            until: now,
            source: Source::Host,
            stated: None,
            cold,
            seen_at: now,
        });
        record.seen_at = now;
        let before = record.until.max(now);
        if record.source == Source::Appearance || until > before + LATENESS {
            record.until = until;
            record.source = Source::Host;
        }
        record.change_since(before, now)
    }

    /// Returns the endpoints that are cold at `now`, and until when at what rate.
    pub fn cold(&self, now: Instant) -> impl Iterator<Item = (Identity, Phase)> {
        let cold = self.records.iter();
        let cold = cold.filter(move |(_, record)| record.until > now);
        cold.map(|(identity, record)| {
            let phase = Phase {
                rate: record.cold.rate,
                until: record.until,
            };
            (*identity, phase)
        })
    }

    /// Returns the endpoints whose entry this host has read itself lately, with the time until they
    /// are warm, which is zero if they are. Only those are passed on, so that no statement
    /// outlives its endpoint's by going round among the hosts.
    pub fn stated(&self, now: Instant) -> impl Iterator<Item = (Identity, Duration)> {
        let records = self.records.iter();
        records.filter_map(move |(identity, record)| {
            let (_, read_at) = record.stated?;
            let remaining = record.until.since(now);
            let news = record.source == Source::Entry
                && (!remaining.is_zero() || now.since(read_at) < UNBROKEN);
            news.then_some((*identity, remaining))
        })
    }

    /// Returns whether anything is known of an endpoint.
    #[must_use]
    pub fn knows(&self, endpoint: Identity) -> bool {
        self.records.contains_key(&endpoint)
    }

    /// Forgets an endpoint, whose service has no cold endpoints.
    pub fn forget(&mut self, endpoint: Identity) {
        self.records.remove(&endpoint);
    }

    /// Forgets endpoints that were not seen for long.
    pub fn forget_old(&mut self, now: Instant) {
        self.records
            .retain(|_, record| now.since(record.seen_at.max(record.until)) < RETENTION);
    }
}

impl Record {
    /// Applies a statement that was not read before; `time` is within the published duration.
    fn apply_statement(&mut self, time: Duration, now: Instant) {
        let until = now + time;
        let (last, read_at) = match self.stated {
            Some((last, read_at)) => (Some(last.min(self.cold.duration)), read_at),
            None => (None, now),
        };
        let ended = time.is_zero();
        let repeated = last == Some(time) && now.since(read_at) < UNBROKEN;
        let assumed = self.source != Source::Entry;
        let later = until > self.until;
        let delayed = last.is_some_and(|last| time < last)
            && until <= self.until + LATENESS
            && self.until > now;
        if ended || (!repeated && (assumed || !later || !delayed)) {
            self.until = until;
            self.source = Source::Entry;
        }
    }

    /// Returns the change if the endpoint is cold for longer than until `before`.
    fn change_since(&self, before: Instant, now: Instant) -> Option<Change> {
        let change = Change {
            remaining: self.until.since(now),
            source: self.source,
        };
        (self.until > before).then_some(change)
    }
}
