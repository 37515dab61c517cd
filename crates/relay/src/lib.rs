//! Serves HTTP requests by a published catalogue of routes, keys, services and endpoints.
//!
//! A request goes one way: [`front`] reads it, [`pipeline`] routes and admits it, `plain` or
//! `stream` places it and forwards it over [`transport`]. What the platform gives stands behind the
//! traits of [`border`]; every choice is made by the kernel.

pub mod attempts;
pub mod body;
pub mod border;
pub mod budget;
mod clock;
mod follow;
mod headers;
mod hosts;
mod known;
mod observe;
pub mod pipeline;
mod placer;
mod plain;
mod questions;
mod relay;
mod reservation;
pub mod server;
pub mod settings;
mod stream;
pub mod transport;

pub use relay::{Dependencies, Relay};
