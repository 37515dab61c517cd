//! The two lists that operators publish: the plans of the workspaces, and the models, endpoints and
//! services that the plans use.
//!
//! The types in `generated.rs` are generated from schemas/lists.schema.json; CONTRIBUTING.md
//! describes how to regenerate them. This module adds the checks that a schema cannot express and
//! builds lookup tables.

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
