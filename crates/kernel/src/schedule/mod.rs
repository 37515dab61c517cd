//! Scheduler: decides which waiting request starts on which engine, and when.
//!
//! A [`Pool`] holds the waiting requests and the engines of one model in one failure domain.
//! Requests queue in the pool and not in the engines, so that a short prompt can overtake a long
//! one that arrived earlier. See docs/design/scheduling.md for the alternatives.

mod engine;
mod gang;
mod job;
mod pool;
mod predict;
mod rank;

pub use engine::{Engine, Report};
pub use job::{Grant, Job};
pub use pool::{Pool, Summary};
pub use rank::{Settings, VirtualClocks};
