//! What a node finishes before it exits, and how it ends what it cannot finish.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kernel::outcome::Refusal;
use shutdown::{RETRY_AFTER, Schedule, Stage, Work};

use crate::connection::Connections;
use crate::shared::Shared;

/// Minimum time for which a node that exits still reports that it is not ready.
const NOTICE: Duration = Duration::from_millis(200);
/// Maximum time for the last responses, and for freeing what they held at engines.
const LAST_RESPONSES: Duration = Duration::from_secs(1);

/// Returns the stages of a drain that takes at most `time`.
///
/// A request that has waited for the first half has less than the other half to run, so it is refused
/// and can still be served elsewhere.
pub(crate) fn schedule(time: Duration) -> Schedule {
    let last_responses = LAST_RESPONSES.min(time / 4);
    Schedule {
        notice: NOTICE.min(time / 4),
        closing: time / 2,
        ending: time.saturating_sub(last_responses),
        last_responses,
    }
}

/// The refusal of a request of which nothing was sent to an endpoint.
pub(crate) fn not_run() -> Refusal {
    Refusal::Unavailable("the node shuts down".to_owned(), RETRY_AFTER)
}

/// Waits for `result`, or refuses the request, of which nothing was sent, once it can no longer run here.
pub(crate) async fn unless_closing<T>(
    shared: &Shared,
    result: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        result = result => result,
        () = shared.shutdown.wait_until(Stage::Closing) => Err(not_run()),
    }
}

/// Waits for `response`; `None` if the request is to get its final response before.
pub(crate) async fn until_ending<T>(
    shared: &Shared,
    response: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        response = response => Some(response),
        () = shared.shutdown.wait_until(Stage::Ending) => None,
    }
}

/// The refusal of a request that was sent to an endpoint, and may be sent again.
pub(crate) fn interrupted() -> Refusal {
    Refusal::Exhausted(1, "the node shuts down".to_owned())
}

/// The work of a node.
pub(crate) struct Remaining<'a> {
    pub shared: &'a Shared,
    /// Connections of callers.
    pub connections: &'a Arc<Connections>,
}

impl Work for Remaining<'_> {
    /// Whether no request waits or runs, nothing is held at endpoints, and no record waits to be
    /// appended to the log.
    fn is_idle(&self) -> bool {
        let tables = &self.shared.tables;
        let waiting: usize = {
            let pools = tables.pools.lock();
            pools.values().map(|local| local.pool.waiting()).sum()
        };
        waiting == 0
            && self.shared.running.load(Ordering::SeqCst) == 0
            && self.shared.exchanges.load(Ordering::SeqCst) == 0
            && tables.ledger.lock().is_empty()
            && tables.outbox.is_empty()
    }

    fn is_finished(&self) -> bool {
        self.is_idle() && self.connections.unwritten() == 0
    }
}
