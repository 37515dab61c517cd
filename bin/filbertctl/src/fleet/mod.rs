//! Runs a complete fleet in one process: nodes, and fakes of engines, a service and the platform.
//!
//! Each node has a runtime of its own. Killing a node drops the runtime with all its sockets and
//! tasks at once, as the death of a process does.

mod links;
mod lists;
mod member;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fakes::Server;
use fakes::engine::{self, Config};
use fakes::platform::Platform;
use fakes::service::Service;
use node::settings::Settings;
use provider::{Error, Log as _};

pub use links::Links;
pub use lists::{BOOKING_CALL, CONDITIONS_CALL, MODEL, SERVICE, key_hash, workspace_key};
pub use member::{Member, Partition};

/// The secret key that all nodes of a fleet share.
const FLEET_KEY: &str = "a fleet key for stand-ins on loopback only";
/// The bearer key of the operator API of a fleet's nodes.
pub const OPERATOR_KEY: &str = "operator-key";

/// One failure domain of a fleet.
#[derive(Clone, Debug)]
pub struct Domain {
    /// The name of the failure domain.
    pub name: String,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of workers of the plain service, which is no model engine.
    pub workers: usize,
}

/// The layout and settings of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The failure domains.
    pub domains: Vec<Domain>,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Speed of the engines, as a multiple of real ones.
    pub scale: u32,
    /// The name of the routing policy.
    pub policy: String,
    /// Weight of short requests in scheduling, from 0 to 1.
    pub short_weight: f64,
    /// Seed of the nodes' random choices.
    pub seed: u64,
    /// Number of worker threads of each node.
    pub threads: usize,
    /// KV memory of each engine, in tokens.
    pub kv_total: u64,
    /// Maximum number of concurrent streams on each engine.
    pub max_running: usize,
    /// Maximum number of concurrent requests of each workspace.
    pub concurrency: u32,
    /// Address of the trace collector, if the nodes export spans.
    pub collector: Option<SocketAddr>,
    /// How long an idempotency key stays recorded.
    pub claim_window: Duration,
    /// Maximum duration of a drain.
    pub drain: Duration,
}

impl Plan {
    /// Creates a plan with default settings.
    ///
    /// Each tuple holds a failure domain's name and its numbers of nodes, engines and service
    /// workers.
    #[must_use]
    pub fn new(domains: &[(&str, usize, usize, usize)], scale: u32) -> Self {
        let domain = |(name, nodes, engines, workers): &(&str, usize, usize, usize)| Domain {
            name: (*name).to_owned(),
            nodes: *nodes,
            engines: *engines,
            workers: *workers,
        };
        Self {
            domains: domains.iter().map(domain).collect(),
            workspaces: 4,
            scale,
            policy: kernel::routing::DEFAULT.to_owned(),
            short_weight: 0.5,
            seed: 1,
            threads: 2,
            kv_total: 400_000,
            max_running: 64,
            concurrency: 100_000,
            collector: None,
            claim_window: Duration::from_hours(1),
            drain: Duration::from_mins(1),
        }
    }

    /// The settings of the engine called `name`.
    #[must_use]
    pub fn engine_config(&self, name: &str) -> Config {
        let mut config = Config::scaled(name, MODEL, self.scale);
        config.kv_total = self.kv_total;
        config.cache_tokens = self.kv_total / 2;
        config.max_running = self.max_running;
        config
    }
}

/// A running fake engine.
pub struct Engine {
    /// The endpoint's name in the usage list.
    pub name: String,
    /// The engine's failure domain.
    pub domain: String,
    /// The fake itself.
    pub engine: engine::Engine,
    /// The server on which the fake listens.
    pub server: Server,
}

/// A running fleet.
pub struct Fleet {
    /// The plan that the fleet was started with.
    pub plan: Plan,
    /// The fake platform.
    pub platform: Platform,
    /// The server on which the platform listens.
    pub platform_server: Server,
    /// The running engines.
    pub engines: Vec<Engine>,
    /// The plain service; all its workers share the execution counts.
    pub service: Service,
    /// The failure domain and server of each service worker.
    pub workers: Vec<(String, Server)>,
    /// The nodes; `None` stands for a node that was killed or drained.
    pub nodes: Vec<Option<Member>>,
    /// Settings of all nodes, including those that were killed or drained.
    pub settings: Vec<Settings>,
    /// The network links between the nodes.
    pub links: Links,
}

impl Fleet {
    /// Starts a fleet, publishes its lists, and waits until every node is ready.
    ///
    /// # Errors
    ///
    /// The I/O error, or an error if the lists cannot be published or the nodes do not become
    /// ready.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let platform = Platform::new();
        let platform_server = platform.serve(0).await?;
        let mut fleet = Self {
            platform,
            platform_server,
            engines: Vec::new(),
            service: Service::default(),
            workers: Vec::new(),
            nodes: Vec::new(),
            settings: Vec::new(),
            links: Links::default(),
            plan: plan.clone(),
        };
        for domain in &plan.domains {
            fleet.start_domain(domain).await?;
        }
        fleet.publish().await?;
        for index in 0..fleet.settings.len() {
            fleet.start_node(index).await?;
        }
        fleet.publish_hosts();
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_domain(&mut self, domain: &Domain) -> io::Result<()> {
        for number in 0..domain.engines {
            let name = format!("{}-engine-{number}", domain.name);
            let engine = engine::Engine::new(
                self.plan.engine_config(&name),
                self.platform.weights.clone(),
            );
            let server = engine.serve().await?;
            self.engines.push(Engine {
                name,
                domain: domain.name.clone(),
                engine,
                server,
            });
        }
        for _ in 0..domain.workers {
            let server = self.service.serve().await?;
            self.workers.push((domain.name.clone(), server));
        }
        for number in 0..domain.nodes {
            let host = format!("{}-entry-{number}", domain.name);
            self.settings.push(self.node_settings(&host, &domain.name));
        }
        Ok(())
    }

