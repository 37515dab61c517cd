//! Decision logic of the serving layer as state machines without sockets, clocks or threads.
//!
//! Two servers use it. The node shares state over a log ([`claim`], [`fold`], [`lease`]) and
//! schedules requests on engines with [`schedule`]. The relay serves a published [`catalogue`] and
//! places requests on engines with [`place`]. Each of the two has its own `Pool`, `Engine` and
//! claims.
//!
//! Functions take the current time and the random generator as arguments, so that a run can be
//! replayed event by event:
//!
//! ```
//! use filbertstage_kernel::prelude::*;
//! use filbertstage_kernel::schedule::{Pool, Settings};
//!
//! let mut pool = Pool::new(Settings::default());
//! let now = Instant::from_millis(1_000);
//! assert!(pool.assign(now).is_empty(), "no requests are waiting, so no grants are issued");
//! ```

pub mod admission;
pub mod attempt;
pub mod balance;
pub mod buffer;
pub mod catalogue;
pub mod claim;
pub mod clock;
pub mod cold;
pub mod connection;
pub mod contact;
pub mod cost;
pub mod deferred;
pub mod detour;
pub mod evacuation;
pub mod event;
pub mod failure;
pub mod fingerprint;
pub mod fleet;
pub mod fold;
pub mod journal;
pub mod lease;
pub mod ledger;
pub mod lists;
pub mod loan;
pub mod membership;
pub mod name;
pub mod outcome;
pub mod outlier;
pub mod pace;
pub mod patience;
pub mod place;
pub mod position;
pub mod quarantine;
pub mod read;
pub mod reconcile;
pub mod request;
pub mod resume;
pub mod retry;
pub mod routing;
pub mod schedule;
pub mod segment;
pub mod share;
pub mod turn;

/// Types that most modules import.
pub mod prelude {
    pub use crate::clock::Instant;
    pub use crate::name::{Domain, Endpoint, Host, Model, Service, Workspace};
    pub use crate::outcome::{Outcome, Refusal};
    pub use std::time::Duration;
}
