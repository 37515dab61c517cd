//! Exchanges placements with the other hosts over UDP.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use kernel::catalogue::Identity;
use kernel::contact::{Contacts, Heard};
use kernel::detour::Candidate;
use kernel::fleet::Fleet;
use kernel::name::Host;
use kernel::turn;
use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;
use wire::datagram;
use wire::extension::{self, Extension};
use wire::placement::{Item, Placements, Read, Scope};

use crate::adapter::{Location, Topic};
use crate::clock::Clock;
use crate::exchange::{Exchange, Sender};
use crate::follow::PeerVersion;
use crate::notice::Notices;
use crate::placer::Placer;
use crate::quarantine::Quarantine;
use crate::registry::Registry;
use crate::report::Inboxes;

/// Time over which updates are collected into one datagram.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Time between two snapshots, which repair the effects of lost datagrams.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of items of one datagram, so that it fits into one packet.
const MAX_ITEMS: usize = 50;
/// Maximum number of items of one datagram with evidence, whose items are larger.
const MAX_SYNC_ITEMS: usize = 16;
/// Maximum number of requests for the state of a host that has just been heard again.
const MAX_SYNC_REQUESTS: u8 = 6;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1_024;
/// Key of the tag on each datagram. It is not secret, because the platform gives hosts no shared
/// secret. The tag detects datagrams that were damaged, but not forged ones.
const TAG_KEY: &[u8] = b"filbertstage";

/// The tables that the other hosts' reports change, beside placements.
pub struct Tables {
    /// What endpoints announce about themselves.
    pub notices: Arc<Notices>,
    /// The hosts that share a limit.
    pub fleet: Arc<Mutex<Fleet>>,
    /// The newest configuration that another host uses.
    pub peer_version: Arc<PeerVersion>,
    /// Requests that crash endpoints.
    pub quarantine: Arc<Quarantine>,
    /// The parts that exchange extensions.
    pub exchanges: Vec<Arc<dyn Exchange>>,
}

/// The other hosts and when each of them last sent a datagram.
pub struct Hosts {
    own: Host,
    holder: u64,
    location: Location,
    socket: Arc<UdpSocket>,
    snapshot: AtomicU32,
    clock: Clock,
    registry: Arc<Registry>,
    placer: Arc<Placer>,
    tables: Tables,
    contacts: Mutex<Contacts>,
    /// Hosts whose state is missing, with the number of requests for it that are left.
    unsynced: Mutex<BTreeMap<Host, u8>>,
    inboxes: Arc<Inboxes>,
    /// Extensions that have not been sent yet.
    published: Mutex<Vec<Extension>>,
    /// Wakes the task that sends them.
    publication: Notify,
}

impl Hosts {
    /// Creates an instance that knows no other hosts yet. Other hosts reach `socket` at `location`.
    #[must_use]
    pub fn new(
        own: Host,
        holder: u64,
        location: Location,
        socket: Arc<UdpSocket>,
        tables: Tables,
    ) -> Self {
        Self {
            own,
            holder,
            location,
            socket,
            snapshot: AtomicU32::new(0),
            clock: tables.notices.clock,
            registry: Arc::clone(&tables.notices.registry),
            placer: Arc::clone(&tables.notices.placer),
            tables,
            contacts: Mutex::default(),
            unsynced: Mutex::default(),
            inboxes: Arc::default(),
            published: Mutex::default(),
            publication: Notify::new(),
        }
    }

    /// Returns the name of this host.
    #[must_use]
    pub const fn own(&self) -> &Host {
        &self.own
    }

    /// Returns where this host runs.
    #[must_use]
    pub const fn location(&self) -> &Location {
        &self.location
    }

    /// Returns the reads of the store that other hosts report.
    #[must_use]
    pub const fn inboxes(&self) -> &Arc<Inboxes> {
        &self.inboxes
    }

