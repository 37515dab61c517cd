//! Converts loads to and from the parts that hosts send each other.

use std::time::Duration;

use kernel::catalogue::Identity;
use kernel::clock::Instant;
use kernel::place::{Load, LoadId};
use wire::placement::Part;

/// Returns the part that tells other hosts of a load. Times are relative to `now`.
pub(crate) fn encode(id: LoadId, engine: Identity, load: &Load, now: Instant) -> Part {
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    Part {
        sequence: id.sequence,
        engine: engine.0,
        tokens: load.tokens,
        prefill_ms: millis(load.prefill_time),
        prefilled: load.prefilled,
        prefilled_by_ms: millis(load.prefilled_by.since(now)),
        ends_by_ms: millis(load.ends_by.since(now)),
        decodes: load.decodes,
        pause_ms: millis(load.pause),
    }
}

/// Returns the load of a part that arrived at `now` after the snapshot with this number.
pub(crate) fn decode(part: &Part, snapshot: u32, now: Instant) -> Load {
    Load {
        tokens: part.tokens,
        prefill_time: Duration::from_millis(part.prefill_ms.into()),
        prefilled_by: now + Duration::from_millis(part.prefilled_by_ms.into()),
        prefilled: part.prefilled,
        ends_by: now + Duration::from_millis(part.ends_by_ms.into()),
        decodes: part.decodes,
        pause: Duration::from_millis(part.pause_ms.into()),
        snapshot,
    }
}
