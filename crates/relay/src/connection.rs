//! The state of client connections, and when they are closed.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use kernel::clock::Instant;
use kernel::connection::{Admission, Id, Pause, Table};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::observe;
use crate::transport::{USER_TIMEOUT, set_user_timeout};

/// The open connections of one listener.
pub(crate) struct Connections {
    clock: Clock,
    table: Mutex<Table>,
    /// The connections of the table, which are told to close.
    members: Mutex<HashMap<Id, Arc<Connection>>>,
}

/// A new connection that is served.
pub(crate) struct Admitted {
    /// The new connection.
    pub connection: Arc<Connection>,
    /// The connection that makes room for it.
    pub replaced: Option<Arc<Connection>>,
}

impl Connections {
    /// Creates the state of a listener that serves at most `limit` connections.
    pub fn new(limit: usize, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            table: Mutex::new(Table::new(limit)),
            members: Mutex::default(),
        })
    }

    /// Adds a new connection; `None` if it is to be closed.
    pub fn admit(self: &Arc<Self>) -> Option<Admitted> {
        let now = self.clock.now();
        let admission = self.table.lock().admit(now);
        let (id, replaced) = match admission {
            Admission::Admitted(id) => (id, None),
            Admission::Instead { admitted, closed } => (admitted, self.close(closed)),
            Admission::Refused => {
                observe::count_closed_connection("refused");
                return None;
            }
        };
        let connection = Arc::new(Connection {
            id,
            connections: Arc::clone(self),
            activity: Mutex::new(Activity {
                running: 0,
                is_reading: false,
                served: false,
                idle_since: now,
                head_since: None,
                is_closed: false,
            }),
            changed: Notify::new(),
            evicted: Notify::new(),
            ended: Notify::new(),
            read_pause: Mutex::default(),
        });
        self.members.lock().insert(id, Arc::clone(&connection));
        Some(Admitted {
            connection,
            replaced,
        })
    }

    /// Closes the connection that has been idle for the longest time, to free its descriptor.
    pub fn close_idle(&self) {
        let closed = self.table.lock().close_idle();
        if let Some(closed) = closed {
            self.close(closed);
        }
    }

    fn close(&self, id: Id) -> Option<Arc<Connection>> {
        observe::count_closed_connection("evicted");
        let connection = self.members.lock().remove(&id)?;
        connection.activity.lock().is_closed = true;
        connection.changed.notify_one();
        connection.evicted.notify_one();
        Some(connection)
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.table.lock().open()
    }
}

/// Request activity of one connection.
struct Activity {
    running: usize,
    /// Whether the body of the request is being read.
    is_reading: bool,
    served: bool,
    idle_since: Instant,
    /// Time at which the first byte of a head arrived that is not complete.
    head_since: Option<Instant>,
    /// Whether the connection has to make room for others.
    is_closed: bool,
}

/// A connection of a client or of another host.
pub(crate) struct Connection {
    id: Id,
    connections: Arc<Connections>,
    activity: Mutex<Activity>,
    /// Notified when the connection may have to close earlier than before.
    changed: Notify,
    /// Notified when the connection has to make room.
    evicted: Notify,
    /// Notified when the connection is closed.
    ended: Notify,
    /// For how long the client may stop to read the response.
    read_pause: Mutex<Pause>,
}

/// Maximum times of a connection without a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Time from the first byte of a head to its end.
    pub head: Duration,
    /// Time from the end of a request, or from the opening, to the first byte of the next one.
    pub idle: Duration,
}

impl Connection {
    /// Records that the head of a request was read; returns whether it is the first one.
    pub fn start_request(&self) -> bool {
        let now = self.connections.clock.now();
        let mut activity = self.activity.lock();
        activity.running += 1;
        activity.is_reading = true;
        *self.read_pause.lock() = Pause::None;
        activity.head_since = None;
        self.connections.table.lock().record_idle(self.id, now);
        !std::mem::replace(&mut activity.served, true)
    }

