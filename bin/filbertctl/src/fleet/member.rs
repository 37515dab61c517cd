//! A node with worker threads of its own, and a switch between it and the platform.

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

/// Cuts a node off from the platform.
#[derive(Clone, Debug, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    /// Cuts the node off, or connects it again.
    pub fn set(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    fn check(&self) -> Result<(), Error> {
        if self.0.load(Ordering::SeqCst) {
            return Err(Error::Rejected("cut off from the platform".to_owned()));
        }
        Ok(())
    }
}

/// The platform behind a cut.
struct Cuttable {
    remote: HttpProvider,
    cut: Cut,
}

#[async_trait]
impl Log for Cuttable {
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error> {
        self.cut.check()?;
        self.remote.append(stream, record).await
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        self.cut.check()?;
        let batch = self.remote.read(stream, from, wait).await?;
        self.cut.check()?;
        Ok(batch)
    }
}

#[async_trait]
impl Hosts for Cuttable {
    async fn list(&self) -> Result<Vec<HostEntry>, Error> {
        self.cut.check()?;
        self.remote.list().await
    }
}

#[async_trait]
impl Weights for Cuttable {
    async fn current_load(&self) -> Result<Load, Error> {
        self.cut.check()?;
        self.remote.current_load().await
    }
}

/// A running node.
pub struct Member {
    runtime: Option<Runtime>,
    node: Arc<Node>,
    settings: Settings,
    /// The switch between the node and the platform.
    pub cut: Cut,
}

impl Member {
    /// Starts a node on `threads` worker threads of its own.
    ///
    /// # Errors
    ///
    /// The system's error.
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
        let cut = Cut::default();
        let reach = Arc::new(Cuttable {
            remote: HttpProvider::new(settings.platform.address),
            cut: cut.clone(),
        });
        let outside = Dependencies {
            log: reach.clone(),
            hosts: reach.clone(),
            weights: reach,
            network,
            clock: Arc::new(SystemClock::default()),
            seed: Some(seed),
        };
        let started = runtime.spawn(Node::start(settings.clone(), outside)).await;
        let node = started.map_err(io::Error::other)??;
        Ok(Self {
            runtime: Some(runtime),
            node: Arc::new(node),
            settings,
            cut,
        })
    }

    /// Where callers reach the node.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.node.callers()
    }

    /// Whether the node may be sent work.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.node.ready()
    }

    /// Where other nodes reach the node.
    #[must_use]
    pub fn nodes(&self) -> SocketAddr {
        self.node.nodes()
    }

    /// Number of other nodes that the node knows to be alive.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.node.peers()
    }

    /// The name of the host.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.settings.host
    }

    /// The failure domain.
    #[must_use]
    pub fn domain(&self) -> &str {
        &self.settings.domain
    }

    /// The node's entry in the platform's host list.
    #[must_use]
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            host: Host::from(self.settings.host.as_str()),
            domain: Domain::from(self.settings.domain.as_str()),
            address: self.node.nodes().to_string(),
            leaving: false,
        }
    }

    /// Drains the node and ends it; returns whether it drained whole.
    pub async fn drain(mut self) -> bool {
        let whole = self.node.drain().await;
        self.end();
        whole
    }

    /// Ends the node without warning.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.end();
    }
}
