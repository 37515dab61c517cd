//! The fold of the lists stream: verdicts, snapshots and states from peers.

use filbertstage_kernel::fold::{Effect, Fold, Verdict, change_record};
use filbertstage_kernel::lists::Change;
use rstest::rstest;
use serde_json::json;

const KEY: &[u8] = b"fleet key";

fn plans(id: &str, base: u64, workspace: &str) -> String {
    let change = json!({ "id": id, "base": base, "edit": { "replace_plans": { "workspaces": [
        { "workspace": workspace, "key_hashes": [] }
    ] } } });
    record(change)
}

fn usage(id: &str, base: u64) -> String {
    record(json!({ "id": id, "base": base, "edit": { "replace_usage": {} } }))
}

fn record(change: serde_json::Value) -> String {
    change_record(&serde_json::from_value::<Change>(change).expect("a valid change"))
}

fn folded(records: &[String]) -> (Fold, Vec<Effect>) {
    let mut fold = Fold::new(KEY);
    let effects = records
        .iter()
        .enumerate()
        .map(|(offset, record)| fold.apply(offset as u64, record))
        .collect();
    (fold, effects)
}

#[test]
fn the_first_of_two_changes_with_one_base_is_accepted_and_malformed_records_are_skipped() {
    let records = [
        plans("a", 0, "first"),
        "not a record".to_owned(),
        plans("b", 1, "second"),
        plans("c", 1, "third"),
    ];
    let (fold, effects) = folded(&records);
    assert_eq!(
        effects[0],
        Effect::Decided("a".to_owned(), Verdict::Accepted { version: 1 })
    );
    assert!(matches!(effects[1], Effect::Skipped(_)));
    assert_eq!(
        effects[2],
        Effect::Decided("b".to_owned(), Verdict::Accepted { version: 3 })
    );
    assert_eq!(
        effects[3],
        Effect::Decided("c".to_owned(), Verdict::Conflict { current: 3 })
    );
    assert_eq!(
        fold.state().plans.workspaces[0].workspace.as_str(),
        "second"
    );
}

#[test]
fn a_repeated_change_is_applied_once_and_keeps_its_verdict() {
    let records = [
        plans("a", 0, "first"),
        plans("a", 0, "first"),
        plans("b", 1, "second"),
        plans("a", 0, "first"),
    ];
    let (fold, _) = folded(&records);
    assert_eq!(
        fold.state().verdict("a"),
        Some(&Verdict::Accepted { version: 1 })
    );
    assert_eq!(
        fold.state().plans.workspaces[0].workspace.as_str(),
        "second",
        "the repeated change does not revert the later one"
    );
}

#[test]
fn an_invalid_list_is_rejected_and_changes_nothing() {
    let endpoint = json!({ "name": "e", "domain": "d", "address": "nowhere", "kind": "engine" });
    let change =
        json!({ "id": "u", "base": 0, "edit": { "replace_usage": { "endpoints": [endpoint] } } });
    let (fold, effects) = folded(&[record(change)]);
    let Effect::Decided(_, Verdict::Invalid { reason }) = &effects[0] else {
        panic!("{effects:?}");
    };
    assert_eq!(
        reason,
        "endpoints[0].address: not an IP address and port: write it like 10.1.2.3:8000"
    );
    assert_eq!(fold.state().usage_version, 0);
}

/// The log has dropped its first records, so a new reader needs a snapshot. A snapshot with the
/// tag of another key is ignored.
#[rstest]
#[case::genuine(KEY, true)]
#[case::tagged_with_another_key(b"other", false)]
fn a_new_reader_starts_from_a_snapshot_after_retention(#[case] key: &[u8], #[case] accepted: bool) {
    let mut writer = Fold::new(key);
    let mut log = vec![plans("a", 0, "first"), usage("b", 0)];
    for version in 0..600 {
        let base = if version == 0 { 1 } else { version + 2 };
        log.push(plans(&format!("c{version}"), base, &format!("w{version}")));
    }
    for (offset, record) in log.iter().enumerate() {
        writer.apply(offset as u64, record);
    }
    let end = log.len() as u64;
    let snapshot = writer
        .snapshot_due(end - 100, end)
        .expect("a snapshot is due, because the log holds none");
    let mut reader = Fold::new(KEY);
    reader.skip_to(end - 100);
    for offset in end - 100..end {
        assert_eq!(
            reader.apply(offset, &log[usize::try_from(offset).unwrap()]),
            Effect::Nothing
        );
    }
    let installed = reader.apply(end, &snapshot) == Effect::Installed;
    assert_eq!(installed, accepted);
    assert_eq!(reader.state().is_complete(), accepted);
    if accepted {
        assert_eq!(reader.state(), writer.state());
        assert_eq!(
            reader.next_offset(),
            end,
            "reading continues after the records that the snapshot covers"
        );
    }
}

#[test]
fn a_state_from_a_peer_never_reverts_a_newer_one() {
    let records = [
        plans("a", 0, "first"),
        usage("b", 0),
        plans("c", 1, "second"),
    ];
    let (old, _) = folded(&records[..2]);
    let (mut new, _) = folded(&records);
    assert!(!new.install(old.state().clone()));
    assert_eq!(new.state().plans.workspaces[0].workspace.as_str(), "second");
    let mut behind = old;
    assert!(behind.install(new.state().clone()));
    assert_eq!(behind.next_offset(), 3);
    assert_eq!(
        behind.apply(2, &records[2]),
        Effect::Nothing,
        "a record that the state covers is not applied again"
    );
}
