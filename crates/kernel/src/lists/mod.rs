//! The two lists that operators publish: plans, and what the plans use.
//!
//! The types stand in `generated.rs`, made from schemas/lists.schema.json; CONTRIBUTING.md says
//! how to make them anew. This module checks what a schema cannot say and builds look-up tables.

mod check;
#[allow(dead_code, missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
mod generated;
mod table;

pub use check::{Problem, check_plans, check_usage};
pub use generated::{
    Call, Change, Edit, EndpointEntry, KeyHash, ModelEntry, Name, Plan, Plans, ServiceEntry, Usage,
};
pub use table::Table;
