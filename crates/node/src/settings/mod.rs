//! The settings of a node, with a default for every key that can have one.
//!
//! ```
//! use filbertstage_node::settings::Settings;
//!
//! let text = r#"{
//!     // Comments are allowed.
//!     "host": "entry-1", "domain": "charnwood", "fleet_key": "0123456789abcdef0123456789abcdef",
//! }"#;
//! assert_eq!(Settings::read(text).expect("valid").host, "entry-1");
//! assert!(Settings::read(r#"{"hosts": 1}"#).is_err());
//! ```

mod check;
mod resources;

use std::net::SocketAddr;
use std::time::Duration;

use kernel::schedule;
use serde::{Deserialize, Serialize};

pub use resources::Resources;
pub use settings::{Problem, Problems};

/// All settings of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[derive(Default)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Secret that is the same on all nodes and authenticates what they send, at least 32 bytes.
    pub fleet_key: String,
    /// SHA-256 hashes of the operators' keys, in lower-case hexadecimal. The keys give access to
    /// the routes under `/operator`.
    pub operator_key_hashes: Vec<String>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of nodes that get the heartbeats while no other live node is known.
    pub contacts: Vec<SocketAddr>,
    /// How to reach the platform.
    pub platform: Platform,
    /// Scheduling and routing.
    pub routing: Routing,
    /// Limits on accepted requests.
    pub admission: Admission,
    /// Time limits and intervals.
    pub times: Times,
    /// What the node may use of its machine.
    pub resources: Resources,
    /// Logging.
    pub log: Log,
    /// Tracing.
    pub trace: Trace,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers, operators and metrics.
    pub callers: SocketAddr,
    /// TCP and UDP for other nodes.
    pub nodes: SocketAddr,
    /// Address at which other nodes reach this one; `nodes` if this is unset.
    pub advertise: Option<SocketAddr>,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// HTTP address of the log, the host list and the weight store.
    pub address: SocketAddr,
}

/// Scheduling and routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Routing {
    /// Name of a registered routing policy.
    pub policy: String,
    /// Preference for short requests, from 0 (all lengths weigh the same) to 1 (short ones first).
    pub short_weight: f64,
    /// Maximum work granted to an engine in advance, in milliseconds of prefill.
    pub window_ms: u64,
    /// Prompt tokens per engine step of a long prompt at a `short_weight` of 0.
    pub chunk_even_tokens: u64,
    /// Prompt tokens per engine step of a long prompt at a `short_weight` of 1.
    pub chunk_short_first_tokens: u64,
    /// A request goes to another failure domain if its predicted wait exceeds twice the wait there
    /// by more than this, in milliseconds.
    pub spill_gain_ms: u64,
}

/// Limits on accepted requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// Names of registered admission rules, in the order in which they are checked.
    pub rules: Vec<String>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of headers of a request.
    pub headers: usize,
    /// Maximum number of concurrent requests at this node.
    pub requests: usize,
}

/// Time limits and intervals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Maximum duration of a drain, in milliseconds.
    pub drain_ms: u64,
    /// How long an idempotency key is kept, in milliseconds; must be below the log's retention.
    pub claim_window_ms: u64,
    /// Interval between two polls of an engine, in milliseconds.
    pub watch_ms: u64,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Lowest level that is logged: error, warn, info, debug or trace.
    pub level: String,
}

/// Tracing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trace {
    /// HTTP address of an OpenTelemetry collector. If this is unset, spans are written to the
    /// node's log output, provided that `log.level` is debug or trace.
    pub collector: Option<SocketAddr>,
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), port)
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: loopback(8_080),
            nodes: loopback(8_081),
            advertise: None,
        }
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: loopback(9_000),
        }
    }
}

impl Default for Routing {
    fn default() -> Self {
        let scheduling = schedule::Settings::default();
        Self {
            policy: scheduling.policy,
            short_weight: scheduling.short_weight,
            window_ms: 20,
            chunk_even_tokens: scheduling.chunk_even_tokens,
            chunk_short_first_tokens: scheduling.chunk_short_first_tokens,
            spill_gain_ms: 100,
        }
    }
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            rules: ["allowed", "prompt_size", "time_limit"]
                .map(str::to_owned)
                .to_vec(),
            body_bytes: 16 * 1_024 * 1_024,
            headers: 64,
            requests: 20_000,
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Self {
            drain_ms: 120_000,
            claim_window_ms: 3_600_000,
            watch_ms: 1_000,
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

/// Keys whose values can change while a node runs.
const RELOADABLE: [&str; 2] = ["log.level", "times.drain_ms"];

/// The keys that differ in settings that were read again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reload {
    /// Keys whose new values are in use.
    pub applied: Vec<String>,
    /// Keys whose new values need a restart.
    pub restart: Vec<String>,
}

impl Settings {
    /// Reads and checks settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns all problems at once, each with its line, its key and a remedy.
    pub fn read(text: &str) -> Result<Self, Problems> {
        let document = settings::Document::parse(text)?;
        let (settings, mut problems) = document.deserialize::<Self>();
        problems.extend(check::check(&settings, &document));
        if problems.is_empty() {
            return Ok(settings);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(Problems(problems))
    }

    /// Takes over the values of `changed` that can change while a node runs.
    pub fn reload(&mut self, changed: &Self) -> Reload {
        let keys = settings::changed_keys(self, changed);
        let (applied, restart) = keys
            .into_iter()
            .partition(|key| RELOADABLE.contains(&key.as_str()));
        self.log.level.clone_from(&changed.log.level);
        self.times.drain_ms = changed.times.drain_ms;
        Reload { applied, restart }
    }

    /// Returns the address at which other nodes reach this one.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        self.listen.advertise.unwrap_or(self.listen.nodes)
    }

    /// Returns the settings of the kernel's scheduler.
    #[must_use]
    pub fn schedule(&self) -> schedule::Settings {
        schedule::Settings {
            policy: self.routing.policy.clone(),
            short_weight: self.routing.short_weight,
            window: Duration::from_millis(self.routing.window_ms),
            chunk_even_tokens: self.routing.chunk_even_tokens,
            chunk_short_first_tokens: self.routing.chunk_short_first_tokens,
        }
    }
}
