//! Deferred requests: answered later, and kept on a second host so that none is lost.
//!
//! The node that takes a deferred request runs it when there is a gap and keeps a copy at another
//! node, in another failure domain where one is reachable. A node that holds a copy runs it when
//! the owner is dead. The work is idempotent, so running it twice costs time and nothing else.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::membership;
use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::request::Id;
use wire::{Frame, Kept};

use crate::api;
use crate::peer;
use crate::shared::Shared;

/// Time between two looks for copies whose owner is dead.
const ADOPT_EVERY: Duration = Duration::from_secs(1);
/// Wait before a deferred request is tried again.
const RETRY: Duration = Duration::from_secs(1);
/// How long an answer can be fetched.
const ANSWER_KEPT: Duration = Duration::from_hours(1);
/// Most deferred requests and copies at one node.
const MOST: usize = 10_000;

struct Entry {
    kept: Kept,
    deadline: Instant,
    ended: Option<Instant>,
}

/// Deferred requests and copies at one node.
#[derive(Default)]
pub(crate) struct Store {
    entries: BTreeMap<Id, Entry>,
}

impl Store {
    fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| match entry.ended {
            Some(at) => at + ANSWER_KEPT > now,
            None => entry.deadline + ANSWER_KEPT > now,
        });
    }

    fn put(&mut self, now: Instant, kept: Kept) -> bool {
        self.expire(now);
        let known = self.entries.get(&kept.request);
        let ended = known.is_some_and(|entry| entry.kept.answer.is_some());
        if ended || (known.is_none() && self.entries.len() >= MOST) {
            return ended;
        }
        let entry = Entry {
            deadline: now + kept.remaining,
            ended: kept.answer.is_some().then_some(now),
            kept,
        };
        self.entries.insert(entry.kept.request, entry);
        true
    }
}

/// Keeps a copy for another node.
pub(crate) fn keep(shared: &Shared, kept: Kept) {
    let now = shared.now();
    shared.tables.deferred.lock().put(now, kept);
}

/// A deferred request or copy at this node.
pub(crate) fn find(shared: &Shared, id: Id) -> Option<Kept> {
    let now = shared.now();
    let store = shared.tables.deferred.lock();
    let entry = store.entries.get(&id)?;
    let mut kept = entry.kept.clone();
    kept.remaining = entry.deadline.since(now);
    Some(kept)
}

/// A deferred request at any node.
pub(crate) async fn find_anywhere(shared: &Arc<Shared>, id: Id) -> Option<Kept> {
    let own = find(shared, id);
    if own.as_ref().is_some_and(|kept| kept.answer.is_some()) {
        return own;
    }
    let mut found = own;
    for address in others(shared).iter().filter_map(peer::address) {
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

fn others(shared: &Shared) -> Vec<membership::Entry> {
    let now = shared.now();
    let members = shared.tables.members.lock();
    let mut others: Vec<_> = members.live(now).into_iter().skip(1).cloned().collect();
    others.sort_by_key(|entry| {
        (
            entry.domain == shared.domain,
            entry.leaving,
            entry.host.clone(),
        )
    });
    others
}

/// Takes a deferred request and returns the number of hosts that have it.
///
/// It is accepted only when a second host has a copy, or when no other node is alive.
pub(crate) async fn accept(shared: &Arc<Shared>, kept: Kept) -> Result<u32, Refusal> {
    let now = shared.now();
    if !shared.tables.deferred.lock().put(now, kept.clone()) {
        return Err(Refusal::Overloaded(ADOPT_EVERY));
    }
    let copied = copy(shared, &kept).await;
    if !copied && !others(shared).is_empty() {
        shared.tables.deferred.lock().entries.remove(&kept.request);
        let what = "no second host could keep the request".to_owned();
        return Err(Refusal::Unavailable(what, ADOPT_EVERY));
    }
    tokio::spawn(run(Arc::clone(shared), kept.request));
    Ok(1 + u32::from(copied))
}

/// Sends a copy to the first other node that takes it.
async fn copy(shared: &Shared, kept: &Kept) -> bool {
    for address in others(shared).iter().filter_map(peer::address) {
        let frame = Frame::Keep(Box::new(kept.clone()));
        if matches!(shared.peers.ask(address, &frame).await, Ok(Frame::Ack)) {
            return true;
        }
    }
    false
}

async fn run(shared: Arc<Shared>, id: Id) {
    let Some((kept, (status, body))) = run_until_ended(&shared, id).await else {
        return;
    };
    let ended = Kept {
        answer: Some((status, body)),
        ..kept
    };
    let now = shared.now();
    shared.tables.deferred.lock().put(now, ended.clone());
    copy(&shared, &ended).await;
}

/// Runs a deferred request, again when there was no gap for it or it failed, until it has ended.
async fn run_until_ended(shared: &Arc<Shared>, id: Id) -> Option<(Kept, (u16, String))> {
    loop {
        let kept = find(shared, id)?;
        let answer = api::run_deferred(shared, &kept).await;
        let again = matches!(answer.0, 429 | 502 | 503);
        if !again || kept.remaining < RETRY {
            return Some((kept, answer));
        }
        tokio::time::sleep(RETRY).await;
    }
}

/// Runs the copies whose owner is dead, for ever.
pub(crate) async fn adopt(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(ADOPT_EVERY).await;
        for id in abandoned(&shared) {
            shared.note(id, "adopted", "the owner is dead".to_owned());
            if let Some(kept) = find(&shared, id) {
                copy(&shared, &kept).await;
            }
            tokio::spawn(run(Arc::clone(&shared), id));
        }
    }
}

fn abandoned(shared: &Shared) -> Vec<Id> {
    let now = shared.now();
    let live: Vec<_> = {
        let members = shared.tables.members.lock();
        members
            .live(now)
            .into_iter()
            .map(|entry| entry.incarnation)
            .collect()
    };
    let mut store = shared.tables.deferred.lock();
    let orphans = store.entries.values_mut().filter(|entry| {
        let owned =
            live.contains(&entry.kept.request.incarnation) || entry.kept.owner == shared.host;
        !owned && entry.kept.answer.is_none() && entry.deadline > now
    });
    orphans
        .map(|entry| {
            entry.kept.owner = shared.host.clone();
            entry.kept.request
        })
        .collect()
}
