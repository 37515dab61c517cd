//! Turns at engines that name a limit or are cold.

use std::collections::HashMap;
use std::time::Duration;

use kernel::catalogue::Identity;
use kernel::clock::Instant;
use kernel::cold::Phase;
use kernel::name::Service;
use kernel::pace::Rate;
use kernel::place::{LoadId, Pool};
use wire::placement::Item;

use super::{Placement, Placer};
use crate::observe;

impl Placer {
    /// Settles the claim on a plan, and tells the other hosts of each turn at a limited or cold
    /// engine that its request takes.
    pub(super) fn settle_claim(&self, service: &Service, id: LoadId, primary: Identity) -> bool {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(service) else {
            return false;
        };
        let turns = queue.pool.paced_engines(id, now);
        let holds = queue.pool.settle(id, primary, now);
        drop(queues);
        for engine in turns.iter().filter(|_| holds) {
            self.push_update(Item::Request(engine.0));
        }
        holds
    }

    /// Records what an engine stated about its limit at `at`; returns whether this changes the
    /// limit, or `None` if no pool has the engine.
    pub fn observe_limit(
        &self,
        engine: Identity,
        limit: Option<Rate>,
        at: Instant,
    ) -> Option<bool> {
        let mut queues = self.queues.lock();
        let mut pools = queues.values_mut().map(|queue| &mut queue.pool);
        pools.find_map(|pool| pool.observe_limit(engine, limit, at))
    }

    /// Records that another host sends a request to a limited engine; returns whether a pool has
    /// the engine.
    pub fn record_request(&self, engine: Identity) -> bool {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        let mut pools = queues.values_mut().map(|queue| &mut queue.pool);
        pools.any(|pool| pool.record_request(engine, now))
    }

    /// Returns the engines that have named limits, with what they stated last and when.
    #[must_use]
    pub fn limits(&self) -> Vec<(Identity, Option<Rate>, Instant)> {
        let queues = self.queues.lock();
        let pools = queues.values().map(|queue| &queue.pool);
        pools.flat_map(Pool::limits).collect()
    }

    /// Sets which endpoints are cold.
    pub fn set_cold(&self, cold: HashMap<Identity, Phase>) {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            queue.pool.set_cold(&cold, now);
        }
        *self.cold.lock() = cold;
    }

    /// Counts a request that waited for the turn of a cold engine: it runs there, or was refused
    /// while there are some.
    pub(super) fn count_cold_wait(
        &self,
        service: &Service,
        engine: Option<Identity>,
        arrived: Instant,
    ) {
        /// Wait of a request whose turn was free: one round of assignments and the claim.
        const FREE_TURN: Duration = Duration::from_millis(30);
        let now = self.clock.now();
        let cold = self.cold.lock().clone();
        let waited = match engine {
            Some(engine) => cold.contains_key(&engine) && now.since(arrived) > FREE_TURN,
            None if cold.is_empty() => false,
            None => {
                let queues = self.queues.lock();
                let queue = queues.get(service);
                queue.is_some_and(|queue| queue.pool.count_cold(now) > 0)
            }
        };
        if waited {
            observe::count_cold_wait(if engine.is_some() { "sent" } else { "refused" });
        }
    }

    /// Records that the first event of a placed request arrived `elapsed` after it was sent.
    pub(super) fn record_cold_first_event(&self, placement: &Placement, elapsed: Duration) {
        let now = self.clock.now();
        let plan = &placement.plan;
        if let Some(queue) = self.queues.lock().get_mut(&placement.service) {
            let pool = &mut queue.pool;
            pool.record_first_event(plan.primary, elapsed, plan.first_event, now);
        }
    }
}
