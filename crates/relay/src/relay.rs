//! The central type of the crate: a running host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buffer::Buffers;
use http::{Request, Response, StatusCode};
use kernel::balance::Balancer;
use kernel::fleet::{Fleet, Start};
use kernel::name::{Domain, Host};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use shutdown::{Schedule, Shutdown, Stage};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::accepted::Origin;
use crate::adapter::{Dialect, Location, Memory, Store};
use crate::admin;
use crate::body::Body;
use crate::budget::Budgets;
use crate::clock::Clock;
use crate::cold;
use crate::evacuation::Evacuations;
use crate::exchange::Exchange;
use crate::follow::{Follower, PeerVersion};
use crate::hosts::{Hosts, Tables};
use crate::link::Links;
use crate::notice::Notices;
use crate::observe;
use crate::path::Paths;
use crate::pipeline::Pipeline;
use crate::placer::Placer;
use crate::quarantine::{self, Quarantine};
use crate::registry::Registry;
use crate::server::Server;
use crate::settings::{Listen, Settings};
use crate::transport::{self, Dialer};

/// Interval at which waiting streams are assigned again, because engines may become free by the
/// passage of time alone.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of housekeeping: expired idle connections, metrics and balancer statistics.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after SIGTERM in which new connections still arrive. The load balancer probes readiness
/// once a second and stops sending connections after two failed probes.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_700);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Part of the grace period in which requests that still run get their final responses.
const ENDING_TIME: Duration = Duration::from_millis(200);

/// Interfaces to the platform, implemented by the platform's adapter.
#[derive(Clone)]
pub struct Dependencies {
    /// Reads and writes the platform's headers.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Memory reservations at engines.
    pub memory: Arc<dyn Memory>,
}

