//! Invariants that are checked at run time.
//!
//! A violation is logged as an error, counted in `filbertstage_violations_total`, and kept for the
//! soak run, which fails on any violation. The node continues to serve.

use parking_lot::Mutex;

/// Maximum number of violations that are kept.
const MAX_VIOLATIONS: usize = 100;

static VIOLATIONS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Records a violation unless `holds` is true; `message` describes the observed state.
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

/// Returns the messages of the first 100 violations in this process.
#[must_use]
pub fn violations() -> Vec<String> {
    VIOLATIONS.lock().clone()
}
