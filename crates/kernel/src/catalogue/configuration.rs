//! One published configuration and the look-ups on it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::name::{Service, Workspace};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each client attempt.
    Once,
    /// A stream of events; runs at most once unless its route is resumable.
    Stream,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share, relative to the other targets of the route.
    pub weight: u32,
}

/// A route of requests to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Value of the `Host` header, in lower case and without a port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of one, is on time.
    pub objective: Duration,
    /// Longest pause between two events with which a stream is on time.
    pub pause: Option<Duration>,
    /// Rank; a lower number goes first.
    pub priority: u32,
    /// Services with their shares.
    pub targets: Vec<Target>,
    /// Most endpoints on which one client attempt may run.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a stream may go on at another endpoint after its last whole event.
    pub resumable: bool,
}

impl Route {
    /// Whether a request of this route may run more than once.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Picks the service for one request by the weights.
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

/// How fast the engines of a service are, as their operator publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Requests that write at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Steps of a pass that has writers; also the tokens of one event.
    pub stride: u32,
    /// Milliseconds of one step.
    pub step_ms: f64,
    /// Milliseconds a step for each writer.
    pub sequence_ms: f64,
    /// Milliseconds a step for 1,000 tokens of the writers' context.
    pub context_ms: f64,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds for a million pairs of a prompt token and an earlier one.
    pub pairs_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk: u32,
    /// Milliseconds a step when parts of the memory lie on other engines.
    pub hop_ms: f64,
}

impl Profile {
    /// What is wrong with the figures, if they are no speeds of an engine.
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
            return Some("a time of the engines' formula is negative or no number");
        }
        if !self.prefill_tokens_per_s.is_finite() || self.prefill_tokens_per_s <= 0.0 {
            return Some("the engines read no tokens in a second");
        }
        if self.slots == 0 || self.memory_tokens == 0 {
            return Some("the engines have no places or no memory");
        }
        None
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Connections that one endpoint accepts from all hosts together.
    pub connection_limit: u32,
    /// Speed of the engines; `None` for a plain service.
    pub engine: Option<Profile>,
}

/// Bounds on what a client may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's head must arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// A workspace with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The workspace.
    pub workspace: Workspace,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; a lower number goes first.
    pub priority: Option<u32>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route has this host and path.
    NoRoute,
    /// The route needs a key, and the request's is missing or unknown.
    NoKey,
}

/// A request that the configuration lets in.
#[derive(Clone, Debug)]
pub struct Allowed<'a> {
    /// Its route.
    pub route: &'a Arc<Route>,
    /// The workspace of its key, if it has a known one.
    pub workspace: Option<&'a Workspace>,
    /// Its rank; a lower number goes first.
    pub priority: u32,
}

/// One published configuration, indexed for look-ups.
#[derive(Debug)]
pub struct Configuration {
    /// Grows with each publication.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Service, ServiceEntry>,
    /// Bounds on what a client may send.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    hosts: HashMap<String, Vec<usize>>,
    tenants: Option<Vec<Tenant>>,
    keys: HashMap<String, usize>,
}

impl Configuration {
    /// Indexes a configuration; without `tenants` no request needs a key.
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

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indexes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Routes a request and checks its key.
    ///
    /// # Errors
    ///
    /// Why the request is not let in.
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

    /// The number of routes.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.routes.len()
    }
}
