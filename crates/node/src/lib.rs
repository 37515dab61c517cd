//! A node, which serves callers with the engines and services of its failure domain.
//!
//! The kernel crate makes the decisions; this crate carries them out over sockets and records
//! metrics and traces. `api` admits requests. `serve` runs completions, on engines that `dispatch`
//! requests from the owner of a pool, and `call` makes calls to plain services. `gossip` and `peer`
//! exchange heartbeats and frames with other nodes, and `follow` reads the platform's log.
//!
//! The main type is [`Node`]. Read its settings, start it, and drain it before the process exits:
//!
//! ```no_run
//! use filbertstage_node::{Dependencies, Node, settings::Settings};
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::read(&std::fs::read_to_string("filbertstage.json")?)?;
//! let dependencies = Dependencies::from_settings(&settings);
//! let node = Node::start(settings, dependencies).await?;
//! node.drain().await;
//! # Ok(())
//! # }
//! ```

mod api;
mod call;
mod claims;
mod connection;
mod deferred;
mod dispatch;
mod exit;
mod follow;
mod gossip;
pub mod invariant;
mod limits;
mod node;
mod observe;
mod peer;
mod reconcile;
mod serve;
mod server;
pub mod settings;
mod shared;
mod status;
mod tables;
mod trace;
mod watch;

pub use node::Node;
pub use shared::{Clock, Dependencies, Network, SystemClock, SystemNetwork};
