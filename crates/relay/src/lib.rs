//! Serves HTTP requests by a published catalogue of routes, keys, services and endpoints.
//!
//! [`server`] accepts a request, [`pipeline`] reads, routes and admits it, and `plain` or `stream`
//! selects an endpoint and forwards the request over [`transport`]. The traits of [`adapter`]
//! abstract the platform. The kernel crate makes every decision.

pub mod accepted;
pub mod adapter;
mod admin;
pub mod attempts;
pub mod body;
mod broken;
pub mod budget;
pub mod clock;
mod cold;
mod connection;
mod detour;
mod evacuation;
mod evidence;
mod exchange;
mod fingerprint;
mod follow;
mod headers;
mod hosts;
mod intake;
mod link;
mod loan;
mod notice;
mod observe;
mod part;
pub mod path;
pub mod pipeline;
pub mod placer;
mod plain;
pub mod quarantine;
mod queue;
pub mod registry;
mod relay;
mod report;
mod reservation;
pub mod server;
pub mod settings;
mod stream;
pub mod transport;

pub use relay::{Dependencies, Relay};
