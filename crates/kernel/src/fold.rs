//! The lists in force, computed by a deterministic fold over the records of the log.
//!
//! Every node folds the same records in the same order, so all nodes agree on which of two
//! conflicting changes was accepted. Readers apply updates in the log's order (ordered updates,
//! ORDUP, in Pu and Leff, "Replica Control in Distributed Systems: An Asynchronous Approach",
//! 1991). A state from a peer is installed only if it is newer than the local one, so a list never
//! reverts.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::lists::{Change, Edit, Plans, Usage, check_plans, check_usage};
use crate::resume::tag;

/// Maximum number of verdicts that are kept, so that a repeated publish gets its first outcome.
const MAX_VERDICTS: usize = 4_096;

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The change is in force.
    Accepted {
        /// The list's new version.
        version: u64,
    },
    /// The change was made against a version that was no longer in force.
    Conflict {
        /// The version that was in force instead.
        current: u64,
    },
    /// The changed list cannot be served.
    Invalid {
        /// The problems of the list, separated by semicolons.
        reason: String,
    },
}

/// Effect of one record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The change with this identifier got this verdict.
    Decided(String, Verdict),
    /// A snapshot was installed; reading continues after the records that it covers.
    Installed,
    /// The record changed nothing: it was read before or is not needed.
    Nothing,
    /// The record is malformed and was skipped, as on every other node; contains the parse error.
    Skipped(String),
}

/// The lists after folding all records before offset `next`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The first offset that is not folded.
    pub next: u64,
    /// Version of the plan list: its record's offset plus one, or 0 if none was published.
    pub plans_version: u64,
    /// The plan list.
    pub plans: Plans,
    /// Version of the usage list, counted in the same way.
    pub usage_version: u64,
    /// The usage list.
    pub usage: Usage,
    verdicts: BTreeMap<String, Verdict>,
    verdict_order: VecDeque<String>,
}

impl State {
    /// The verdict of the change `id`, if it is still kept.
    #[must_use]
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.get(id)
    }

    /// Whether both lists have been published.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.plans_version > 0 && self.usage_version > 0
    }

    fn decide(&mut self, offset: u64, change: &Change) -> Verdict {
        if let Some(verdict) = self.verdicts.get(change.id.as_str()) {
            return verdict.clone();
        }
        let verdict = self.apply_edit(offset, change);
        self.remember(change.id.as_str(), verdict.clone());
        verdict
    }

    fn apply_edit(&mut self, offset: u64, change: &Change) -> Verdict {
        let current = match change.edit {
            Edit::ReplacePlans(_) | Edit::PutPlans(_) => self.plans_version,
            Edit::ReplaceUsage(_) | Edit::PutUsage(_) => self.usage_version,
        };
        if change.base != current {
            return Verdict::Conflict { current };
        }
        let version = offset + 1;
        let outcome = match &change.edit {
            Edit::ReplacePlans(plans) => self.set_plans(plans.clone(), version),
            Edit::PutPlans(plans) => self.set_plans(merge_plans(&self.plans, plans), version),
            Edit::ReplaceUsage(usage) => self.set_usage(usage.clone(), version),
            Edit::PutUsage(usage) => self.set_usage(merge_usage(&self.usage, usage), version),
        };
        match outcome {
            Ok(()) => Verdict::Accepted { version },
            Err(reason) => Verdict::Invalid { reason },
        }
    }

    fn set_plans(&mut self, plans: Plans, version: u64) -> Result<(), String> {
        reject_problems(&check_plans(&plans))?;
        self.plans = plans;
        self.plans_version = version;
        Ok(())
    }

    fn set_usage(&mut self, usage: Usage, version: u64) -> Result<(), String> {
        reject_problems(&check_usage(&usage))?;
        self.usage = usage;
        self.usage_version = version;
        Ok(())
    }

    fn remember(&mut self, id: &str, verdict: Verdict) {
        self.verdicts.insert(id.to_owned(), verdict);
        self.verdict_order.push_back(id.to_owned());
        if self.verdict_order.len() > MAX_VERDICTS
            && let Some(oldest) = self.verdict_order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }
}

fn reject_problems(problems: &[crate::lists::Problem]) -> Result<(), String> {
    if problems.is_empty() {
        return Ok(());
    }
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    Err(lines.join("; "))
}

fn merge_plans(old: &Plans, put: &Plans) -> Plans {
    let workspaces = merge(&old.workspaces, &put.workspaces, |plan| {
        plan.workspace.as_str()
    });
    Plans { workspaces }
}

fn merge_usage(old: &Usage, put: &Usage) -> Usage {
    Usage {
        models: merge(&old.models, &put.models, |model| model.name.as_str()),
        endpoints: merge(&old.endpoints, &put.endpoints, |entry| entry.name.as_str()),
        services: merge(&old.services, &put.services, |service| {
            service.name.as_str()
        }),
    }
}

fn merge<T: Clone>(old: &[T], put: &[T], name: impl Fn(&T) -> &str) -> Vec<T> {
    let kept = old
        .iter()
        .filter(|item| put.iter().all(|other| name(other) != name(item)));
    kept.chain(put).cloned().collect()
}