    /// Returns the rank of this host among those of its failure domain that read a topic in turn.
    #[must_use]
    pub fn rank(&self, topic: Topic) -> usize {
        let contacts = self.contacts.lock();
        let live = contacts.live_in(&self.location.domain, self.clock.now());
        turn::rank(topic.as_str(), &self.own, live.map(|(host, _)| host))
    }

    /// Returns the number of hosts of the failure domain that are heard, this one included.
    #[must_use]
    pub fn domain_size(&self) -> usize {
        let contacts = self.contacts.lock();
        let live = contacts.live_in(&self.location.domain, self.clock.now());
        live.count() + 1
    }

    /// Returns the hosts that are heard and may serve requests of this one.
    pub fn candidates(&self) -> impl Iterator<Item = Candidate> {
        let contacts = self.contacts.lock();
        let live = contacts.live(self.clock.now());
        let candidates = live.map(|(host, holder, domain)| Candidate {
            host: host.clone(),
            holder,
            is_near: domain == Some(&self.location.domain),
        });
        candidates.collect::<Vec<_>>().into_iter()
    }

    /// Whether a connection from `address` is one of a known host.
    #[must_use]
    pub fn has_address(&self, address: IpAddr) -> bool {
        self.contacts.lock().has_address(address)
    }

    /// Returns the address of a host, for datagrams and for connections.
    #[must_use]
    pub fn address(&self, host: &Host) -> Option<SocketAddr> {
        self.contacts.lock().address(host)
    }

    /// Reports a read of the store to the other hosts of the failure domain.
    pub async fn report(&self, read: Read) {
        let addresses: Vec<_> = {
            let contacts = self.contacts.lock();
            let live = contacts.live_in(&self.location.domain, self.clock.now());
            live.map(|(_, address)| address).collect()
        };
        let snapshot = self.snapshot.load(Ordering::Relaxed);
        let frame = self.build_frame(snapshot, Scope::Updates, vec![Item::StoreRead(read)]);
        self.send_frame(&frame, &addresses).await;
    }

    /// Adds an announced host, or replaces a known one whose address has changed.
    pub fn handle_announcement(&self, host: &Host, location: &Location) {
        if *host == self.own {
            return;
        }
        let now = self.clock.now();
        let Location { address, domain } = location;
        if !self.contacts.lock().announce(host, *address, domain, now) {
            return;
        }
        log::info!("event=host_announced host={host} address={address} domain={domain}");
        if !self.tables.quarantine.is_synced() {
            // Requests wait for this, so it does not wait for the next snapshot.
            self.send_state(*address, Item::SyncRequest);
        }
    }

    /// Sends extensions to the other hosts at once.
    pub fn publish(&self, extensions: impl IntoIterator<Item = Extension>) {
        let mut published = self.published.lock();
        published.extend(extensions);
        if !published.is_empty() {
            self.publication.notify_one();
        }
    }

    /// Returns what the parts repeat with each snapshot.
    fn repeated_extensions(&self) -> Vec<Extension> {
        let exchanges = self.tables.exchanges.iter();
        exchanges.flat_map(|exchange| exchange.repeated()).collect()
    }

    /// Encodes a frame without items that carries extensions.
    fn encode_extensions(&self, extensions: &[Extension]) -> Option<Vec<u8>> {
        let snapshot = self.snapshot.load(Ordering::Relaxed);
        let frame = self.build_frame(snapshot, Scope::Updates, Vec::new());
        let encoded = datagram::encode_with(TAG_KEY, &frame, &extension::encode(extensions));
        if encoded.is_err() {
            log::error!("event=frame_too_large extensions={}", extensions.len());
        }
        encoded.ok()
    }

