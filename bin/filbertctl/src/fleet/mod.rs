//! A whole fleet in one process: nodes, each with worker threads of its own, and stand-ins.
//!
//! A node that is killed loses its runtime with all sockets and tasks at once, as a process would.

mod lists;
mod member;
mod roads;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fakes::Server;
use fakes::engine::{self, Config};
use fakes::platform::Platform;
use fakes::service::Service;
use node::settings::Settings;
use platform::{Error, Log as _};

pub use lists::{BOOKING, MODEL, REPORT, SERVICE, key, key_hash};
pub use member::{Cut, Member};
pub use roads::Roads;

/// The key that all nodes of a fleet share.
const FLEET_KEY: &str = "a fleet key for stand-ins on loopback only";
/// The operators' key of a fleet.
pub const OPERATOR_KEY: &str = "operator-key";

/// One failure domain of a fleet.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Its name.
    pub name: String,
    /// Entry hosts.
    pub nodes: usize,
    /// Model engines.
    pub engines: usize,
    /// Workers of the plain service.
    pub services: usize,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The failure domains.
    pub domains: Vec<Domain>,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Engines run this many times faster than real ones.
    pub scale: u32,
    /// Routing policy.
    pub policy: String,
    /// Weight of short requests.
    pub short_weight: f64,
    /// Where random choices start.
    pub seed: u64,
    /// Worker threads of each node.
    pub threads: usize,
    /// KV memory of each engine, in tokens.
    pub kv_total: u64,
    /// Most streams at once on each engine.
    pub most_running: usize,
    /// Most requests of a workspace at once.
    pub concurrency: u32,
    /// Where the nodes send their spans.
    pub collector: Option<SocketAddr>,
    /// How long an idempotency key is remembered.
    pub claim_window: Duration,
}

impl Plan {
    /// A fleet of `domains`, each with the given numbers of nodes, engines and service workers.
    #[must_use]
    pub fn new(domains: &[(&str, usize, usize, usize)], scale: u32) -> Self {
        let domain = |(name, nodes, engines, services): &(&str, usize, usize, usize)| Domain {
            name: (*name).to_owned(),
            nodes: *nodes,
            engines: *engines,
            services: *services,
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
            most_running: 64,
            concurrency: 100_000,
            collector: None,
            claim_window: Duration::from_hours(1),
        }
    }

    /// The setting of one engine.
    #[must_use]
    pub fn engine(&self, name: &str) -> Config {
        let mut setting = Config::scaled(name, MODEL, self.scale);
        setting.kv_total = self.kv_total;
        setting.cache_tokens = self.kv_total / 2;
        setting.max_running = self.most_running;
        setting
    }
}

/// A running engine stand-in.
pub struct Engine {
    /// Its name in the usage list.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The stand-in.
    pub engine: engine::Engine,
    /// Where it listens.
    pub server: Server,
}

/// A running fleet.
pub struct Fleet {
    /// What it consists of.
    pub plan: Plan,
    /// The platform's stand-ins.
    pub platform: Platform,
    /// Where the platform listens.
    pub platform_server: Server,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The plain service; all its workers share one count of executions.
    pub service: Service,
    /// Where the service's workers listen, with their failure domains.
    pub workers: Vec<(String, Server)>,
    /// The nodes; `None` for one that was killed.
    pub nodes: Vec<Option<Member>>,
    /// Settings of the nodes, also of killed ones.
    pub settings: Vec<Settings>,
    /// The network between the nodes.
    pub roads: Roads,
}

