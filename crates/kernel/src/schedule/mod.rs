//! Decides which waiting request starts on which engine, and when.
//!
//! One [`Pool`] holds the waiting requests and the engines of one model in one failure domain.
//! Requests wait here and not in the engines, so a short prompt that arrives later is still ahead
//! of a long one. See docs/design/scheduling.md for the ways that were weighed.

mod engine;
mod gang;
mod job;
mod pool;
mod predict;
mod rank;

pub use engine::{Engine, Report};
pub use job::{Grant, Job};
pub use pool::{Pool, Summary};
pub use rank::{Settings, VirtualClock};
