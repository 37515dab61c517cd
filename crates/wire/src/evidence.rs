//! Evidence about requests that crash endpoints, and about segments of their prompts. Times are ages at the time of sending, in
//! milliseconds.

use serde::{Deserialize, Serialize};

/// A piece of evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// An engine crashed soon after it began an answer.
    Crash {
        /// The run.
        run: Run,
        /// Identity of the engine's incarnation.
        engine: u64,
        /// Age of the begin of the answer.
        began_ms: u32,
        /// Age of the crash.
        ended_ms: u32,
        /// Shared segments of the prompt, in the order of the prompt.
        segments: Vec<u64>,
    },
    /// The crash of a run is not due to a segment.
    Cleared {
        /// The run.
        run: Run,
        /// The segment.
        segment: u64,
    },
    /// A request was admitted to test a quarantined segment.
    Probe {
        /// The segment.
        segment: u64,
        /// Number of the segment's probe, from one.
        number: u32,
        /// Age of the probe.
        age_ms: u32,
    },
    /// An endpoint crashed soon after it began to run a request.
    RequestCrash {
        /// The run.
        run: Run,
        /// Identity of the endpoint's incarnation.
        endpoint: u64,
        /// Age of the begin of the run.
        began_ms: u32,
        /// Age of the crash.
        ended_ms: u32,
        /// Fingerprint of the request.
        request: u128,
    },
    /// The crash of a run is not due to the request.
    RequestCleared {
        /// The run.
        run: Run,
        /// Fingerprint of the request.
        request: u128,
    },
    /// A request was admitted to test whether it still crashes endpoints.
    RequestProbe {
        /// Fingerprint of the request.
        request: u128,
        /// Number of probes since the request was quarantined, zero before that.
        number: u32,
        /// Age of the probe.
        age_ms: u32,
    },
}

/// Identifies one run of a request at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Incarnation of the host that placed the request.
    pub holder: u64,
    /// Sequence number of that host.
    pub sequence: u32,
}
