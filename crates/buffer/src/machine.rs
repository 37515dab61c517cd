//! Memory and descriptors of the machine, as the system reports them.

use std::fs;

/// Returns the memory of the machine in bytes, from `/proc/meminfo`.
#[must_use]
pub fn memory_bytes() -> Option<u64> {
    parse_memory(&fs::read_to_string("/proc/meminfo").ok()?)
}

/// Returns the maximum number of descriptors of this process, from `/proc/self/limits`.
#[must_use]
pub fn max_descriptors() -> Option<u64> {
    parse_descriptors(&fs::read_to_string("/proc/self/limits").ok()?)
}

/// Parses the contents of `/proc/meminfo`.
#[must_use]
pub fn parse_memory(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    kib.checked_mul(1_024)
}

/// Parses the contents of `/proc/self/limits`.
#[must_use]
pub fn parse_descriptors(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
