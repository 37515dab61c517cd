//! Polls the engines of the node's failure domain and frees the memory that attempts left there.

use std::sync::Arc;
use std::time::Duration;

use endpoint::{CacheEvent, Client, Engine};
use kernel::ledger;
use kernel::lists::EndpointEntry;
use kernel::prelude::*;
use kernel::request::Attempt;
use kernel::schedule::Report;

use crate::dispatch::{local_pool, pool_key};
use crate::shared::Shared;

/// Number of consecutive failed polls after which an engine counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;
/// Maximum number of live nodes in a failure domain at which each node watches all engines.
const MAX_FULL_WATCH_NODES: usize = 4;
/// Interval between two sweeps for memory that engines hold for dead nodes.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two checks for memory that is due to be freed.
const FREE_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the engines of the usage list that this node watches.
fn watched_engines(shared: &Shared) -> Vec<(EndpointEntry, Arc<dyn Engine>)> {
    let lists = shared.tables.lists();
    let now = shared.now();
    let members = shared.tables.members.lock();
    let watch_all = members.live_in(now, &shared.domain).len() <= MAX_FULL_WATCH_NODES;
    let is_watched = |entry: &&EndpointEntry| {
        let model = entry.model.as_deref().unwrap_or_default();
        watch_all || members.owner(now, &pool_key(&Model::from(model))).host == shared.host
    };
    let entries = lists.endpoints(&shared.domain).filter(is_watched);
    entries
        .filter_map(|entry| match shared.clients.get(entry) {
            Some(Client::Engine(engine)) => Some((entry.clone(), engine)),
            _ => None,
        })
        .collect()
}

/// Polls the watched engines at the interval `times.watch_ms`. Never returns.
pub(crate) async fn poll_engines(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.times.watch_ms);
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let watched = watched_engines(&shared);
        remove_unwatched(&shared, &watched);
        let polls = watched
            .into_iter()
            .map(|(entry, engine)| poll_engine(&shared, entry, engine));
        futures_util::future::join_all(polls).await;
        shared.grant_notify.notify_one();
    }
}

/// Removes the engines that this node no longer watches. For engines that are no longer listed, the
/// ledger's entries are removed too.
fn remove_unwatched(shared: &Shared, watched: &[(EndpointEntry, Arc<dyn Engine>)]) {
    let has_name = |entry: &EndpointEntry, name: &Endpoint| entry.name.as_str() == name.as_str();
    let unwatched: Vec<_> = {
        let engine_status = shared.tables.engine_status.lock();
        let reported = engine_status.reports.keys();
        let unwatched =
            reported.filter(|name| !watched.iter().any(|(entry, _)| has_name(entry, name)));
        unwatched.cloned().collect()
    };
    let lists = shared.tables.lists();
    for name in unwatched {
        remove_engine(shared, &name);
        if !lists
            .endpoints(&shared.domain)
            .any(|entry| has_name(entry, &name))
        {
            shared.tables.ledger.lock().remove_endpoint(&name);
        }
    }
}

async fn poll_engine(shared: &Shared, entry: EndpointEntry, engine: Arc<dyn Engine>) {
    let name = Endpoint::from(entry.name.as_str());
    match engine.report().await {
        Ok(report) => {
            record_report(shared, &name, report);
            let after = shared
                .tables
                .engine_status
                .lock()
                .cache_sequences
                .get(&name)
                .copied()
                .unwrap_or(0);
            if let Ok(events) = engine.cache_events(after).await {
                apply_cache_events(shared, &name, after, &events);
            }
        }
        Err(error) => {
            engine.close_idle();
            record_failure(shared, &name, &error.to_string());
        }
    }
}

fn record_report(shared: &Shared, name: &Endpoint, mut report: Report) {
    report.endpoint = name.clone();
    let now = shared.now();
    let model = report.model.clone();
    let is_new = {
        let mut engine_status = shared.tables.engine_status.lock();
        engine_status.failures.remove(name);
        engine_status
            .reports
            .insert(name.clone(), report.clone())
            .is_none()
    };
    if is_new {
        log::info!("event=engine_up endpoint={name}");
    }
    let mut pools = shared.tables.pools.lock();
    for (pool_model, local) in pools.iter_mut() {
        if Some(pool_model) != model.as_ref() {
            local.pool.remove(name);
        }
    }
    if let Some(model) = model {
        local_pool(shared, &mut pools, &model)
            .pool
            .report(now, report);
    }
}

fn record_failure(shared: &Shared, name: &Endpoint, reason: &str) {
    let down = {
        let mut engine_status = shared.tables.engine_status.lock();
        let failures = engine_status.failures.entry(name.clone()).or_default();
        *failures += 1;
        *failures == DOWN_AFTER_FAILURES
    };
    if down {
        log::warn!("event=engine_down endpoint={name} reason={reason:?}");
        remove_engine(shared, name);
    }
}

fn remove_engine(shared: &Shared, name: &Endpoint) {
    let mut engine_status = shared.tables.engine_status.lock();
    engine_status.reports.remove(name);
    engine_status.cache_sequences.remove(name);
    drop(engine_status);
    for local in shared.tables.pools.lock().values_mut() {
        local.pool.remove(name);
    }
}

/// Applies cache events as prefix hints; a gap in their sequence clears all earlier hints.
fn apply_cache_events(shared: &Shared, name: &Endpoint, after: u64, events: &[CacheEvent]) {
    let Some(last) = events.last() else {
        return;
    };
    let gap = events
        .first()
        .is_some_and(|event| event.sequence != after + 1);
    shared
        .tables
        .engine_status
        .lock()
        .cache_sequences
        .insert(name.clone(), last.sequence);
    let now = shared.now();
    let mut pools = shared.tables.pools.lock();
    let engines = pools
        .values_mut()
        .filter_map(|local| local.pool.engine_mut(name));
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

/// Frees the memory of this node's ended attempts. Never returns.
pub(crate) async fn free_ended(shared: Arc<Shared>) {
    loop {
        let _ = tokio::time::timeout(FREE_INTERVAL, shared.free_notify.notified()).await;
        let now = shared.now();
        let due = shared.tables.ledger.lock().take_due(now);
        for (endpoint, attempt) in due {
            tokio::spawn(free_attempt(Arc::clone(&shared), endpoint, attempt));
        }
    }
}

async fn free_attempt(shared: Arc<Shared>, endpoint: Endpoint, attempt: Attempt) {
    let Some(Client::Engine(engine)) = shared.client(&endpoint) else {
        // The endpoint is no longer listed, so it is gone and its memory with it.
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

/// Frees the memory that engines hold for dead nodes. Never returns.
pub(crate) async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        for (entry, engine) in watched_engines(&shared) {
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
        // If this fails, the next sweep lists the attempt again.
        let _ = engine.free(attempt).await;
    }
}
