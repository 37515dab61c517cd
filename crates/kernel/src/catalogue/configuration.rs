//! One published configuration with its routes, services, limits and API keys.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::name::{Domain, Region, Service, Workspace};
use crate::pace::Rate;

/// How often the requests of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once per client attempt.
    Once,
    /// Event streams, which run at most once unless the route is resumable.
    Stream,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Weight of the service relative to the other targets of the route.
    pub weight: u32,
}

/// Maps requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name used in logs.
    pub name: String,
    /// Value of the `Host` header, in lower case and without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// How often the requests of this route may be executed.
    pub kind: Kind,
    /// Time limit for the complete answer.
    pub timeout: Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// Maximum pause between two events of a stream that meets its objective; `None` if the route
    /// sets none.
    pub pause: Option<Duration>,
    /// Priority; requests with a lower number start first.
    pub priority: u32,
    /// Services that receive the requests, with their weights.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints on which one client attempt may run. Endpoints that reject it do
    /// not count.
    pub attempts: u32,
    /// Whether requests are allowed without an API key.
    pub anonymous: bool,
    /// Whether a stream may resume at another endpoint after its last complete event.
    pub resumable: bool,
    /// Regions in which requests may run; empty if they may run anywhere.
    pub homes: Vec<Region>,
}

impl Route {
    /// Returns whether a request of this route may run more than once.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Picks a service for one request at random by weight; returns `None` if there are no targets.
    #[must_use]
    pub fn pick(&self, random: &mut SmallRng) -> Option<&Service> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut drawn = random.random_range(0..total.max(1));
        for target in &self.targets {
            if drawn < target.weight {
                return Some(&target.service);
            }
            drawn -= target.weight;
        }
        self.targets.first().map(|target| &target.service)
    }
}

/// Performance figures of the engines of a service, published by their operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Maximum number of requests that decode at the same time.
    pub slots: u32,
    /// KV cache capacity in tokens.
    pub memory_tokens: u64,
    /// Number of steps in one pass of an engine while any request decodes. Each decoding request
    /// gets one token per step and one event per pass.
    pub stride: u32,
    /// Fixed cost of one step in milliseconds.
    pub step_ms: f64,
    /// Cost per step for each decoding sequence, in milliseconds.
    pub sequence_ms: f64,
    /// Cost per step for 1,000 tokens of context of the decoding sequences, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_s: f64,
    /// Attention cost of a million pairs of a prompt token and an earlier token, in milliseconds.
    pub pairs_ms: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk: u32,
    /// Cost per step if parts of the KV cache are on other engines, in milliseconds.
    pub hop_ms: f64,
    /// One-way delays between failure domains.
    pub delays: Vec<Delay>,
}

/// Published one-way delay between two failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct Delay {
    /// Domain of the sender.
    pub from: Domain,
    /// Domain of the receiver.
    pub to: Domain,
    /// Delay in milliseconds.
    pub delay_ms: f64,
}

impl Profile {
    /// Returns a description of the first invalid figure, or `None` if the profile is valid.
    #[must_use]
    pub fn problem(&self) -> Option<&'static str> {
        let times = [
            self.step_ms,
            self.sequence_ms,
            self.context_ms,
            self.pairs_ms,
            self.hop_ms,
        ];
        if !times.iter().all(|time| time.is_finite() && *time >= 0.0) {
            return Some("a cost in the engine profile is negative or not a finite number");
        }
        if !self.prefill_tokens_per_s.is_finite() || self.prefill_tokens_per_s <= 0.0 {
            return Some("the prefill rate in the engine profile is not a positive number");
        }
        if self.slots == 0 || self.memory_tokens == 0 {
            return Some("the engine profile has no slots or no memory");
        }
        None
    }
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Maximum number of connections that one endpoint accepts from all hosts together.
    pub connection_limit: u32,
    /// Profile of the engines; `None` for a plain service, which has no engines.
    pub engine: Option<Profile>,
    /// How endpoints behave after their start; `None` if they are never cold.
    pub cold: Option<Cold>,
}

/// How endpoints of a service behave after their start, or when they become cold again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Time for which an endpoint is cold after it starts.
    pub duration: Duration,
    /// Requests that a cold endpoint accepts from all hosts together.
    pub rate: Rate,
}

/// Limits on client requests and connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time in which a request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A workspace with its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The workspace.
    pub workspace: Workspace,
    /// API keys of the workspace's callers.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; requests with a lower number start first.
    pub priority: Option<u32>,
    /// Regions in which requests may run; empty if they may run anywhere.
    pub homes: Vec<Region>,
}

/// Reason why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires an API key, and the request's key is missing or unknown.
    NoKey,
}

/// Route, workspace and priority of an admitted request.
#[derive(Clone, Debug)]
pub struct Allowed<'a> {
    /// Route of the request.
    pub route: &'a Arc<Route>,
    /// Workspace of the request's key, if the key is known.
    pub workspace: Option<&'a Workspace>,
    /// Priority; requests with a lower number start first.
    pub priority: u32,
}

/// One published configuration, indexed by host and key.
#[derive(Debug)]
pub struct Configuration {
    /// Version number, which increases with each publication.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Service, ServiceEntry>,
    /// Limits on client requests and connections.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    hosts: HashMap<String, Vec<usize>>,
    tenants: Option<Vec<Tenant>>,
    keys: HashMap<String, usize>,
}

impl Configuration {
    /// Builds and indexes a configuration. If `tenants` is `None`, no request needs a key.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Service, ServiceEntry>,
        limits: Limits,
        tenants: Option<Vec<Tenant>>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, tenant) in tenants.iter().flatten().enumerate() {
            for key in &tenant.keys {
                keys.insert(key.clone(), index);
            }
        }
        Self {
            version,
            services,
            limits,
            routes: routes.into_iter().map(Arc::new).collect(),
            hosts,
            tenants,
            keys,
        }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indexes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the route of a request and checks its API key.
    ///
    /// # Errors
    ///
    /// Returns [`Denied`] if no route matches or a required key is missing or unknown.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Allowed<'_>, Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let known = key.and_then(|key| self.keys.get(key));
        let tenant = self
            .tenants
            .as_ref()
            .zip(known)
            .map(|(all, index)| &all[*index]);
        if tenant.is_none() && self.tenants.is_some() && !route.anonymous {
            return Err(Denied::NoKey);
        }
        let priority = tenant.and_then(|tenant| tenant.priority);
        Ok(Allowed {
            route,
            workspace: tenant.map(|tenant| &tenant.workspace),
            priority: priority.unwrap_or(route.priority),
        })
    }

    /// Returns the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter().map(AsRef::as_ref)
    }

    /// Returns the workspaces; empty if no request needs a key.
    #[must_use]
    pub fn tenants(&self) -> &[Tenant] {
        self.tenants.as_deref().unwrap_or_default()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
