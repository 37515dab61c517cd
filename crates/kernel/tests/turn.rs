//! Tests hosts of one failure domain that read a topic of the store in turn, without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use filbertstage_kernel::position::{Position, Reading, Report};
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::turn::{self, Turn};
use proptest::prelude::*;
use rstest::rstest;

/// Time within which every host that reaches the store must know a change.
const LIMIT: Duration = Duration::from_secs(4);
/// Time between two reads, as the relay sets it for the endpoints' entries.
const INTERVAL: Duration = Duration::from_millis(1_702);
/// Silence after which a host no longer ranks another one.
const SILENCE: Duration = Duration::from_millis(1_800);
const STEP: Duration = Duration::from_millis(20);

struct Reader {
    name: Host,
    position: Position,
    turn: Turn,
    alive: bool,
    /// Whether the store answers this host.
    served: bool,
    /// Whether this host's reports and heartbeats arrive at the others.
    heard: bool,
    last_heard: Instant,
}

struct Domain {
    hosts: Vec<Reader>,
    /// Time of each record of the store, and its era.
    records: Vec<Instant>,
    era: u64,
    now: Instant,
    reads: usize,
    last_reader: Option<usize>,
}

impl Domain {
    fn new(size: usize) -> Self {
        let now = Instant::from_millis(1_000_000);
        let host = |index: usize| Reader {
            name: Host::from(format!("edge-{index}")),
            position: Position::default(),
            turn: Turn::new(INTERVAL),
            alive: true,
            served: true,
            heard: true,
            last_heard: now,
        };
        Self {
            hosts: (0..size).map(host).collect(),
            records: Vec::new(),
            era: 1,
            now,
            reads: 0,
            last_reader: None,
        }
    }

    fn rank(&self, index: usize) -> usize {
        let others =
            self.hosts.iter().enumerate().filter(|(other, host)| {
                *other != index && self.now.since(host.last_heard) <= SILENCE
            });
        let own = &self.hosts[index].name;
        turn::rank("endpoints", own, others.map(|(_, host)| &host.name))
    }

    fn read(&mut self, index: usize) {
        let (end, era) = (self.records.len() as u64, self.era);
        self.reads += 1;
        let host = &mut self.hosts[index];
        let from = host.position.next();
        if from.is_some_and(|from| from > end) {
            host.position.reset();
        }
        let reading = host.position.advance(Some(era), end);
        if reading == Reading::Discard {
            return self.read(index);
        }
        host.turn.confirm(self.now);
        self.last_reader = Some(index);
        let (Some(from), Reading::Changes) = (from, reading) else {
            return;
        };
        if self.hosts[index].heard {
            self.report(index, from, end);
        }
    }

    fn report(&mut self, sender: usize, from: u64, next: u64) {
        let mut gaps = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if index == sender || !host.alive {
                continue;
            }
            match host.position.compare(Some(self.era), from, next) {
                Report::Current(_) => {
                    host.position.move_to(next);
                    host.turn.confirm(self.now);
                }
                Report::Gap if host.served => gaps.push(index),
                Report::Gap | Report::Outdated => {}
            }
        }
        for index in gaps {
            self.read(index);
        }
    }

    /// Advances by one step, and returns how long the most outdated host that reaches the store has
    /// not known a record.
    fn step(&mut self) -> Duration {
        self.now = self.now + STEP;
        for host in self
            .hosts
            .iter_mut()
            .filter(|host| host.alive && host.heard)
        {
            host.last_heard = self.now;
        }
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            let due = host.turn.due_at(self.rank(index));
            if host.alive && host.served && due.is_none_or(|at| at <= self.now) {
                self.read(index);
            }
        }
        let reaching = self.hosts.iter().filter(|host| host.alive && host.served);
        let unknown = reaching.filter_map(|host| {
            let next = usize::try_from(host.position.next()?).ok()?;
            let oldest = self.records.get(next)?;
            Some(self.now.since(*oldest))
        });
        unknown.max().unwrap_or_default()
    }
}

