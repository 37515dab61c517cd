//! The central type: a running host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Response, StatusCode};
use kernel::balance::Balancer;
use kernel::name::{Domain, Host};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::adapter::{Dialect, Memory, Store};
use crate::admin;
use crate::body::Body;
use crate::budget::Budgets;
use crate::clock::Clock;
use crate::follow::{Follower, PeerVersion};
use crate::front::{Front, Stage};
use crate::hosts::Hosts;
use crate::observe;
use crate::pipeline::Pipeline;
use crate::placer::Placer;
use crate::registry::Registry;
use crate::settings::Settings;
use crate::transport::Dialer;

/// Time between two looks for places that became free by the passing of time alone.
const PUMP_PERIOD: Duration = Duration::from_millis(20);
/// Time between two looks for idle connections to close.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Time after SIGTERM for which new connections still come: the balancer asks once a second and
/// stops after two misses.
const STILL_COMING: Duration = Duration::from_millis(2_700);
/// Part of the grace time that is kept for ending the process.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time between two looks at whether a leaving host is empty.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// What the platform's adapter provides.
#[derive(Clone)]
pub struct Outside {
    /// The platform's headers.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Reservations at engines.
    pub memory: Arc<dyn Memory>,
}

/// A running host. Dropping it ends its tasks.
pub struct Relay {
    known: Arc<Registry>,
    front: Arc<Front>,
    leaving: Arc<AtomicBool>,
    clients: SocketAddr,
    metrics: Option<SocketAddr>,
    grace: Duration,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Binds the addresses of `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// The system's error when an address cannot be bound.
    pub async fn start(settings: &Settings, outside: Outside, dialer: Dialer) -> io::Result<Self> {
        let clients = TcpListener::bind(settings.listen.clients).await?;
        let address = clients.local_addr()?;
        let readiness = TcpListener::bind(settings.listen.readiness).await?;
        let socket = Arc::new(UdpSocket::bind(settings.listen.hosts).await?);
        let metrics = match settings.listen.metrics {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        let metrics_address = match &metrics {
            Some(listener) => Some(listener.local_addr()?),
            None => None,
        };
        telemetry::metrics::install();
        let clock = Clock::default();
        let mut random = SmallRng::from_os_rng();
        let holder = random.next_u64();
        let domain = Domain::from(settings.domain.as_str());
        let known = Arc::new(Registry::default());
        let placer = Arc::new(Placer::new(clock, domain.clone(), holder));
        let peer_version = Arc::new(PeerVersion::default());
        let hosts = Arc::new(Hosts::new(
            Host::from(settings.host.as_str()),
            holder,
            socket.local_addr()?,
            clock,
            Arc::clone(&known),
            Arc::clone(&placer),
            Arc::clone(&peer_version),
        ));
        let pipeline = Arc::new(Pipeline {
            known: Arc::clone(&known),
            placer: Arc::clone(&placer),
            balancer: Mutex::new(Balancer::default()),
            budgets: Budgets::new(&settings.retry),
            dialer,
            dialect: outside.dialect,
            memory: outside.memory,
            clock,
            domain,
            random: Mutex::new(random),
        });
        let follower = Arc::new(Follower {
            store: outside.store,
            registry: Arc::clone(&known),
            placer: Arc::clone(&placer),
            hosts: Arc::clone(&hosts),
            clock,
            apply_limit: Duration::from_millis(settings.times.apply_ms),
            drain_limit: Duration::from_millis(settings.times.drain_ms),
            peer_version,
        });
        let front = Arc::new(Front::new(Arc::clone(&pipeline), clock));
        let leaving = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&follower).follow_configurations());
        tasks.spawn(Arc::clone(&follower).follow_endpoints());
        tasks.spawn(follower.follow_hosts());
        tasks.spawn(Arc::clone(&hosts).send(Arc::clone(&socket)));
        tasks.spawn(hosts.receive(socket));
        tasks.spawn(pump(placer));
        tasks.spawn(sweep(pipeline));
        tasks.spawn(Arc::clone(&front).accept(clients));
        {
            let (known, leaving) = (Arc::clone(&known), Arc::clone(&leaving));
            let answer = move || self::readiness(&known, &leaving);
            tasks.spawn(admin::serve(readiness, answer));
        }
        if let Some(listener) = metrics {
            let (known, front) = (Arc::clone(&known), Arc::clone(&front));
            let answer = move || metrics_text(&known, &front);
            tasks.spawn(admin::serve(listener, answer));
        }
        log::info!(
            "event=started host={} domain={} life={holder:x} clients={address}",
            settings.host,
            settings.domain
        );
        Ok(Self {
            known,
            front,
            leaving,
            clients: address,
            metrics: metrics_address,
            grace: settings.grace(),
            _tasks: tasks,
        })
    }

    /// The bound address for clients.
    #[must_use]
    pub const fn clients(&self) -> SocketAddr {
        self.clients
    }

    /// The bound address for whoever reads the metrics.
    #[must_use]
    pub const fn metrics(&self) -> Option<SocketAddr> {
        self.metrics
    }

    /// Whether the host takes connections.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.known.is_complete() && !self.leaving.load(Ordering::SeqCst)
    }

    /// Tells the balancer to send no more connections, lets requests end, and returns within the
    /// grace time.
    ///
    /// Returns whether everything had ended.
    pub async fn drain(&self) -> bool {
        log::info!("event=draining running={}", self.front.running());
        self.leaving.store(true, Ordering::SeqCst);
        self.front.enter(Stage::Leaving);
        let emptied = timeout(self.grace.saturating_sub(END_MARGIN), async {
            sleep(STILL_COMING).await;
            self.front.enter(Stage::Closing);
            while self.front.running() > 0 {
                sleep(DRAIN_POLL).await;
            }
        });
        let whole = emptied.await.is_ok();
        log::info!(
            "event=drained whole={whole} running={}",
            self.front.running()
        );
        whole
    }
}

async fn pump(placer: Arc<Placer>) {
    loop {
        sleep(PUMP_PERIOD).await;
        placer.assign_all();
    }
}

async fn sweep(pipeline: Arc<Pipeline>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        pipeline.dialer.sweep(std::time::Instant::now());
        telemetry::metrics::tend();
        let known: Vec<_> = pipeline.known.with_directory(|directory| {
            let entries = directory.entries();
            entries.map(kernel::catalogue::Entry::identity).collect()
        });
        let mut balancer = pipeline.balancer.lock();
        balancer.retain(|identity| known.contains(&identity));
    }
}

/// Whether the host takes connections, as the balancer asks it.
fn readiness(known: &Registry, leaving: &AtomicBool) -> Response<Body> {
    let mut response = Response::new(Body::whole(""));
    if !known.is_complete() || leaving.load(Ordering::SeqCst) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// The metrics as text, with what the host holds now.
fn metrics_text(known: &Registry, front: &Front) -> Response<Body> {
    observe::set_gauge("filbertstage_running", front.running() as u64);
    observe::set_gauge("filbertstage_configuration_version", known.version());
    let entries = known.with_directory(|directory| directory.entries().count());
    observe::set_gauge("filbertstage_endpoints", entries as u64);
    Response::new(Body::whole(telemetry::metrics::render()))
}
