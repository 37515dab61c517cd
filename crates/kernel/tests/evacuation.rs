//! Views of the evacuated failure domains, from the store and from other hosts.

use std::collections::BTreeSet;

use filbertstage_kernel::clock::Instant;
use filbertstage_kernel::evacuation::{Applied, Change, Evacuations, View};
use filbertstage_kernel::name::Domain;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn view(era: u64, position: u64, domains: &[&str]) -> View {
    View {
        era: Some(era),
        position,
        domains: domains.iter().map(|name| Domain::from(*name)).collect(),
    }
}

fn evacuated(name: &str) -> Change {
    Change::Evacuated(Domain::from(name))
}

fn taken_back(name: &str) -> Change {
    Change::TakenBack(Domain::from(name))
}

fn domains(table: &Evacuations) -> BTreeSet<String> {
    let domains = table.evacuated();
    domains.map(|(domain, _)| domain.to_string()).collect()
}

fn names<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(str::to_owned).into()
}

/// Returns a table that has read the records up to position 10 of era 1.
fn read_table(evacuated: &[&str]) -> Evacuations {
    let mut table = Evacuations::default();
    table.replace(view(1, 10, evacuated), at(0), at(10));
    table
}

/// Guards against an evacuation that ends because an older view arrives after a newer one.
#[test]
fn older_views_of_other_hosts_change_nothing() {
    let mut table = read_table(&[]);
    assert_eq!(table.merge(view(1, 12, &["a"]), at(20)), [evacuated("a")]);
    assert_eq!(table.merge(view(1, 11, &[]), at(30)), []);
    assert_eq!(table.merge(view(1, 12, &["a"]), at(40)), []);
    assert_eq!(domains(&table), names(["a"]));
}

/// Guards against a read that undoes what another host has read later.
#[test]
fn reads_behind_the_view_change_nothing() {
    let mut table = read_table(&[]);
    table.merge(view(1, 12, &["a"]), at(20));
    let applied = table.apply(Some(1), 11, [], at(30));
    assert_eq!(applied, Applied::Changed(Vec::new()));
    assert_eq!(table.replace(view(1, 11, &[]), at(25), at(40)), []);
    assert_eq!(domains(&table), names(["a"]));
}

/// A batch may begin before the view and end after it. Its older records are in the view already.
#[test]
fn batch_that_overlaps_the_view_leads_to_its_end() {
    let mut table = read_table(&[]);
    table.merge(view(1, 12, &["a"]), at(20));
    let batch = [evacuated("a"), evacuated("b"), taken_back("a")];
    let applied = table.apply(Some(1), 13, batch, at(30));
    assert_eq!(
        applied,
        Applied::Changed(vec![taken_back("a"), evacuated("b")])
    );
    assert_eq!(domains(&table), names(["b"]));
}

/// Guards against a host that misses an evacuation or its end because one datagram was lost.
#[test]
fn view_is_repeated_while_evacuated_and_after_it() {
    let mut table = read_table(&[]);
    assert_eq!(table.repeated(at(20)), None);
    table.apply(Some(1), 11, [evacuated("a")], at(100));
    assert_eq!(table.repeated(at(600_000)), Some(view(1, 11, &["a"])));
    table.apply(Some(1), 12, [taken_back("a")], at(600_000));
    assert_eq!(table.repeated(at(609_000)), Some(view(1, 12, &[])));
    assert_eq!(table.repeated(at(611_000)), None);
}

/// Guards against a host that keeps an evacuation for ever because it missed the end of it.
#[test]
fn view_is_repeated_for_a_host_with_an_older_one() {
    let mut table = read_table(&[]);
    assert_eq!(table.merge(view(1, 9, &["a"]), at(50_000)), []);
    assert_eq!(table.repeated(at(51_000)), Some(view(1, 10, &[])));
}

/// After a compaction, the store has no record of a domain that was taken back.
#[test]
fn full_read_replaces_the_set() {
    let mut table = read_table(&["a", "b"]);
    let changes = table.replace(view(1, 30, &["b", "c"]), at(20), at(30));
    assert_eq!(changes, [taken_back("a"), evacuated("c")]);
    let since: Vec<_> = table.evacuated().map(|(_, since)| since).collect();
    assert_eq!(
        since,
        [at(10), at(30)],
        "a domain that stays keeps its time"
    );
}

/// An older copy of the store has lower positions. Only its era tells that it is newer.
#[test]
fn full_read_of_an_older_copy_replaces_the_view() {
    let mut table = read_table(&["a"]);
    let applied = table.apply(Some(2), 4, [], at(20));
    assert_eq!(applied, Applied::Unrelated);
    assert_eq!(domains(&table), names(["a"]));
    let changes = table.replace(view(2, 4, &[]), at(30), at(40));
    assert_eq!(changes, [taken_back("a")]);
    assert_eq!(table.merge(view(1, 10, &["a"]), at(50)), []);
}

/// Guards against one response with a wrong era that shuts out the store for ever.
#[test]
fn read_sent_after_a_wrong_era_replaces_the_view() {
    let mut table = read_table(&[]);
    table.merge(view(u64::MAX, 3, &["a"]), at(100));
    assert_eq!(table.replace(view(1, 12, &[]), at(90), at(110)), []);
    let changes = table.replace(view(1, 12, &[]), at(120), at(130));
    assert_eq!(changes, [taken_back("a")]);
}

/// The positions of a store without eras may start again, so a later read is the newer one.
#[test]
fn store_without_eras_is_followed() {
    let mut table = Evacuations::default();
    let without_era = |position, domains| View {
        era: None,
        ..view(0, position, domains)
    };
    table.replace(without_era(10, &["a"]), at(0), at(10));
    assert_eq!(table.merge(without_era(9, &[]), at(20)), []);
    let changes = table.replace(without_era(4, &[]), at(30), at(40));
    assert_eq!(changes, [taken_back("a")]);
}

/// A host that starts learns of an evacuation from others, but has not read the store by that.
#[test]
fn view_of_another_host_is_no_read() {
    let mut table = Evacuations::default();
    assert_eq!(table.apply(Some(1), 3, [], at(5)), Applied::Unrelated);
    table.merge(view(1, 12, &["a"]), at(10));
    assert!(table.contains(&Domain::from("a")) && !table.is_read());
    table.replace(view(1, 12, &["a"]), at(20), at(30));
    assert!(table.is_read());
}

/// Two domains are evacuated at once, and each of them is taken back by itself.
#[test]
fn two_domains_at_once() {
    let mut table = read_table(&[]);
    table.apply(Some(1), 12, [evacuated("a"), evacuated("b")], at(20));
    assert_eq!(domains(&table), names(["a", "b"]));
    table.apply(Some(1), 13, [taken_back("a")], at(30));
    assert_eq!(domains(&table), names(["b"]));
    assert!(table.taken_back().eq([(&Domain::from("a"), at(30))]));
}
