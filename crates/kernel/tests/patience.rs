//! Tests of the estimate of how long clients waited before an attempt, when many are sent away and
//! return.

use std::time::Duration;

use filbertstage_kernel::patience::Patience;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Returns the time that the client `index` gives its first attempt: between `least` and 1000
/// thousandths of the timeout.
fn first_attempt(index: u32, least: u32) -> Duration {
    TIMEOUT * (least + index * 389 % (1_001 - least)) / 1_000
}

/// A client that gives less time than the route allows is not taken for one that was sent away, as
/// its request would then count as late on arrival.
#[rstest]
#[case::all_alike(1_000)]
#[case::up_to_a_sixth_less(850)]
#[case::up_to_a_half_less(500)]
fn first_attempts_have_waited_for_nothing(#[case] least: u32) {
    let mut patience = Patience::default();
    for index in 0..500 {
        let remaining = first_attempt(index, least);
        let waited = patience.observe(remaining, TIMEOUT);
        assert_eq!(waited, Duration::ZERO, "attempt {index} with {remaining:?}");
    }
}

/// The time of returning clients is estimated within the range in which first attempts differ.
#[test]
fn returning_clients_are_recognised() {
    let mut patience = Patience::default();
    for index in 0..200 {
        patience.observe(first_attempt(index, 850), TIMEOUT);
    }
    let since_first = Duration::from_secs(5);
    for index in 0..6 {
        let remaining = first_attempt(index, 850).saturating_sub(since_first);
        let waited = patience.observe(remaining, TIMEOUT);
        assert!(
            waited.abs_diff(since_first) < TIMEOUT * 15 / 100,
            "{waited:?}"
        );
    }
}

/// While most clients are sent away and return, their attempts count as first ones instead of
/// turning real first attempts into repeated ones.
#[test]
fn a_flood_of_returning_clients_spares_first_attempts() {
    let mut patience = Patience::default();
    for index in 0..400 {
        let first = first_attempt(index, 850);
        if index % 3 > 0 && index > 100 {
            patience.observe(first.saturating_sub(Duration::from_secs(4)), TIMEOUT);
        } else {
            assert_eq!(patience.observe(first, TIMEOUT), Duration::ZERO);
        }
    }
}
