//! Simulates network partitions between the failure domains of a fleet.
//!
//! A link is directed, so one direction can be cut alone. A cut link delivers nothing: datagrams
//! and written bytes are lost, reads stall, and new connections wait until both directions are
//! restored.
//! A connection that lost bytes fails with a reset once the link is restored.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_trait::async_trait;
use node::{Network, SystemNetwork};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::UdpSocket;
use tokio::time::{Sleep, sleep};
use wire::stream::Socket;

/// Interval at which a blocked operation checks whether the link is restored.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    domains: BTreeMap<SocketAddr, String>,
    cut_links: BTreeSet<(String, String)>,
}

/// The links between the failure domains of a fleet; clones share their state.
#[derive(Clone, Default)]
pub struct Links {
    state: Arc<Mutex<State>>,
}

impl Links {
    /// Registers the failure domain of the node at `address`.
    pub fn register(&self, address: SocketAddr, domain: &str) {
        self.state.lock().domains.insert(address, domain.to_owned());
    }

    /// Cuts the link from one failure domain to another, or restores it if `cut` is false.
    pub fn set_cut(&self, from: &str, to: &str, cut: bool) {
        let link = (from.to_owned(), to.to_owned());
        let mut state = self.state.lock();
        if cut {
            state.cut_links.insert(link);
        } else {
            state.cut_links.remove(&link);
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.state.lock().cut_links.clear();
    }

    /// Returns the network for the nodes of `domain`.
    #[must_use]
    pub fn network_for(&self, domain: &str) -> Arc<dyn Network> {
        Arc::new(DomainNetwork {
            links: self.clone(),
            domain: domain.to_owned(),
        })
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let state = self.state.lock();
        state.cut_links.contains(&(from.to_owned(), to.to_owned()))
    }

    fn domain_of(&self, address: SocketAddr) -> String {
        self.state
            .lock()
            .domains
            .get(&address)
            .cloned()
            .unwrap_or_default()
    }
}

/// The network for the nodes of one failure domain.
struct DomainNetwork {
    links: Links,
    domain: String,
}

#[async_trait]
impl Network for DomainNetwork {
    async fn connect(&self, to: SocketAddr) -> io::Result<Box<dyn Socket>> {
        let remote_domain = self.links.domain_of(to);
        while self.links.is_cut(&self.domain, &remote_domain)
            || self.links.is_cut(&remote_domain, &self.domain)
        {
            sleep(POLL_INTERVAL).await;
        }
        let socket = SystemNetwork.connect(to).await?;
        Ok(Box::new(Connection {
            socket,
            links: self.links.clone(),
            local_domain: self.domain.clone(),
            remote_domain,
            lost_bytes: false,
            poll_timer: None,
        }))
    }

    async fn send(&self, from: &UdpSocket, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        if self.links.is_cut(&self.domain, &self.links.domain_of(to)) {
            return Ok(());
        }
        SystemNetwork.send(from, datagram, to).await
    }
}

/// A connection between two failure domains.
struct Connection {
    socket: Box<dyn Socket>,
    links: Links,
    local_domain: String,
    remote_domain: String,
    lost_bytes: bool,
    poll_timer: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    fn broken() -> io::Error {
        io::Error::new(
            io::ErrorKind::ConnectionReset,
            "bytes were lost on a cut link",
        )
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.links.is_cut(&self.remote_domain, &self.local_domain) {
            let poll_timer = self
                .poll_timer
                .get_or_insert_with(|| Box::pin(sleep(POLL_INTERVAL)));
            ready!(poll_timer.as_mut().poll(context));
            self.poll_timer = None;
        }
        if self.lost_bytes && !self.links.is_cut(&self.local_domain, &self.remote_domain) {
            return Poll::Ready(Err(Self::broken()));
        }
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.links.is_cut(&self.local_domain, &self.remote_domain) {
            self.lost_bytes = true;
            return Poll::Ready(Ok(bytes.len()));
        }
        if self.lost_bytes {
            return Poll::Ready(Err(Self::broken()));
        }
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