/// A record of the lists stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Record {
    Change(Change),
    Snapshot { state: String, tag: String },
}

/// The record that publishes `change`, as JSON.
///
/// # Panics
///
/// Never: a change always serializes to JSON.
#[must_use]
pub fn change_record(change: &Change) -> String {
    serde_json::to_string(&Record::Change(change.clone())).expect("a change serializes to JSON")
}

/// Folds the lists stream of the log.
#[derive(Clone, Debug)]
pub struct Fold {
    key: Vec<u8>,
    state: State,
    /// Next offset of the search for a snapshot, after the log dropped records not yet folded.
    scan_offset: Option<u64>,
    /// Offset of the last authentic snapshot among the folded records, or 0 if there is none.
    last_snapshot: u64,
}

impl Fold {
    /// A fold that has read no records; `key` authenticates snapshots.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self {
            key: key.to_vec(),
            state: State::default(),
            scan_offset: None,
            last_snapshot: 0,
        }
    }

    /// The lists as folded so far.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// The offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.scan_offset.unwrap_or(self.state.next)
    }

    /// Skips the records before `first`, which the log no longer retains. If one of them was not
    /// yet folded, the fold searches for a snapshot from there on.
    pub fn skip_to(&mut self, first: u64) {
        if first > self.next_offset() {
            self.scan_offset = Some(first);
        }
    }

    /// Applies the record at `offset`; only the record at [`Fold::next_offset`] has an effect.
    pub fn apply(&mut self, offset: u64, record: &str) -> Effect {
        if offset != self.next_offset() {
            return Effect::Nothing;
        }
        match self.scan_offset {
            Some(_) => self.scan(offset, record),
            None => self.advance(offset, record),
        }
    }

    fn scan(&mut self, offset: u64, record: &str) -> Effect {
        self.scan_offset = Some(offset + 1);
        if let Ok(Record::Snapshot { state, tag }) = serde_json::from_str(record)
            && let Some(state) = self.verify(&state, &tag)
            && self.install(state)
        {
            return Effect::Installed;
        }
        Effect::Nothing
    }

    fn advance(&mut self, offset: u64, record: &str) -> Effect {
        self.state.next = offset + 1;
        match serde_json::from_str(record) {
            Ok(Record::Change(change)) => {
                let verdict = self.state.decide(offset, &change);
                Effect::Decided(change.id.to_string(), verdict)
            }
            Ok(Record::Snapshot { state, tag }) => {
                if self.verify(&state, &tag).is_some() {
                    self.last_snapshot = offset;
                }
                Effect::Nothing
            }
            Err(error) => Effect::Skipped(error.to_string()),
        }
    }

    /// Parses a snapshot's state if its tag is authentic.
    fn verify(&self, state: &str, given: &str) -> Option<State> {
        use subtle::ConstantTimeEq;
        let expected = hex::encode(tag(&self.key, state.as_bytes()));
        let genuine: bool = expected.as_bytes().ct_eq(given.as_bytes()).into();
        genuine.then(|| serde_json::from_str(state).ok())?
    }

    /// Installs a newer state from a snapshot or a peer; returns false if `state` is not newer.
    ///
    /// # Panics
    ///
    /// If `state` covers more records but contains an older list, which the fold never produces.
    pub fn install(&mut self, state: State) -> bool {
        if state.next <= self.state.next {
            return false;
        }
        assert!(
            state.plans_version >= self.state.plans_version
                && state.usage_version >= self.state.usage_version,
            "a newer state never contains an older list"
        );
        self.state = state;
        self.scan_offset = None;
        true
    }

    /// The next snapshot record, if one is due.
    ///
    /// A snapshot is due once the log has dropped the last one, or once at least half as many
    /// records as the log retains, and no fewer than `SNAPSHOT_INTERVAL_RECORDS`, follow the last
    /// one. The next one is therefore written before the log drops the last one. None is due until
    /// both lists are published and all records are folded.
    ///
    /// `first` and `end` are the log's first and next offset.
    ///
    /// # Panics
    ///
    /// Never: a state always serializes to JSON.
    #[must_use]
    pub fn snapshot_due(&self, first: u64, end: u64) -> Option<String> {
        const HALF: u64 = 2;
        let oldest_needed = self.last_snapshot;
        let retained = end.saturating_sub(first);
        let age = end.saturating_sub(oldest_needed);
        let current = self.scan_offset.is_none() && self.state.next >= end;
        if !current
            || !self.state.is_complete()
            || (first == 0 && retained < SNAPSHOT_INTERVAL_RECORDS)
        {
            return None;
        }
        if oldest_needed >= first && age < SNAPSHOT_INTERVAL_RECORDS.max(retained / HALF) {
            return None;
        }
        let state = serde_json::to_string(&self.state).expect("a state serializes to JSON");
        let tag = hex::encode(tag(&self.key, state.as_bytes()));
        let record = Record::Snapshot { state, tag };
        Some(serde_json::to_string(&record).expect("a snapshot serializes to JSON"))
    }
}

/// Minimum number of records between two snapshots while the log retains the earlier one.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 512;
