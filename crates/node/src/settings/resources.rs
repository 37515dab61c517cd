//! What a node may use of its machine.

use buffer::machine;
use serde::{Deserialize, Serialize};
use wire::stream::MAX_BYTES;

/// Least memory with which a node can serve, in MB.
pub(super) const MIN_MEMORY_MB: u64 = 32;
/// Least number of descriptors with which a node can serve.
pub(super) const MIN_DESCRIPTORS: u64 = 64;
/// Memory of a machine that does not tell, in MB.
const UNKNOWN_MEMORY_MB: u64 = 512;
/// Share of the memory for bodies of requests: one part of so many.
const BODY_PARTS: u64 = 3;
/// Share of the memory for answers of the platform: one part of so many.
const PLATFORM_PARTS: u64 = 6;

/// Share of the memory for connections of callers: one part of so many.
const CONNECTION_PARTS: u64 = 5;
/// Share of the memory for first frames of peers that may be strangers: one part of so many.
const STRANGER_PARTS: u64 = 8;
/// Memory of a connection with a request, in bytes: buffers for reading and writing, and the head.
const CONNECTION_BYTES: u64 = 112 * 1_024;
/// Descriptors of a process that cannot tell.
const UNKNOWN_DESCRIPTORS: u64 = 1_024;

/// What a node may use of its machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Memory of the machine in MB. If it is 0, the system is asked.
    pub memory_mb: u64,
    /// Maximum number of open descriptors. If it is 0, the system is asked.
    pub descriptors: u64,
}

impl Resources {
    fn memory_bytes(&self) -> u64 {
        const MB: u64 = 1_000_000;
        match self.memory_mb {
            0 => machine::memory_bytes().unwrap_or(UNKNOWN_MEMORY_MB * MB),
            memory_mb => memory_mb.saturating_mul(MB),
        }
    }

    fn max_descriptors(&self) -> u64 {
        match self.descriptors {
            0 => machine::max_descriptors().unwrap_or(UNKNOWN_DESCRIPTORS),
            descriptors => descriptors,
        }
    }

    /// Returns the maximum number of connections of callers. The other descriptors are for engines,
    /// other nodes and the platform.
    #[must_use]
    pub fn max_callers(&self) -> usize {
        let by_descriptors = self.max_descriptors() / 2;
        let by_memory = self.memory_bytes() / CONNECTION_PARTS / CONNECTION_BYTES;
        usize::try_from(by_descriptors.min(by_memory)).unwrap_or(usize::MAX)
    }

    /// Returns the maximum number of connections of other nodes.
    #[must_use]
    pub fn max_nodes(&self) -> usize {
        usize::try_from(self.max_descriptors() / 4).unwrap_or(usize::MAX)
    }

    /// Returns how many large frames of peers that may be strangers are read at the same time, at
    /// least one.
    #[must_use]
    pub fn stranger_frames(&self) -> usize {
        let frames = self.memory_bytes() / STRANGER_PARTS / MAX_BYTES as u64;
        usize::try_from(frames).unwrap_or(usize::MAX).clamp(1, 64)
    }

    /// Returns the memory for bodies of requests, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.memory_bytes() / BODY_PARTS
    }

    /// Returns the memory for answers of the platform, in bytes.
    #[must_use]
    pub fn platform_bytes(&self) -> u64 {
        self.memory_bytes() / PLATFORM_PARTS
    }
}
