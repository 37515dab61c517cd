//! Heartbeats over UDP, some of which carry summaries of pools.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kernel::membership::{self, INTERVAL};
use kernel::prelude::*;
use kernel::share::Share;
use tokio::net::UdpSocket;
use wire::{Heartbeat, Pool, datagram};

use crate::dispatch::pool_key;
use crate::peer;
use crate::shared::Shared;

/// One in this many heartbeats carries summaries of pools.
const SUMMARIES_PERIOD: u64 = 2;
/// Maximum number of summaries in one heartbeat.
const MAX_SUMMARIES: usize = 32;
/// Time between two reads of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);

/// Sends a heartbeat to the current targets every [`INTERVAL`]. Never returns.
pub(crate) async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (datagram, targets) = next_heartbeat(&shared);
        for target in targets {
            // The next heartbeat replaces a lost one.
            let _ = shared
                .dependencies
                .network
                .send(&socket, &datagram, target)
                .await;
        }
    }
}

fn next_heartbeat(shared: &Shared) -> (Vec<u8>, Vec<SocketAddr>) {
    let now = shared.now();
    let (update, members) =
        shared.with_random(|random| shared.tables.members.lock().next_update(now, random));
    refresh_share(shared, now);
    let counter = update.entries.first().map_or(0, |own| own.counter);
    let pools = update_summaries(shared, now, counter);
    let pools = if counter.is_multiple_of(SUMMARIES_PERIOD) {
        pools
    } else {
        Vec::new()
    };
    let key = shared.settings.fleet_key.as_bytes();
    let datagram = datagram::encode(key, &Heartbeat { update, pools }).unwrap_or_else(|error| {
        log::warn!("event=heartbeat_not_sent error={error}");
        Vec::new()
    });
    let mut targets: Vec<_> = members.iter().filter_map(peer::address).collect();
    if targets.is_empty() {
        targets.clone_from(&shared.settings.contacts);
    }
    (datagram, targets)
}

/// Recomputes the node's share of every plan limit.
fn refresh_share(shared: &Shared, now: Instant) {
    let share = {
        let members = shared.tables.members.lock();
        let mut hosts: Vec<_> = members
            .known(now)
            .into_iter()
            .map(|(entry, _)| entry.host.clone())
            .collect();
        hosts.sort();
        let index = hosts
            .iter()
            .position(|host| *host == shared.host)
            .unwrap_or(0);
        Share {
            index: u32::try_from(index).unwrap_or(0),
            nodes: u32::try_from(hosts.len()).unwrap_or(1),
        }
    };
    shared.tables.limiter.lock().set_share(share);
}

/// Updates the summaries of the pools that this node owns, drops those of dead nodes, and returns
/// the summaries to send.
fn update_summaries(shared: &Shared, now: Instant, counter: u64) -> Vec<Pool> {
    let lists = shared.tables.lists();
    let (live, owned_models) = {
        let members = shared.tables.members.lock();
        let is_owned = |model: &Model| members.owner(now, &pool_key(model)).host == shared.host;
        let models = lists
            .usage()
            .models
            .iter()
            .map(|entry| Model::from(entry.name.as_str()));
        let owned_models: Vec<_> = models.filter(is_owned).collect();
        (hosts_of(&members.live(now)), owned_models)
    };
    let mut summaries = shared.tables.pool_summaries.lock();
    let pools = shared.tables.pools.lock();
    for (model, local) in pools
        .iter()
        .filter(|(model, _)| owned_models.contains(model))
    {
        let summary = local.pool.summary(now);
        let entry = Pool {
            domain: shared.domain.clone(),
            model: model.clone(),
            host: shared.host.clone(),
            counter,
            summary,
        };
        summaries.insert((shared.domain.clone(), model.clone()), entry);
    }
    summaries.retain(|_, entry| live.contains(&entry.host));
    summaries.values().take(MAX_SUMMARIES).cloned().collect()
}

fn hosts_of(entries: &[&membership::Entry]) -> Vec<Host> {
    entries.iter().map(|entry| entry.host.clone()).collect()
}

/// Receives heartbeats. Never returns.
pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; datagram::MAX_BYTES + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match datagram::decode(shared.settings.fleet_key.as_bytes(), &buffer[..length]) {
            Ok(heartbeat) => handle_heartbeat(&shared, heartbeat),
            Err(error) => {
                metrics::counter!("filbertstage_datagrams_refused_total").increment(1);
                log::debug!("event=datagram_refused from={from} error={error}");
            }
        }
    }
}

fn handle_heartbeat(shared: &Shared, heartbeat: Heartbeat) {
    let now = shared.now();
    let up = shared.tables.members.lock().apply(now, &heartbeat.update);
    for host in up {
        log::info!("event=node_up host={host}");
    }
    let mut summaries = shared.tables.pool_summaries.lock();
    for entry in heartbeat.pools {
        if entry.host == shared.host {
            continue;
        }
        let key = (entry.domain.clone(), entry.model.clone());
        let stale = summaries
            .get(&key)
            .is_some_and(|known| known.host == entry.host && known.counter >= entry.counter);
        if !stale {
            summaries.insert(key, entry);
        }
    }
}

/// Sends heartbeats to listed hosts that are not live members yet. Never returns.
pub(crate) async fn contact_hosts(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        if let Ok(listed) = shared.dependencies.hosts.list().await {
            let only_host = listed.iter().all(|entry| entry.host == shared.host);
            shared.tables.only_host.store(only_host, Ordering::SeqCst);
            let now = shared.now();
            let live = hosts_of(&shared.tables.members.lock().live(now));
            let (datagram, _) = next_heartbeat(&shared);
            let missing = listed.iter().filter(|entry| !live.contains(&entry.host));
            for address in missing.filter_map(|entry| entry.address.parse::<SocketAddr>().ok()) {
                let _ = shared
                    .dependencies
                    .network
                    .send(&socket, &datagram, address)
                    .await;
            }
        }
        tokio::time::sleep(HOSTS_INTERVAL).await;
    }
}
