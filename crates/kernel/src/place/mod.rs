//! Places requests on engines according to their published performance.
//!
//! A host keeps one [`Pool`] per service with engines. The pool holds the waiting requests and the
//! loads of all hosts: its own immediately, those of other hosts when their updates arrive. Several
//! engines share the prefill of a prompt that one engine would prefill too slowly or cannot hold in
//! memory.
//!
//! Waiting requests start in the order of [`policy::Policy`]: by priority and due time, or by what
//! their delay costs callers ([`value`], [`queue`]).

mod claim;
mod cost;
mod engine;
mod loads;
pub mod path;
mod plan;
pub mod policy;
mod pool;
pub mod promise;
pub mod queue;
pub mod share;
mod speed;
mod turns;
pub mod value;

pub use engine::{Engine, Load, LoadId};
pub use plan::{Part, Plan, Request};
pub use pool::{Decision, Pool};
pub use speed::Speed;
