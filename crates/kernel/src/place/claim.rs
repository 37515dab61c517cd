//! Resolves conflicts between hosts that choose the same engine at the same time.
//!
//! Hosts that wait for the same engines see them become free at the same time and make the same
//! choice. A plan with long prefill is therefore announced to the other hosts first. It starts only
//! if no other host announces a conflicting plan with higher precedence in the meantime. The last
//! slots of an engine are claimed in the same way.

use std::collections::HashMap;

use super::engine::{Load, LoadId};
use super::plan::{MIN_PART_MS, Plan};
use crate::catalogue::Identity;

/// Number of last slots of an engine that are claimed. At most three hosts were observed to choose
/// the same engine within two milliseconds on a day with low load.
const CONTESTED_SLOTS: usize = 3;

#[derive(Clone, Debug)]
struct Claim {
    engines: Vec<Identity>,
    /// The primary engine and the number of its other free slots, if fewer than `CONTESTED_SLOTS`.
    slot: Option<(Identity, usize)>,
    lost: bool,
}

/// Unsettled claims of this host.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    open: HashMap<LoadId, Claim>,
}

/// Returns whether the load occupies its engine long enough to need a claim.
fn is_long(load: &Load) -> bool {
    load.prefill_time.as_secs_f64() * 1_000.0 >= MIN_PART_MS
}

/// Returns the sort key of a claim; the lowest key wins.
///
/// The key is the same on all hosts and is mixed so that no host is favoured.
const fn precedence(id: LoadId) -> (u64, u64) {
    /// 2^64 divided by the golden ratio; multiplying by it spreads consecutive numbers.
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed =
        (id.holder ^ (id.sequence as u64).wrapping_mul(GOLDEN_RATIO)).wrapping_mul(GOLDEN_RATIO);
    (mixed ^ (mixed >> 32), id.holder)
}

impl Claims {
    /// Claims the engines on which a plan prefills for at least `MIN_PART_MS`, and a slot of the
    /// primary engine if fewer than `CONTESTED_SLOTS` other slots are left.
    ///
    /// `slots_left` does not count the slot of the plan itself. Returns false if the plan needs no
    /// claim.
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

    /// Checks the open claims against a load of another host and marks those that lose to it.
    ///
    /// A claim on a slot is lost only if no slot is left for it.
    pub fn contest(&mut self, other: LoadId, engine: Identity, load: &Load) {
        let takes_precedence = |id: &LoadId| precedence(other) < precedence(*id);
        for (_, claim) in self.open.iter_mut().filter(|(id, _)| takes_precedence(id)) {
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

    /// Closes a claim and returns whether it was won or not needed.
    pub fn settle(&mut self, id: LoadId) -> bool {
        self.open.remove(&id).is_none_or(|claim| !claim.lost)
    }
}