    /// Records that the whole request was read. Until then the connection may have to make room for
    /// others, since nothing was sent on.
    pub fn record_read(&self) {
        let mut activity = self.activity.lock();
        if !activity.is_closed {
            activity.is_reading = false;
            self.connections.table.lock().record_busy(self.id);
        }
    }

    /// Lets the client stop to read the response that begins now.
    pub fn allow_read_pause(&self, pause: Pause) {
        *self.read_pause.lock() = pause;
    }

    /// Time after which the system closes the connection if what was sent is not read.
    fn user_timeout(&self) -> Duration {
        let pause = *self.read_pause.lock();
        pause.timeout(self.connections.clock.now(), USER_TIMEOUT)
    }

    /// Records that a request has ended.
    pub fn end_request(&self) {
        let now = self.connections.clock.now();
        let mut activity = self.activity.lock();
        activity.running -= 1;
        activity.is_reading = false;
        activity.idle_since = now;
        if activity.running == 0 {
            self.connections.table.lock().record_idle(self.id, now);
        }
        if activity.is_closed {
            self.changed.notify_one();
        }
    }

    /// Records that bytes have arrived.
    fn record_bytes(&self) {
        let mut activity = self.activity.lock();
        let now = self.connections.clock.now();
        if activity.is_reading {
            // Of bodies that are being read, the one that has stopped longest makes room first.
            self.connections.table.lock().record_idle(self.id, now);
        } else if activity.running == 0 && activity.head_since.is_none() {
            activity.head_since = Some(now);
            self.changed.notify_one();
        }
    }

    /// Whether a request was read on the connection.
    pub fn has_served(&self) -> bool {
        self.activity.lock().served
    }

    /// Whether the connection has to make room for others.
    pub fn makes_room(&self) -> bool {
        self.activity.lock().is_closed
    }

    /// Returns when the body that is being read has to make room for another connection.
    pub async fn wait_until_evicted(&self) {
        loop {
            {
                let activity = self.activity.lock();
                if activity.is_closed && activity.is_reading {
                    return;
                }
            }
            self.evicted.notified().await;
        }
    }

    /// Returns when the connection has been without a request for too long, or has to make room.
    pub async fn wait_until_idle(&self, limits: impl Fn() -> Limits) {
        loop {
            let limits = limits();
            let remaining = {
                let activity = self.activity.lock();
                let now = self.connections.clock.now();
                if activity.running > 0 {
                    limits.idle
                } else if activity.is_closed {
                    return;
                } else if let Some(since) = activity.head_since {
                    limits.head.saturating_sub(now.since(since))
                } else {
                    limits.idle.saturating_sub(now.since(activity.idle_since))
                }
            };
            if remaining.is_zero() {
                observe::count_closed_connection("idle");
                return;
            }
            tokio::select! {
                () = sleep(remaining) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Removes the connection, which has ended.
    pub fn end(&self) {
        self.connections.table.lock().remove(self.id);
        self.connections.members.lock().remove(&self.id);
        self.ended.notify_one();
    }

    /// Returns when the connection is closed.
    pub async fn wait_until_ended(&self) {
        self.ended.notified().await;
    }
}

/// A stream that tells its connection when bytes arrive, and keeps to its time-out.
pub(crate) struct Watched {
    stream: TcpStream,
    connection: Arc<Connection>,
    user_timeout: Duration,
}

impl Watched {
    pub const fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            stream,
            connection,
            user_timeout: USER_TIMEOUT,
        }
    }

    fn update_timeout(&mut self) -> io::Result<()> {
        let wanted = self.connection.user_timeout();
        if wanted != self.user_timeout {
            set_user_timeout(&self.stream, wanted)?;
            self.user_timeout = wanted;
        }
        Ok(())
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.update_timeout()?;
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
        self.update_timeout()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_timeout()?;
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
