//! Deferred requests: answered later, and kept on a second host so that none is lost.
//!
//! The node that takes a deferred request runs it when there is a gap and keeps a copy at another
//! node, in another failure domain where one is reachable. It makes another copy when that node dies,
//! and a node that holds a copy runs it when the owner is dead. The work is idempotent, so running it twice costs time and nothing else.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kernel::deferred::Table;
use kernel::membership;
use kernel::outcome::Refusal;
use kernel::request::{Id, Incarnation};
use wire::{Frame, Kept};

use crate::api;
use crate::peer;
use crate::shared::Shared;

/// Time between two looks for copies whose owner or second host is dead.
pub(crate) const REPLICA_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Wait before a deferred request is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Deferred requests and copies at one node.
pub(crate) type Store = Table<Kept>;

/// Keeps a copy for another node; returns false when this one is full.
pub(crate) fn save(shared: &Shared, kept: Kept) -> bool {
    let now = shared.now();
    let (id, owner, remaining) = (kept.request, kept.owner, kept.remaining);
    let mut store = shared.tables.deferred.lock();
    if kept.answer.is_some() {
        store.store_answer(now, id, kept, owner)
    } else {
        store.store_copy(now, id, kept, owner, remaining)
    }
}

/// A deferred request or copy at this node.
pub(crate) fn find(shared: &Shared, id: Id) -> Option<Kept> {
    let now = shared.now();
    let store = shared.tables.deferred.lock();
    let entry = store.find(id)?;
    Some(Kept {
        owner: entry.owner,
        remaining: entry.deadline.since(now),
        ..entry.content.clone()
    })
}

/// A deferred request at any node.
pub(crate) async fn find_anywhere(shared: &Arc<Shared>, id: Id) -> Option<Kept> {
    let local = find(shared, id);
    if local.as_ref().is_some_and(|kept| kept.answer.is_some()) {
        return local;
    }
    let mut found = local;
    for address in other_nodes(shared).iter().filter_map(peer::address) {
        if let Ok(Frame::Deferred(Some(kept))) = shared.peers.ask(address, &Frame::Fetch(id)).await
        {
            if kept.answer.is_some() {
                return Some(*kept);
            }
            found.get_or_insert(*kept);
        }
    }
    found
}

fn other_nodes(shared: &Shared) -> Vec<membership::Entry> {
    let now = shared.now();
    let members = shared.tables.members.lock();
    let mut nodes: Vec<_> = members.live(now).into_iter().skip(1).cloned().collect();
    nodes.sort_by_key(|entry| {
        (
            entry.domain == shared.domain,
            entry.leaving,
            entry.host.clone(),
        )
    });
    nodes
}

/// Takes a deferred request and returns the number of hosts that have it.
///
/// It is accepted only when a second host has a copy, or when the platform lists no other host. A
/// node that was just started or is cut off knows no other one although there are some.
pub(crate) async fn accept(shared: &Arc<Shared>, kept: Kept) -> Result<u32, Refusal> {
    let now = shared.now();
    let (id, remaining) = (kept.request, kept.remaining);
    let accepted = {
        let mut store = shared.tables.deferred.lock();
        store.accept(now, id, kept.clone(), remaining)
    };
    if !accepted {
        return Err(Refusal::Overloaded(REPLICA_CHECK_INTERVAL));
    }
    let replicated = replicate(shared, kept).await;
    if !replicated && !shared.tables.alone.load(Ordering::SeqCst) {
        shared.tables.deferred.lock().remove(id);
        let what = "no second host could keep the request".to_owned();
        return Err(Refusal::Unavailable(what, REPLICA_CHECK_INTERVAL));
    }
    tokio::spawn(run(Arc::clone(shared), id));
    Ok(1 + u32::from(replicated))
}

/// Sends a copy to the first other node that takes it.
async fn replicate(shared: &Shared, kept: Kept) -> bool {
    let id = kept.request;
    let frame = Frame::Keep(Box::new(kept));
    for node in other_nodes(shared) {
        let Some(address) = peer::address(&node) else {
            continue;
        };
        if matches!(shared.peers.ask(address, &frame).await, Ok(Frame::Ack)) {
            let mut store = shared.tables.deferred.lock();
            store.set_replica(id, node.incarnation);
            return true;
        }
    }
    false
}

async fn run(shared: Arc<Shared>, id: Id) {
    let Some((kept, answer)) = run_until_ended(&shared, id).await else {
        return;
    };
    let answered = Kept {
        owner: shared.incarnation,
        answer: Some(answer),
        ..kept
    };
    save(&shared, answered.clone());
    replicate(&shared, answered).await;
}

/// Runs a deferred request, again when there was no gap for it or it failed, until it has ended
/// or another node owns it.
async fn run_until_ended(shared: &Arc<Shared>, id: Id) -> Option<(Kept, (u16, String))> {
    loop {
        let kept = find(shared, id)?;
        let owned = shared.tables.deferred.lock().owns(id);
        if !owned || kept.answer.is_some() {
            return None;
        }
        let answer = api::run_deferred(shared, &kept).await;
        let retryable = matches!(answer.0, 429 | 502 | 503);
        if !retryable || kept.remaining < RETRY_DELAY {
            return Some((kept, answer));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Takes over the copies whose owner is dead and renews those whose second host is, for ever.
pub(crate) async fn maintain_replicas(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(REPLICA_CHECK_INTERVAL).await;
        let live = live_incarnations(&shared);
        let orphans = {
            let mut store = shared.tables.deferred.lock();
            store.adopt(shared.now(), &live)
        };
        for orphan in orphans {
            shared.note(orphan.request, "adopted", "the owner is dead".to_owned());
            if orphan.unanswered {
                tokio::spawn(run(Arc::clone(&shared), orphan.request));
            }
        }
        let unreplicated = shared.tables.deferred.lock().unreplicated(&live);
        for id in unreplicated {
            if let Some(kept) = find(&shared, id) {
                replicate(&shared, kept).await;
            }
        }
    }
}

/// The incarnations that are alive, this node's included.
fn live_incarnations(shared: &Shared) -> Vec<Incarnation> {
    let now = shared.now();
    let members = shared.tables.members.lock();
    let live = members.live(now);
    live.into_iter().map(|entry| entry.incarnation).collect()
}
