//! The network between the nodes of a fleet, which can be cut between failure domains.
//!
//! A cut is directed. Over a cut road nothing arrives: datagrams are lost, new connections are not
//! made, and open ones go silent. A connection that lost bytes breaks when the road is open again.

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

/// Time between two looks at whether a road is open again.
const LOOK: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Map {
    domains: BTreeMap<SocketAddr, String>,
    cut: BTreeSet<(String, String)>,
}

/// The roads between the failure domains of a fleet.
#[derive(Clone, Default)]
pub struct Roads {
    map: Arc<Mutex<Map>>,
}

impl Roads {
    /// Notes that the node at `address` is in `domain`.
    pub fn place(&self, address: SocketAddr, domain: &str) {
        self.map.lock().domains.insert(address, domain.to_owned());
    }

    /// Cuts, or opens again, the road from one failure domain to another.
    pub fn cut(&self, from: &str, to: &str, cut: bool) {
        let road = (from.to_owned(), to.to_owned());
        let mut map = self.map.lock();
        if cut {
            map.cut.insert(road);
        } else {
            map.cut.remove(&road);
        }
    }

    /// Opens all roads.
    pub fn heal(&self) {
        self.map.lock().cut.clear();
    }

    /// The network as a node of `domain` sees it.
    #[must_use]
    pub fn from_domain(&self, domain: &str) -> Arc<dyn Network> {
        Arc::new(Gateway {
            roads: self.clone(),
            domain: domain.to_owned(),
        })
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let map = self.map.lock();
        map.cut.contains(&(from.to_owned(), to.to_owned()))
    }

    fn domain(&self, address: SocketAddr) -> String {
        self.map
            .lock()
            .domains
            .get(&address)
            .cloned()
            .unwrap_or_default()
    }
}

/// The network of one failure domain.
struct Gateway {
    roads: Roads,
    domain: String,
}

#[async_trait]
impl Network for Gateway {
    async fn connect(&self, to: SocketAddr) -> io::Result<Box<dyn Socket>> {
        let there = self.roads.domain(to);
        while self.roads.is_cut(&self.domain, &there) || self.roads.is_cut(&there, &self.domain) {
            sleep(LOOK).await;
        }
        let socket = SystemNetwork.connect(to).await?;
        Ok(Box::new(Road {
            socket,
            roads: self.roads.clone(),
            here: self.domain.clone(),
            there,
            lost: false,
            look: None,
        }))
    }

    async fn send(&self, from: &UdpSocket, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        if self.roads.is_cut(&self.domain, &self.roads.domain(to)) {
            return Ok(());
        }
        SystemNetwork.send(from, datagram, to).await
    }
}

/// A connection over a road.
struct Road {
    socket: Box<dyn Socket>,
    roads: Roads,
    here: String,
    there: String,
    lost: bool,
    look: Option<Pin<Box<Sleep>>>,
}

impl Road {
    fn broken() -> io::Error {
        io::Error::new(
            io::ErrorKind::ConnectionReset,
            "bytes were lost on a cut road",
        )
    }
}

impl AsyncRead for Road {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.roads.is_cut(&self.there, &self.here) {
            let look = self.look.get_or_insert_with(|| Box::pin(sleep(LOOK)));
            ready!(look.as_mut().poll(context));
            self.look = None;
        }
        if self.lost && !self.roads.is_cut(&self.here, &self.there) {
            return Poll::Ready(Err(Self::broken()));
        }
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for Road {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.roads.is_cut(&self.here, &self.there) {
            self.lost = true;
            return Poll::Ready(Ok(bytes.len()));
        }
        if self.lost {
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
