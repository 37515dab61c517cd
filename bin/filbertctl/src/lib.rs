//! The operators' tool: publish lists, read status and decisions, try the product, measure it.
//!
//! Each subcommand is a module of [`cmd`]. A whole fleet in one process, used by `demo`, `load` and
//! `soak` and by the end-to-end tests, is a [`fleet::Fleet`].

pub mod caller;
pub mod cmd;
pub mod fleet;
pub mod scenario;
