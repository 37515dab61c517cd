//! What the hosts tell each other of their placements.

use std::sync::Arc;

use kernel::catalogue::Identity;
use kernel::clock::Instant;
use kernel::place::{LoadId, Plan, Pool};
use wire::extension::Extension;
use wire::placement::{Item, Placements, Scope};

use super::Placer;
use crate::exchange::{Exchange, Sender};
use crate::part;

impl Placer {
    pub(super) fn push_start(&self, id: LoadId, plan: &Plan, now: Instant) {
        for (engine, load) in &plan.loads {
            self.push_update(Item::Put(part::encode(id, *engine, load, now)));
        }
    }

    /// Queues an update for the other hosts.
    pub fn push_update(&self, item: Item) {
        self.updates.lock().push(item);
        self.updated.notify_one();
    }

    /// Returns the updates since the last call.
    pub fn take_updates(&self) -> Vec<Item> {
        std::mem::take(&mut *self.updates.lock())
    }

    /// Returns all placements of this host, and the endpoints that recently told it that they
    /// leave.
    #[must_use]
    pub fn placements(&self) -> Vec<Item> {
        let now = self.clock.now();
        let mut leaving = self.leaving.lock();
        leaving.retain(|(_, until)| *until > now);
        let leaving = leaving
            .iter()
            .map(|(identity, _)| Item::Leaving(identity.0));
        let queues = self.queues.lock();
        let pools = queues.values().map(|queue| &queue.pool);
        let loads = pools
            .flat_map(Pool::own_loads)
            .map(|(engine, id, load)| Item::Put(part::encode(id, engine, load, now)));
        leaving.chain(loads).collect()
    }

    /// Applies a frame of another host.
    pub fn apply_frame(self: &Arc<Self>, frame: &Placements) {
        let now = self.clock.now();
        let complete = self.completes_snapshot(frame);
        let mut deliveries = Vec::new();
        {
            let mut queues = self.queues.lock();
            for (service, queue) in queues.iter_mut() {
                for item in &frame.items {
                    Self::apply_item(&mut queue.pool, frame, item, now);
                }
                if complete {
                    queue.pool.reconcile(frame.holder, frame.snapshot);
                }
                deliveries.extend(self.assign(service, queue, now));
            }
        }
        Self::deliver(deliveries, now);
    }

    /// Counts a frame of a snapshot and returns whether it was the last missing one.
    fn completes_snapshot(&self, frame: &Placements) -> bool {
        let Scope::Snapshot { frames } = frame.scope else {
            return false;
        };
        let mut snapshots = self.snapshots.lock();
        let arriving = snapshots.entry(frame.holder).or_default();
        if arriving.0 != frame.snapshot {
            *arriving = (frame.snapshot, 0);
        }
        arriving.1 += 1;
        arriving.1 == frames
    }

    fn apply_item(pool: &mut Pool, frame: &Placements, item: &Item, now: Instant) {
        let id = |sequence| LoadId {
            holder: frame.holder,
            sequence,
        };
        match item {
            Item::Put(part) => {
                let load = part::decode(part, frame.snapshot, now);
                let (id, engine) = (id(part.sequence), Identity(part.engine));
                match frame.scope {
                    Scope::Updates => pool.put_remote(id, engine, load, now),
                    Scope::Snapshot { .. } => pool.overwrite(id, engine, load),
                }
            }
            Item::Prefilled(sequence) => pool.finish_prefill(id(*sequence), now),
            Item::Done(sequence) => pool.release(id(*sequence)),
            // Not placements.
            Item::Leaving(_)
            | Item::StoreRead(_)
            | Item::Evidence(_)
            | Item::SyncRequest
            | Item::SyncEnd
            | Item::Limit(_)
            | Item::Request(_) => {}
        }
    }

    /// Records failures at engines that a host of the same failure domain reports.
    fn apply_failures(&self, holder: u64, engines: &[u64]) {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            for engine in engines {
                queue.pool.record_report(Identity(*engine), holder, now);
            }
        }
    }

    /// Drops the placements of a host that is gone or has restarted.
    pub fn drop_holder(&self, holder: u64) {
        self.snapshots.lock().remove(&holder);
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            queue.pool.drop_holder(holder);
        }
    }

    /// Drops the loads that [`Pool::expire`] treats as expired.
    pub fn drop_expired(&self) {
        let now = self.clock.now();
        let mut queues = self.queues.lock();
        for queue in queues.values_mut() {
            queue.pool.expire(now);
        }
    }
}

impl Exchange for Placer {
    fn apply(&self, sender: Sender<'_>, extension: &Extension) {
        if let Extension::Failures(engines) = extension
            && sender.is_near
        {
            self.apply_failures(sender.holder, engines);
        }
    }

    fn repeated(&self) -> Vec<Extension> {
        Vec::new()
    }
}
