//! A site as one host sees it: over links of its own, which can be cut while other hosts keep
//! theirs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Log, Server, Site};

/// Maximum number of connections that wait to be accepted at a link.
const BACKLOG: u32 = 64;

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Connections work.
    Up,
    /// Connections are reset, and new ones are refused.
    Reset,
    /// Nothing passes in either direction, and new connections stall.
    Stalled,
}

/// A site as seen over links that can be cut together.
pub struct View {
    /// Server of a log with the endpoints' entries, at the addresses of the links.
    pub log: Server<Log>,
    state: watch::Sender<LinkState>,
    _links: JoinSet<()>,
}

impl View {
    /// Sets the state of all links.
    pub fn set_links(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Site {
    /// Starts a view of the site for one host.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if a port cannot be bound.
    pub async fn view(&self) -> io::Result<View> {
        let log = Server::start(Arc::new(Log::default())).await?;
        log.state.restore(&self.log.state.copy());
        let state = watch::Sender::new(LinkState::Up);
        let mut links = JoinSet::new();
        for endpoint in self.engines.iter().chain(&self.plain_endpoints) {
            let listener = listen((Ipv4Addr::LOCALHOST, 0).into())?;
            let entry = endpoint.state.entry(listener.local_addr()?, "ready");
            log.state
                .put("keyed.servers", endpoint.state.name(), &entry);
            links.spawn(run(listener, endpoint.address, state.subscribe()));
        }
        Ok(View {
            log,
            state,
            _links: links,
        })
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Opens as many connections to a listener as it does not accept, so that further ones stall.
fn fill(address: SocketAddr) -> JoinSet<io::Result<TcpStream>> {
    let connections = (0..=BACKLOG).map(|_| TcpStream::connect(address));
    connections.collect()
}

/// Forwards the connections of one link. Never returns.
async fn run(listener: TcpListener, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    let mut waiting = None;
    loop {
        let current = *state.borrow_and_update();
        if current == LinkState::Reset {
            listener = None;
            connections.abort_all();
        } else if listener.is_none() {
            listener = listen(address).ok();
        }
        if current == LinkState::Stalled {
            waiting.get_or_insert_with(|| fill(address));
        } else {
            drop(waiting.take());
        }
        let accepted = async {
            match &listener {
                Some(listener) if current == LinkState::Up => listener.accept().await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = accepted => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(forward(stream, target, state.clone()));
                }
            }
        }
    }
}

/// Forwards one connection while the link is up.
async fn forward(mut stream: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    loop {
        // Fails when the view is dropped.
        if state
            .wait_for(|state| *state == LinkState::Up)
            .await
            .is_err()
        {
            return;
        }
        tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut upstream) => return,
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
