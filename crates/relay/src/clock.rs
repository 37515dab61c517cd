//! Monotonic time for scheduling and timeouts.

use kernel::clock::Instant;

/// A monotonic clock, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: std::time::Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: std::time::Instant::now(),
        }
    }
}

impl Clock {
    /// Offset of the first instant from zero, so that times before the start can be represented.
    const OFFSET: std::time::Duration = std::time::Duration::from_hours(1);

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::default() + Self::OFFSET + self.started.elapsed()
    }
}
