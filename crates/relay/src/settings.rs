//! Settings of a host that serves a published catalogue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use buffer::machine;
use kernel::fleet::Start;
use kernel::place::policy::Choice;
use kernel::place::value::Weights;
use serde::{Deserialize, Serialize};
use settings::{Document, Problems, number};

/// All settings of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Whether the whole fleet starts for the first time, so that no host has run before.
    pub first_start: bool,
    /// Addresses to listen on.
    pub listen: Listen,
    /// How to reach the platform.
    pub platform: Platform,
    /// Limits on retries.
    pub retry: Retry,
    /// Order of waiting streams, and which are refused.
    pub admission: Admission,
    /// Time limits.
    pub times: Times,
    /// What the host may use of its machine.
    pub resources: Resources,
    /// Which log messages are written.
    pub log: Log,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// HTTP for clients.
    pub clients: SocketAddr,
    /// HTTP for the load balancer's readiness probes.
    pub readiness: SocketAddr,
    /// UDP and TCP for other hosts.
    pub hosts: SocketAddr,
    /// HTTP for metrics. They are not served if this is unset.
    pub metrics: Option<SocketAddr>,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// HTTP address of the store.
    pub address: SocketAddr,
}

/// Limits on the retries of each service, summed over all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Retries that are allowed for each first attempt.
    #[serde(deserialize_with = "number::real")]
    pub ratio: f64,
    /// Retries that are allowed within the window in addition to `ratio` for each first attempt.
    #[serde(deserialize_with = "number::real")]
    pub floor: f64,
    /// Seconds of the sliding window, instead of `window_ms`.
    #[serde(deserialize_with = "number::optional")]
    pub window_s: Option<f64>,
    /// Milliseconds of the sliding window in which retries and first attempts are counted.
    #[serde(deserialize_with = "number::whole")]
    pub window_ms: u64,
}

/// Order of waiting streams when there is too little room.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// `auto`, `value` or `order`.
    pub policy: String,
    /// Worth of a request relative to an equal one of the next, less urgent priority.
    pub rank_weight: f64,
    /// Worth of a late answer relative to one in time.
    pub late_share: f64,
}

/// Names of the policies and what they select.
const POLICIES: [(&str, Choice); 3] = [
    ("auto", Choice::Auto),
    ("value", Choice::Value),
    ("order", Choice::Order),
];
/// Largest accepted `admission.rank_weight`; larger ones change nothing but lose precision.
const MAX_RANK_WEIGHT: f64 = 1_000.0;

impl Default for Admission {
    fn default() -> Self {
        let Weights { rank, late_share } = Weights::default();
        Self {
            policy: "auto".to_owned(),
            rank_weight: rank,
            late_share,
        }
    }
}

impl Admission {
    /// Returns the chosen policy; `None` if its name is unknown.
    #[must_use]
    pub fn choice(&self) -> Option<Choice> {
        let mut known = POLICIES.iter();
        let (_, choice) = known.find(|(name, _)| *name == self.policy)?;
        Some(*choice)
    }

    /// Returns the weights of the order by value.
    #[must_use]
    pub const fn weights(&self) -> Weights {
        Weights {
            rank: self.rank_weight,
            late_share: self.late_share,
        }
    }
}

/// Time limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Seconds from SIGTERM to SIGKILL, instead of `grace_ms`.
    #[serde(deserialize_with = "number::optional")]
    pub grace_s: Option<f64>,
    /// Milliseconds from SIGTERM to SIGKILL.
    #[serde(deserialize_with = "number::whole")]
    pub grace_ms: u64,
    /// Milliseconds within which a configuration must be in force after its publication.
    #[serde(deserialize_with = "number::whole")]
    pub apply_ms: u64,
    /// Milliseconds within which requests to an endpoint must stop after it starts to drain.
    #[serde(deserialize_with = "number::whole")]
    pub drain_ms: u64,
    /// Milliseconds between two writes of an endpoint's entry in the store, which removes the entry
    /// after [`MISSED_HEARTBEATS`] of them.
    #[serde(deserialize_with = "number::whole")]
    pub heartbeat_ms: u64,
    /// Milliseconds within which requests to the endpoints of a failure domain must stop after its
    /// evacuation is published.
    #[serde(deserialize_with = "number::whole")]
    pub evacuation_ms: u64,
}

/// Number of missed writes after which the store removes an endpoint's entry.
const MISSED_HEARTBEATS: u32 = 3;

impl Times {
    /// Returns the time between two writes of an endpoint's entry.
    #[must_use]
    pub const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time after which the store removes the entry of a silent endpoint.
    #[must_use]
    pub const fn registration_ttl(&self) -> Duration {
        self.heartbeat().saturating_mul(MISSED_HEARTBEATS)
    }
}

/// What the host may use of its machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Memory of the machine in MB. If it is 0, the system is asked.
    #[serde(deserialize_with = "number::whole")]
    pub memory_mb: u64,
    /// Maximum number of open descriptors. If it is 0, the system is asked.
    #[serde(deserialize_with = "number::whole")]
    pub descriptors: u64,
}

/// Share of the memory for bodies of requests and responses: one part of so many. The rest is for
/// connections, tables and what the allocator keeps.
const BUFFER_PARTS: u64 = 3;
/// Share of the memory for connections of clients: one part of so many.
const CONNECTION_PARTS: u64 = 5;
/// Memory of a connection with a request: buffers for reading and writing, the head, and what the system
/// receives ahead.
const CONNECTION_BYTES: u64 = 112 * 1_024;
/// Descriptors of a process that cannot tell.
const UNKNOWN_DESCRIPTORS: u64 = 1_024;
/// Memory of a machine that does not tell, in MB.
const UNKNOWN_MEMORY_MB: u64 = 512;

