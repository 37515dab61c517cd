//! Tests of quarantined requests that end before they are sent.

use std::sync::Arc;

use filbertstage_relay::clock::Clock;
use filbertstage_relay::quarantine::{Admission, Crashed, Quarantine};
use kernel::catalogue::Identity;
use kernel::fingerprint::Fingerprint;
use kernel::prelude::*;
use kernel::quarantine::Suspect;
use tokio::runtime::Builder;
use wire::placement::Item;

const SUSPECT: Suspect = Suspect::Request(Fingerprint(0xbad));
/// Time since the last crash after which a request may test the suspect.
const TESTED_AFTER: Duration = Duration::from_secs(11);

/// Returns the quarantine of a host on whose request two endpoints crashed so long ago that the next
/// request tests it.
fn quarantine(clock: Clock, holder: u64) -> Arc<Quarantine> {
    let quarantine = Quarantine::new(clock, holder, true);
    let last = clock.now().saturating_sub(TESTED_AFTER);
    for (number, ended) in [(1, last.saturating_sub(Duration::from_secs(1))), (2, last)] {
        let crashed = Crashed {
            endpoint: Identity(number),
            began: ended.saturating_sub(Duration::from_millis(100)),
            ended,
        };
        quarantine.record_crash(quarantine.next_run(), vec![SUSPECT], &crashed);
    }
    Arc::new(quarantine)
}

/// Asks for the admission of a request that is due within a second.
fn admit(quarantine: &Quarantine, clock: Clock) -> Result<Admission, Duration> {
    let runtime = Builder::new_current_thread().enable_time().build();
    let deadline = clock.now() + Duration::from_secs(1);
    let admitted = quarantine.admit("request", &[SUSPECT], Duration::ZERO, deadline);
    runtime.expect("a runtime").block_on(admitted)
}

/// Guards against a sound request that is refused for ten seconds, or until an operator clears it,
/// because clients that were to test it left before they were sent.
#[test]
fn a_test_that_is_not_sent_is_left_to_the_next_request() {
    let clock = Clock::default();
    let quarantine = quarantine(clock, 1);
    for client in 0..5 {
        let admission = admit(&quarantine, clock);
        let admission = admission.unwrap_or_else(|wait| panic!("{client} refused for {wait:?}"));
        assert!(admission.is_probe());
    }
}

/// Guards against hosts that refuse a request, because another one has announced a test that it never
/// sent.
#[test]
fn other_hosts_hear_of_a_test_when_it_is_sent() {
    let clock = Clock::default();
    let (own, other) = (quarantine(clock, 1), quarantine(clock, 1));
    own.take_updates();
    let tell = || {
        for item in own.take_updates() {
            if let Item::Evidence(evidence) = item {
                other.apply(&evidence);
            }
        }
    };
    let admission = admit(&own, clock).expect("a test");
    tell();
    assert!(admit(&other, clock).is_ok_and(|admission| admission.is_probe()));
    assert!(own.begin("request", &[SUSPECT], &admission));
    tell();
    assert!(admit(&other, clock).is_err());
}

/// Guards against several requests that test the same suspect, each of which may crash an endpoint
/// (BUDGET).
#[test]
fn one_of_several_admitted_tests_is_sent() {
    let clock = Clock::default();
    let quarantine = quarantine(clock, 1);
    let admissions: Vec<_> = (0..5)
        .map(|_| admit(&quarantine, clock).expect("a test"))
        .collect();
    let may_send = |admission: &Admission| quarantine.begin("request", &[SUSPECT], admission);
    let sent = admissions.iter().filter(|admission| may_send(admission));
    assert_eq!(sent.count(), 1);
    // The request that tests the suspect goes on to another endpoint if it was not sent.
    assert!(may_send(&admissions[0]));
    assert!(quarantine.recheck(&[SUSPECT], &admissions[0]).is_ok());
    assert!(quarantine.recheck(&[SUSPECT], &admissions[1]).is_err());
    assert!(admit(&quarantine, clock).is_err());
}
