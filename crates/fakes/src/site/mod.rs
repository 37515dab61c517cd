//! A stand-in of the users' platform: its log, model engines and plain endpoints, with faults.
//!
//! It speaks the published protocol with the names of the adapter. Engines follow the published
//! formula, run faster by a set factor.

mod http1;
mod log;
mod worker;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;

pub use http1::Server;
pub use log::Log;
pub use worker::{Fault, Run, Worker, piece};

/// Value of the `Host` header that the routes have.
pub const HOST: &str = "site.example";
/// A caller's key.
pub const KEY: &str = "a-key-of-the-club";
/// Tokens of one engine's memory.
pub const MEMORY_TOKENS: u64 = 450_000;
/// Tokens of one event.
pub const STRIDE: u64 = 46;

/// A running stand-in.
pub struct Site {
    /// The log.
    pub log: Server<Log>,
    /// The engines.
    pub engines: Vec<Server<Worker>>,
    /// The plain endpoints.
    pub desks: Vec<Server<Worker>>,
}

impl Site {
    /// Starts endpoints and a log in which they are registered; engines run `scale` times faster
    /// than published ones. No configuration is published yet.
    ///
    /// # Errors
    ///
    /// The system's error when a port cannot be bound.
    pub async fn start(engines: usize, desks: usize, scale: u32) -> io::Result<Self> {
        let log = Server::start(Arc::new(Log::default())).await?;
        let mut site = Self {
            log,
            engines: Vec::new(),
            desks: Vec::new(),
        };
        for index in 0..engines {
            let worker = Worker::engine(&format!("engine-{index}"), scale);
            site.engines.push(Server::start(Arc::new(worker)).await?);
        }
        for index in 0..desks {
            let worker = Worker::desk(&format!("desk-{index}"));
            site.desks.push(Server::start(Arc::new(worker)).await?);
        }
        for worker in site.engines.iter().chain(&site.desks) {
            site.register(worker, "ready");
        }
        Ok(site)
    }

    /// Writes the entry of an endpoint.
    pub fn register(&self, worker: &Server<Worker>, state: &str) {
        let state = &worker.state.entry(worker.address, state);
        self.log
            .state
            .put("keyed.servers", worker.state.name(), state);
    }

    /// Publishes a configuration in which the caller's key is `key`.
    pub fn publish(&self, version: u64, key: &str) {
        let configuration = configuration(version, key);
        self.log.state.put("keyed.op", "config", &configuration);
    }

    /// The address of the log.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.log.address
    }
}

/// A configuration with a route of each kind.
#[must_use]
pub fn configuration(version: u64, key: &str) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 8_000, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": attempts, "anonymousAccess": false, "sessionAffinity": true,
            "streamResumption": name == "ask", "gapTargetMs": 200,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("ask", "streaming", "writer", 3),
            route("tell", "streaming", "writer", 3),
            route("book", "non_idempotent", "desk", 1),
            route("look", "idempotent", "desk", 2),
        ],
        "services": [
            {"name": "writer", "healthCheckPath": "/health", "connectionLimit": 300,
             "engine": {"slots": 16, "kvCacheTokens": MEMORY_TOKENS, "stride": STRIDE,
                        "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
                        "read_per_s": 256_000.0, "pairs_per_m": 0.0917, "chunk": 2048,
                        "hopMs": 0.1}},
            {"name": "desk", "healthCheckPath": "/health", "connectionLimit": 100},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
                   "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "club", "apiKeys": [key], "priority": 1}],
    })
}