    /// Sends each extension in a datagram of its own, so that each fits into one packet.
    async fn send_extensions(&self, extensions: &[Extension]) {
        let addresses: Vec<_> = {
            let contacts = self.contacts.lock();
            contacts.update_targets(self.clock.now()).collect()
        };
        for extension in extensions.chunks(1) {
            if let Some(bytes) = self.encode_extensions(extension) {
                self.send_bytes(&bytes, &addresses).await;
            }
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
    pub async fn send(self: Arc<Self>) {
        let mut next_snapshot = self.clock.now();
        loop {
            let wait = next_snapshot.since(self.clock.now());
            let due = tokio::select! {
                () = self.placer.updated.notified() => false,
                () = self.tables.quarantine.updated.notified() => false,
                () = self.publication.notified() => false,
                () = sleep(wait) => true,
            };
            if due {
                let snapshot = self.snapshot.fetch_add(1, Ordering::Relaxed) + 1;
                next_snapshot = self.clock.now() + SNAPSHOT_INTERVAL;
                self.drop_silent_peers();
                self.placer.drop_expired();
                self.placer.take_updates();
                let placements = self.placer.placements();
                let frames =
                    u32::try_from(placements.chunks(MAX_ITEMS).len().max(1)).unwrap_or(u32::MAX);
                self.send_items(snapshot, Scope::Snapshot { frames }, placements)
                    .await;
                let mut repeated = self.tables.quarantine.repeated();
                repeated.extend(self.tables.notices.repeated_limits());
                self.send_items(snapshot, Scope::Updates, repeated).await;
                self.send_extensions(&self.repeated_extensions()).await;
                self.request_state();
            } else {
                sleep(BATCH_WINDOW).await;
                let mut updates = self.placer.take_updates();
                updates.extend(self.tables.quarantine.take_updates());
                let snapshot = self.snapshot.load(Ordering::Relaxed);
                self.send_items(snapshot, Scope::Updates, updates).await;
                let mut published = std::mem::take(&mut *self.published.lock());
                let failures = self.placer.take_failures();
                if !failures.is_empty() {
                    let failures = failures.into_iter().map(|identity| identity.0);
                    published.push(Extension::Failures(failures.collect()));
                }
                self.send_extensions(&published).await;
            }
        }
    }

    /// Sends items to the other hosts in as many datagrams as needed. `snapshot` is the number of
    /// the last snapshot.
    async fn send_items(&self, snapshot: u32, scope: Scope, items: Vec<Item>) {
        let now = self.clock.now();
        let addresses = {
            let contacts = self.contacts.lock();
            match scope {
                Scope::Updates => contacts.update_targets(now).collect(),
                Scope::Snapshot { .. } => contacts.snapshot_targets(snapshot, now),
            }
        };
        if addresses.is_empty() {
            return;
        }
        let has_evidence = items.iter().any(|item| matches!(item, Item::Evidence(_)));
        let most = if has_evidence {
            MAX_SYNC_ITEMS
        } else {
            MAX_ITEMS
        };
        let mut chunks: Vec<&[Item]> = items.chunks(most).collect();
        if chunks.is_empty() && scope != Scope::Updates {
            chunks.push(&[]);
        }
        for chunk in chunks {
            let frame = self.build_frame(snapshot, scope, chunk.to_vec());
            self.send_frame(&frame, &addresses).await;
        }
    }

    /// Asks hosts that were not heard for a while for what they know, and sends them what this host
    /// knows.
    fn request_state(&self) {
        let targets: Vec<_> = {
            let contacts = self.contacts.lock();
            let mut unsynced = self.unsynced.lock();
            unsynced.retain(|_, requests| *requests > 0);
            let targets = unsynced.iter_mut().filter_map(|(host, requests)| {
                *requests -= 1;
                contacts.address(host)
            });
            targets.collect()
        };
        for address in targets {
            self.send_state(address, Item::SyncRequest);
        }
    }

    /// Sends all evidence and limits that this host knows, and `last` after them. What the socket
    /// does not take at once is lost and requested again.
    fn send_state(&self, address: SocketAddr, last: Item) {
        let mut items = self.tables.quarantine.all();
        items.extend(self.tables.notices.limits());
        items.push(last);
        let snapshot = self.snapshot.load(Ordering::Relaxed);
        for chunk in items.chunks(MAX_SYNC_ITEMS) {
            let frame = self.build_frame(snapshot, Scope::Updates, chunk.to_vec());
            if let Ok(bytes) = datagram::encode(TAG_KEY, &frame) {
                self.try_send(&bytes, address);
            }
        }
        for extension in self.repeated_extensions().chunks(1) {
            if let Some(bytes) = self.encode_extensions(extension) {
                self.try_send(&bytes, address);
            }
        }
    }

    /// Sends a datagram that is lost if the socket does not take it at once.
    fn try_send(&self, bytes: &[u8], address: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            log::debug!("event=not_told address={address} error=\"{error}\"");
        }
    }

    async fn send_frame(&self, frame: &Placements, addresses: &[SocketAddr]) {
        let Ok(bytes) = datagram::encode(TAG_KEY, frame) else {
            log::error!("event=frame_too_large items={}", frame.items.len());
            return;
        };
        self.send_bytes(&bytes, addresses).await;
    }

    async fn send_bytes(&self, bytes: &[u8], addresses: &[SocketAddr]) {
        for address in addresses {
            if let Err(error) = self.socket.send_to(bytes, address).await {
                log::debug!("event=not_told address={address} error={error}");
            }
        }
    }

    /// Drops the placements of hosts that have become silent.
    fn drop_silent_peers(&self) {
        let silent = self.contacts.lock().take_silent(self.clock.now());
        for (host, holder) in silent {
            log::warn!("event=host_lost host={host}");
            self.placer.drop_holder(holder);
        }
    }

    /// Receives the datagrams of the other hosts. Never returns.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("event=not_heard error={error}");
                    sleep(BATCH_WINDOW).await;
                    continue;
                }
            };
            match datagram::decode_with::<Placements>(TAG_KEY, &buffer[..length]) {
                Ok((frame, rest)) => self.handle_frame(&frame, &extension::decode(rest), from),
                Err(error) => log::warn!("event=datagram_rejected from={from} error=\"{error}\""),
            }
        }
    }

    fn is_near(&self, host: &Host) -> bool {
        let contacts = self.contacts.lock();
        contacts.domain(host) == Some(&self.location.domain)
    }

    fn handle_frame(&self, frame: &Placements, extensions: &[Extension], from: SocketAddr) {
        if frame.holder == self.holder {
            return;
        }
        let now = self.clock.now();
        let host = Host::from(frame.host.as_str());
        let contacts = &self.contacts;
        let heard = contacts.lock().hear(&host, frame.holder, from, now);
        if heard != Heard::Known {
            log::info!("event=host_heard host={host} address={from}");
        }
        if let Heard::Restarted(previous) = heard {
            self.placer.drop_holder(previous);
        }
        if heard != Heard::Known {
            let requests = MAX_SYNC_REQUESTS - 1;
            self.unsynced.lock().insert(host.clone(), requests);
            self.send_state(from, Item::SyncRequest);
        }
        self.tables.peer_version.raise(frame.version);
        self.tables
            .fleet
            .lock()
            .record_heard(&host, frame.holder, now);
        for item in &frame.items {
            match item {
                Item::Leaving(identity) => {
                    self.tables.notices.apply_forwarded(Identity(*identity));
                }
                Item::StoreRead(read) => self.inboxes.push(read.clone(), now),
                Item::Evidence(evidence) => self.tables.quarantine.apply(evidence),
                Item::SyncRequest => self.send_state(from, Item::SyncEnd),
                Item::SyncEnd => {
                    self.unsynced.lock().remove(&host);
                    self.tables.quarantine.record_synced();
                }
                Item::Limit(limit) => self.tables.notices.apply_forwarded_limit(limit),
                Item::Request(identity) => {
                    let notices = &self.tables.notices;
                    notices.apply_forwarded_request(Identity(*identity));
                }
                Item::Put(_) | Item::Prefilled(_) | Item::Done(_) => {}
            }
        }
        let sender = Sender {
            host: &host,
            holder: frame.holder,
            is_near: self.is_near(&host),
        };
        for extension in extensions {
            for exchange in &self.tables.exchanges {
                exchange.apply(sender, extension);
            }
        }
        self.placer.apply_frame(frame);
    }
}
