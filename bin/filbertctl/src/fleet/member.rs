//! Runs a node on worker threads of its own and can disconnect it from the platform.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use kernel::name::{Domain, Host};
use node::settings::Settings;
use node::{Dependencies, Network, Node, SystemClock};
use provider::{Batch, Error, HostEntry, Hosts, HttpProvider, Load, Log, Weights};
use tokio::runtime::{Builder, Runtime};

/// A simulated network partition between a node and the platform; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Partition(Arc<AtomicBool>);

impl Partition {
    /// Starts the partition if `active` is true, and ends it otherwise.
    pub fn set(&self, active: bool) {
        self.0.store(active, Ordering::SeqCst);
    }

    fn check(&self) -> Result<(), Error> {
        if self.0.load(Ordering::SeqCst) {
            return Err(Error::Rejected("cut off from the platform".to_owned()));
        }
        Ok(())
    }
}

/// A client of the platform that fails every call during a partition.
struct PlatformClient {
    remote: HttpProvider,
    partition: Partition,
}

#[async_trait]
impl Log for PlatformClient {
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error> {
        self.partition.check()?;
        self.remote.append(stream, record).await
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        self.partition.check()?;
        let batch = self.remote.read(stream, from, wait).await?;
        self.partition.check()?;
        Ok(batch)
    }
}

#[async_trait]
impl Hosts for PlatformClient {
    async fn list(&self) -> Result<Vec<HostEntry>, Error> {
        self.partition.check()?;
        self.remote.list().await
    }
}

#[async_trait]
impl Weights for PlatformClient {
    async fn current_load(&self) -> Result<Load, Error> {
        self.partition.check()?;
        self.remote.current_load().await
    }
}

/// A running node of the fleet.
pub struct Member {
    runtime: Option<Runtime>,
    node: Arc<Node>,
    settings: Settings,
    /// The partition between the node and the platform.
    pub platform_partition: Partition,
}

impl Member {
    /// Starts a node on a new runtime with `threads` worker threads.
    ///
    /// # Errors
    ///
    /// The I/O error, if the runtime or the node cannot be started.
    pub async fn start(
        settings: Settings,
        network: Arc<dyn Network>,
        seed: u64,
        threads: usize,
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?;
        let platform_partition = Partition::default();
        let provider = Arc::new(PlatformClient {
            remote: HttpProvider::new(settings.platform.address),
            partition: platform_partition.clone(),
        });
        let dependencies = Dependencies {
            log: provider.clone(),
            hosts: provider.clone(),
            weights: provider,
            network,
            clock: Arc::new(SystemClock::default()),
            seed: Some(seed),
        };
        let started = runtime
            .spawn(Node::start(settings.clone(), dependencies))
            .await;
        let node = started.map_err(io::Error::other)??;
        Ok(Self {
            runtime: Some(runtime),
            node: Arc::new(node),
            settings,
            platform_partition,
        })
    }

    /// The address on which the node serves callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.node.callers()
    }

    /// Whether the node is ready for requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.node.ready()
    }

    /// The address on which the node serves other nodes.
    #[must_use]
    pub fn node_address(&self) -> SocketAddr {
        self.node.nodes()
    }

    /// The number of other nodes that the node considers alive.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.node.peers()
    }

    /// The name of the node's host.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.settings.host
    }

    /// The node's failure domain.
    #[must_use]
    pub fn domain(&self) -> &str {
        &self.settings.domain
    }

    /// The node's entry in the platform's host list.
    #[must_use]
    pub fn host_entry(&self) -> HostEntry {
        HostEntry {
            host: Host::from(self.settings.host.as_str()),
            domain: Domain::from(self.settings.domain.as_str()),
            address: self.node.nodes().to_string(),
            leaving: false,
        }
    }

    /// The node itself.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Changes the maximum duration of a drain while the node runs.
    pub fn set_drain_time(&self, time: Duration) {
        let mut settings = self.settings.clone();
        settings.times.drain_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.node.reload(&settings);
    }

    /// Drains the node and shuts it down.
    ///
    /// Returns whether all its requests ended within the drain time.
    pub async fn drain(mut self) -> bool {
        let drained = self.node.drain().await;
        self.shut_down();
        drained
    }

    /// Shuts the node down at once, as a crash does.
    pub fn kill(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.shut_down();
    }
}
