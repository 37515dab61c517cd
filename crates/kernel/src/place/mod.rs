//! Places requests on engines according to their published performance.
//!
//! A host keeps one [`Pool`] per service with engines. The pool holds the waiting requests and the
//! loads of all hosts: its own immediately, those of other hosts when their updates arrive. Several
//! engines share the prefill of a prompt that one engine would prefill too slowly or cannot hold in
//! memory.

mod claim;
mod engine;
pub mod path;
mod plan;
mod pool;
mod slowness;
mod speed;
mod turns;

pub use engine::{Engine, Load, LoadId};
pub use plan::{Part, Plan, Request};
pub use pool::{Decision, Pool};
pub use slowness::Slowness;
pub use speed::Speed;
