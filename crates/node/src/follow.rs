//! Followers of the log's streams, which keep the lists, claims and leases up to date.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::claim;
use kernel::fold::{self, Effect, Verdict};
use kernel::lists::{self, Change};
use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::request::Attempt;
use provider::{Batch, Error};
use rand::seq::IndexedRandom;
use shutdown::Stage;
use wire::Frame;

use crate::shared::Shared;
use crate::{claims, exit, invariant, peer};

/// Name of the log's stream of list changes.
pub(crate) const LISTS_STREAM: &str = "lists";
/// Name of the log's stream of leases.
pub(crate) const LEASES_STREAM: &str = "leases";
/// Longest wait of one read for new records.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest wait of a call for a log that can perhaps be reached again: two failed reads.
const RECOVERY_WAIT: Duration = Duration::from_millis(500);
/// Interval of checking whether the log has been read again.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Age of the last read after which a node pulls the lists from its peers.
const LISTS_STALE_AFTER: Duration = Duration::from_millis(2_500);
/// Interval between two pulls from peers.
const PULL_INTERVAL: Duration = Duration::from_millis(300);
/// Age of a stream's last read to its end after which claims count as stale, and after which reads
/// of any stream do not wait for new records.
const CLAIMS_STALE_AFTER: Duration = Duration::from_secs(3);

/// The time of the last read of each stream to its end, in microseconds; 0 for never.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    lists: AtomicU64,
    claims: AtomicU64,
    leases: AtomicU64,
    /// Offset of the first record that the lists in force do not include.
    active_next: AtomicU64,
}

fn is_fresh(last_read: &AtomicU64, now: Instant, age: Duration) -> bool {
    let at = last_read.load(Ordering::SeqCst);
    at > 0 && now.since(Instant::from_micros(at)) < age
}

impl Progress {
    /// Whether the lists were read from the log less than [`LISTS_STALE_AFTER`] ago.
    pub fn lists_fresh(&self, now: Instant) -> bool {
        is_fresh(&self.lists, now, LISTS_STALE_AFTER)
    }
}

/// Whether the claims stream was read to its end less than [`CLAIMS_STALE_AFTER`] ago.
fn claims_fresh(shared: &Shared) -> bool {
    is_fresh(
        &shared.tables.progress.claims,
        shared.now(),
        CLAIMS_STALE_AFTER,
    )
}

/// Waits until the claims stream has been read to its end recently; returns false at `deadline`.
///
/// Failed reads are repeated every [`RETRY_DELAY`], so a log that can be reached again is read
/// within [`RECOVERY_WAIT`].
pub(crate) async fn wait_until_claims_fresh(
    shared: &Shared,
    deadline: tokio::time::Instant,
) -> bool {
    let deadline = deadline.min(tokio::time::Instant::now() + RECOVERY_WAIT);
    while !claims_fresh(shared) {
        if tokio::time::Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(RECOVERY_POLL_INTERVAL).await;
    }
    true
}

/// Waits until a claim on `key` has been read from the log; returns false at `deadline`.
pub(crate) async fn wait_for_claim(
    shared: &Shared,
    key: &str,
    body: &str,
    attempt: Attempt,
    deadline: tokio::time::Instant,
) -> bool {
    loop {
        let notified = shared.claims_notify.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let now = shared.now();
        let verdict = shared.tables.claims.lock().verdict(now, key, body, attempt);
        if verdict != claim::Verdict::Pending {
            return true;
        }
        if tokio::time::timeout_at(deadline, notified).await.is_err() {
            return false;
        }
    }
}

