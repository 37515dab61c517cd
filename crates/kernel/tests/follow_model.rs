//! Explores all orders of events in which two hosts of one failure domain can follow a topic, up to a
//! bound: reads that are lost or late, reports that are lost, late or repeated, a store that drops its
//! history or returns from an older copy, and hosts that start again. Each step of a host is the kernel's
//! own.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use filbertstage_kernel::position::{Position, Reading, Report};
use rstest::rstest;

const HOSTS: usize = 2;
/// Number of records that are written.
const WRITES: u64 = 3;
/// Number of reports that are under way at once; others are lost.
const REPORTS: usize = 2;

/// A wrong step, which the exploration has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// A report is applied although records before it are missing.
    IgnoresGaps,
    /// Hosts do not tell the eras of the store apart.
    IgnoresEras,
    /// The position moves although the response was lost.
    MovesEarly,
}

impl Mistake {
    /// What a host makes of the era that the store states.
    fn era(self, era: u64) -> Option<u64> {
        (self != Self::IgnoresEras).then_some(era)
    }
}

/// The topic, which has one key: the last record is the one in force.
#[derive(Clone, Debug)]
struct Store {
    era: u64,
    records: Vec<u64>,
    /// Offset of the first record that reads of changes return.
    first: u64,
    written: u64,
    truncations: u8,
    restores: u8,
}

impl Store {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn since(&self, offset: u64) -> Vec<u64> {
        let offset = usize::try_from(offset).expect("a small number");
        self.records[offset..].to_vec()
    }

    /// Responds to a read from `from`, or of the newest record.
    fn read(&self, from: Option<u64>) -> Response {
        let (records, from) = match from {
            None => (self.records.last().copied().into_iter().collect(), None),
            Some(from) if from < self.first || from > self.end() => return Response::Truncated,
            Some(from) => (self.since(from), Some(from)),
        };
        Response::Batch(Batch {
            era: self.era,
            from,
            next: self.end(),
            records,
        })
    }
}

#[derive(Clone, Debug)]
enum Response {
    Truncated,
    Batch(Batch),
}

#[derive(Clone, Debug)]
struct Batch {
    era: u64,
    /// Position of the read; `None` for the newest record.
    from: Option<u64>,
    next: u64,
    records: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Host {
    position: Position,
    /// The records that the host was given.
    known: Vec<u64>,
    /// The response that is under way to it.
    pending: Option<Response>,
    restarts: u8,
}

impl Host {
    fn learn(&mut self, records: &[u64]) {
        self.known.extend_from_slice(records);
        self.known.sort_unstable();
        self.known.dedup();
    }

    /// Handles the response that is under way; returns the read if it is to be reported.
    fn receive(&mut self, mistake: Mistake) -> Option<Batch> {
        let Response::Batch(batch) = self.pending.take()? else {
            self.position.reset();
            return None;
        };
        let reading = self.position.advance(mistake.era(batch.era), batch.next);
        if reading == Reading::Discard {
            return None;
        }
        self.learn(&batch.records);
        (reading == Reading::Changes).then_some(batch)
    }

    /// Handles a report of another host.
    fn hear(&mut self, report: &Batch, mistake: Mistake) {
        let from = report.from.expect("only reads of changes are reported");
        let era = mistake.era(report.era);
        match self.position.compare(era, from, report.next) {
            Report::Outdated => {}
            Report::Gap if mistake != Mistake::IgnoresGaps => {}
            Report::Gap => self.apply(report, 0),
            Report::Current(first) => self.apply(report, first),
        }
    }

    fn apply(&mut self, report: &Batch, first: usize) {
        self.learn(report.records.get(first..).unwrap_or_default());
        self.position.move_to(report.next);
    }
}

#[derive(Clone, Debug)]
struct State {
    store: Store,
    hosts: [Host; HOSTS],
    /// Reports that are under way, with the host to which they go.
    reports: Vec<(usize, Batch)>,
}

impl State {
    fn new() -> Self {
        Self {
            store: Store {
                era: 1,
                records: Vec::new(),
                first: 0,
                written: 0,
                truncations: 0,
                restores: 0,
            },
            hosts: std::array::from_fn(|_| Host::default()),
            reports: Vec::new(),
        }
    }

