//! Places requests on engines by their published speed.
//!
//! A host keeps one [`Pool`] for each service of engines. It holds the loads of all hosts, the own
//! ones at once and those of the others as they tell them, and the requests that wait. Prompts that
//! one engine reads too slowly, or cannot hold, are read by several.

mod claim;
mod engine;
mod plan;
mod pool;
mod speed;

pub use engine::{Engine, Load, LoadId};
pub use plan::{Part, Plan, Request};
pub use pool::{Decision, Pool};
pub use speed::Speed;