    /// Returns the settings of a node on `host`, with ports that the system chooses.
    #[must_use]
    pub fn node_settings(&self, host: &str, domain: &str) -> Settings {
        let mut settings = Settings {
            host: host.to_owned(),
            domain: domain.to_owned(),
            fleet_key: FLEET_KEY.to_owned(),
            operator_key_hashes: vec![key_hash(OPERATOR_KEY)],
            ..Settings::default()
        };
        settings.listen.callers.set_port(0);
        settings.listen.nodes.set_port(0);
        settings.platform.address = self.platform_server.address;
        settings.routing.policy.clone_from(&self.plan.policy);
        settings.routing.short_weight = self.plan.short_weight;
        settings.times.watch_ms = 100;
        settings.trace.collector = self.plan.collector;
        settings.times.claim_window_ms =
            u64::try_from(self.plan.claim_window.as_millis()).unwrap_or(u64::MAX);
        settings.times.drain_ms = u64::try_from(self.plan.drain.as_millis()).unwrap_or(u64::MAX);
        settings
    }

    /// Starts the node at `index` as a new incarnation.
    ///
    /// # Errors
    ///
    /// The I/O error, if the node cannot be started.
    pub async fn start_node(&mut self, index: usize) -> io::Result<()> {
        let seed = self
            .plan
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(Self::next_start());
        let settings = self.settings[index].clone();
        let network = self.links.network_for(&settings.domain);
        let member = Member::start(settings, network, seed, self.plan.threads).await?;
        self.links.register(member.node_address(), member.domain());
        if index < self.nodes.len() {
            self.nodes[index] = Some(member);
        } else {
            self.nodes.push(Some(member));
        }
        Ok(())
    }

    /// Returns a number that is unique to each start of a node in this process.
    fn next_start() -> u64 {
        use std::sync::atomic::{AtomicU64, Ordering};
        static NEXT_START: AtomicU64 = AtomicU64::new(0);
        NEXT_START.fetch_add(1, Ordering::Relaxed)
    }

    /// Replaces the platform's host list with the running nodes.
    pub fn publish_hosts(&self) {
        let entries = self.members().map(Member::host_entry).collect();
        self.platform.hosts.set(entries);
    }

    /// The running nodes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.nodes.iter().flatten()
    }

    async fn publish(&self) -> io::Result<()> {
        let failed = |error: Error| io::Error::other(error.to_string());
        for record in lists::records(self) {
            self.platform
                .log
                .append("lists", &record)
                .await
                .map_err(failed)?;
        }
        Ok(())
    }

    /// Waits until every running node is ready and considers the others alive.
    ///
    /// A further delay lets the nodes receive the first reports of their engines.
    ///
    /// # Errors
    ///
    /// An error, if the nodes do not become ready within ten seconds.
    pub async fn wait_ready(&self) -> io::Result<()> {
        const READY_TIMEOUT: Duration = Duration::from_secs(10);
        const SETTLE_DELAY: Duration = Duration::from_millis(500);
        let others = self.members().count().saturating_sub(1);
        let connected = |member: &Member| member.ready() && member.peers() >= others;
        let ready = async {
            while !self.members().all(connected) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            tokio::time::sleep(SETTLE_DELAY).await;
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, ready).await;
        waited
            .map_err(|_| io::Error::other("the nodes did not become ready in time: see their logs"))
    }

    /// Kills the node at `index` at once, as a crash does.
    pub fn kill(&mut self, index: usize) {
        if let Some(member) = self.nodes[index].take() {
            member.kill();
        }
    }

    /// Drains the node at `index` and shuts it down.
    ///
    /// Returns whether all its requests ended within the drain time.
    pub async fn drain(&mut self, index: usize) -> bool {
        let Some(member) = self.nodes[index].take() else {
            return true;
        };
        member.drain().await
    }

    /// Drains all nodes at once and shuts them down.
    pub async fn drain_all(&mut self) {
        let members = self.nodes.iter_mut().filter_map(Option::take);
        futures_util::future::join_all(members.map(Member::drain)).await;
    }

    /// KV memory in use on all engines, in tokens.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine| engine.engine.kv_used())
            .sum()
    }

    /// Describes the KV memory in use on all engines, one line per attempt.
    #[must_use]
    pub fn holdings(&self) -> Vec<String> {
        let lines = self.engines.iter().flat_map(|engine| {
            let holdings = engine.engine.holdings();
            holdings
                .into_iter()
                .map(|holding| format!("{}: {holding:?}", engine.name))
        });
        lines.collect()
    }

    /// Waits up to `timeout` until no engine holds KV memory; returns the tokens still held.
    pub async fn wait_until_freed(&self, timeout: Duration) -> u64 {
        let deadline = tokio::time::Instant::now() + timeout;
        while self.kv_used() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.kv_used()
    }

    /// Kills all nodes.
    pub fn stop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
    }

    /// The addresses on which the running nodes serve callers, in order of the nodes.
    #[must_use]
    pub fn caller_addresses(&self) -> Arc<Vec<SocketAddr>> {
        Arc::new(self.members().map(Member::caller_address).collect())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}
