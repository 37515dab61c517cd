//! Claims on engines that another host may have chosen in the same moment.
//!
//! Hosts that wait for the same engines see them become free at the same time and choose alike. A
//! plan with long reading is therefore told to the other hosts first and holds only if none of them
//! told of an earlier one meanwhile. The last slots of an engine are claimed in the same way.

use std::collections::HashMap;

use super::engine::{Load, LoadId};
use super::plan::{MIN_PART_MS, Plan};
use crate::catalogue::Identity;

/// Slots of an engine that several hosts may want in the same moment: three hosts that chose within
/// two milliseconds were the most seen on a quiet day.
const CONTESTED_SLOTS: usize = 3;

#[derive(Clone, Debug)]
struct Claim {
    engines: Vec<Identity>,
    /// The engine that writes, where its slots are nearly taken, and how many are left.
    slot: Option<(Identity, usize)>,
    lost: bool,
}

/// The claims of this host that may still be lost.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    open: HashMap<LoadId, Claim>,
}

/// Whether the load keeps its engine from others for long.
fn is_long(load: &Load) -> bool {
    load.prefill_time.as_secs_f64() * 1_000.0 >= MIN_PART_MS
}

/// Orders two claims alike on all hosts, and by chance as to who wins.
const fn precedence(id: LoadId) -> (u64, u64) {
    /// 2^64 divided by the golden ratio, which spreads neighbouring numbers far apart.
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed =
        (id.holder ^ (id.sequence as u64).wrapping_mul(GOLDEN_RATIO)).wrapping_mul(GOLDEN_RATIO);
    (mixed ^ (mixed >> 32), id.holder)
}

impl Claims {
    /// Claims the engines of a plan, and a slot where only `slots_left` are left beside it; returns
    /// false when nothing of it can be contested.
    pub fn open(&mut self, id: LoadId, plan: &Plan, slots_left: usize) -> bool {
        let long = plan.loads.iter().filter(|(_, load)| is_long(load));
        let engines: Vec<_> = long.map(|(engine, _)| *engine).collect();
        let slot = (slots_left < CONTESTED_SLOTS).then_some((plan.primary, slots_left));
        if engines.is_empty() && slot.is_none() {
            return false;
        }
        let claim = Claim {
            engines,
            slot,
            lost: false,
        };
        self.open.insert(id, claim);
        true
    }

    /// Takes what another host placed: the earlier one in the common order keeps the engine.
    pub fn contest(&mut self, other: LoadId, engine: Identity, load: &Load) {
        let earlier = |id: &LoadId| precedence(other) < precedence(*id);
        for (_, claim) in self.open.iter_mut().filter(|(id, _)| earlier(id)) {
            if is_long(load) && claim.engines.contains(&engine) {
                claim.lost = true;
            }
            if let Some((contested, slots_left)) = &mut claim.slot
                && load.decodes
                && *contested == engine
            {
                claim.lost |= *slots_left == 0;
                *slots_left = slots_left.saturating_sub(1);
            }
        }
    }

    /// Ends a claim and returns whether it holds.
    pub fn settle(&mut self, id: LoadId) -> bool {
        self.open.remove(&id).is_none_or(|claim| !claim.lost)
    }
}