impl Resources {
    /// Returns the memory of the machine, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        const MB: u64 = 1_000_000;
        match self.memory_mb {
            0 => machine::memory_bytes().unwrap_or(UNKNOWN_MEMORY_MB * MB),
            memory_mb => memory_mb.saturating_mul(MB),
        }
    }

    fn max_descriptors(&self) -> u64 {
        match self.descriptors {
            0 => machine::max_descriptors().unwrap_or(UNKNOWN_DESCRIPTORS),
            descriptors => descriptors,
        }
    }

    /// Returns the maximum number of connections of clients. The other descriptors and the rest of the
    /// memory are for endpoints, other hosts and the platform.
    #[must_use]
    pub fn max_clients(&self) -> usize {
        let by_descriptors = self.max_descriptors() / 2;
        let by_memory = self.memory_bytes() / CONNECTION_PARTS / CONNECTION_BYTES;
        usize::try_from(by_descriptors.min(by_memory)).unwrap_or(usize::MAX)
    }

    /// Returns the maximum number of connections of other hosts.
    #[must_use]
    pub fn max_hosts(&self) -> usize {
        self.max_clients() / 4
    }

    /// Returns the memory for bodies of requests and responses, in bytes.
    #[must_use]
    pub fn buffer_bytes(&self) -> u64 {
        self.memory_bytes() / BUFFER_PARTS
    }
}

/// Least memory with which a host can serve, in MB.
pub const MIN_MEMORY_MB: u64 = 64;
/// Least number of descriptors with which a host can serve.
pub const MIN_DESCRIPTORS: u64 = 64;

/// Which log messages are written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: String,
}

/// Placeholder for an address that is not configured; listeners then get a free port.
const UNSET: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl Default for Listen {
    fn default() -> Self {
        Self {
            clients: UNSET,
            readiness: UNSET,
            hosts: UNSET,
            metrics: None,
        }
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self { address: UNSET }
    }
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            floor: 100.0,
            window_s: None,
            window_ms: 10_000,
        }
    }
}

impl Retry {
    /// Returns the length of the sliding window.
    #[must_use]
    pub fn window(&self) -> Duration {
        let seconds = self.window_s.map(Duration::from_secs_f64);
        seconds.unwrap_or(Duration::from_millis(self.window_ms))
    }
}

impl Default for Times {
    fn default() -> Self {
        Self {
            grace_s: None,
            grace_ms: 8_000,
            apply_ms: 2_000,
            drain_ms: 2_000,
            heartbeat_ms: 1_200,
            evacuation_ms: 5_000,
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

impl Settings {
    /// Parses and validates settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// All problems at once, each with its line, key and remedy.
    pub fn read(text: &str) -> Result<Self, Problems> {
        let document = Document::parse(text)?;
        let (tree, mut problems) = document.deserialize::<Self>();
        let mut require = |holds: bool, key: &str, message: &str| {
            if !holds {
                problems.push(document.problem(key, message));
            }
        };
        require(!tree.host.is_empty(), "host", "missing: name this host");
        require(
            !tree.domain.is_empty(),
            "domain",
            "missing: name the failure domain of this host",
        );
        require(
            tree.platform.address.port() != 0,
            "platform.address",
            "missing: give the address of the platform's store",
        );
        require(
            !tree.retry.window().is_zero(),
            "retry.window_ms",
            "zero: give the length of the window in milliseconds",
        );
        require(
            tree.admission.choice().is_some(),
            "admission.policy",
            "unknown: give \"auto\", \"value\" or \"order\"",
        );
        require(
            (1.0..=MAX_RANK_WEIGHT).contains(&tree.admission.rank_weight),
            "admission.rank_weight",
            "out of range: give a number from 1 to 1000",
        );
        require(
            (0.0..=1.0).contains(&tree.admission.late_share),
            "admission.late_share",
            "out of range: give a number from 0 to 1",
        );
        let Resources {
            memory_mb,
            descriptors,
        } = tree.resources;
        require(
            memory_mb == 0 || memory_mb >= MIN_MEMORY_MB,
            "resources.memory_mb",
            "too little: give at least 64, or 0 to ask the system",
        );
        require(
            descriptors == 0 || descriptors >= MIN_DESCRIPTORS,
            "resources.descriptors",
            "too few: give at least 64, or 0 to ask the system",
        );
        if problems.is_empty() {
            return Ok(tree);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(Problems(problems))
    }

    /// Settings of a host on free loopback ports that uses the store at `store`.
    #[must_use]
    pub fn loopback(host: &str, domain: &str, store: SocketAddr) -> Self {
        let free = SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0));
        Self {
            host: host.to_owned(),
            domain: domain.to_owned(),
            first_start: true,
            listen: Listen {
                clients: free,
                readiness: free,
                hosts: free,
                metrics: Some(free),
            },
            platform: Platform { address: store },
            ..Self::default()
        }
    }

    /// Returns how the host starts.
    #[must_use]
    pub const fn start(&self) -> Start {
        if self.first_start {
            Start::First
        } else {
            Start::Later
        }
    }

    /// Returns the time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn grace(&self) -> Duration {
        let seconds = self.times.grace_s.map(Duration::from_secs_f64);
        seconds.unwrap_or(Duration::from_millis(self.times.grace_ms))
    }
}
