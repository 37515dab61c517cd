//! A listening socket for the HTTP library that can be bound first and closed later.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

/// Wait after the system refused to accept, such as when it is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Lets connections in while it is open.
#[derive(Clone, Debug)]
pub struct AcceptFlag(Arc<AtomicBool>);

impl Default for AcceptFlag {
    fn default() -> Self {
        Self(Arc::new(AtomicBool::new(true)))
    }
}

impl AcceptFlag {
    /// Opens or closes the gate; a closed gate drops each new connection at once.
    pub fn set(&self, accept: bool) {
        self.0.store(accept, Ordering::SeqCst);
    }

    /// Whether new connections are let in.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A bound socket with its gate.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    accept: AcceptFlag,
}

impl Listener {
    /// Binds `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// The system's error, such as for an address that is in use.
    pub async fn bind(address: SocketAddr, accept: AcceptFlag) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(Self { socket, accept })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

impl MakeIncoming for Listener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) if self.accept.is_set() => {
                    stream.set_nodelay(true)?;
                    return Ok(Some(Conn::from(stream)));
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }
}
