//! The open connections of a listener, and when they close.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use kernel::clock;
use kernel::connection::{Admission, Id, Table};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The open connections of one listener.
pub(crate) struct Connections {
    started: Instant,
    table: Mutex<Table>,
    open: Mutex<HashMap<Id, Arc<Connection>>>,
    unwritten: AtomicUsize,
}

impl Connections {
    /// Creates the state of a listener that serves at most `limit` connections.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            table: Mutex::new(Table::new(limit)),
            open: Mutex::default(),
            unwritten: AtomicUsize::new(0),
        })
    }

    fn now(&self) -> clock::Instant {
        let elapsed = self.started.elapsed().as_micros();
        clock::Instant::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Number of connections on which a request was read, and whose last response may not be written
    /// yet.
    pub fn unwritten(&self) -> usize {
        self.unwritten.load(Ordering::SeqCst)
    }

    /// Adds a new connection; `None` if it is to be closed, since requests run on all others.
    pub fn admit(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let now = self.now();
        let admission = self.table.lock().admit(now);
        let id = match admission {
            Admission::Admitted(id) => id,
            Admission::Instead { admitted, closed } => {
                self.close(closed);
                admitted
            }
            Admission::Refused => return None,
        };
        let connection = Arc::new(Connection {
            id,
            connections: Arc::clone(self),
            activity: Mutex::default(),
            changed: Notify::new(),
        });
        self.open.lock().insert(id, Arc::clone(&connection));
        Some(connection)
    }

    /// Closes the connection that has been idle for the longest time, to free its descriptor.
    pub fn close_idle(&self) {
        let closed = self.table.lock().close_idle();
        if let Some(closed) = closed {
            self.close(closed);
        }
    }

    fn close(&self, id: Id) {
        if let Some(connection) = self.open.lock().remove(&id) {
            connection.activity.lock().is_closed = true;
            connection.changed.notify_one();
        }
    }
}

#[derive(Default)]
struct Activity {
    running: usize,
    has_served: bool,
    /// Time at which the first byte of a head arrived that is not complete.
    head_since: Option<Instant>,
    /// Whether the connection has to make room for others.
    is_closed: bool,
}

/// A connection of a caller or of another node.
pub(crate) struct Connection {
    id: Id,
    connections: Arc<Connections>,
    activity: Mutex<Activity>,
    /// Notified when the connection may have to close earlier than before.
    changed: Notify,
}

impl Connection {
    /// Records that a request runs until the result is dropped.
    pub fn start_request(self: &Arc<Self>) -> Request {
        let mut activity = self.activity.lock();
        activity.running += 1;
        if !std::mem::replace(&mut activity.has_served, true) {
            self.connections.unwritten.fetch_add(1, Ordering::SeqCst);
        }
        activity.head_since = None;
        self.connections.table.lock().record_busy(self.id);
        Request(Arc::clone(self))
    }

    fn end_request(&self) {
        let now = self.connections.now();
        let mut activity = self.activity.lock();
        activity.running -= 1;
        if activity.running == 0 {
            self.connections.table.lock().record_idle(self.id, now);
        }
        self.changed.notify_one();
    }

    fn record_bytes(&self) {
        let mut activity = self.activity.lock();
        if activity.running == 0 && activity.head_since.is_none() {
            activity.head_since = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    /// Whether a request was read on the connection.
    pub fn has_served(&self) -> bool {
        self.activity.lock().has_served
    }

    /// Returns when the connection has no request and has to make room, or a head has not arrived within
    /// `head_time`.
    pub async fn wait_until_closed(&self, head_time: Duration) {
        loop {
            let remaining = {
                let activity = self.activity.lock();
                match activity.head_since {
                    _ if activity.running > 0 => None,
                    _ if activity.is_closed => return,
                    Some(since) => Some(head_time.saturating_sub(since.elapsed())),
                    None => None,
                }
            };
            let changed = self.changed.notified();
            match remaining {
                None => changed.await,
                Some(Duration::ZERO) => return,
                Some(remaining) => {
                    let _ = tokio::time::timeout(remaining, changed).await;
                }
            }
        }
    }

    /// Removes the connection, which has ended.
    pub fn end(&self) {
        self.connections.table.lock().remove(self.id);
        self.connections.open.lock().remove(&self.id);
        if self.has_served() {
            self.connections.unwritten.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

/// A request that runs on a connection until this is dropped.
pub(crate) struct Request(Arc<Connection>);

impl Drop for Request {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// A stream that tells its connection when bytes arrive.
pub(crate) struct Watched {
    pub stream: TcpStream,
    pub connection: Arc<Connection>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.connection.record_bytes();
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
