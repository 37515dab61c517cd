//! Endpoints that close connections at once, as seen by many hosts that each send them few requests.

use std::time::Duration;

use filbertstage_kernel::catalogue::Identity;
use filbertstage_kernel::clock::Instant;
use filbertstage_kernel::failure::Reports;
use filbertstage_kernel::outlier::{Health, Observation};

const ENDPOINTS: usize = 60;
const FLAPPING: Identity = Identity(7);

fn after(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(millis)
}

/// Guards against an endpoint that goes down and up by turns and fails two requests of each host every time.
#[test]
fn second_host_that_fails_ejects_for_all_hosts_of_the_domain() {
    let mut reports = Reports::default();
    assert!(!reports.record(FLAPPING, 1, ENDPOINTS, after(0)));
    assert!(!reports.record(FLAPPING, 1, ENDPOINTS, after(5)));
    assert!(reports.record(FLAPPING, 2, ENDPOINTS, after(10)));
    let mut health = Health::default();
    health.record_reported(after(10));
    assert!(health.is_ejected(after(500)));
    assert!(!health.is_ejected(after(520)));
}

/// Guards against old reports that eject an endpoint which has failed once now and then.
#[test]
fn reports_count_for_a_second_and_until_a_success() {
    let mut reports = Reports::default();
    assert!(!reports.record(FLAPPING, 1, ENDPOINTS, after(0)));
    assert!(!reports.record(FLAPPING, 2, ENDPOINTS, after(1_001)));
    reports.clear(FLAPPING);
    assert!(!reports.record(FLAPPING, 3, ENDPOINTS, after(1_002)));
}

/// Guards against two hosts without links that make all other hosts avoid every endpoint.
#[test]
fn reports_of_hosts_that_reach_nothing_do_not_count() {
    let mut reports = Reports::default();
    let ejected = (0..60).filter(|endpoint| {
        let endpoint = Identity(*endpoint);
        reports.record(endpoint, 1, ENDPOINTS, after(0));
        reports.record(endpoint, 2, ENDPOINTS, after(1))
    });
    // Until they have reported a third of the endpoints, they are taken for sound.
    assert_eq!(ejected.count(), ENDPOINTS / 3);
}

/// Guards against a report that shortens an ejection after failures of the host's own.
#[test]
fn report_does_not_shorten_an_ejection() {
    let mut health = Health::default();
    for _ in 0..4 {
        health.record(Observation::Unresponsive, after(0));
    }
    health.record_reported(after(1));
    assert!(health.is_ejected(after(3_900)));
}
