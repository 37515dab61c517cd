//! Deferred requests: run later, and replicated to a second host so that none is lost.
//!
//! The node that accepts a deferred request owns it: it runs the request when there is spare
//! capacity, and stores a copy at another node, if possible in another failure domain. The owner
//! makes a new copy if that node dies. If the owner dies, the node with the copy runs the request.
//! Requests are idempotent, so running one twice only costs time.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::deferred::Table;
use kernel::membership;
use kernel::outcome::Refusal;
use kernel::request::{Id, Incarnation};
use shutdown::Stage;
use wire::{Deferred, Frame};

use crate::api;
use crate::peer;
use crate::shared::Shared;

/// Time between two checks for dead owners and replicas, and the `Retry-After` of refused requests.
pub(crate) const REPLICA_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a deferred request is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The deferred requests and copies at this node.
pub(crate) type Store = Table<Deferred>;

/// Stores a copy or an answer of a deferred request; returns false if this node is full.
pub(crate) fn save(shared: &Shared, deferred: Deferred) -> bool {
    let now = shared.now();
    let (id, owner, remaining) = (deferred.request, deferred.owner, deferred.remaining);
    let mut store = shared.tables.deferred.lock();
    if deferred.answer.is_some() {
        store.store_answer(now, id, deferred, owner)
    } else {
        store.store_copy(now, id, deferred, owner, remaining)
    }
}

/// Returns a deferred request or copy at this node.
pub(crate) fn find(shared: &Shared, id: Id) -> Option<Deferred> {
    let now = shared.now();
    let store = shared.tables.deferred.lock();
    let entry = store.find(id)?;
    Some(Deferred {
        owner: entry.owner,
        remaining: entry.deadline.since(now),
        ..entry.content.clone()
    })
}

/// Returns a deferred request from any node, preferably with its answer.
pub(crate) async fn find_anywhere(shared: &Arc<Shared>, id: Id) -> Option<Deferred> {
    let local = find(shared, id);
    if local
        .as_ref()
        .is_some_and(|deferred| deferred.answer.is_some())
    {
        return local;
    }
    let mut found = local;
    for address in other_nodes(shared).iter().filter_map(peer::address) {
        if let Ok(Frame::Deferred(Some(deferred))) =
            shared.peers.call(address, &Frame::Fetch(id)).await
        {
            if deferred.answer.is_some() {
                return Some(*deferred);
            }
            found.get_or_insert(*deferred);
        }
    }
    found
}

/// The other live nodes, in order of preference: nodes in other failure domains first, and leaving
/// nodes after the others in each group.
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

/// Accepts a deferred request and returns the number of hosts that have it.
///
/// Fails with `Overloaded` if this node is full, and with `Unavailable` unless a second host has
/// stored a copy or the platform lists no other host. The membership table does not decide this: on
/// a node that just started or is partitioned, it contains no other node even though others exist.
pub(crate) async fn accept(shared: &Arc<Shared>, deferred: Deferred) -> Result<u32, Refusal> {
    let now = shared.now();
    let (id, remaining) = (deferred.request, deferred.remaining);
    let accepted = {
        let mut store = shared.tables.deferred.lock();
        store.accept(now, id, deferred.clone(), remaining)
    };
    if !accepted {
        return Err(Refusal::Overloaded(REPLICA_CHECK_INTERVAL));
    }
    let replicated = replicate(shared, deferred).await;
    if !replicated && !shared.tables.only_host.load(Ordering::SeqCst) {
        shared.tables.deferred.lock().remove(id);
        let what = "no second host could store a copy of the request".to_owned();
        return Err(Refusal::Unavailable(what, REPLICA_CHECK_INTERVAL));
    }
    tokio::spawn(run(Arc::clone(shared), id));
    Ok(1 + u32::from(replicated))
}

/// Stores a copy at the first other node that accepts it; returns false if none does.
async fn replicate(shared: &Shared, deferred: Deferred) -> bool {
    replicate_at(shared, deferred, &other_nodes(shared)).await
}

/// Stores a copy at the first of `nodes` that accepts it; returns false if none does.
async fn replicate_at(shared: &Shared, deferred: Deferred, nodes: &[membership::Entry]) -> bool {
    let id = deferred.request;
    let frame = Frame::Keep(Box::new(deferred));
    for node in nodes {
        let Some(address) = peer::address(node) else {
            continue;
        };
        if matches!(shared.peers.call(address, &frame).await, Ok(Frame::Ack)) {
            let mut store = shared.tables.deferred.lock();
            store.set_replica(id, node.incarnation);
            return true;
        }
    }
    false
}

