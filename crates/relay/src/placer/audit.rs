//! Compares the loads of this host with the requests that own them.

use kernel::name::Service;

use super::Placer;
use crate::observe;

/// What this host has on the engines of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Audit {
    /// The service.
    pub service: Service,
    /// Number of requests to which engines are assigned.
    pub placements: usize,
    /// Number of loads that belong to no such request. Nothing would ever remove them.
    pub unowned_loads: usize,
}

impl Placer {
    /// Counts the placements and the loads without one, by service.
    #[must_use]
    pub fn audit(&self) -> Vec<Audit> {
        let queues = self.queues.lock();
        let audits = queues.iter().map(|(service, queue)| {
            let loads = queue.pool.own_loads();
            let unowned = loads.filter(|(_, id, _)| !queue.placed.contains(id));
            Audit {
                service: service.clone(),
                placements: queue.placed.len(),
                unowned_loads: unowned.count(),
            }
        });
        audits.collect()
    }

    /// Sets the gauges of the placements, and logs loads that belong to no request.
    pub fn report_audit(&self) {
        for audit in self.audit() {
            observe::set_placements(&audit);
            if audit.unowned_loads > 0 {
                log::warn!(
                    "event=unowned_loads service={} placements={} loads={}",
                    audit.service,
                    audit.placements,
                    audit.unowned_loads
                );
            }
        }
    }
}
