//! The present time for decisions.

use kernel::clock::Instant;

/// The system's steady clock, counted from the start of the process.
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
    /// Lifts the count above zero, so that spans before the start can be expressed.
    const OFFSET: std::time::Duration = std::time::Duration::from_hours(1);

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::default() + Self::OFFSET + self.started.elapsed()
    }
}