/// Reads one stream and passes each batch to `apply`. Never returns.
async fn follow_stream(
    shared: &Shared,
    stream: &str,
    last_read: &AtomicU64,
    position: impl Fn() -> u64,
    apply: impl Fn(&Batch),
) {
    loop {
        let from = position();
        let requested_at = shared.now();
        // Without a recent read to the end, get the current end at once instead of waiting for new
        // records.
        let wait = if is_fresh(last_read, requested_at, CLAIMS_STALE_AFTER) {
            READ_WAIT
        } else {
            Duration::ZERO
        };
        match shared.dependencies.log.read(stream, from, wait).await {
            Ok(batch) => {
                apply(&batch);
                // The end was current when the read was sent, not when its response arrived.
                if position() >= batch.end {
                    last_read.store(requested_at.as_micros().max(1), Ordering::SeqCst);
                }
            }
            Err(error) => {
                log::debug!("event=log_read_failed stream={stream} error={error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Follows the lists stream and appends snapshots when they are due. Never returns.
pub(crate) async fn follow_lists(shared: Arc<Shared>) {
    let tables = &shared.tables;
    let position = || tables.fold.lock().next_offset();
    let apply = |batch: &Batch| {
        let snapshot = apply_lists(&shared, batch);
        if let Some(record) = snapshot {
            tokio::spawn(append_snapshot(Arc::clone(&shared), record));
        }
    };
    follow_stream(
        &shared,
        LISTS_STREAM,
        &tables.progress.lists,
        position,
        apply,
    )
    .await;
}

fn apply_lists(shared: &Shared, batch: &Batch) -> Option<String> {
    let mut fold = shared.tables.fold.lock();
    let before = fold.state().next;
    fold.skip_to(batch.first);
    for record in &batch.records {
        match fold.apply(record.offset, &record.data) {
            Effect::Decided(change, verdict) => {
                log::info!("event=change_decided change={change} verdict={verdict:?}");
            }
            Effect::Skipped(reason) => {
                log::warn!(
                    "event=record_skipped stream={LISTS_STREAM} offset={} reason={reason:?}",
                    record.offset
                );
            }
            Effect::Installed => {
                log::info!("event=snapshot_installed next={}", fold.state().next);
                break;
            }
            Effect::Nothing => {}
        }
    }
    if fold.state().next != before {
        activate(shared, &fold);
    }
    fold.snapshot_due(batch.first, batch.end)
}

/// Puts the folded lists in force in place of older ones.
fn activate(shared: &Shared, fold: &kernel::fold::Fold) {
    let state = fold.state();
    let before = shared
        .tables
        .progress
        .active_next
        .swap(state.next, Ordering::SeqCst);
    invariant::check(before <= state.next, || {
        format!("the lists reverted from offset {before} to {}", state.next)
    });
    let table = Arc::new(lists::Table::new(&state.plans, &state.usage));
    *shared.tables.lists.write() = table;
}

/// Appends a change and waits for its verdict, which is the same at all nodes.
///
/// A lost acknowledgement is harmless, because the verdict is read back from the log. A change that
/// is published again with the same identifier gets its first verdict.
///
/// Fails with `Unavailable` if the log rejects the change, and with `Unknown` if the verdict is not read
/// back within 5 seconds, or before the node exits.
pub(crate) async fn publish_change(shared: &Shared, change: &Change) -> Result<Verdict, Refusal> {
    const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);
    const POLL_INTERVAL: Duration = Duration::from_millis(10);
    let id = change.id.as_str();
    let verdict = || shared.tables.fold.lock().state().verdict(id).cloned();
    if let Some(known) = verdict() {
        return Ok(known);
    }
    let record = fold::change_record(change);
    let appended = shared.dependencies.log.append(LISTS_STREAM, &record);
    if let Some(Err(Error::Rejected(reason))) = exit::until_ending(shared, appended).await {
        let what = format!("the log rejected the change: {reason}");
        return Err(Refusal::Unavailable(what, READ_BACK_TIMEOUT));
    }
    let deadline = tokio::time::Instant::now() + READ_BACK_TIMEOUT;
    while tokio::time::Instant::now() < deadline && !shared.shutdown.has_reached(Stage::Ending) {
        if let Some(known) = verdict() {
            return Ok(known);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // The change may be on the log. The same identifier gets its verdict later.
    Err(Refusal::Unknown(id.to_owned()))
}

async fn append_snapshot(shared: Arc<Shared>, record: String) {
    // If this append fails, another node appends the snapshot.
    if let Err(error) = shared.dependencies.log.append(LISTS_STREAM, &record).await {
        log::warn!("event=snapshot_failed error={error}");
    }
}

/// Follows the claims stream and wakes the tasks that wait for claims. Never returns.
pub(crate) async fn follow_claims(shared: Arc<Shared>) {
    let tables = &shared.tables;
    let position = || tables.claims.lock().next_offset();
    let apply = |batch: &Batch| {
        let now = shared.now();
        let mut registry = tables.claims.lock();
        registry.skip_to(batch.first);
        for record in &batch.records {
            registry.apply(now, record.offset, record.logged_ms, &record.data);
        }
        drop(registry);
        shared.claims_notify.notify_waiters();
    };
    follow_stream(
        &shared,
        claims::STREAM,
        &tables.progress.claims,
        position,
        apply,
    )
    .await;
}

/// Follows the leases stream. Never returns.
pub(crate) async fn follow_leases(shared: Arc<Shared>) {
    let tables = &shared.tables;
    let position = || tables.leases.lock().next_offset();
    let apply = |batch: &Batch| {
        let now = shared.now();
        let mut leases = tables.leases.lock();
        leases.skip_to(batch.first);
        for record in &batch.records {
            leases.apply(now, record.offset, &record.data);
        }
    };
    follow_stream(
        &shared,
        LEASES_STREAM,
        &tables.progress.leases,
        position,
        apply,
    )
    .await;
}

/// Pulls newer lists from random peers while the log cannot be read. Never returns.
pub(crate) async fn pull_lists(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PULL_INTERVAL).await;
        if shared.tables.progress.lists_fresh(shared.now()) {
            continue;
        }
        let now = shared.now();
        let others: Vec<_> = {
            let members = shared.tables.members.lock();
            members.live(now).into_iter().skip(1).cloned().collect()
        };
        let peer = shared.with_random(|random| others.choose(random).cloned());
        if let Some(address) = peer.as_ref().and_then(peer::address) {
            pull_lists_from(&shared, address).await;
        }
    }
}

async fn pull_lists_from(shared: &Shared, address: std::net::SocketAddr) {
    let next = shared.tables.fold.lock().state().next;
    let response = shared.peers.call(address, &Frame::Lists(next)).await;
    let Ok(Frame::State(Some(text))) = response else {
        return;
    };
    let Ok(state) = serde_json::from_str(&text) else {
        return;
    };
    let mut fold = shared.tables.fold.lock();
    if fold.install(state) {
        activate(shared, &fold);
        log::info!(
            "event=lists_from_peer peer={address} next={}",
            fold.state().next
        );
    }
}
