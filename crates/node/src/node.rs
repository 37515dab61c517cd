//! The central type: a running node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use provider::http::{AcceptFlag, Listener};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use volo_http::server::Server;

use crate::settings::Settings;
use crate::shared::{Outside, Shared};
use crate::{api, claims, deferred, dispatch, follow, gossip, peer, repair, watch};

/// Time between two looks at whether a draining node is empty.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for which a draining node still answers that it is not ready.
const DRAIN_LINGER: Duration = Duration::from_millis(200);

/// A running node. Dropping it ends its tasks.
pub struct Node {
    shared: Arc<Shared>,
    callers: SocketAddr,
    nodes: SocketAddr,
    drained: Arc<Notify>,
    _tasks: JoinSet<()>,
}

impl Node {
    /// Binds the addresses of `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// The system's error when an address cannot be bound.
    pub async fn start(settings: Settings, outside: Outside) -> io::Result<Self> {
        telemetry::metrics::install();
        let listener = TcpListener::bind(settings.listen.nodes).await?;
        let nodes = listener.local_addr()?;
        let socket = Arc::new(UdpSocket::bind(nodes).await?);
        let callers = Listener::bind(settings.listen.callers, AcceptFlag::default()).await?;
        let address = callers.local_addr()?;
        let shared = Arc::new(Shared::new(settings, outside, nodes));
        let drained = Arc::new(Notify::new());
        let mut tasks = JoinSet::new();
        start_tasks(&mut tasks, &shared, listener, &socket);
        tasks.spawn(serve_callers(
            Arc::clone(&shared),
            callers,
            Arc::clone(&drained),
        ));
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
            drained,
            _tasks: tasks,
        })
    }

    /// The bound address for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The bound address for other nodes.
    #[must_use]
    pub const fn nodes(&self) -> SocketAddr {
        self.nodes
    }

    /// Number of other nodes that the node knows to be alive.
    #[must_use]
    pub fn peers(&self) -> usize {
        let now = self.shared.now();
        self.shared.tables.members.lock().live(now).len() - 1
    }

    /// Whether the node may be sent work.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Takes no new work, lets everything that runs end, and returns within the set bound.
    ///
    /// Returns whether everything had ended.
    pub async fn drain(&self) -> bool {
        let shared = &self.shared;
        log::info!(
            "event=draining running={}",
            shared.running.load(Ordering::SeqCst)
        );
        shared.draining.store(true, Ordering::SeqCst);
        shared.tables.members.lock().leave();
        let bound = Duration::from_millis(shared.settings.times.drain_ms);
        let emptied = tokio::time::timeout(bound, async {
            while !empty(shared) {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        });
        let whole = emptied.await.is_ok();
        tokio::time::sleep(DRAIN_LINGER).await;
        shared.tracing.flush();
        self.drained.notify_waiters();
        log::info!("event=drained whole={whole}");
        whole
    }
}

/// Whether nothing runs, is held at endpoints, or waits to be written to the log.
fn empty(shared: &Shared) -> bool {
    let waiting: usize = {
        let pools = shared.tables.pools.lock();
        pools.values().map(|slot| slot.pool.waiting()).sum()
    };
    waiting == 0
        && shared.running.load(Ordering::SeqCst) == 0
        && shared.tables.ledger.lock().is_empty()
        && shared.tables.outbox.len() == 0
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
    tasks.spawn(gossip::hosts(Arc::clone(shared), Arc::clone(socket)));
    tasks.spawn(follow::lists(Arc::clone(shared)));
    tasks.spawn(follow::claims(Arc::clone(shared)));
    tasks.spawn(follow::leases(Arc::clone(shared)));
    tasks.spawn(follow::peers(Arc::clone(shared)));
    tasks.spawn(claims::run(Arc::clone(shared), outbox));
    tasks.spawn(dispatch::pump(Arc::clone(shared)));
    tasks.spawn(watch::engines(Arc::clone(shared)));
    tasks.spawn(watch::free(Arc::clone(shared)));
    tasks.spawn(watch::sweep(Arc::clone(shared)));
    tasks.spawn(repair::run(Arc::clone(shared)));
    tasks.spawn(deferred::renew(Arc::clone(shared)));
}

async fn serve_callers(shared: Arc<Shared>, listener: Listener, drained: Arc<Notify>) {
    let mut server = Server::new(api::router(&shared));
    server
        .http1_config()
        .set_max_headers(shared.settings.admission.headers);
    // The library stops at a signal by itself; it must not before the node has drained.
    let server =
        server.register_shutdown_hook(move || Box::pin(async move { drained.notified().await }));
    if let Err(error) = server.run(listener).await {
        log::error!("event=callers_not_served error={error}");
    }
}
