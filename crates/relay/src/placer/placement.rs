//! Placements of running requests.

use std::sync::Arc;
use std::time::Duration;

use kernel::clock::Instant;
use kernel::name::Service;
use kernel::place::{LoadId, Plan};

use super::Placer;

/// A request to which engines are assigned. Dropping it frees the engines.
///
/// It exists from the decision on and owns what the decision has put on the engines.
pub struct Placement {
    pub(super) placer: Arc<Placer>,
    pub(super) service: Service,
    pub(super) id: LoadId,
    /// Where the request runs.
    pub plan: Plan,
}

impl Placement {
    pub(super) fn new(placer: &Arc<Placer>, service: &Service, id: LoadId, plan: Plan) -> Self {
        Self {
            placer: Arc::clone(placer),
            service: service.clone(),
            id,
            plan,
        }
    }

    /// Tells the other hosts of the engines.
    pub(super) fn announce(&self, now: Instant) {
        self.placer.push_start(self.id, &self.plan, now);
    }

    /// Records the first event, which arrived `elapsed` after the request was sent. Must be called
    /// when it arrives.
    pub fn record_first_event(&self, elapsed: Duration) {
        self.placer.record_cold_first_event(self, elapsed);
        self.placer.finish_prefill(&self.service, self.id);
    }

    /// Returns the identifier of the placement, which no other one has.
    #[must_use]
    pub const fn id(&self) -> LoadId {
        self.id
    }

    /// Returns a unique ticket for the memory reservation at helper `index`.
    #[must_use]
    pub fn reservation_ticket(&self, index: usize) -> String {
        format!("{:x}-{:x}-{index}", self.id.holder, self.id.sequence)
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.placer.release(&self.service, self.id);
    }
}
