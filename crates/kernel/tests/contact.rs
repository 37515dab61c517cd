//! Tests when hosts send each other placements, and that they find each other after a partition.

use std::net::SocketAddr;
use std::time::Duration;

use filbertstage_kernel::contact::{Contacts, Heard};
use filbertstage_kernel::prelude::*;
use rstest::rstest;

const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 7_340).into()
}

fn domain() -> Domain {
    Domain::from("cannock")
}

fn name(index: u8) -> Host {
    Host::from(format!("edge-{index}"))
}

/// Guards against hosts that stay silent to each other after a long partition: neither sent to a
/// host that had been silent for 30 s, and an announcement with the old address changed nothing.
#[rstest]
#[case::short(5)]
#[case::longer_than_the_expiry(31)]
#[case::very_long(600)]
fn two_hosts_hear_each_other_again_after_a_partition(#[case] seconds: u64) {
    let mut hosts = [Contacts::default(), Contacts::default()];
    let mut now = Instant::from_millis(1_000_000);
    hosts[0].announce(&name(1), address(1), &domain(), now);
    hosts[1].announce(&name(0), address(0), &domain(), now);
    let healed_at = now + Duration::from_secs(seconds);
    let mut heard = [now; 2];
    let mut snapshot = 0;
    while now < healed_at + Duration::from_secs(6) {
        snapshot += 1;
        for sender in 0..2_u8 {
            let receiver = 1 - sender;
            let targets = hosts[usize::from(sender)].snapshot_targets(snapshot, now);
            let sent = targets.contains(&address(receiver));
            if sent && now >= healed_at {
                hosts[usize::from(receiver)].hear(&name(sender), 7, address(sender), now);
                heard[usize::from(receiver)] = now;
            }
        }
        now = now + SNAPSHOT_INTERVAL;
    }
    assert!(heard.iter().all(|at| *at > healed_at), "{heard:?}");
    let targets: Vec<_> = hosts[0].update_targets(now).collect();
    assert_eq!(targets, [address(1)]);
}

/// A host that is gone for good costs one datagram in five seconds.
#[test]
fn a_host_that_is_gone_gets_few_datagrams() {
    let mut contacts = Contacts::default();
    let mut now = Instant::from_millis(1_000_000);
    contacts.announce(&name(1), address(1), &domain(), now);
    now = now + Duration::from_mins(1);
    assert_eq!(contacts.update_targets(now).count(), 0);
    let sent: usize = (1..=120)
        .map(|number| contacts.snapshot_targets(number, now).len())
        .sum();
    assert_eq!(sent, 12);
}

#[test]
fn the_placements_of_a_silent_host_are_dropped_once() {
    let mut contacts = Contacts::default();
    let now = Instant::from_millis(1_000_000);
    assert_eq!(contacts.hear(&name(1), 7, address(1), now), Heard::New);
    assert_eq!(contacts.hear(&name(1), 7, address(1), now), Heard::Known);
    let later = now + Duration::from_millis(1_900);
    assert_eq!(contacts.take_silent(later), [(name(1), 7)]);
    assert!(contacts.take_silent(later).is_empty());
    assert_eq!(contacts.hear(&name(1), 7, address(1), later), Heard::New);
    let restarted = contacts.hear(&name(1), 8, address(2), later);
    assert_eq!(restarted, Heard::Restarted(7));
}
