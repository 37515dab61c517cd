//! Suspects and crashes for the tests of the quarantine.

// Each test file uses only some of these items.
#![allow(dead_code)]

use filbertstage_kernel::catalogue::Identity;
use filbertstage_kernel::fingerprint::Fingerprint;
use filbertstage_kernel::place::LoadId;
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::quarantine::{Crash, Suspect};
use filbertstage_kernel::segment::Segment;

/// A segment that all requests share, as the first one of a prompt.
pub const COMMON: Suspect = Suspect::Segment(Segment(0x5a));
/// A segment that crashes engines.
pub const LETHAL: Suspect = Suspect::Segment(Segment(0xbad));
pub const SOUND: Suspect = Suspect::Segment(Segment(0x600d));

/// A request that crashes endpoints.
pub const LETHAL_REQUEST: Suspect = Suspect::Request(Fingerprint(0xbad));
/// A request that was running when they crashed.
pub const VICTIM: Suspect = Suspect::Request(Fingerprint(0x71c));
/// Time between two runs of a request on which one endpoint crashed.
pub const HOLD: Duration = Duration::from_millis(500);

pub const fn segment(id: u64) -> Suspect {
    Suspect::Segment(Segment(id))
}

pub const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// The crash of engine `engine` at `millis`, 100 ms after it began an answer.
pub fn crash(engine: u64, millis: u64, suspects: &[Suspect]) -> Crash {
    Crash {
        run: LoadId {
            holder: 1,
            sequence: u32::try_from(engine).unwrap(),
        },
        endpoint: Identity(engine),
        began: at(millis - 100),
        ended: at(millis),
        suspects: suspects.to_vec(),
    }
}
