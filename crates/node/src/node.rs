//! Starts a node with its tasks, and drains it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use shutdown::Stage;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::connection::Connections;
use crate::exit::{self, Remaining};
use crate::server::Server;
use crate::settings::{Reload, Settings};
use crate::shared::{Dependencies, Shared};
use crate::{api, claims, deferred, dispatch, follow, gossip, peer, reconcile, watch};

/// A running node. Dropping it stops its tasks.
pub struct Node {
    shared: Arc<Shared>,
    callers: SocketAddr,
    nodes: SocketAddr,
    connections: Arc<Connections>,
    /// The settings in use; unlike those of the tasks, they change while the node runs.
    settings: Mutex<Settings>,
    _tasks: JoinSet<()>,
}

impl Node {
    /// Binds the addresses of `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address cannot be bound.
    pub async fn start(settings: Settings, dependencies: Dependencies) -> io::Result<Self> {
        telemetry::metrics::install();
        let listener = TcpListener::bind(settings.listen.nodes).await?;
        let nodes = listener.local_addr()?;
        let socket = Arc::new(UdpSocket::bind(nodes).await?);
        let callers = TcpListener::bind(settings.listen.callers).await?;
        let address = callers.local_addr()?;
        let current = Mutex::new(settings.clone());
        let shared = Arc::new(Shared::new(settings, dependencies, nodes));
        let connections = Connections::new(shared.settings.resources.max_callers());
        let mut tasks = JoinSet::new();
        start_tasks(&mut tasks, &shared, listener, &socket);
        let server = Server {
            router: api::router(&shared),
            max_headers: shared.settings.admission.headers,
            connections: Arc::clone(&connections),
            shared: Arc::clone(&shared),
        };
        tasks.spawn(server.run(callers));
        log::info!(
            "event=node_started host={} domain={} incarnation={} callers={address} nodes={nodes}",
            shared.host,
            shared.domain,
            shared.incarnation
        );
        Ok(Self {
            shared,
            callers: address,
            nodes,
            connections,
            settings: current,
            _tasks: tasks,
        })
    }

    /// Returns the bound HTTP address for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the bound TCP and UDP address for other nodes.
    #[must_use]
    pub const fn nodes(&self) -> SocketAddr {
        self.nodes
    }

    /// Returns the number of other nodes that are live.
    #[must_use]
    pub fn peers(&self) -> usize {
        let now = self.shared.now();
        self.shared.tables.members.lock().live(now).len() - 1
    }

    /// Returns whether the node accepts work: it is not draining and has both lists.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Takes over what can change in the settings of a running node.
    pub fn reload(&self, settings: &Settings) -> Reload {
        self.settings.lock().reload(settings)
    }

    /// Ends the wait for running requests of a node that drains. They get final responses.
    pub fn hasten(&self) {
        log::info!("event=hastened");
        self.shared.shutdown.enter(Stage::Ending);
    }

    /// Finishes all work, for at most `times.drain_ms`: the node is no longer ready, and each request
    /// that it has read gets a response.
    ///
    /// Returns whether all work ended by itself.
    pub async fn drain(&self) -> bool {
        let shared = &self.shared;
        log::info!(
            "event=draining running={}",
            shared.running.load(Ordering::SeqCst)
        );
        shared.tables.members.lock().leave();
        let time = Duration::from_millis(self.settings.lock().times.drain_ms);
        let remaining = Remaining {
            shared,
            connections: &self.connections,
        };
        let handed_over = timeout(time, deferred::hand_over(shared));
        let schedule = exit::schedule(time);
        let drained = shared.shutdown.run(&schedule, &remaining);
        let (complete, _) = tokio::join!(drained, handed_over);
        shared.tracing.flush();
        log::info!(
            "event=drained whole={complete} running={}",
            shared.running.load(Ordering::SeqCst)
        );
        complete
    }
}

fn start_tasks(
    tasks: &mut JoinSet<()>,
    shared: &Arc<Shared>,
    listener: TcpListener,
    socket: &Arc<UdpSocket>,
) {
    let outbox = Arc::clone(&shared.tables.outbox);
    tasks.spawn(peer::listen(Arc::clone(shared), listener));
    tasks.spawn(gossip::send(Arc::clone(shared), Arc::clone(socket)));
    tasks.spawn(gossip::receive(Arc::clone(shared), Arc::clone(socket)));
    tasks.spawn(gossip::contact_hosts(
        Arc::clone(shared),
        Arc::clone(socket),
    ));
    tasks.spawn(follow::follow_lists(Arc::clone(shared)));
    tasks.spawn(follow::follow_claims(Arc::clone(shared)));
    tasks.spawn(follow::follow_leases(Arc::clone(shared)));
    tasks.spawn(follow::pull_lists(Arc::clone(shared)));
    tasks.spawn(claims::run(Arc::clone(shared), outbox));
    tasks.spawn(dispatch::run(Arc::clone(shared)));
    tasks.spawn(watch::poll_engines(Arc::clone(shared)));
    tasks.spawn(watch::free_ended(Arc::clone(shared)));
    tasks.spawn(watch::sweep(Arc::clone(shared)));
    tasks.spawn(reconcile::run(Arc::clone(shared)));
    tasks.spawn(deferred::maintain_replicas(Arc::clone(shared)));
}
