//! Reads of a store that says nothing for some time, or sends slowly, on simulated time.

use std::time::Duration;

use filbertstage_kernel::clock::Instant;
use filbertstage_kernel::read::{self, RESPONSE_TIMEOUT, Retry, Step, Watch};
use rstest::rstest;

/// Time within which a change must be known.
const LIMIT: Duration = Duration::from_secs(2);
/// Time that the store takes to respond.
const RESPONSE: Duration = Duration::from_millis(8);

/// A store that loses each call which arrives while it is silent.
struct Store {
    silent_from: Instant,
    silent_until: Instant,
}

impl Store {
    fn responds(&self, sent_at: Instant) -> bool {
        sent_at < self.silent_from || sent_at >= self.silent_until
    }
}

/// What a read asks for.
#[derive(Clone, Copy)]
enum Read {
    Changes(Duration),
    Newest,
}

impl Read {
    fn watch(self, now: Instant, retry: &Retry) -> Watch {
        match self {
            Self::Changes(wait) => Watch::changes(now, wait),
            Self::Newest => Watch::newest(now, retry),
        }
    }
}

/// Sends reads from `now` on until one is answered; returns when that one was sent.
fn read_until_answered(store: &Store, read: Read, mut now: Instant) -> Instant {
    let mut retry = Retry::default();
    let mut read = read;
    loop {
        let sent_at = now;
        if store.responds(sent_at) {
            return sent_at;
        }
        let mut watch = read.watch(now, &retry);
        loop {
            match watch.step(now) {
                Step::Wait(until) => now = until,
                Step::Probe if store.responds(now) => {
                    now = now + RESPONSE;
                    watch.record_probe(true, now);
                }
                Step::Probe => {
                    now = now + RESPONSE_TIMEOUT;
                    watch.record_probe(false, now);
                }
                Step::GiveUp => break,
            }
        }
        now = now + retry.record_failure(&watch, now);
        if let Read::Changes(wait) = &mut read {
            // A host does not wait at a store that fails.
            *wait = Duration::ZERO;
        }
    }
}

/// Guards against a read that was sent while the store was silent and is waited for after its return.
#[rstest]
#[case::newest(Read::Newest)]
#[case::changes(Read::Changes(Duration::ZERO))]
#[case::changes_that_wait(Read::Changes(read::longest_wait(LIMIT)))]
fn a_silent_store_is_read_again_within_the_limit_after_its_return(#[case] read: Read) {
    let began = Instant::from_millis(10_000);
    for silence in (10..20_000).step_by(10).map(Duration::from_millis) {
        let store = Store {
            silent_from: began,
            silent_until: began + silence,
        };
        let answered_at = read_until_answered(&store, read, began);
        let age = answered_at.since(store.silent_until) + RESPONSE;
        assert!(
            age < LIMIT,
            "after {silence:?}, read {age:?} after the return"
        );
    }
}

/// Guards against a read that waits for changes on a lost connection for longer than they may take.
#[rstest]
#[case(2_000)]
#[case(3_000)]
#[case(10_000)]
fn changes_on_a_lost_connection_are_read_again_within_the_limit(#[case] limit: u64) {
    let limit = Duration::from_millis(limit);
    let began = Instant::from_millis(10_000);
    let wait = read::longest_wait(limit);
    assert!(wait >= limit / 2, "the store is not to be asked more often");
    let watch = Watch::changes(began, wait);
    let Step::Wait(given_up_at) = watch.step(began) else {
        panic!("the read is waited for");
    };
    let pause = Retry::default().record_failure(&watch, given_up_at);
    let age = given_up_at.since(began) + pause + RESPONSE;
    assert!(age < limit, "{age:?}");
}

/// Guards against a slow response that is taken for a silent store, and asked for again and again.
#[test]
fn a_response_is_waited_for_as_long_as_bytes_arrive() {
    let mut now = Instant::from_millis(10_000);
    let mut watch = Watch::newest(now, &Retry::default());
    for _ in 0..12 {
        now = now + Duration::from_millis(600);
        assert_ne!(watch.step(now), Step::GiveUp);
        assert_ne!(watch.step(now), Step::Probe);
        watch.record_bytes(now);
    }
}

/// Guards against ever more reads of all records from a store that is too busy to respond soon, but
/// responds to probes.
#[test]
fn a_busy_store_is_given_more_time_after_each_read() {
    let mut now = Instant::from_millis(10_000);
    let mut retry = Retry::default();
    let mut times = Vec::new();
    for _ in 0..4 {
        let sent_at = now;
        let mut watch = Watch::newest(now, &retry);
        loop {
            match watch.step(now) {
                Step::Wait(until) => now = until,
                Step::Probe => watch.record_probe(true, now),
                Step::GiveUp => break,
            }
        }
        times.push(now.since(sent_at).as_millis());
        now = now + retry.record_failure(&watch, now);
    }
    assert_eq!(times, [1_400, 2_800, 5_600, 8_000]);
}

/// Guards against a store that answers only some probes in time, and is asked for all records each time
/// that one of them is answered.
#[test]
fn a_store_that_responds_now_and_then_is_not_asked_for_everything_each_time() {
    let mut now = Instant::from_millis(10_000);
    let ends_at = now + Duration::from_secs(30);
    let mut retry = Retry::default();
    let (mut reads, mut probes) = (0, 0);
    while now < ends_at {
        let mut watch = Watch::newest(now, &retry);
        reads += 1;
        loop {
            match watch.step(now) {
                Step::Wait(until) => now = until,
                Step::Probe => {
                    probes += 1;
                    let responds = probes % 2 == 0;
                    now = now + if responds { RESPONSE } else { RESPONSE_TIMEOUT };
                    watch.record_probe(responds, now);
                }
                Step::GiveUp => break,
            }
        }
        now = now + retry.record_failure(&watch, now);
    }
    assert!(reads <= 12, "{reads} reads of everything in 30 s");
}
