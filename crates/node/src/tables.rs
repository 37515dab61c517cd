//! The tables that a node's tasks share, in lock order.
//!
//! A task that needs two tables locks the one that comes first in [`Tables`] first. No lock is held
//! across an await or while a frame is sent. See docs/design/concurrency.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use kernel::claim::Registry;
use kernel::fold::Fold;
use kernel::ledger::Ledger;
use kernel::lists;
use kernel::membership;
use kernel::prelude::*;
use kernel::request::{Attempt, Incarnation};
use kernel::retry::Budget;
use kernel::schedule::{Grant, Pool, Report};
use kernel::share::{Limiter, Share};
use kernel::{journal, lease};
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use crate::claims::Outbox;
use crate::deferred::Store;
use crate::follow::Progress;
use crate::settings::Settings;
use crate::shared::SharedJournal;

/// A pool at this node, with the channels of the attempts that wait for grants.
pub(crate) struct LocalPool {
    pub pool: Pool,
    pub waiters: BTreeMap<Attempt, oneshot::Sender<Grant>>,
}

/// Results of polling the engines of the node's failure domain.
#[derive(Default)]
pub(crate) struct EngineStatus {
    /// Last report of each engine that responds.
    pub reports: BTreeMap<Endpoint, Report>,
    /// Number of consecutive failed polls of each engine.
    pub failures: BTreeMap<Endpoint, u32>,
    /// Sequence number of the last cache event that was read from each engine.
    pub cache_sequences: BTreeMap<Endpoint, u64>,
}

/// All shared tables, in lock order.
pub(crate) struct Tables {
    /// 1. The fold of the lists stream.
    pub fold: Mutex<Fold>,
    /// 2. Index of the lists in force; replaced as a whole.
    pub lists: RwLock<Arc<lists::Table>>,
    /// 3. Members of the fleet.
    pub members: Mutex<membership::Table>,
    /// 4. Summaries of the fleet's pools.
    pub pool_summaries: Mutex<BTreeMap<(Domain, Model), wire::Pool>>,
    /// 5. Plan limits and loans.
    pub limiter: Mutex<Limiter>,
    /// 6. Engines of this node's failure domain.
    pub engine_status: Mutex<EngineStatus>,
    /// 7. Pools at this node, with the waiting requests of those that it owns.
    pub pools: Mutex<BTreeMap<Model, LocalPool>>,
    /// 8. Attempts that may hold memory at endpoints.
    pub ledger: Mutex<Ledger>,
    /// 9. Claims of idempotency keys.
    pub claims: Mutex<Registry>,
    /// 10. Leases and their holders.
    pub leases: Mutex<lease::Table>,
    /// 11. Deferred requests and copies of them.
    pub deferred: Mutex<Store>,
    /// 12. Budget of retries.
    pub budget: Mutex<Budget>,
    /// 13. Decisions on requests.
    pub journal: SharedJournal,
    /// Records that wait to be appended to the log. No other lock is held together with the
    /// outbox's own lock.
    pub outbox: Arc<Outbox>,
    /// Whether the last read of the platform's host list returned no other host; has no lock.
    pub only_host: AtomicBool,
    /// When the streams of the log were last read; has no lock.
    pub progress: Progress,
}

impl Tables {
    pub fn new(settings: &Settings, incarnation: Incarnation, advertised: SocketAddr) -> Self {
        let own = membership::Entry {
            host: Host::from(settings.host.as_str()),
            domain: Domain::from(settings.domain.as_str()),
            address: advertised.to_string(),
            incarnation,
            counter: 0,
            leaving: false,
        };
        let window = Duration::from_millis(settings.times.claim_window_ms);
        Self {
            fold: Mutex::new(Fold::new(settings.fleet_key.as_bytes())),
            lists: RwLock::default(),
            members: Mutex::new(membership::Table::new(own)),
            pool_summaries: Mutex::default(),
            limiter: Mutex::new(Limiter::new(Share::WHOLE)),
            engine_status: Mutex::default(),
            pools: Mutex::default(),
            ledger: Mutex::default(),
            claims: Mutex::new(Registry::new(window)),
            leases: Mutex::default(),
            deferred: Mutex::new(Store::new(incarnation)),
            budget: Mutex::default(),
            journal: Mutex::new(journal::Journal::default()),
            outbox: Arc::default(),
            only_host: AtomicBool::new(false),
            progress: Progress::default(),
        }
    }

    /// Returns the lists in force.
    pub fn lists(&self) -> Arc<lists::Table> {
        self.lists.read().clone()
    }
}
