//! The tables that the workers share, in the order in which their locks are taken.
//!
//! A worker that needs two tables takes the one that stands earlier in [`Tables`] first. No lock
//! is held across an await or while a frame is sent. See docs/design/concurrency.md.

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

/// A pool with those who wait for its grants.
pub(crate) struct LocalPool {
    pub pool: Pool,
    pub waiters: BTreeMap<Attempt, oneshot::Sender<Grant>>,
}

/// What a node sees of the endpoints of its failure domain.
#[derive(Default)]
pub(crate) struct EngineStatus {
    /// Last report of each engine that answers.
    pub reports: BTreeMap<Endpoint, Report>,
    /// Looks in a row that brought no report.
    pub failures: BTreeMap<Endpoint, u32>,
    /// Last cache event that was read from each engine.
    pub cache_sequences: BTreeMap<Endpoint, u64>,
}

/// All shared tables, in lock order.
pub(crate) struct Tables {
    /// 1. The fold of the lists stream.
    pub fold: Mutex<Fold>,
    /// 2. Look-ups in the lists in force; replaced whole.
    pub lists: RwLock<Arc<lists::Table>>,
    /// 3. Members.
    pub members: Mutex<membership::Table>,
    /// 4. Digests of the fleet's pools.
    pub digests: Mutex<BTreeMap<(Domain, Model), wire::Pool>>,
    /// 5. Plan limits.
    pub limiter: Mutex<Limiter>,
    /// 6. Endpoints of the own failure domain.
    pub engine_status: Mutex<EngineStatus>,
    /// 7. Waiting requests of the pools that this node owns.
    pub pools: Mutex<BTreeMap<Model, LocalPool>>,
    /// 8. What attempts hold at endpoints.
    pub ledger: Mutex<Ledger>,
    /// 9. Claims.
    pub claims: Mutex<Registry>,
    /// 10. Leases.
    pub leases: Mutex<lease::Table>,
    /// 11. Deferred requests.
    pub deferred: Mutex<Store>,
    /// 12. Retry budget.
    pub budget: Mutex<Budget>,
    /// 13. Decisions.
    pub journal: SharedJournal,
    /// Records that wait to be appended; has a lock of its own that is taken alone.
    pub outbox: Arc<Outbox>,
    /// Whether the platform's host list, as last read, names no other host; no lock.
    pub only_host: AtomicBool,
    /// When the streams of the log were last read; no lock.
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
            digests: Mutex::default(),
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

    /// The lists in force.
    pub fn lists(&self) -> Arc<lists::Table> {
        self.lists.read().clone()
    }
}
