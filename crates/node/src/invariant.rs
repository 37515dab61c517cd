//! Conditions that must always hold, checked while the program runs.
//!
//! A broken condition is logged as an error, counted in `filbertstage_violations_total`, and kept
//! for the soak run, which fails on any. The node goes on serving.

use parking_lot::Mutex;

/// Broken conditions kept with their text.
const MAX_VIOLATIONS: usize = 100;

static VIOLATIONS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Checks a condition; `message` says what was seen when it does not hold.
pub(crate) fn check(holds: bool, message: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let message = message();
    log::error!("event=invariant_broken what={message:?}");
    metrics::counter!("filbertstage_violations_total").increment(1);
    let mut violations = VIOLATIONS.lock();
    if violations.len() < MAX_VIOLATIONS {
        violations.push(message);
    }
}

/// What was broken in this process so far, the first ones with their text.
#[must_use]
pub fn violations() -> Vec<String> {
    VIOLATIONS.lock().clone()
}
