//! Tests what hosts keep when the store returns from an older copy, against a model of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use filbertstage_kernel::catalogue::{Directory, Entry, State};
use filbertstage_kernel::position::{Position, Reading};
use filbertstage_kernel::prelude::*;
use proptest::prelude::*;

/// Time after which a store removes the entry of a silent endpoint.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_600);
/// Like [`REGISTRATION_TTL`], in the model.
const MODEL_TTL: Duration = Duration::from_millis(3_599);
/// Time after a restore within which live endpoints write their entries again.
const REWRITE: Duration = Duration::from_millis(1_200);
/// Time between two reads of the host.
const READ_INTERVAL: Duration = Duration::from_millis(800);

fn entry(name: &str, started_ms: u64, state: State) -> Entry {
    Entry {
        name: Endpoint::from(name),
        started_ms,
        service: Service::from("writer"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: Domain::from("cannock"),
        slots: 6,
        state,
        cold: None,
    }
}

const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn ready(directory: &Directory) -> BTreeSet<String> {
    let service = Service::from("writer");
    let names = directory.ready(&service);
    names.map(|entry| entry.name.as_str().to_owned()).collect()
}

#[test]
fn positions_of_another_era_are_not_used() {
    let mut position = Position::default();
    assert_eq!(position.advance(Some(1), 10), Reading::Newest);
    assert_eq!(position.advance(Some(1), 12), Reading::Changes);
    assert_eq!(position.advance(Some(2), 14), Reading::Discard);
    assert_eq!(position.next(), None);
    assert_eq!(position.advance(Some(2), 8), Reading::Restored);
    assert_eq!(position.advance(Some(2), 9), Reading::Changes);
}

#[test]
fn a_restore_during_an_unknown_position_is_noticed() {
    let mut position = Position::default();
    position.advance(Some(1), 10);
    position.reset();
    assert_eq!(position.advance(Some(3), 4), Reading::Restored);
}

#[test]
fn an_unknown_era_changes_nothing() {
    let mut position = Position::default();
    position.advance(Some(4), 10);
    assert_eq!(position.advance(None, 11), Reading::Changes);
    assert_eq!(position.advance(Some(4), 12), Reading::Changes);
}

/// After one wrong era, the next reads adopt the right one again.
#[test]
fn a_wrong_era_is_corrected() {
    let mut position = Position::default();
    position.advance(Some(4), 10);
    assert_eq!(position.advance(Some(u64::MAX), 11), Reading::Discard);
    assert_eq!(position.advance(Some(u64::MAX), 11), Reading::Restored);
    assert_eq!(position.advance(Some(4), 11), Reading::Discard);
    assert_eq!(position.advance(Some(4), 11), Reading::Restored);
    assert_eq!(position.advance(Some(4), 12), Reading::Changes);
}

#[test]
fn an_earlier_incarnation_in_the_copy_does_not_replace_the_current_one() {
    let mut directory = Directory::new(REGISTRATION_TTL);
    directory.put(entry("i-1", 1, State::Ready), at(0));
    directory.put(entry("i-1", 2, State::Ready), at(1_000));
    directory.restore(vec![entry("i-1", 1, State::Ready)], at(2_000));
    let current = directory.get(&Endpoint::from("i-1")).expect("kept");
    assert_eq!(current.started_ms, 2);
    directory.put(entry("i-1", 2, State::Ready), at(3_000));
    assert_eq!(directory.next_expiry(), None);
}

#[test]
fn an_entry_that_outlives_the_registration_is_used_again() {
    let mut directory = Directory::new(REGISTRATION_TTL);
    directory.put(entry("i-1", 1, State::Ready), at(0));
    directory.remove(&Endpoint::from("i-1"), at(1_000));
    directory.restore(vec![entry("i-1", 1, State::Ready)], at(2_000));
    assert!(ready(&directory).is_empty());
    directory.expire(at(5_599));
    assert!(ready(&directory).is_empty());
    assert_eq!(directory.next_expiry(), Some(at(5_600)));
    directory.expire(at(5_600));
    assert_eq!(ready(&directory), BTreeSet::from(["i-1".to_owned()]));
}

/// An event in the life of the store and its endpoints.
#[derive(Clone, Debug)]
enum Event {
    Start(usize),
    Drain(usize),
    Leave(usize),
    /// Announced by the endpoint itself and not by its entry.
    Announce(usize),
    Copy,
    Restore,
    /// The host is cut off from the store for this many of its reads.
    Cut(u8),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let endpoint = || 0..4_usize;
    let event = prop_oneof![
        endpoint().prop_map(Event::Start),
        endpoint().prop_map(Event::Drain),
        endpoint().prop_map(Event::Leave),
        endpoint().prop_map(Event::Announce),
        Just(Event::Copy),
        Just(Event::Restore),
        (1..6_u8).prop_map(Event::Cut),
    ];
    proptest::collection::vec(event, 1..30)
}

/// A store with the entries of endpoints. Live endpoints write lost entries again.
#[derive(Clone, Default)]
struct Store {
    log: Vec<(String, Option<Entry>)>,
    era: u64,
    copy: Vec<(String, Option<Entry>)>,
    /// By name: the current incarnation and its state, `None` if the endpoint has left.
    live: BTreeMap<String, (u64, State)>,
    restored_at: Option<Instant>,
}

impl Store {
    fn newest(&self) -> BTreeMap<String, Entry> {
        let mut newest = BTreeMap::new();
        for (name, entry) in &self.log {
            match entry {
                Some(entry) => newest.insert(name.clone(), entry.clone()),
                None => newest.remove(name),
            };
        }
        newest
    }

    fn write(&mut self, name: &str, entry: Option<Entry>) {
        self.log.push((name.to_owned(), entry));
    }

    /// After a restore: live endpoints write their entries, and those of silent ones are removed.
    fn settle(&mut self, now: Instant) {
        let Some(restored_at) = self.restored_at else {
            return;
        };
        let newest = self.newest();
        if now.since(restored_at) >= REWRITE {
            for (name, (incarnation, state)) in self.live.clone() {
                let own = entry(&name, incarnation, state);
                if newest.get(&name) != Some(&own) {
                    self.write(&name, Some(own));
                }
            }
        }
        if now.since(restored_at) >= MODEL_TTL {
            for name in newest.keys().filter(|name| !self.live.contains_key(*name)) {
                self.log.push((name.clone(), None));
            }
            self.restored_at = None;
        }
    }
}

/// A host that follows the store, and what it must not forget.
struct Reader {
    position: Position,
    directory: Directory,
    /// Incarnations that the host has seen leave.
    departed: BTreeSet<(String, u64)>,
}

impl Reader {
    fn read(&mut self, store: &Store, now: Instant) {
        let Some(from) = self.position.next() else {
            let next = store.log.len() as u64;
            let reading = self.position.advance(Some(store.era), next);
            let entries: Vec<_> = store.newest().into_values().collect();
            self.note_draining(&entries);
            match reading {
                Reading::Restored => self.directory.restore(entries, now),
                _ => self.directory.replace(entries, now),
            }
            return;
        };
        let from = usize::try_from(from).expect("small");
        let Some(records) = store.log.get(from..) else {
            self.position.reset();
            return self.read(store, now);
        };
        let reading = self
            .position
            .advance(Some(store.era), store.log.len() as u64);
        if reading == Reading::Discard {
            return self.read(store, now);
        }
        for (name, record) in records.iter().cloned() {
            match record {
                Some(entry) => {
                    self.note_draining(std::slice::from_ref(&entry));
                    self.directory.put(entry, now);
                }
                None => {
                    self.directory.remove(&Endpoint::from(name), now);
                }
            }
        }
    }

    fn note_draining(&mut self, entries: &[Entry]) {
        let draining = entries
            .iter()
            .filter(|entry| entry.state == State::Draining);
        let identities = draining.map(|entry| (entry.name.as_str().to_owned(), entry.started_ms));
        self.departed.extend(identities);
    }
}

proptest! {
    /// Whatever the order of restores, cuts and departures: an incarnation that the host has seen
    /// leave is never used again, and some seconds after the last event the host uses exactly the
    /// live endpoints that do not leave.
    #[test]
    fn a_host_agrees_with_the_endpoints_after_any_restores(events in events()) {
        let mut store = Store { era: 1, ..Store::default() };
        let mut host = Reader {
            position: Position::default(),
            directory: Directory::new(REGISTRATION_TTL),
            departed: BTreeSet::new(),
        };
        let mut now = at(1_000);
        let mut incarnation = 0;
        let settling = std::iter::repeat_n(None, 20);
        let mut cut = 0;
        for event in events.into_iter().map(Some).chain(settling) {
            let name = |index: usize| format!("i-{index}");
            match event {
                Some(Event::Start(index)) => {
                    incarnation += 1;
                    store.live.insert(name(index), (incarnation, State::Ready));
                    store.write(&name(index), Some(entry(&name(index), incarnation, State::Ready)));
                }
                Some(Event::Drain(index)) => {
                    if let Some((incarnation, state)) = store.live.get_mut(&name(index)) {
                        *state = State::Draining;
                        let own = entry(&name(index), *incarnation, State::Draining);
                        store.write(&name(index), Some(own));
                    }
                }
                Some(Event::Leave(index)) => {
                    if store.live.remove(&name(index)).is_some() {
                        store.write(&name(index), None);
                    }
                }
                Some(Event::Announce(index)) => {
                    if let Some((incarnation, _)) = store.live.get(&name(index)).copied() {
                        let left = entry(&name(index), incarnation, State::Ready);
                        host.directory.mark_leaving(left.identity(), now);
                        host.departed.insert((name(index), incarnation));
                    }
                }
                Some(Event::Copy) => store.copy = store.log.clone(),
                Some(Event::Restore) => {
                    store.log = store.copy.clone();
                    store.era += 1;
                    store.restored_at = Some(now);
                }
                Some(Event::Cut(reads)) => cut = reads,
                None => cut = 0,
            }
            store.settle(now);
            if cut > 0 {
                cut -= 1;
            } else {
                host.read(&store, now);
            }
            host.directory.expire(now);
            let service = Service::from("writer");
            for used in host.directory.ready(&service) {
                let used = (used.name.as_str().to_owned(), used.started_ms);
                prop_assert!(!host.departed.contains(&used), "{used:?} has left");
            }
            now = now + READ_INTERVAL;
        }
        let expected: BTreeSet<_> = store
            .live
            .iter()
            .filter(|(name, (incarnation, state))| {
                let left = host.departed.contains(&((*name).clone(), *incarnation));
                *state == State::Ready && !left
            })
            .map(|(name, _)| name.clone())
            .collect();
        prop_assert_eq!(ready(&host.directory), expected);
    }
}
