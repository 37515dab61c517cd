//! Exchanges placements with the other hosts over UDP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock::Instant;
use kernel::name::Host;
use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use wire::datagram;
use wire::placement::{Item, Placements, Scope};

use crate::clock::Clock;
use crate::follow::PeerVersion;
use crate::placer::Placer;
use crate::registry::Registry;

/// Time over which updates are collected into one datagram.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Time between two snapshots, which repair the effects of lost datagrams.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which the placements of a host are dropped. By then, three snapshots in a row are
/// missing.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Silence after which nothing is sent to a host until it sends a datagram or is announced with
/// another address.
const PEER_EXPIRY: Duration = Duration::from_secs(30);
/// Maximum number of items of one datagram, so that it fits into one packet.
const MAX_ITEMS: usize = 50;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1_024;
/// Key of the tag on each datagram. It is not secret, because the platform gives hosts no shared
/// secret. The tag detects datagrams that were damaged, but not forged ones.
const TAG_KEY: &[u8] = b"filbertstage";

struct Peer {
    address: SocketAddr,
    holder: Option<u64>,
    last_seen: Instant,
}

/// The other hosts and when each of them last sent a datagram.
pub struct Hosts {
    own: Host,
    holder: u64,
    address: SocketAddr,
    clock: Clock,
    registry: Arc<Registry>,
    placer: Arc<Placer>,
    peers: Mutex<HashMap<Host, Peer>>,
    peer_version: Arc<PeerVersion>,
}

impl Hosts {
    /// Creates an instance that knows no other hosts yet. Their configuration versions are recorded
    /// in `peer_version`.
    #[must_use]
    pub fn new(
        own: Host,
        holder: u64,
        address: SocketAddr,
        clock: Clock,
        registry: Arc<Registry>,
        placer: Arc<Placer>,
        peer_version: Arc<PeerVersion>,
    ) -> Self {
        Self {
            own,
            holder,
            address,
            clock,
            registry,
            placer,
            peers: Mutex::default(),
            peer_version,
        }
    }

    /// Returns the name of this host.
    #[must_use]
    pub const fn own(&self) -> &Host {
        &self.own
    }

    /// Returns the address at which other hosts reach this one.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds an announced host, or replaces a known one whose address has changed.
    pub fn handle_announcement(&self, host: &Host, address: SocketAddr) {
        if *host == self.own {
            return;
        }
        let now = self.clock.now();
        let mut peers = self.peers.lock();
        let known = peers.get(host).is_some_and(|peer| peer.address == address);
        if !known {
            log::info!("event=host_announced host={host} address={address}");
            let peer = Peer {
                address,
                holder: None,
                last_seen: now,
            };
            peers.insert(host.clone(), peer);
        }
    }

    fn build_frame(&self, snapshot: u32, scope: Scope, items: Vec<Item>) -> Placements {
        Placements {
            host: self.own.as_str().to_owned(),
            holder: self.holder,
            version: self.registry.version(),
            scope,
            snapshot,
            items,
        }
    }

    /// Sends updates as they occur, and periodic snapshots. Never returns.
    pub async fn send(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut next_snapshot = self.clock.now();
        let mut snapshot = 0;
        loop {
            let wait = next_snapshot.since(self.clock.now());
            let due = tokio::select! {
                () = self.placer.updated.notified() => false,
                () = sleep(wait) => true,
            };
            if due {
                snapshot += 1;
                next_snapshot = self.clock.now() + SNAPSHOT_INTERVAL;
                self.drop_silent_peers();
                self.placer.drop_expired();
                self.placer.take_updates();
                let placements = self.placer.placements();
                let frames =
                    u32::try_from(placements.chunks(MAX_ITEMS).len().max(1)).unwrap_or(u32::MAX);
                self.send_items(&socket, snapshot, Scope::Snapshot { frames }, placements)
                    .await;
            } else {
                sleep(BATCH_WINDOW).await;
                let updates = self.placer.take_updates();
                self.send_items(&socket, snapshot, Scope::Updates, updates)
                    .await;
            }
        }
    }

    /// Sends items to all active hosts in as many datagrams as needed. `snapshot` is the number of
    /// the last snapshot.
    async fn send_items(&self, socket: &UdpSocket, snapshot: u32, scope: Scope, items: Vec<Item>) {
        let now = self.clock.now();
        let addresses: Vec<_> = {
            let peers = self.peers.lock();
            let active = peers
                .values()
                .filter(|peer| now.since(peer.last_seen) < PEER_EXPIRY);
            active.map(|peer| peer.address).collect()
        };
        if addresses.is_empty() {
            return;
        }
        let mut chunks: Vec<&[Item]> = items.chunks(MAX_ITEMS).collect();
        if chunks.is_empty() && scope != Scope::Updates {
            chunks.push(&[]);
        }
        for chunk in chunks {
            let frame = self.build_frame(snapshot, scope, chunk.to_vec());
            let Ok(bytes) = datagram::encode(TAG_KEY, &frame) else {
                log::error!("event=frame_too_large items={}", frame.items.len());
                continue;
            };
            for address in &addresses {
                if let Err(error) = socket.send_to(&bytes, address).await {
                    log::debug!("event=not_told address={address} error={error}");
                }
            }
        }
    }

    /// Drops the placements of hosts that have been silent for longer than [`PEER_TIMEOUT`].
    fn drop_silent_peers(&self) {
        let now = self.clock.now();
        let mut gone = Vec::new();
        for (host, peer) in self.peers.lock().iter_mut() {
            if now.since(peer.last_seen) > PEER_TIMEOUT
                && let Some(holder) = peer.holder.take()
            {
                log::warn!("event=host_lost host={host}");
                gone.push(holder);
            }
        }
        for holder in gone {
            self.placer.drop_holder(holder);
        }
    }

    /// Receives the datagrams of the other hosts. Never returns.
    pub async fn receive(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("event=not_heard error={error}");
                    sleep(BATCH_WINDOW).await;
                    continue;
                }
            };
            match datagram::decode::<Placements>(TAG_KEY, &buffer[..length]) {
                Ok(frame) => self.handle_frame(&frame, from),
                Err(error) => log::warn!("event=datagram_rejected from={from} error=\"{error}\""),
            }
        }
    }

    fn handle_frame(&self, frame: &Placements, from: SocketAddr) {
        if frame.holder == self.holder {
            return;
        }
        let now = self.clock.now();
        let host = Host::from(frame.host.as_str());
        let previous = {
            let mut peers = self.peers.lock();
            let peer = Peer {
                address: from,
                holder: Some(frame.holder),
                last_seen: now,
            };
            peers
                .insert(host.clone(), peer)
                .and_then(|peer| peer.holder)
        };
        if previous != Some(frame.holder) {
            log::info!("event=host_heard host={host} address={from}");
            if let Some(previous) = previous {
                self.placer.drop_holder(previous);
            }
        }
        self.peer_version.raise(frame.version);
        self.placer.apply_frame(frame);
    }
}
