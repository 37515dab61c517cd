//! Follows the streams of the log and keeps the lists, claims and leases up to date.

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
use wire::Frame;

use crate::shared::Shared;
use crate::{claims, invariant, peer};

/// The stream of list changes.
pub(crate) const LISTS: &str = "lists";
/// The stream of leases.
pub(crate) const LEASES: &str = "leases";
/// Longest wait of one read.
const WAIT: Duration = Duration::from_secs(1);
/// Wait after a read failed.
const RETRY: Duration = Duration::from_millis(250);
/// Age of the last read at which a node asks its peers for lists.
const PEERS_AFTER: Duration = Duration::from_millis(2_500);
/// Time between two questions to peers.
const PEERS_EVERY: Duration = Duration::from_millis(300);
/// Age of the last read at which claims count as stale.
const CLAIMS_STALE: Duration = Duration::from_secs(3);

/// When each stream was last read to its end, in microseconds; 0 for never.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    lists: AtomicU64,
    claims: AtomicU64,
    leases: AtomicU64,
    /// The first offset that is not in force.
    published: AtomicU64,
}

fn fresh(mark: &AtomicU64, now: Instant, age: Duration) -> bool {
    let at = mark.load(Ordering::SeqCst);
    at > 0 && now.since(Instant::from_micros(at)) < age
}

impl Progress {
    /// Whether the lists were read from the log a short time ago.
    pub fn lists_fresh(&self, now: Instant) -> bool {
        fresh(&self.lists, now, PEERS_AFTER)
    }
}

/// Whether the claims stream has been read to its end a short time ago.
pub(crate) fn claims_current(shared: &Shared) -> bool {
    fresh(&shared.tables.progress.claims, shared.now(), CLAIMS_STALE)
}

/// Waits until some claim of the key has been read; returns false at `deadline`.
pub(crate) async fn claim_read(
    shared: &Shared,
    key: &str,
    body: &str,
    attempt: Attempt,
    deadline: tokio::time::Instant,
) -> bool {
    loop {
        let claimed = shared.claimed.notified();
        tokio::pin!(claimed);
        claimed.as_mut().enable();
        let now = shared.now();
        let verdict = shared.tables.book.lock().verdict(now, key, body, attempt);
        if verdict != claim::Verdict::Pending {
            return true;
        }
        if tokio::time::timeout_at(deadline, claimed).await.is_err() {
            return false;
        }
    }
}

/// Reads one stream for ever, handing each batch to `apply`.
async fn follow(
    shared: &Shared,
    stream: &str,
    mark: &AtomicU64,
    position: impl Fn() -> u64,
    apply: impl Fn(&Batch),
) {
    loop {
        let from = position();
        let asked = shared.now();
        // A reader that does not know the end asks for it at once instead of waiting for news.
        let wait = if fresh(mark, asked, CLAIMS_STALE) {
            WAIT
        } else {
            Duration::ZERO
        };
        match shared.outside.log.read(stream, from, wait).await {
            Ok(batch) => {
                apply(&batch);
                // The end that was read is as old as the question.
                if position() >= batch.end {
                    mark.store(asked.as_micros().max(1), Ordering::SeqCst);
                }
            }
            Err(error) => {
                log::debug!("event=log_read_failed stream={stream} error={error}");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Follows the lists stream.
pub(crate) async fn lists(shared: Arc<Shared>) {
    let tables = &shared.tables;
    let position = || tables.fold.lock().next_offset();
    let apply = |batch: &Batch| {
        let snapshot = apply_lists(&shared, batch);
        if let Some(record) = snapshot {
            tokio::spawn(append_snapshot(Arc::clone(&shared), record));
        }
    };
    follow(&shared, LISTS, &tables.progress.lists, position, apply).await;
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
                    "event=record_skipped stream={LISTS} offset={} reason={reason:?}",
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
        publish(shared, &fold);
    }
    fold.snapshot_due(batch.first, batch.end)
}

/// Puts the folded lists in force.
fn publish(shared: &Shared, fold: &kernel::fold::Fold) {
    let state = fold.state();
    let before = shared
        .tables
        .progress
        .published
        .swap(state.next, Ordering::SeqCst);
    invariant::check(before <= state.next, || {
        format!("the lists went back from offset {before} to {}", state.next)
    });
    let table = Arc::new(lists::Table::new(&state.plans, &state.usage));
    *shared.tables.lists.write() = table;
}

/// Appends a change and waits for its verdict, which all nodes reach alike.
///
/// A lost acknowledgement changes nothing: the verdict is read back. A change that is published
/// again under its identifier gets the verdict that it got first.
pub(crate) async fn publish_change(shared: &Shared, change: &Change) -> Result<Verdict, Refusal> {
    const READ_BACK: Duration = Duration::from_secs(5);
    const LOOK: Duration = Duration::from_millis(10);
    let id = change.id.as_str();
    let verdict = || shared.tables.fold.lock().state().verdict(id).cloned();
    if let Some(known) = verdict() {
        return Ok(known);
    }
    let record = fold::change_record(change);
    if let Err(Error::Rejected(reason)) = shared.outside.log.append(LISTS, &record).await {
        let what = format!("the change was not written: {reason}");
        return Err(Refusal::Unavailable(what, READ_BACK));
    }
    let deadline = tokio::time::Instant::now() + READ_BACK;
    while tokio::time::Instant::now() < deadline {
        if let Some(known) = verdict() {
            return Ok(known);
        }
        tokio::time::sleep(LOOK).await;
    }
    let what = format!("change {id:?} may stand on the log: publish it again with the same id");
    Err(Refusal::Unavailable(what, READ_BACK))
}

async fn append_snapshot(shared: Arc<Shared>, record: String) {
    // Another node writes it again should this append fail.
    if let Err(error) = shared.outside.log.append(LISTS, &record).await {
        log::warn!("event=snapshot_failed error={error}");
    }
}

/// Follows the claims stream.
pub(crate) async fn claims(shared: Arc<Shared>) {
    let tables = &shared.tables;
    let position = || tables.book.lock().next_offset();
    let apply = |batch: &Batch| {
        let now = shared.now();
        let mut book = tables.book.lock();
        book.skip_to(batch.first);
        for record in &batch.records {
            book.apply(now, record.offset, record.logged_ms, &record.data);
        }
        drop(book);
        shared.claimed.notify_waiters();
    };
    follow(
        &shared,
        claims::STREAM,
        &tables.progress.claims,
        position,
        apply,
    )
    .await;
}

/// Follows the leases stream.
pub(crate) async fn leases(shared: Arc<Shared>) {
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
    follow(&shared, LEASES, &tables.progress.leases, position, apply).await;
}

/// Takes newer lists from peers while the log cannot be read.
pub(crate) async fn peers(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PEERS_EVERY).await;
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
            pull(&shared, address).await;
        }
    }
}

async fn pull(shared: &Shared, address: std::net::SocketAddr) {
    let next = shared.tables.fold.lock().state().next;
    let answer = shared.peers.ask(address, &Frame::Lists(next)).await;
    let Ok(Frame::State(Some(text))) = answer else {
        return;
    };
    let Ok(state) = serde_json::from_str(&text) else {
        return;
    };
    let mut fold = shared.tables.fold.lock();
    if fold.install(state) {
        publish(shared, &fold);
        log::info!(
            "event=lists_from_peer peer={address} next={}",
            fold.state().next
        );
    }
}