/// A running host. Dropping it aborts its tasks.
pub struct Relay {
    registry: Arc<Registry>,
    quarantine: Arc<Quarantine>,
    links: Arc<Links>,
    hosts: Arc<Hosts>,
    server: Arc<Server>,
    shutdown: Arc<Shutdown>,
    client_address: SocketAddr,
    metrics_address: Option<SocketAddr>,
    grace: Duration,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Binds the addresses of `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of an address that cannot be bound.
    #[allow(clippy::too_many_lines)]
    pub async fn start(
        settings: &Settings,
        dependencies: Dependencies,
        dialer: Dialer,
    ) -> io::Result<Self> {
        let Listeners {
            clients,
            readiness,
            socket,
            hosts: peers,
            metrics,
        } = Listeners::bind(&settings.listen).await?;
        let address = clients.local_addr()?;
        let bound_metrics_address = metrics.as_ref().map(TcpListener::local_addr).transpose()?;
        telemetry::metrics::install();
        let clock = Clock::default();
        let mut rng = SmallRng::from_os_rng();
        let holder = rng.next_u64();
        let domain = Domain::from(settings.domain.as_str());
        let registry = Arc::new(Registry::new(settings.times.registration_ttl()));
        let own = Host::from(settings.host.as_str());
        let paths = Arc::new(Paths::new(clock, domain.clone(), &own));
        let placer = new_placer(clock, &domain, &paths, &dialer, holder);
        let balancer = Arc::new(Mutex::new(Balancer::default()));
        let notices = Arc::new(Notices::new(&registry, &placer, &balancer, clock));
        let fleet = Arc::new(Mutex::new(new_fleet(settings, holder, clock)));
        let peer_version = Arc::new(PeerVersion::default());
        let location = Location {
            address: socket.local_addr()?,
            domain: domain.clone(),
        };
        let quarantine = Arc::new(Quarantine::new(
            clock,
            holder,
            settings.start() == Start::First,
        ));
        let cold = cold::Tracker::new(&registry, &placer, &balancer, &fleet, clock, holder);
        let cold = Arc::new(cold);
        let evacuations = Arc::new(Evacuations::new(clock, &registry, &placer, &balancer));
        let links = Links::shared(
            &dialer,
            &registry,
            &placer,
            &balancer,
            clock,
            peers.is_some(),
        );
        let tables = Tables {
            notices: Arc::clone(&notices),
            fleet: Arc::clone(&fleet),
            peer_version: Arc::clone(&peer_version),
            quarantine: Arc::clone(&quarantine),
            exchanges: vec![
                Arc::clone(&placer) as Arc<dyn Exchange>,
                Arc::<cold::Tracker>::clone(&cold),
                Arc::<Evacuations>::clone(&evacuations),
                Arc::<Links>::clone(&links),
            ],
        };
        let hosts = Arc::new(Hosts::new(own, holder, location, socket, tables));
        let shutdown = Arc::new(Shutdown::default());
        let buffers = Buffers::new(settings.resources.buffer_bytes());
        let pipeline = Arc::new(Pipeline {
            registry: Arc::clone(&registry),
            placer: Arc::clone(&placer),
            paths,
            balancer,
            notices,
            links: Arc::clone(&links),
            hosts: Arc::clone(&hosts),
            quarantine: Arc::clone(&quarantine),
            budgets: Budgets::new(&settings.retry, Arc::clone(&fleet), clock),
            dialer,
            buffers: buffers.clone(),
            shutdown: Arc::clone(&shutdown),
            dialect: dependencies.dialect,
            memory: dependencies.memory,
            clock,
            started: clock.now(),
            domain,
            rng: Mutex::new(rng),
            patience: Mutex::default(),
        });
        let follower = Arc::new(Follower {
            store: dependencies.store,
            registry: Arc::clone(&registry),
            placer: Arc::clone(&placer),
            hosts: Arc::clone(&hosts),
            cold: Arc::clone(&cold),
            clock,
            apply_limit: Duration::from_millis(settings.times.apply_ms),
            drain_limit: Duration::from_millis(settings.times.drain_ms),
            admission: settings.admission.clone(),
            heartbeat: settings.times.heartbeat(),
            fleet,
            restored: Notify::new(),
            peer_version,
            evacuations: Arc::clone(&evacuations),
        });
        let server = Arc::new(Server::new(
            Arc::clone(&pipeline),
            clock,
            &settings.resources,
        ));
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&follower).follow_configurations());
        tasks.spawn(Arc::clone(&follower).follow_endpoints());
        tasks.spawn(follower.follow_hosts());
        tasks.spawn(cold.refresh_periodically());
        tasks.spawn(Arc::clone(&hosts).send());
        tasks.spawn(Arc::clone(&hosts).receive());
        tasks.spawn(assign_periodically(placer));
        tasks.spawn(sweep_periodically(pipeline));
        tasks.spawn(Arc::clone(&links).watch(Arc::clone(&hosts)));
        spawn_servers(&mut tasks, &server, clients, peers);
        let admin = Admin {
            registry: Arc::clone(&registry),
            quarantine: Arc::clone(&quarantine),
            server: Arc::clone(&server),
            shutdown: Arc::clone(&shutdown),
            evacuations,
            buffers: buffers.clone(),
        };
        spawn_admin(&mut tasks, readiness, metrics, &admin);
        log::info!(
            "event=started host={} domain={} life={holder:x} clients={address}",
            settings.host,
            settings.domain
        );
        Ok(Self {
            registry,
            quarantine,
            links,
            hosts,
            server,
            shutdown,
            client_address: address,
            metrics_address: bound_metrics_address,
            grace: settings.grace(),
            _tasks: tasks,
        })
    }

    /// The bound address for client connections.
    #[must_use]
    pub const fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// The bound address of the metrics listener; `None` if metrics are not served.
    #[must_use]
    pub const fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// Whether the host reports itself as ready: it has a configuration, at least one endpoint and
    /// the other hosts' evidence about requests that crash endpoints, and it is not draining.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.registry.can_serve()
            && self.quarantine.is_synced()
            && !self.shutdown.has_reached(Stage::Draining)
    }

    /// Reports the host as not ready to the load balancer, and waits within the grace period until
    /// all requests have ended and their responses are written. Before its end, requests that still
    /// run get a final response.
    ///
    /// Returns whether all requests ended by themselves.
    pub async fn drain(&self) -> bool {
        log::info!("event=draining running={}", self.server.running());
        self.links.drain(&self.hosts);
        let schedule = Schedule {
            notice: DEREGISTRATION_DELAY,
            closing: DEREGISTRATION_DELAY,
            ending: self.grace.saturating_sub(EXIT_MARGIN + ENDING_TIME),
            last_responses: ENDING_TIME,
        };
        let whole = self.shutdown.run(&schedule, &*self.server).await;
        log::info!(
            "event=drained whole={whole} running={}",
            self.server.running()
        );
        whole
    }
}

fn new_placer(
    clock: Clock,
    domain: &Domain,
    paths: &Arc<Paths>,
    dialer: &Dialer,
    holder: u64,
) -> Arc<Placer> {
    let (paths, dialer) = (Arc::clone(paths), dialer.clone());
    Arc::new(Placer::new(clock, domain.clone(), paths, dialer, holder))
}

fn new_fleet(settings: &Settings, holder: u64, clock: Clock) -> Fleet {
    let own = Host::from(settings.host.as_str());
    let window = settings.retry.window();
    Fleet::new(own, holder, window, settings.start(), clock.now())
}

/// The bound sockets of a host.
struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
    /// Datagrams of other hosts.
    socket: Arc<UdpSocket>,
    /// Connections of other hosts, on the same port; `None` if another program has it.
    hosts: Option<TcpListener>,
    metrics: Option<TcpListener>,
}

impl Listeners {
    async fn bind(listen: &Listen) -> io::Result<Self> {
        let (hosts, socket) = Self::bind_hosts(listen.hosts).await?;
        let listeners = Self {
            clients: TcpListener::bind(listen.clients).await?,
            readiness: TcpListener::bind(listen.readiness).await?,
            socket: Arc::new(socket),
            hosts,
            metrics: match listen.metrics {
                Some(address) => Some(TcpListener::bind(address).await?),
                None => None,
            },
        };
        let all = [&listeners.clients, &listeners.readiness];
        let optional = [&listeners.hosts, &listeners.metrics].into_iter().flatten();
        for listener in all.into_iter().chain(optional) {
            transport::configure_listener(listener)?;
        }
        Ok(listeners)
    }

    /// Binds a port for connections and datagrams of other hosts. If any port will do, one that is
    /// free for both is searched.
    async fn bind_hosts(address: SocketAddr) -> io::Result<(Option<TcpListener>, UdpSocket)> {
        /// Number of ports to try.
        const MAX_PORTS: usize = 16;
        if address.port() != 0 {
            let listener = TcpListener::bind(address).await;
            let listener = listener.inspect_err(|error| {
                log::error!("event=no_detours address={address} error=\"{error}\"");
            });
            return Ok((listener.ok(), UdpSocket::bind(address).await?));
        }
        let mut tried = 0;
        loop {
            let listener = TcpListener::bind(address).await?;
            tried += 1;
            match UdpSocket::bind(listener.local_addr()?).await {
                Ok(socket) => return Ok((Some(listener), socket)),
                Err(_) if tried < MAX_PORTS => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// What the readiness probe and the admin listener report.
#[derive(Clone)]
struct Admin {
    registry: Arc<Registry>,
    quarantine: Arc<Quarantine>,
    server: Arc<Server>,
    shutdown: Arc<Shutdown>,
    evacuations: Arc<Evacuations>,
    buffers: Buffers,
}

impl Admin {
    /// Responds to the load balancer's readiness probe.
    fn readiness(&self) -> Response<Body> {
        let ready = self.registry.can_serve()
            && self.quarantine.is_synced()
            && !self.shutdown.has_reached(Stage::Draining);
        let mut response = Response::new(Body::whole(""));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    /// Responds with the metrics, or to a request about the quarantine.
    fn respond<B>(&self, request: &Request<B>) -> Response<Body> {
        if request.uri().path().starts_with(quarantine::PATH) {
            return self.quarantine.respond(request);
        }
        observe::set_gauge("filbertstage_running", self.server.running() as u64);
        let connections = self.server.connection_count();
        observe::set_gauge("filbertstage_connections", connections as u64);
        observe::set_gauge("filbertstage_buffered_bytes", self.buffers.held());
        observe::set_gauge("filbertstage_buffer_limit_bytes", self.buffers.limit());
        let version = self.registry.version();
        observe::set_gauge("filbertstage_configuration_version", version);
        let entries = self
            .registry
            .with_directory(|directory| directory.entries().count());
        observe::set_gauge("filbertstage_endpoints", entries as u64);
        let page = telemetry::metrics::render() + &self.evacuations.render();
        Response::new(Body::whole(page))
    }
}

/// Spawns the listeners for clients and for other hosts.
fn spawn_servers(
    tasks: &mut JoinSet<()>,
    server: &Arc<Server>,
    clients: TcpListener,
    peers: Option<TcpListener>,
) {
    tasks.spawn(Arc::clone(server).accept(clients, Origin::Client));
    if let Some(listener) = peers {
        tasks.spawn(Arc::clone(server).accept(listener, Origin::Host));
    }
}

/// Spawns the listeners for readiness probes and for operators.
fn spawn_admin(
    tasks: &mut JoinSet<()>,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
    admin: &Admin,
) {
    let probed = admin.clone();
    tasks.spawn(admin::serve(readiness, move |_| probed.readiness()));
    if let Some(listener) = metrics {
        let admin = admin.clone();
        tasks.spawn(admin::serve(listener, move |request| {
            admin.respond(request)
        }));
    }
}

async fn assign_periodically(placer: Arc<Placer>) {
    loop {
        sleep(ASSIGN_INTERVAL).await;
        placer.assign_all();
    }
}

async fn sweep_periodically(pipeline: Arc<Pipeline>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        pipeline.dialer.close_expired(std::time::Instant::now());
        pipeline.paths.publish();
        pipeline.placer.report_audit();
        telemetry::metrics::run_upkeep();
        let identities: Vec<_> = pipeline.registry.with_directory(|directory| {
            let entries = directory.entries();
            entries.map(kernel::catalogue::Entry::identity).collect()
        });
        pipeline
            .links
            .retain(|identity| identities.contains(&identity));
        let mut balancer = pipeline.balancer.lock();
        balancer.retain(|identity| identities.contains(&identity));
    }
}