/// In calm, the reads of a domain do not grow with its hosts.
#[rstest]
#[case::two(2)]
#[case::sixteen(16)]
#[case::eighty(80)]
fn one_host_reads_for_all(#[case] size: usize) {
    let mut domain = Domain::new(size);
    domain.step();
    let (start, first) = (domain.now, domain.reads);
    while domain.now.since(start) < INTERVAL * 20 {
        domain.step();
    }
    let reads = domain.reads - first;
    assert!((19..=21).contains(&reads), "{reads} reads in 20 intervals");
}

/// Each topic is read by another host, so that no host carries all of them.
#[test]
fn topics_have_different_orders() {
    let names: Vec<_> = (0..40)
        .map(|index| Host::from(format!("edge-{index}")))
        .collect();
    let first = |topic| {
        let others = names.iter();
        names
            .iter()
            .find(|own| turn::rank(topic, own, others.clone()) == 0)
    };
    let firsts: BTreeSet<_> = ["configuration", "endpoints", "a", "b"].map(first).into();
    assert!(firsts.len() >= 3, "{firsts:?}");
}

/// The host that read last dies again and again, just before a record is written.
#[test]
fn a_change_is_known_in_time_when_the_reader_dies_each_time() {
    let mut domain = Domain::new(16);
    for _ in 0..12 {
        for _ in 0..150 {
            domain.step();
        }
        let reader = domain.last_reader.expect("a read");
        domain.hosts[reader].alive = false;
        domain.records.push(domain.now);
        for _ in 0..200 {
            let age = domain.step();
            assert!(age < LIMIT, "{age:?}");
        }
    }
}

/// The store refuses the first readers of the domain and serves the others. The refused hosts learn
/// from the others.
#[test]
fn refused_hosts_learn_from_the_others() {
    let mut domain = Domain::new(8);
    domain.step();
    let reader = domain.last_reader.expect("a read");
    domain.hosts[reader].served = false;
    domain.records.push(domain.now);
    for _ in 0..200 {
        domain.step();
    }
    assert!(
        domain
            .hosts
            .iter()
            .all(|host| host.position.next() == Some(1))
    );
}

#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    KillReader,
    Refuse(usize),
    Mute(usize),
    Append,
    Restore,
}

fn events() -> impl Strategy<Value = Vec<(u16, Event)>> {
    let host = || 0..6_usize;
    let event = prop_oneof![
        host().prop_map(Event::Kill),
        Just(Event::KillReader),
        host().prop_map(Event::Refuse),
        host().prop_map(Event::Mute),
        Just(Event::Append),
        Just(Event::Append),
        Just(Event::Restore),
    ];
    proptest::collection::vec((0..120_u16, event), 1..40)
}

proptest! {
    /// Whoever is killed, refused or muted, and restarted, served and heard again: each host that
    /// the store has served for long enough knows every change within the limit.
    #[test]
    fn every_change_is_known_in_time(events in events()) {
        let mut domain = Domain::new(6);
        let mut served_since = [domain.now; 6];
        for (steps, event) in events {
            for _ in 0..steps {
                domain.step();
                for (index, host) in domain.hosts.iter().enumerate() {
                    if !host.alive || !host.served {
                        served_since[index] = domain.now;
                        continue;
                    }
                    let next = usize::try_from(host.position.next().unwrap_or(0)).expect("small");
                    let known_by = domain.records.get(next).copied().unwrap_or(domain.now);
                    let due = known_by.max(served_since[index]);
                    prop_assert!(domain.now.since(due) < LIMIT, "host {index} at {next}");
                }
            }
            match event {
                Event::Kill(index) => {
                    domain.hosts[index].alive = !domain.hosts[index].alive;
                    domain.hosts[index].position = Position::default();
                    domain.hosts[index].turn = Turn::new(INTERVAL);
                }
                Event::KillReader => {
                    if let Some(index) = domain.last_reader {
                        domain.hosts[index].alive = false;
                    }
                }
                Event::Refuse(index) => domain.hosts[index].served ^= true,
                Event::Mute(index) => domain.hosts[index].heard ^= true,
                Event::Append => domain.records.push(domain.now),
                Event::Restore => {
                    domain.records.pop();
                    domain.era += 1;
                }
            }
        }
    }
}
