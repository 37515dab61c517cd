//! Tests that the catalogue keeps the newest configuration and removes expired endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertstage_kernel::catalogue::{
    Catalogue, Configuration, Denied, Directory, Entry, Kind, Limits, Route, State, Target, Tenant,
};
use filbertstage_kernel::prelude::*;
use rstest::rstest;

fn route(name: &str, prefix: &str, anonymous: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "trails.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(150),
        pause: None,
        priority: 3,
        targets: vec![Target {
            service: Service::from("desk"),
            weight: 1,
        }],
        attempts: 2,
        anonymous,
        resumable: false,
        homes: Vec::new(),
    }
}

fn configuration(version: u64) -> Configuration {
    let routes = vec![
        route("all", "/", false),
        route("open", "/open/", true),
        route("deep", "/open/deep/", false),
    ];
    let limits = Limits {
        header_bytes: 16_384,
        body_bytes: 65_536,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let tenants = vec![Tenant {
        workspace: Workspace::from("club"),
        keys: vec!["key".to_owned()],
        priority: Some(1),
        homes: Vec::new(),
    }];
    Configuration::new(version, routes, BTreeMap::new(), limits, Some(tenants))
}

fn entry(name: &str, started_ms: u64, state: State) -> Entry {
    Entry {
        name: Endpoint::from(name),
        started_ms,
        service: Service::from("desk"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: Domain::from("cannock"),
        slots: 6,
        state,
        cold: None,
    }
}

const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn an_older_configuration_is_rejected() {
    let mut catalogue = Catalogue::default();
    assert_eq!(catalogue.version(), 0);
    assert!(catalogue.update(configuration(7)));
    assert!(!catalogue.update(configuration(3)));
    assert!(!catalogue.update(configuration(7)));
    assert_eq!(catalogue.version(), 7);
}

#[rstest]
#[case::longest_prefix("/open/deep/x", Some("key"), Ok("deep"))]
#[case::no_key_needed("/open/x", None, Ok("open"))]
#[case::unknown_key_where_none_is_needed("/open/x", Some("gone"), Ok("open"))]
#[case::key_needed("/open/deep/x", None, Err(Denied::NoKey))]
#[case::unknown_key("/x", Some("gone"), Err(Denied::NoKey))]
fn a_request_is_admitted_by_its_longest_prefix(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<&str, Denied>,
) {
    let configuration = configuration(1);
    let admitted = configuration.admit("Trails.Example", path, key);
    let name = admitted.map(|allowed| allowed.route.name.as_str().to_owned());
    assert_eq!(name, expected.map(str::to_owned));
}

#[test]
fn a_workspace_sets_the_priority_and_another_host_has_no_route() {
    let configuration = configuration(1);
    let allowed = configuration.admit("trails.example", "/x", Some("key"));
    assert_eq!(allowed.expect("admitted").priority, 1);
    let denied = configuration.admit("other.example", "/x", Some("key"));
    assert_eq!(denied.err(), Some(Denied::NoRoute));
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    let mut directory = Directory::new(Duration::from_millis(3_600));
    assert!(directory.put(entry("i-1", 1, State::Ready), at(0)));
    assert!(!directory.put(entry("i-1", 1, State::Ready), at(0)));
    assert!(directory.put(entry("i-1", 1, State::Draining), at(0)));
    assert_eq!(directory.ready(&Service::from("desk")).count(), 0);
    assert!(directory.remove(&Endpoint::from("i-1"), at(10)));
    assert_eq!(directory.entries().count(), 0);
}

#[test]
fn a_restarted_endpoint_has_a_new_identity() {
    let first = entry("i-1", 1, State::Ready);
    let second = entry("i-1", 2, State::Ready);
    assert_ne!(first.identity(), second.identity());
}

/// Live endpoints renew entries that expired during a store outage within two seconds. An endpoint
/// that left right after the outage must receive no requests two seconds later.
#[test]
fn an_entry_that_expired_during_an_outage_is_kept_for_less_than_two_seconds() {
    let mut directory = Directory::new(Duration::from_millis(3_600));
    directory.put(entry("back", 1, State::Ready), at(0));
    directory.put(entry("gone", 1, State::Ready), at(0));
    directory.store_recovered(at(10_000));
    assert!(!directory.remove(&Endpoint::from("back"), at(10_000)));
    assert!(!directory.remove(&Endpoint::from("gone"), at(10_100)));
    assert_eq!(directory.ready(&Service::from("desk")).count(), 2);
    directory.put(entry("back", 1, State::Ready), at(0));
    let expiry = directory
        .next_expiry()
        .expect("one entry is in its grace period");
    assert!(expiry < at(12_000));
    assert_eq!(directory.expire(expiry), [Endpoint::from("gone")]);
    assert_eq!(directory.next_expiry(), None);
    assert_eq!(directory.ready(&Service::from("desk")).count(), 1);
}

#[test]
fn a_draining_endpoint_whose_entry_expires_is_removed_at_once() {
    let mut directory = Directory::new(Duration::from_millis(3_600));
    directory.put(entry("leaving", 1, State::Draining), at(0));
    directory.store_recovered(at(10_000));
    assert!(directory.remove(&Endpoint::from("leaving"), at(10_000)));
}

#[test]
fn replacing_all_entries_removes_those_missing_from_the_store() {
    let mut directory = Directory::new(Duration::from_millis(3_600));
    directory.put(entry("old", 1, State::Ready), at(0));
    directory.replace(vec![entry("new", 1, State::Ready)], at(1_000));
    let names: Vec<_> = directory
        .entries()
        .map(|entry| entry.name.as_str().to_owned())
        .collect();
    assert_eq!(names, ["new"]);
}

/// An endpoint announces in its responses that it leaves while its entry still says ready.
#[test]
fn an_endpoint_that_announces_that_it_leaves_stays_out_of_use() {
    let service = Service::from("desk");
    let mut directory = Directory::new(Duration::from_millis(3_600));
    let leaving = entry("i-1", 1, State::Ready);
    directory.put(leaving.clone(), at(0));
    assert!(directory.mark_leaving(leaving.identity(), at(10)));
    assert!(!directory.mark_leaving(leaving.identity(), at(20)));
    directory.put(leaving.clone(), at(30));
    assert_eq!(directory.find_ready(&service, leaving.identity()), None);
    directory.store_recovered(at(40));
    assert!(directory.remove(&leaving.name, at(50)), "it gets no grace");
    directory.put(leaving, at(60));
    assert_eq!(directory.ready(&service).count(), 0);
    directory.put(entry("i-1", 2, State::Ready), at(70));
    assert_eq!(directory.ready(&service).count(), 1);
}
