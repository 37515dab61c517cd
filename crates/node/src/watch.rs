//! Watches the endpoints of the own failure domain and frees what attempts left there.

use std::sync::Arc;
use std::time::Duration;

use endpoint::{CacheEvent, Client, Engine};
use kernel::ledger;
use kernel::lists::EndpointEntry;
use kernel::prelude::*;
use kernel::request::Attempt;
use kernel::schedule::Report;

use crate::dispatch::{pool_key, slot};
use crate::shared::Shared;

/// Failed looks in a row after which an engine counts as gone.
const GONE_AFTER: u32 = 2;
/// Up to this many nodes in a failure domain, each watches all of its engines.
const ALL_WATCH: usize = 4;
/// Time between two looks at what engines hold for dead nodes.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// Longest wait before freeing is looked at again.
const FREE_EVERY: Duration = Duration::from_millis(200);

/// The engines of the usage list that this node watches.
fn watched(shared: &Shared) -> Vec<(EndpointEntry, Arc<dyn Engine>)> {
    let lists = shared.tables.lists();
    let now = shared.now();
    let members = shared.tables.members.lock();
    let few = members.live_in(now, &shared.domain).len() <= ALL_WATCH;
    let mine = |entry: &&EndpointEntry| {
        let model = entry.model.as_deref().unwrap_or_default();
        few || members.owner(now, &pool_key(&Model::from(model))).host == shared.host
    };
    let entries = lists.endpoints(&shared.domain).filter(mine);
    entries
        .filter_map(|entry| match shared.clients.get(entry) {
            Some(Client::Engine(engine)) => Some((entry.clone(), engine)),
            _ => None,
        })
        .collect()
}

/// Looks at the engines for ever.
pub(crate) async fn engines(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.times.watch_ms);
    let mut ticks = tokio::time::interval(every);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let watched = watched(&shared);
        forget_unlisted(&shared, &watched);
        let looks = watched
            .into_iter()
            .map(|(entry, engine)| look(&shared, entry, engine));
        futures_util::future::join_all(looks).await;
        shared.pumping.notify_one();
    }
}

/// Forgets the engines that this node no longer watches, and what it held at unlisted ones.
fn forget_unlisted(shared: &Shared, watched: &[(EndpointEntry, Arc<dyn Engine>)]) {
    let named = |entry: &EndpointEntry, name: &Endpoint| entry.name.as_str() == name.as_str();
    let unwatched: Vec<_> = {
        let sights = shared.tables.sights.lock();
        let seen = sights.reports.keys();
        let unwatched = seen.filter(|name| !watched.iter().any(|(entry, _)| named(entry, name)));
        unwatched.cloned().collect()
    };
    let lists = shared.tables.lists();
    for name in unwatched {
        remove(shared, &name);
        if !lists
            .endpoints(&shared.domain)
            .any(|entry| named(entry, &name))
        {
            shared.tables.ledger.lock().remove_endpoint(&name);
        }
    }
}

async fn look(shared: &Shared, entry: EndpointEntry, engine: Arc<dyn Engine>) {
    let name = Endpoint::from(entry.name.as_str());
    match engine.report().await {
        Ok(report) => {
            seen(shared, &name, report);
            let after = shared
                .tables
                .sights
                .lock()
                .cached
                .get(&name)
                .copied()
                .unwrap_or(0);
            if let Ok(events) = engine.cache_events(after).await {
                learn(shared, &name, after, &events);
            }
        }
        Err(error) => {
            engine.close_idle();
            missed(shared, &name, &error.to_string());
        }
    }
}

fn seen(shared: &Shared, name: &Endpoint, mut report: Report) {
    report.endpoint = name.clone();
    let now = shared.now();
    let model = report.model.clone();
    let returned = {
        let mut sights = shared.tables.sights.lock();
        sights.misses.remove(name);
        sights
            .reports
            .insert(name.clone(), report.clone())
            .is_none()
    };
    if returned {
        log::info!("event=engine_up endpoint={name}");
    }
    let mut pools = shared.tables.pools.lock();
    for (other, slot) in pools.iter_mut() {
        if Some(other) != model.as_ref() {
            slot.pool.remove(name);
        }
    }
    if let Some(model) = model {
        slot(shared, &mut pools, &model).pool.report(now, report);
    }
}