    /// Returns the host that takes its state for that of the store and lacks the record in force.
    fn wrong_host(&self, mistake: Mistake) -> Option<usize> {
        let newest = self.store.records.last()?;
        let end = self.store.end();
        self.hosts.iter().position(|host| {
            let era = mistake.era(self.store.era);
            let compared = host.position.compare(era, end, end);
            compared == Report::Current(0) && !host.known.contains(newest)
        })
    }

    /// Returns all states that can follow.
    fn next(&self, mistake: Mistake) -> Vec<Self> {
        let mut states = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            states.push(state);
        };
        if self.store.written < WRITES {
            add(&|state| {
                state.store.written += 1;
                state.store.records.push(state.store.written);
            });
        }
        if self.store.truncations == 0 && self.store.end() > self.store.first {
            add(&|state| {
                state.store.truncations += 1;
                state.store.first = state.store.end();
            });
        }
        for kept in 0..self.store.records.len() {
            if self.store.restores == 0 {
                add(&|state| {
                    state.store.restores += 1;
                    state.store.era += 1;
                    state.store.records.truncate(kept);
                    state.store.first = state.store.first.min(kept as u64);
                });
            }
        }
        for index in 0..HOSTS {
            let host = &self.hosts[index];
            if host.restarts == 0 {
                add(&|state| {
                    state.hosts[index] = Host {
                        restarts: 1,
                        ..Host::default()
                    };
                });
            }
            if host.pending.is_none() {
                add(&|state| {
                    let from = state.hosts[index].position.next();
                    state.hosts[index].pending = Some(state.store.read(from));
                });
                // Another host has a newer version, and changes did not bring it.
                add(&|state| state.hosts[index].position.reset());
                continue;
            }
            add(&|state| {
                let lost = state.hosts[index].pending.take();
                if let (Mistake::MovesEarly, Some(Response::Batch(batch))) = (mistake, lost) {
                    let _ = state.hosts[index]
                        .position
                        .advance(mistake.era(batch.era), batch.next);
                }
            });
            add(&|state| {
                if let Some(batch) = state.hosts[index].receive(mistake)
                    && state.reports.len() < REPORTS
                {
                    state.reports.push(((index + 1) % HOSTS, batch));
                }
            });
        }
        for index in 0..self.reports.len() {
            add(&|state| drop(state.reports.remove(index)));
            if self.hosts[self.reports[index].0].pending.is_none() {
                // It may come once more.
                add(&|state| {
                    let (to, report) = state.reports[index].clone();
                    state.hosts[to].hear(&report, mistake);
                });
            }
        }
        states
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores all states that take at most `depth` steps; returns how many there are, or the first one in
/// which a host is wrong.
fn explore(depth: usize, mistake: Mistake) -> Result<usize, Box<State>> {
    let mut seen = HashSet::new();
    let mut current = vec![State::new()];
    for _ in 0..depth {
        let mut next = Vec::new();
        for state in current.iter().flat_map(|state| state.next(mistake)) {
            if seen.insert(state.digest()) {
                if state.wrong_host(mistake).is_some() {
                    return Err(Box::new(state));
                }
                next.push(state);
            }
        }
        current = next;
    }
    Ok(seen.len())
}

/// Steps of the exploration in the test run. Set `MODEL_DEPTH` for a deeper one.
fn depth() -> usize {
    const DEPTH: usize = 10;
    let depth = std::env::var("MODEL_DEPTH").ok();
    depth.map_or(DEPTH, |depth| depth.parse().expect("a number"))
}

/// Guards against a host that takes its state for the store's although a record in force is missing.
#[test]
fn a_host_that_is_at_the_end_of_the_topic_has_the_record_in_force() {
    match explore(depth(), Mistake::None) {
        Ok(states) => println!("{states} states in {} steps", depth()),
        Err(state) => panic!("a host is wrong: {state:#?}"),
    }
}

/// The exploration finds wrong steps.
#[rstest]
#[case(Mistake::IgnoresGaps)]
#[case(Mistake::IgnoresEras)]
#[case(Mistake::MovesEarly)]
fn wrong_steps_are_found(#[case] mistake: Mistake) {
    assert!(explore(depth(), mistake).is_err());
}
