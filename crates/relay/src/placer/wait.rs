//! Waits for engines, and the decisions that end them.
//!
//! From the decision on, the engines of a request belong to the [`Placement`] that is on its way to
//! the request. Dropping it frees them, whether or not it was received.

use std::sync::Arc;
use std::time::Duration;

use kernel::clock::Instant;
use kernel::name::Service;
use kernel::place::{Decision, Request};
use tokio::sync::oneshot;

use super::{Placement, Placer, Queue, admission};

/// The decision on a waiting request, as the request receives it.
pub(super) enum Verdict {
    Placed {
        placement: Placement,
        /// Whether other hosts may still contest the engines.
        claimed: bool,
    },
    /// The client may retry after this time.
    Refused(Duration),
}

/// A decision that has been made and not yet sent.
///
/// Sending and dropping it lock the placer's queues, so neither may happen while they are locked.
#[must_use]
pub(super) struct Delivery {
    waiter: Option<oneshot::Sender<Verdict>>,
    verdict: Verdict,
}

impl Delivery {
    /// Sends the decision, and tells the other hosts of the engines first: the request may end as soon
    /// as it has the decision. If the request no longer waits, its engines are free again.
    fn send(self, now: Instant) {
        let Some(waiter) = self.waiter else { return };
        if let Verdict::Placed { placement, .. } = &self.verdict {
            placement.announce(now);
        }
        // A decision that cannot be sent comes back and is dropped.
        let _ = waiter.send(self.verdict);
    }
}

/// A request in the queue of its service. Dropping it takes the request out of the queue, and drops
/// a decision that has been sent and not received.
struct Wait<'a> {
    placer: &'a Placer,
    service: &'a Service,
    ticket: u64,
    receiver: oneshot::Receiver<Verdict>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let mut queues = self.placer.queues.lock();
        if let Some(queue) = queues.get_mut(self.service)
            && queue.waiters.remove(&self.ticket).is_some()
        {
            queue.pool.cancel(self.ticket);
        }
    }
}

impl Placer {
    /// Submits a request to the pool and waits for the decision. Returns `None` if the service has
    /// no pool or loses it during the wait.
    pub(super) async fn submit(
        self: &Arc<Self>,
        service: &Service,
        request: Request,
        arrived: Instant,
    ) -> Option<Verdict> {
        let mut wait = {
            let mut queues = self.queues.lock();
            let queue = queues.get_mut(service)?;
            let ticket = queue.pool.submit(request, arrived);
            let (sender, receiver) = oneshot::channel();
            queue.waiters.insert(ticket, sender);
            Wait {
                placer: self,
                service,
                ticket,
                receiver,
            }
        };
        self.assign_service(service);
        (&mut wait.receiver).await.ok()
    }

    fn assign_service(self: &Arc<Self>, service: &Service) {
        let now = self.clock.now();
        let deliveries = {
            let mut queues = self.queues.lock();
            let Some(queue) = queues.get_mut(service) else {
                return;
            };
            self.update_paths(queue);
            self.assign(service, queue, now)
        };
        Self::deliver(deliveries, now);
    }

    /// Starts or refuses the waiting requests of all services, as far as this can be decided now.
    pub fn assign_all(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut deliveries = Vec::new();
        {
            let mut queues = self.queues.lock();
            for (service, queue) in queues.iter_mut() {
                self.update_paths(queue);
                deliveries.extend(self.assign(service, queue, now));
            }
        }
        Self::deliver(deliveries, now);
    }

    /// Starts or refuses the waiting requests of one service. The decisions are to be sent once the
    /// queues are no longer locked.
    pub(super) fn assign(
        self: &Arc<Self>,
        service: &Service,
        queue: &mut Queue,
        now: Instant,
    ) -> Vec<Delivery> {
        if queue.pool.waiting() == 0 {
            return Vec::new();
        }
        let decisions = queue.pool.assign(now);
        admission::report(&mut queue.pool);
        let deliveries = decisions.into_iter().map(|(ticket, decision)| {
            let claimed = matches!(decision, Decision::Claim(..));
            let verdict = match decision {
                Decision::Start(id, plan) | Decision::Claim(id, plan) => {
                    queue.placed.insert(id);
                    let placement = Placement::new(self, service, id, plan);
                    Verdict::Placed { placement, claimed }
                }
                Decision::Refuse(after) => Verdict::Refused(after),
            };
            let waiter = queue.waiters.remove(&ticket);
            Delivery { waiter, verdict }
        });
        deliveries.collect()
    }

    /// Sends decisions. The queues must not be locked.
    pub(super) fn deliver(deliveries: Vec<Delivery>, now: Instant) {
        for delivery in deliveries {
            delivery.send(now);
        }
    }
}
