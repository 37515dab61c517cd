//! The shutdown of a process, in stages.
//!
//! Each request that was read gets a response before the process exits: it is served, refused while
//! nothing of it was sent to an endpoint, or ended with a response that promises nothing.

mod drain;

use std::time::Duration;

use tokio::sync::watch;

pub use drain::{Schedule, Work};

/// Stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Accepts connections and serves requests.
    Serving,
    /// Serves requests, and closes each connection after its next response.
    Draining,
    /// Closes idle connections. Refuses requests of which nothing was sent to an endpoint, because
    /// they might not finish before the process exits.
    Closing,
    /// Ends the requests that are still running with a final response.
    Ending,
}

/// `Retry-After` of requests that are refused because the process shuts down. The client retries over
/// a new connection to another host.
pub const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The current stage, for those that must act on it.
#[derive(Debug)]
pub struct Shutdown {
    stage: watch::Sender<Stage>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(Stage::Serving),
        }
    }
}

impl Shutdown {
    /// Moves on to `stage`, unless it has been reached.
    pub fn enter(&self, stage: Stage) {
        self.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            *current = stage.max(*current);
            is_later
        });
    }

    /// Whether `stage` has been reached.
    #[must_use]
    pub fn has_reached(&self, stage: Stage) -> bool {
        *self.stage.borrow() >= stage
    }

    /// Returns once `stage` has been reached.
    pub async fn wait_until(&self, stage: Stage) {
        let mut current = self.stage.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = current.wait_for(|current| *current >= stage).await;
    }
}
