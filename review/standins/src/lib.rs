//! Small stand-ins for the platform's store, the workers and the clients, on loopback addresses and
//! without dependencies. They follow `PROTOCOL.md`.

pub mod caller;
pub mod client;
pub mod http;
pub mod judge;
pub mod node;
pub mod parts;
pub mod peers;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod rng;
pub mod socket;
pub mod store;
pub mod worker;
