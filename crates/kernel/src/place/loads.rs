//! The loads of all hosts on the engines of a pool, as their updates and snapshots tell them.

use std::time::Duration;

use super::engine::{Load, LoadId, MAX_TOKENS};
use super::pool::Pool;
use crate::catalogue::Identity;
use crate::clock::Instant;

/// Time after its predicted end at which a load of another host is dropped unless it is renewed.
const EXPIRY_GRACE: Duration = Duration::from_secs(3);

impl Pool {
    /// Adds a load of another host, which may defeat a claim of this host.
    pub fn put_remote(&mut self, id: LoadId, engine: Identity, load: Load, now: Instant) {
        self.claims.contest(id, engine, &load);
        if let Some(engine) = self.engines.get_mut(&engine)
            && load.decodes
        {
            engine.pacer.hold(now);
        }
        self.put(id, engine, load, now);
    }

    /// Inserts or overwrites a load on an engine; ignored if the engine is unknown.
    pub fn put(&mut self, id: LoadId, engine: Identity, mut load: Load, now: Instant) {
        load.tokens = load.tokens.min(MAX_TOKENS);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.put(id, load, now);
        }
    }

    /// Inserts or overwrites a load from a snapshot of another host without delaying other loads.
    pub fn overwrite(&mut self, id: LoadId, engine: Identity, mut load: Load) {
        load.tokens = load.tokens.min(MAX_TOKENS);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.overwrite(id, load);
        }
    }

    /// Removes the loads with this ID from all engines and closes their claim.
    pub fn release(&mut self, id: LoadId) {
        self.claims.settle(id);
        for engine in self.engines.values_mut() {
            engine.remove(id);
        }
    }

    /// Marks the prefill of a request as finished and removes its helper loads that reserve no
    /// memory.
    pub fn finish_prefill(&mut self, id: LoadId, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.finish_prefill(id, now);
            engine.retain(|other, load| other != id || load.decodes || load.tokens > 0);
        }
    }

    /// Drops loads of other hosts that were not renewed in time, and helper loads without reserved
    /// memory whose predicted end has passed.
    pub fn expire(&mut self, now: Instant) {
        let holder = self.holder;
        for engine in self.engines.values_mut() {
            engine.retain(|id, load| {
                let prefills_only = !load.decodes && load.tokens == 0;
                let over = now.since(load.ends_by);
                if prefills_only {
                    over.is_zero()
                } else {
                    id.holder == holder || over < EXPIRY_GRACE
                }
            });
        }
    }

    /// Drops the loads that the host `holder` last reported before its snapshot number `snapshot`.
    ///
    /// All frames of the snapshot must have been applied.
    pub fn reconcile(&mut self, holder: u64, snapshot: u32) {
        for engine in self.engines.values_mut() {
            engine.retain(|id, load| id.holder != holder || load.snapshot >= snapshot);
        }
    }

    /// Drops all loads of a host that has left or restarted.
    pub fn drop_holder(&mut self, holder: u64) {
        for engine in self.engines.values_mut() {
            engine.retain(|id, _| id.holder != holder);
        }
    }

    /// Returns the loads of this host with their engines.
    pub fn own_loads(&self) -> impl Iterator<Item = (Identity, LoadId, &Load)> {
        self.engines.values().flat_map(move |engine| {
            let loads = engine.loads();
            let own = loads.filter(move |(id, _)| id.holder == self.holder);
            own.map(move |(id, load)| (engine.identity, id, load))
        })
    }
}