fn missed(shared: &Shared, name: &Endpoint, reason: &str) {
    let gone = {
        let mut sights = shared.tables.sights.lock();
        let misses = sights.misses.entry(name.clone()).or_default();
        *misses += 1;
        *misses == GONE_AFTER
    };
    if gone {
        log::warn!("event=engine_down endpoint={name} reason={reason:?}");
        remove(shared, name);
    }
}

fn remove(shared: &Shared, name: &Endpoint) {
    let mut sights = shared.tables.sights.lock();
    sights.reports.remove(name);
    sights.cached.remove(name);
    drop(sights);
    for slot in shared.tables.pools.lock().values_mut() {
        slot.pool.remove(name);
    }
}

/// Takes cache events as hints; a gap makes the node forget what it knew.
fn learn(shared: &Shared, name: &Endpoint, after: u64, events: &[CacheEvent]) {
    let Some(last) = events.last() else {
        return;
    };
    let gap = events
        .first()
        .is_some_and(|event| event.sequence != after + 1);
    shared
        .tables
        .sights
        .lock()
        .cached
        .insert(name.clone(), last.sequence);
    let now = shared.now();
    let mut pools = shared.tables.pools.lock();
    let engines = pools
        .values_mut()
        .filter_map(|slot| slot.pool.engine_mut(name));
    for engine in engines {
        if gap {
            engine.clear_hints();
        }
        for event in events {
            engine.add_hints(now, &event.stored);
            engine.remove_hints(&event.evicted);
        }
    }
}

/// Frees what ended attempts of this node hold, for ever.
pub(crate) async fn free(shared: Arc<Shared>) {
    loop {
        let _ = tokio::time::timeout(FREE_EVERY, shared.freeing.notified()).await;
        let now = shared.now();
        let due = shared.tables.ledger.lock().take_due(now);
        for (endpoint, attempt) in due {
            tokio::spawn(free_one(Arc::clone(&shared), endpoint, attempt));
        }
    }
}

async fn free_one(shared: Arc<Shared>, endpoint: Endpoint, attempt: Attempt) {
    let Some(Client::Engine(engine)) = shared.client(&endpoint) else {
        // The endpoint is not listed any more: it is gone with all it held.
        shared.tables.ledger.lock().remove_endpoint(&endpoint);
        return;
    };
    match engine.free(attempt).await {
        Ok(()) => {
            let now = shared.now();
            shared
                .tables
                .ledger
                .lock()
                .confirm_freed(now, &endpoint, attempt);
        }
        Err(error) => {
            metrics::counter!("filbertstage_free_retries_total").increment(1);
            log::debug!("event=free_failed endpoint={endpoint} attempt={attempt} error={error}");
            engine.close_idle();
        }
    }
}

/// Frees what dead nodes left at engines, for ever.
pub(crate) async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        for (entry, engine) in watched(&shared) {
            let name = Endpoint::from(entry.name.as_str());
            if is_sweeper(&shared, &name) {
                sweep_engine(&shared, &name, engine.as_ref()).await;
            }
        }
    }
}

fn is_sweeper(shared: &Shared, name: &Endpoint) -> bool {
    let now = shared.now();
    let members = shared.tables.members.lock();
    members.owner(now, &format!("sweep/{name}")).host == shared.host
}

async fn sweep_engine(shared: &Shared, name: &Endpoint, engine: &dyn Engine) {
    let Ok(holdings) = engine.holdings().await else {
        return;
    };
    let now = shared.now();
    let abandoned = {
        let mut members = shared.tables.members.lock();
        ledger::sweep(&holdings, |holder| members.liveness(now, holder))
    };
    for attempt in abandoned {
        log::info!("event=swept endpoint={name} attempt={attempt}");
        // What cannot be freed now is listed again at the next sweep.
        let _ = engine.free(attempt).await;
    }
}
