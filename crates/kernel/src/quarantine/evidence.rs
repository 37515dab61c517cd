//! What hosts tell each other about requests that crash endpoints.

use std::fmt;

use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::fingerprint::Fingerprint;
use crate::place::LoadId;
use crate::segment::Segment;

/// What runs that crashed their endpoints may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A segment of the prompt.
    Segment(Segment),
    /// The whole request: its caller, method, path and body.
    Request(Fingerprint),
}

impl Suspect {
    /// Parses the text of a suspect, as operators see it.
    #[must_use]
    pub fn from_id(id: &str) -> Self {
        let request = Fingerprint::from_id(id).map(Self::Request);
        request.unwrap_or_else(|| Self::Segment(Segment::from_id(id)))
    }

    /// Whether the suspect is a whole request.
    #[must_use]
    pub const fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Segment(segment) => segment.fmt(formatter),
            Self::Request(fingerprint) => fingerprint.fmt(formatter),
        }
    }
}

/// A run whose endpoint crashed soon after it began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The run.
    pub run: LoadId,
    /// The endpoint that crashed.
    pub endpoint: Identity,
    /// Time at which the run began.
    pub began: Instant,
    /// Time at which the crash was noticed.
    pub ended: Instant,
    /// What may have caused the crash: the shared segments of the prompt, in its order, or the
    /// request.
    pub suspects: Vec<Suspect>,
}

/// What hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// An endpoint crashed.
    Crash(Crash),
    /// The crash of this run is not due to the suspect: a run with it that began later was
    /// completed, or an operator said so.
    Cleared(LoadId, Suspect),
    /// A request was admitted to test the suspect.
    Probe(Suspect, Probe),
}

/// A request that was admitted to test a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Probe {
    /// Number of probes since the suspect was quarantined. Zero before that.
    pub number: u32,
    /// Time of admission.
    pub at: Instant,
}
