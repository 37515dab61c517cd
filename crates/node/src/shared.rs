//! The state that all tasks of a node share, and the external services that the node uses.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use buffer::Buffers;
use endpoint::Client;
use kernel::journal::Journal;
use kernel::prelude::*;
use kernel::request::{Id, Incarnation};
use parking_lot::Mutex;
use provider::{Hosts, HttpProvider, Log, Weights};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use shutdown::{Shutdown, Stage};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Notify;
use wire::stream::Socket;

use crate::peer::Peers;
use crate::settings::Settings;
use crate::tables::Tables;
use crate::trace::Tracing;

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current time, which never goes back.
    fn now(&self) -> Instant;
}

/// The system's monotonic clock, set from the wall clock when it is created.
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

/// Transport to other nodes.
#[async_trait]
pub trait Network: Send + Sync {
    /// Connects to the node at `to`; fails if the node cannot be reached.
    async fn connect(&self, to: SocketAddr) -> io::Result<Box<dyn Socket>>;

    /// Sends a datagram to the address `to`, without confirmation of delivery; fails if it cannot
    /// be sent.
    async fn send(&self, from: &UdpSocket, datagram: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// The operating system's network.
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

/// The external services that a node uses, as trait objects.
#[derive(Clone)]
pub struct Dependencies {
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's host list.
    pub hosts: Arc<dyn Hosts>,
    /// The platform's weight store.
    pub weights: Arc<dyn Weights>,
    /// The transport to other nodes.
    pub network: Arc<dyn Network>,
    /// The source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Seed of the random generator; `None` takes a seed from the system.
    pub seed: Option<u64>,
}

impl Dependencies {
    /// Returns clients of the platform at its address in `settings`, with the system's network and
    /// clock.
    #[must_use]
    pub fn from_settings(settings: &Settings) -> Self {
        let provider = Arc::new(HttpProvider::with_buffers(
            settings.platform.address,
            Buffers::new(settings.resources.platform_bytes()),
        ));
        Self {
            log: provider.clone(),
            hosts: provider.clone(),
            weights: provider,
            network: Arc::new(SystemNetwork),
            clock: Arc::new(SystemClock::default()),
            seed: None,
        }
    }
}

/// Clients of endpoints by name, each with the address that it connects to.
#[derive(Default)]
pub(crate) struct Clients {
    clients: Mutex<BTreeMap<Endpoint, (SocketAddr, Client)>>,
}

impl Clients {
    /// Returns the client of an endpoint in the usage list, or `None` if the endpoint's address or
    /// kind is invalid.
    ///
    /// A client whose endpoint changed its address is replaced.
    pub fn get(&self, entry: &kernel::lists::EndpointEntry) -> Option<Client> {
        let address: SocketAddr = entry.address.parse().ok()?;
        let kind = endpoint::find(entry.kind.as_str())?;
        let mut clients = self.clients.lock();
        let name = Endpoint::from(entry.name.as_str());
        match clients.get(&name) {
            Some((at, client)) if *at == address => Some(client.clone()),
            _ => {
                let client = (kind.connect)(address);
                clients.insert(name, (address, client.clone()));
                Some(client)
            }
        }
    }
}

/// The state that all tasks of a node share.
pub(crate) struct Shared {
    pub settings: Settings,
    pub host: Host,
    pub domain: Domain,
    pub incarnation: Incarnation,
    pub dependencies: Dependencies,
    pub tables: Tables,
    pub clients: Clients,
    pub peers: Peers,
    pub tracing: Tracing,
    /// Memory for bodies of requests.
    pub bodies: Buffers,
    pub shutdown: Shutdown,
    /// Number of running requests, see [`Running`].
    pub running: AtomicUsize,
    /// Number of requests of other nodes whose response is not written, see [`Exchange`].
    pub exchanges: AtomicUsize,
    /// Wakes the task that frees endpoint memory.
    pub free_notify: Notify,
    /// Wakes the task that grants engines.
    pub grant_notify: Notify,
    /// Wakes the tasks that wait for records of the claims stream.
    pub claims_notify: Notify,
    sequence: AtomicU64,
    random: Mutex<SmallRng>,
}

impl Shared {
    pub fn new(settings: Settings, dependencies: Dependencies, nodes: SocketAddr) -> Self {
        let seeded = dependencies.seed.map(SmallRng::seed_from_u64);
        let mut random = seeded.unwrap_or_else(SmallRng::from_os_rng);
        let incarnation = Incarnation(random.next_u64());
        let host = Host::from(settings.host.as_str());
        let domain = Domain::from(settings.domain.as_str());
        let advertised = settings.listen.advertise.unwrap_or(nodes);
        let tables = Tables::new(&settings, incarnation, advertised);
        let peers = Peers::new(&settings.fleet_key, Arc::clone(&dependencies.network));
        let tracing = Tracing::new(&settings);
        Self {
            host,
            domain,
            incarnation,
            dependencies,
            tables,
            clients: Clients::default(),
            peers,
            tracing,
            bodies: Buffers::new(settings.resources.body_bytes()),
            shutdown: Shutdown::default(),
            running: AtomicUsize::new(0),
            exchanges: AtomicUsize::new(0),
            free_notify: Notify::new(),
            grant_notify: Notify::new(),
            claims_notify: Notify::new(),
            sequence: AtomicU64::new(1),
            random: Mutex::new(random),
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.dependencies.clock.now()
    }

    /// Returns a new request identifier.
    pub fn next_id(&self) -> Id {
        Id {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the client of an endpoint in this failure domain, if the usage list contains it.
    pub fn client(&self, name: &Endpoint) -> Option<Client> {
        let lists = self.tables.lists();
        let mut entries = lists.endpoints(&self.domain);
        let entry = entries.find(|entry| entry.name.as_str() == name.as_str())?;
        self.clients.get(entry)
    }

    /// Calls `choose` with the node's random generator.
    pub fn with_random<T>(&self, choose: impl FnOnce(&mut SmallRng) -> T) -> T {
        choose(&mut self.random.lock())
    }

    /// Records a decision on a request in the journal, and writes it as a debug line to the node's
    /// log output.
    pub fn record(&self, id: Id, event: &str, reason: String) {
        log::debug!("event={event} request={id} {reason}");
        let now = self.now();
        self.tables.journal.lock().record(now, id, event, reason);
    }

    /// Whether the node accepts work: it is not draining and has both lists.
    pub fn ready(&self) -> bool {
        !self.shutdown.has_reached(Stage::Draining) && self.tables.fold.lock().state().is_complete()
    }
}

/// A running request; counted until it is dropped.
pub(crate) struct Running(pub Arc<Shared>);

impl Running {
    /// Counts one more running request; returns `None` if the node already runs
    /// `admission.requests` requests.
    pub fn try_start(shared: &Arc<Shared>) -> Option<Self> {
        let before = shared.running.fetch_add(1, Ordering::SeqCst);
        let running_request = Self(Arc::clone(shared));
        (before < shared.settings.admission.requests).then_some(running_request)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request of another node that is being answered; counted until it is dropped.
pub(crate) struct Exchange<'a>(&'a Shared);

impl<'a> Exchange<'a> {
    pub fn start(shared: &'a Shared) -> Self {
        shared.exchanges.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        self.0.exchanges.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The journal of decisions, with its lock.
pub(crate) type SharedJournal = Mutex<Journal>;
