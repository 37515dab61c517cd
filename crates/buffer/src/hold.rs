//! Parts of the account, which are given back when they are dropped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kernel::buffer::{Account, Id, Verdict};
use kernel::clock;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time after which a hold that waits looks for stalled ones.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

struct Shared {
    account: Mutex<Account>,
    /// Notified when bytes are given back.
    returned: Notify,
    /// Notified when a hold is revoked.
    revoked: Notify,
    started: Instant,
}

impl Shared {
    fn now(&self) -> clock::Instant {
        let elapsed = self.started.elapsed().as_micros();
        clock::Instant::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

/// The account of a process.
#[derive(Clone)]
pub struct Buffers {
    shared: Arc<Shared>,
}

impl Buffers {
    /// Opens an account of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            shared: Arc::new(Shared {
                account: Mutex::new(Account::new(limit)),
                returned: Notify::new(),
                revoked: Notify::new(),
                started: Instant::now(),
            }),
        }
    }

    /// Opens a hold for bytes that have to keep coming.
    #[must_use]
    pub fn open_incoming(&self) -> Hold {
        self.open_hold(true)
    }

    /// Opens a hold that is not revoked.
    #[must_use]
    pub fn open(&self) -> Hold {
        self.open_hold(false)
    }

    fn open_hold(&self, is_incoming: bool) -> Hold {
        let now = self.shared.now();
        Hold {
            id: self.shared.account.lock().open(is_incoming, now),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.shared.account.lock().held()
    }

    /// Maximum number of bytes that can be held.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.shared.account.lock().limit()
    }
}

/// A part of the account. Dropping it gives its bytes back.
pub struct Hold {
    id: Id,
    shared: Arc<Shared>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shared.account.lock().close(self.id);
        self.shared.returned.notify_waiters();
    }
}

impl Hold {
    /// Takes more bytes if there is room for them now.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        self.shared.account.lock().try_take(self.id, bytes as u64)
    }

    /// Takes more bytes, and waits up to `patience` for room. Returns whether there was any.
    pub async fn take(&mut self, bytes: usize, patience: Duration) -> bool {
        let shared = Arc::clone(&self.shared);
        let id = self.id;
        let taking = async {
            loop {
                let returned = shared.returned.notified();
                tokio::pin!(returned);
                returned.as_mut().enable();
                let verdict = shared.account.lock().take(id, bytes as u64, shared.now());
                match verdict {
                    Verdict::Granted => {
                        // The next one in turn may fit as well.
                        shared.returned.notify_waiters();
                        return true;
                    }
                    Verdict::Never => return false,
                    Verdict::Revoke => shared.revoked.notify_waiters(),
                    Verdict::Full => {}
                }
                // Holds stall without a notice.
                let _ = timeout(RETRY_INTERVAL, returned).await;
            }
        };
        let is_taken = timeout(patience, taking).await.unwrap_or(false);
        if !is_taken {
            let now = self.shared.now();
            self.shared.account.lock().stop_waiting(self.id, now);
            self.shared.returned.notify_waiters();
        }
        is_taken
    }

    /// Maximum number of bytes that a hold can have.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        let max = self.shared.account.lock().max_hold();
        usize::try_from(max).unwrap_or(usize::MAX)
    }

    /// Gives bytes back.
    pub fn give_back(&mut self, bytes: usize) {
        self.shared.account.lock().give_back(self.id, bytes as u64);
        self.shared.returned.notify_waiters();
    }

    /// Records that `bytes` have arrived.
    pub fn record_arrival(&mut self, bytes: usize) {
        let now = self.shared.now();
        let mut account = self.shared.account.lock();
        account.record_arrival(self.id, bytes as u64, now);
    }

    /// Records that everything has arrived, so that the hold is not revoked any more.
    pub fn settle(&mut self) {
        self.shared.account.lock().settle(self.id);
    }

    /// Returns when the hold is revoked, because its bytes have stopped coming and others need the
    /// room.
    pub async fn wait_until_revoked(&self) {
        loop {
            let revoked = self.shared.revoked.notified();
            tokio::pin!(revoked);
            revoked.as_mut().enable();
            if self.shared.account.lock().is_revoked(self.id) {
                return;
            }
            revoked.await;
        }
    }

    /// Ties the hold to bytes: it ends with the last reference to them.
    #[must_use]
    pub fn attach<T: AsRef<[u8]> + Send + 'static>(self, bytes: T) -> Bytes {
        Bytes::from_owner(Held { bytes, _hold: self })
    }
}

struct Held<T> {
    bytes: T,
    _hold: Hold,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
