//! A node, which connects the kernel's decisions to sockets, a worker pool, metrics and traces.
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
mod deferred;
mod dispatch;
mod follow;
mod gossip;
pub mod invariant;
mod limits;
mod node;
mod observe;
mod peer;
mod reconcile;
mod serve;
pub mod settings;
mod shared;
mod status;
mod tables;
mod trace;
mod watch;

pub use node::Node;
pub use shared::{Clock, Dependencies, Network, SystemClock, SystemNetwork};