/// Runs a deferred request and stores its answer here and at a second host.
async fn run(shared: Arc<Shared>, id: Id) {
    let Some((deferred, answer)) = run_until_ended(&shared, id).await else {
        return;
    };
    let answered = Deferred {
        owner: shared.incarnation,
        answer: Some(answer),
        ..deferred
    };
    save(&shared, answered.clone());
    replicate(&shared, answered).await;
}

/// Runs a deferred request and returns it with its status and body, or `None` if this node no
/// longer has to run it: it expired, was answered, or belongs to another node.
///
/// Overload and failures are retried for as long as the time limit allows.
async fn run_until_ended(shared: &Arc<Shared>, id: Id) -> Option<(Deferred, (u16, String))> {
    loop {
        let deferred = find(shared, id)?;
        let owned = shared.tables.deferred.lock().owns(id);
        if !owned || deferred.answer.is_some() {
            return None;
        }
        let answer = api::run_deferred(shared, &deferred).await;
        let retryable = matches!(answer.0, 429 | 502 | 503);
        if !retryable || deferred.remaining < RETRY_DELAY {
            return Some((deferred, answer));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Takes over requests whose owner is dead and replaces copies whose host is dead. Never returns.
pub(crate) async fn maintain_replicas(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(REPLICA_CHECK_INTERVAL).await;
        let live = live_incarnations(&shared);
        let orphans = {
            let mut store = shared.tables.deferred.lock();
            store.adopt(shared.now(), &live)
        };
        for orphan in orphans {
            shared.record(orphan.request, "adopted", "the owner is dead".to_owned());
            if orphan.unanswered {
                tokio::spawn(run(Arc::clone(&shared), orphan.request));
            }
        }
        let unreplicated = shared.tables.deferred.lock().unreplicated(&live);
        for id in unreplicated {
            if let Some(deferred) = find(&shared, id) {
                replicate(&shared, deferred).await;
            }
        }
    }
}

/// Hands the requests and answers of a node that exits over to nodes that stay: those whose copy is at no
/// such node, and the copies whose owner does not stay either. Their copies are adopted when this node is
/// dead. It waits until the node accepts no more requests.
pub(crate) async fn hand_over(shared: &Shared) {
    shared.shutdown.wait_until(Stage::Closing).await;
    if shared.tables.deferred.lock().is_empty() {
        return;
    }
    let nodes = staying_nodes(shared).await;
    let staying: Vec<_> = nodes.iter().map(|node| node.incarnation).collect();
    let unreplicated = {
        let mut store = shared.tables.deferred.lock();
        store.adopt(shared.now(), &staying);
        store.unreplicated(&staying)
    };
    let found = unreplicated.iter().filter_map(|id| find(shared, *id));
    let copies = found.map(|deferred| replicate_at(shared, deferred, &nodes));
    let copies = join_all(copies).await;
    let failed = copies.iter().filter(|is_copied| !**is_copied).count();
    if !copies.is_empty() {
        log::info!(
            "event=deferred_handed_over requests={} failed={failed}",
            copies.len()
        );
    }
}

/// The other nodes that say that they do not drain. The membership table tells it late.
async fn staying_nodes(shared: &Shared) -> Vec<membership::Entry> {
    let stays = async |node: &membership::Entry| -> Option<bool> {
        let address = peer::address(node)?;
        let Ok(Frame::Report(report)) = shared.peers.call(address, &Frame::Status).await else {
            return None;
        };
        let report: serde_json::Value = serde_json::from_str(&report).ok()?;
        Some(report["draining"] == false)
    };
    let nodes = other_nodes(shared);
    let stays = join_all(nodes.iter().map(stays)).await;
    let nodes = nodes.into_iter().zip(stays);
    nodes
        .filter_map(|(node, stays)| (stays == Some(true)).then_some(node))
        .collect()
}

/// The incarnations of all live nodes, including this one.
fn live_incarnations(shared: &Shared) -> Vec<Incarnation> {
    let now = shared.now();
    let members = shared.tables.members.lock();
    let live = members.live(now);
    live.into_iter().map(|entry| entry.incarnation).collect()
}
