//! Library behind the operators' command-line tool `filbertctl`.
//!
//! Each subcommand is a module of [`cmd`]. A [`fleet::Fleet`] runs a complete fleet in one process
//! for several subcommands and the end-to-end tests.

pub mod caller;
pub mod cmd;
pub mod fleet;
pub mod scenario;
