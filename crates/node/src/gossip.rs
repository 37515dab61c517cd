//! Heartbeats over UDP, and the digests of pools that travel with them.

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

/// Every so many heartbeats, one carries the digests of pools.
const POOLS_EVERY: u64 = 2;
/// Digests carried by one heartbeat.
const POOLS: usize = 32;
/// Time between two reads of the host list.
const HOSTS_EVERY: Duration = Duration::from_secs(1);

/// Sends heartbeats for ever.
pub(crate) async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (datagram, targets) = beat(&shared);
        for target in targets {
            // A heartbeat that is lost is replaced by the next one.
            let _ = shared
                .outside
                .network
                .send(&socket, &datagram, target)
                .await;
        }
    }
}

fn beat(shared: &Shared) -> (Vec<u8>, Vec<SocketAddr>) {
    let now = shared.now();
    let (update, members) =
        shared.with_random(|random| shared.tables.members.lock().next_update(now, random));
    refresh_part(shared, now);
    let counter = update.entries.first().map_or(0, |own| own.counter);
    let pools = digests(shared, now, counter);
    let pools = if counter.is_multiple_of(POOLS_EVERY) {
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

/// Recomputes which part of every plan limit the node owns.
fn refresh_part(shared: &Shared, now: Instant) {
    let part = {
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
    shared.tables.meter.lock().set_share(part);
}

/// Updates the digests of the own pools and returns those to send.
fn digests(shared: &Shared, now: Instant, counter: u64) -> Vec<Pool> {
    let lists = shared.tables.lists();
    let (live, owned) = {
        let members = shared.tables.members.lock();
        let owned = |model: &Model| members.owner(now, &pool_key(model)).host == shared.host;
        let models = lists
            .usage()
            .models
            .iter()
            .map(|entry| Model::from(entry.name.as_str()));
        let owned: Vec<_> = models.filter(owned).collect();
        (hosts_of(&members.live(now)), owned)
    };
    let mut digests = shared.tables.digests.lock();
    let pools = shared.tables.pools.lock();
    for (model, slot) in pools.iter().filter(|(model, _)| owned.contains(model)) {
        let summary = slot.pool.summary(now);
        let entry = Pool {
            domain: shared.domain.clone(),
            model: model.clone(),
            host: shared.host.clone(),
            counter,
            summary,
        };
        digests.insert((shared.domain.clone(), model.clone()), entry);
    }
    digests.retain(|_, entry| live.contains(&entry.host));
    digests.values().take(POOLS).cloned().collect()
}

fn hosts_of(entries: &[&membership::Entry]) -> Vec<Host> {
    entries.iter().map(|entry| entry.host.clone()).collect()
}

/// Receives heartbeats for ever.
pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; datagram::MAX_BYTES + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match datagram::decode(shared.settings.fleet_key.as_bytes(), &buffer[..length]) {
            Ok(heartbeat) => hear(&shared, heartbeat),
            Err(error) => {
                metrics::counter!("filbertstage_datagrams_refused_total").increment(1);
                log::debug!("event=datagram_refused from={from} error={error}");
            }
        }
    }
}

fn hear(shared: &Shared, heartbeat: Heartbeat) {
    let now = shared.now();
    let news = shared.tables.members.lock().apply(now, &heartbeat.update);
    for host in news {
        log::info!("event=node_up host={host}");
    }
    let mut digests = shared.tables.digests.lock();
    for entry in heartbeat.pools {
        if entry.host == shared.host {
            continue;
        }
        let key = (entry.domain.clone(), entry.model.clone());
        let older = digests
            .get(&key)
            .is_some_and(|known| known.host == entry.host && known.counter >= entry.counter);
        if !older {
            digests.insert(key, entry);
        }
    }
}

/// Greets the hosts of the platform's list that are not known yet, for ever.
pub(crate) async fn hosts(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        if let Ok(listed) = shared.outside.hosts.list().await {
            let alone = listed.iter().all(|entry| entry.host == shared.host);
            shared.tables.alone.store(alone, Ordering::SeqCst);
            let now = shared.now();
            let live = hosts_of(&shared.tables.members.lock().live(now));
            let (datagram, _) = beat(&shared);
            let missing = listed.iter().filter(|entry| !live.contains(&entry.host));
            for address in missing.filter_map(|entry| entry.address.parse::<SocketAddr>().ok()) {
                let _ = shared
                    .outside
                    .network
                    .send(&socket, &datagram, address)
                    .await;
            }
        }
        tokio::time::sleep(HOSTS_EVERY).await;
    }
}