impl Fleet {
    /// Starts a fleet, publishes its lists, and waits until every node is ready.
    ///
    /// # Errors
    ///
    /// The system's error, or that the lists did not come into force.
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
            roads: Roads::default(),
            plan: plan.clone(),
        };
        for domain in &plan.domains {
            fleet.start_domain(domain).await?;
        }
        fleet.publish().await?;
        for index in 0..fleet.settings.len() {
            fleet.start_node(index).await?;
        }
        fleet.list_hosts();
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_domain(&mut self, domain: &Domain) -> io::Result<()> {
        for number in 0..domain.engines {
            let name = format!("{}-engine-{number}", domain.name);
            let engine =
                engine::Engine::new(self.plan.engine(&name), self.platform.weights.clone());
            let server = engine.serve().await?;
            self.engines.push(Engine {
                name,
                domain: domain.name.clone(),
                engine,
                server,
            });
        }
        for _ in 0..domain.services {
            let server = self.service.serve().await?;
            self.workers.push((domain.name.clone(), server));
        }
        for number in 0..domain.nodes {
            let host = format!("{}-entry-{number}", domain.name);
            self.settings.push(self.node_settings(&host, &domain.name));
        }
        Ok(())
    }

    /// Settings of a node on `host`, with free ports.
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
        settings.times.drain_ms = 60_000;
        settings
    }

    /// Starts the node at `index`, with a new incarnation.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub async fn start_node(&mut self, index: usize) -> io::Result<()> {
        let seed = self
            .plan
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(Self::starts());
        let settings = self.settings[index].clone();
        let network = self.roads.from_domain(&settings.domain);
        let member = Member::start(settings, network, seed, self.plan.threads).await?;
        self.roads.place(member.nodes(), member.domain());
        if index < self.nodes.len() {
            self.nodes[index] = Some(member);
        } else {
            self.nodes.push(Some(member));
        }
        Ok(())
    }

    /// A number that differs at each start of a node.
    fn starts() -> u64 {
        use std::sync::atomic::{AtomicU64, Ordering};
        static STARTS: AtomicU64 = AtomicU64::new(0);
        STARTS.fetch_add(1, Ordering::Relaxed)
    }

    /// Puts the running nodes into the platform's host list.
    pub fn list_hosts(&self) {
        let entries = self.members().map(Member::entry).collect();
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

    /// Waits until every running node is ready and knows the others and its engines.
    ///
    /// # Errors
    ///
    /// When that takes more than ten seconds.
    pub async fn wait_ready(&self) -> io::Result<()> {
        const LONGEST: Duration = Duration::from_secs(10);
        const SETTLE: Duration = Duration::from_millis(500);
        let others = self.members().count().saturating_sub(1);
        let settled = |member: &Member| member.ready() && member.peers() >= others;
        let ready = async {
            while !self.members().all(settled) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            tokio::time::sleep(SETTLE).await;
        };
        let waited = tokio::time::timeout(LONGEST, ready).await;
        waited.map_err(|_| io::Error::other("the nodes did not become ready"))
    }

    /// Kills the node at `index` without warning.
    pub fn kill(&mut self, index: usize) {
        if let Some(member) = self.nodes[index].take() {
            member.kill();
        }
    }

    /// Lets the node at `index` drain and ends it; returns whether it drained whole.
    pub async fn drain(&mut self, index: usize) -> bool {
        let Some(member) = self.nodes[index].take() else {
            return true;
        };
        member.drain().await
    }

    /// KV memory that engines hold, in tokens.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.engines
            .iter()
            .map(|member| member.engine.kv_used())
            .sum()
    }

    /// What engines hold, a line for each attempt.
    #[must_use]
    pub fn holdings(&self) -> Vec<String> {
        let lines = self.engines.iter().flat_map(|member| {
            let holdings = member.engine.holdings();
            holdings
                .into_iter()
                .map(|holding| format!("{}: {holding:?}", member.name))
        });
        lines.collect()
    }

    /// Waits until no engine holds memory; returns what is still held when time is up.
    pub async fn settle(&self, longest: Duration) -> u64 {
        let deadline = tokio::time::Instant::now() + longest;
        while self.kv_used() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.kv_used()
    }

    /// Ends all nodes without waiting.
    pub fn stop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
    }

    /// A shared list of the callers' addresses.
    #[must_use]
    pub fn callers(&self) -> Arc<Vec<SocketAddr>> {
        Arc::new(self.members().map(Member::callers).collect())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}
