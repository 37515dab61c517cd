//! What all tasks of a node share.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use endpoint::Client;
use kernel::journal::Journal;
use kernel::prelude::*;
use kernel::request::{Id, Incarnation};
use parking_lot::Mutex;
use provider::{Hosts, HttpProvider, Log, Weights};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Notify;
use wire::stream::Socket;

use crate::peer::Peers;
use crate::settings::Settings;
use crate::tables::Tables;
use crate::trace::Tracing;

/// Tells the present time.
pub trait Clock: Send + Sync {
    /// The present time; never steps back.
    fn now(&self) -> Instant;
}

/// The system's monotonic clock, anchored once at the wall clock.
#[derive(Debug)]
pub struct SystemClock {
    anchor: Duration,
    started: std::time::Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        let anchor = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            anchor: anchor.unwrap_or_default(),
            started: std::time::Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let micros = (self.anchor + self.started.elapsed()).as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Reaches other nodes.
#[async_trait]
pub trait Network: Send + Sync {
    /// Connects to the node at `to`.
    async fn connect(&self, to: SocketAddr) -> io::Result<Box<dyn Socket>>;

    /// Sends a datagram; whether it arrives is not known.
    async fn send(&self, from: &UdpSocket, datagram: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// The system's network.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemNetwork;

#[async_trait]
impl Network for SystemNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<Box<dyn Socket>> {
        let socket = TcpStream::connect(to).await?;
        socket.set_nodelay(true)?;
        Ok(Box::new(socket))
    }

    async fn send(&self, from: &UdpSocket, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        from.send_to(datagram, to).await.map(drop)
    }
}

/// Everything outside a node, behind trait objects.
#[derive(Clone)]
pub struct Outside {
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's host list.
    pub hosts: Arc<dyn Hosts>,
    /// The platform's weight store.
    pub weights: Arc<dyn Weights>,
    /// The way to other nodes.
    pub network: Arc<dyn Network>,
    /// The present time.
    pub clock: Arc<dyn Clock>,
    /// Where random choices start; `None` takes a seed from the system.
    pub seed: Option<u64>,
}

impl Outside {
    /// The services at the addresses of `settings`, and the system's clock.
    #[must_use]
    pub fn remote(settings: &Settings) -> Self {
        let remote = Arc::new(HttpProvider::new(settings.platform.address));
        Self {
            log: remote.clone(),
            hosts: remote.clone(),
            weights: remote,
            network: Arc::new(SystemNetwork),
            clock: Arc::new(SystemClock::default()),
            seed: None,
        }
    }
}

/// Clients of endpoints by name, with the addresses that they were made for.
#[derive(Default)]
pub(crate) struct Clients {
    known: Mutex<BTreeMap<Endpoint, (SocketAddr, Client)>>,
}

impl Clients {
    /// The client for an endpoint of the usage list.
    pub fn get(&self, entry: &kernel::lists::EndpointEntry) -> Option<Client> {
        let address: SocketAddr = entry.address.parse().ok()?;
        let kind = endpoint::find(entry.kind.as_str())?;
        let mut known = self.known.lock();
        let name = Endpoint::from(entry.name.as_str());
        match known.get(&name) {
            Some((at, client)) if *at == address => Some(client.clone()),
            _ => {
                let client = (kind.connect)(address);
                known.insert(name, (address, client.clone()));
                Some(client)
            }
        }
    }
}

/// What all tasks of a node share.
pub(crate) struct Shared {
    pub settings: Settings,
    pub host: Host,
    pub domain: Domain,
    pub incarnation: Incarnation,
    pub outside: Outside,
    pub tables: Tables,
    pub clients: Clients,
    pub peers: Peers,
    pub tracing: Tracing,
    pub draining: AtomicBool,
    pub running: AtomicUsize,
    /// Wakes the task that frees endpoint memory.
    pub freeing: Notify,
    /// Wakes the task that grants engines.
    pub pumping: Notify,
    /// Wakes those that wait for records of the claims stream.
    pub claimed: Notify,
    sequence: AtomicU64,
    random: Mutex<SmallRng>,
}

impl Shared {
    pub fn new(settings: Settings, outside: Outside, nodes: SocketAddr) -> Self {
        let seeded = outside.seed.map(SmallRng::seed_from_u64);
        let mut random = seeded.unwrap_or_else(SmallRng::from_os_rng);
        let incarnation = Incarnation(random.next_u64());
        let host = Host::from(settings.host.as_str());
        let domain = Domain::from(settings.domain.as_str());
        let advertised = settings.listen.advertise.unwrap_or(nodes);
        let tables = Tables::new(&settings, incarnation, advertised);
        let peers = Peers::new(&settings.fleet_key, Arc::clone(&outside.network));
        let tracing = Tracing::new(&settings);
        Self {
            host,
            domain,
            incarnation,
            outside,
            tables,
            clients: Clients::default(),
            peers,
            tracing,
            draining: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            freeing: Notify::new(),
            pumping: Notify::new(),
            claimed: Notify::new(),
            sequence: AtomicU64::new(1),
            random: Mutex::new(random),
            settings,
        }
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        self.outside.clock.now()
    }

    /// A new request identifier.
    pub fn next_id(&self) -> Id {
        Id {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// The client of an endpoint of this failure domain, if the usage list names it.
    pub fn client(&self, name: &Endpoint) -> Option<Client> {
        let lists = self.tables.lists();
        let mut entries = lists.endpoints(&self.domain);
        let entry = entries.find(|entry| entry.name.as_str() == name.as_str())?;
        self.clients.get(entry)
    }

    /// Runs `decide` with the node's random generator.
    pub fn with_random<T>(&self, decide: impl FnOnce(&mut SmallRng) -> T) -> T {
        decide(&mut self.random.lock())
    }

    /// Records a decision on a request in the journal and, at debug level, in the log.
    pub fn note(&self, id: Id, event: &str, reason: String) {
        log::debug!("event={event} request={id} {reason}");
        let now = self.now();
        self.tables.journal.lock().record(now, id, event, reason);
    }

    /// Whether the node may be sent work.
    pub fn ready(&self) -> bool {
        !self.draining.load(Ordering::SeqCst) && self.tables.fold.lock().state().is_complete()
    }
}

/// Counts a request as running until it is dropped.
pub(crate) struct Running(pub Arc<Shared>);

impl Running {
    /// Counts one more request, unless the node is full.
    pub fn enter(shared: &Arc<Shared>) -> Option<Self> {
        let before = shared.running.fetch_add(1, Ordering::SeqCst);
        let place = Self(Arc::clone(shared));
        (before < shared.settings.admission.requests).then_some(place)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A journal behind a lock.
pub(crate) type SharedJournal = Mutex<Journal>;
