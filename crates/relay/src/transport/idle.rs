//! Open connections that wait for their next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::header::{CONNECTION, HeaderMap};
use parking_lot::Mutex;
use tokio::task::AbortHandle;

use super::Sender;
use super::tag::{Refused, Tag};

/// Idle time after which a connection is not reused, unless the peer announces a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the end of the peer's announced idle timeout at which a connection expires.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Maximum idle time of a connection whose peer announces a longer one.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Number of connections for each address that stay idle longer than `IDLE_TIMEOUT`. All hosts
/// together keep within the connection limits of endpoints.
const LONG_IDLE_PER_ADDRESS: usize = 2;
/// Number of idle connections to all addresses above which none stays idle longer than
/// `IDLE_TIMEOUT`, because small hosts have few descriptors.
const MAX_LONG_IDLE: usize = 512;
/// Maximum number of idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 24;

/// An open connection that waits for its next request.
pub(super) struct Idle {
    pub sender: Sender,
    pub task: AbortHandle,
    pub refused: Refused,
    pub since: Instant,
    pub expires_at: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        self.expires_at > now && !self.sender.is_closed()
    }
}

/// The idle connections to all addresses.
#[derive(Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection to `address` that was used last and on which `request` was not refused.
    pub fn take(&self, address: SocketAddr, request: Option<Tag>) -> Option<Idle> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|connection| {
            let is_usable = connection.is_usable(now);
            if !is_usable {
                connection.task.abort();
            }
            is_usable
        });
        if kept.is_empty() {
            idle.remove(&address);
            return None;
        }
        let allowed =
            |connection: &Idle| request.is_none_or(|request| !connection.refused.contains(request));
        let index = kept.iter().rposition(allowed)?;
        Some(kept.remove(index))
    }

    /// Keeps a connection to `address`.
    pub fn store(&self, address: SocketAddr, connection: Idle) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(address).or_default();
        kept.push(connection);
        if kept.len() > MAX_IDLE_PER_ADDRESS {
            kept.remove(0).task.abort();
        }
    }

    /// Returns the addresses to which there are connections.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.idle.lock().keys().copied().collect()
    }

    /// Closes all connections to `address`.
    pub fn close(&self, address: SocketAddr) {
        let kept = self.idle.lock().remove(&address);
        for connection in kept.into_iter().flatten() {
            connection.task.abort();
        }
    }

    /// Closes connections that have expired, and drops those that the peer closed.
    pub fn close_expired(&self, now: Instant) {
        let mut idle = self.idle.lock();
        let few = idle.values().map(Vec::len).sum::<usize>() <= MAX_LONG_IDLE;
        idle.retain(|_, kept| {
            // The connections that are used first are at the end.
            let mut after = kept.len();
            kept.retain(|connection| {
                after -= 1;
                let long = few && after < LONG_IDLE_PER_ADDRESS;
                let recent = now.duration_since(connection.since) < IDLE_TIMEOUT;
                let keep = connection.is_usable(now) && (long || recent);
                if !keep {
                    connection.task.abort();
                }
                keep
            });
            !kept.is_empty()
        });
    }
}

/// Returns how long a connection may stay idle after a response with `headers`, or `None` if it
/// must not be reused.
pub(super) fn timeout(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        let text = value.to_str().unwrap_or("close");
        text.to_ascii_lowercase().contains("close")
    });
    if closes {
        return None;
    }
    let announced = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        let seconds = text
            .split(',')
            .find_map(|item| item.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    let idle = announced.map_or(IDLE_TIMEOUT, |time| {
        time.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT)
    });
    (!idle.is_zero()).then_some(idle)
}
