//! A listening socket for the HTTP server that can be bound before serving and stopped at run time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

/// Wait after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A shared flag that says whether a [`Listener`] accepts connections; initially set.
#[derive(Clone, Debug)]
pub struct AcceptFlag(Arc<AtomicBool>);

impl Default for AcceptFlag {
    fn default() -> Self {
        Self(Arc::new(AtomicBool::new(true)))
    }
}

impl AcceptFlag {
    /// Sets or clears the flag. While the flag is cleared, each new connection is closed at once.
    pub fn set(&self, accept: bool) {
        self.0.store(accept, Ordering::SeqCst);
    }

    /// Returns true if new connections are accepted.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A bound socket with the flag that controls whether the socket accepts connections.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    accept: AcceptFlag,
}

impl Listener {
    /// Binds `address`; port 0 picks any free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, such as for an address in use.
    pub async fn bind(address: SocketAddr, accept: AcceptFlag) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(Self { socket, accept })
    }

    /// Returns the bound address, with the actual port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
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
