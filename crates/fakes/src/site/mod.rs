//! Fakes of the users' platform: its log, model engines and plain endpoints, with faults.
//!
//! They implement the platform's published protocol with the paths and headers that the adapter
//! names. Engines take the time that the published cost formula gives, divided by a scale factor.

mod endpoint;
mod events;
mod fault;
mod http1;
mod link;
mod log;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::json;

pub use endpoint::{Endpoint, Run};
pub use events::stream_event;
pub use fault::Fault;
pub use http1::Server;
pub use link::{LinkState, View};
pub use log::{Copy, Log};

/// Value of the `Host` header that the routes match.
pub const HOST: &str = "site.example";
/// API key of a caller, for [`Site::publish`].
pub const API_KEY: &str = "a-key-of-the-club";
/// KV memory of one engine, in tokens.
pub const KV_CACHE_TOKENS: u64 = 450_000;
/// Answer tokens in one event of a stream.
pub const EVENT_TOKENS: u64 = 46;

/// A running fake platform.
pub struct Site {
    /// Server of the log.
    pub log: Server<Log>,
    /// Servers of the model engines.
    pub engines: Vec<Server<Endpoint>>,
    /// Servers of the plain endpoints.
    pub plain_endpoints: Vec<Server<Endpoint>>,
}

impl Site {
    /// Starts a log and the given numbers of endpoints, and registers the endpoints in the log.
    /// Engines run `scale` times faster than the published formula. No configuration is published.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if a port cannot be bound.
    pub async fn start(engines: usize, plain_endpoints: usize, scale: u32) -> io::Result<Self> {
        let log = Server::start(Arc::new(Log::default())).await?;
        let mut site = Self {
            log,
            engines: Vec::new(),
            plain_endpoints: Vec::new(),
        };
        for index in 0..engines {
            let endpoint = Endpoint::engine(&format!("engine-{index}"), scale);
            site.engines.push(Server::start(Arc::new(endpoint)).await?);
        }
        for index in 0..plain_endpoints {
            let endpoint = Endpoint::plain(&format!("desk-{index}"));
            site.plain_endpoints
                .push(Server::start(Arc::new(endpoint)).await?);
        }
        for endpoint in site.engines.iter().chain(&site.plain_endpoints) {
            site.register(endpoint, "ready");
        }
        Ok(site)
    }

    /// Writes the entry of an endpoint with `state`, such as `ready` or `draining`, to the log.
    pub fn register(&self, endpoint: &Server<Endpoint>, state: &str) {
        let entry = &endpoint.state.entry(endpoint.address, state);
        self.log
            .state
            .put("keyed.servers", endpoint.state.name(), entry);
    }

    /// Publishes version `version` of the configuration, in which the caller's key is `key`.
    pub fn publish(&self, version: u64, key: &str) {
        let configuration = configuration(version, key);
        self.log.state.put("keyed.op", "config", &configuration);
    }

    /// Returns the address of the log.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.log.address
    }
}

/// Returns a configuration record with a route of each kind. The only caller has the API key `key`.
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
            route("peek", "idempotent", "desk", 1),
        ],
        "services": [
            {"name": "writer", "healthCheckPath": "/health", "connectionLimit": 300,
             "engine": {"slots": 16, "kvCacheTokens": KV_CACHE_TOKENS, "stride": EVENT_TOKENS,
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
