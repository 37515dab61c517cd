//! Serves HTTP requests by a published catalogue of routes, keys, services and endpoints.
//!
//! A request goes one way: [`front`] reads it, [`pipeline`] routes and admits it, `plain` or
//! `stream` places it and forwards it over [`transport`]. What the platform gives stands behind the
//! traits of [`adapter`]; every choice is made by the kernel.

pub mod adapter;
mod admin;
pub mod attempts;
pub mod body;
pub mod budget;
mod clock;
mod follow;
mod headers;
mod hosts;
mod observe;
pub mod pipeline;
mod placer;
mod plain;
mod registry;
mod relay;
mod reservation;
pub mod server;
pub mod settings;
mod stream;
pub mod transport;

pub use relay::{Dependencies, Relay};
