//! Parts of prompts that crash the engines which begin to write an answer on them.

use std::collections::BTreeMap;

use crate::judge::{Judge, Millis, Step};

/// What the names of such parts begin with. The two digits after it say when the engine ends.
pub const PREFIX: &str = "dead";
/// The engine ends before the head of its answer.
pub const BEFORE_HEAD: &str = "01";
/// The engine ends between the head and the first event.
pub const AFTER_HEAD: &str = "02";
/// The engine ends after the first event.
pub const AFTER_EVENT: &str = "03";

/// The engine closes the connection after the head and ends later.
pub const CLOSED_FIRST: &str = "04";

/// Crashes after which a part may no longer reach engines.
const CRASHES: usize = 5;
/// Requests that may still reach engines later.
const ALLOWED: usize = 3;

/// Returns the moment at which an engine ends, by the parts of a prompt.
pub fn moment(parts: &str) -> Option<&str> {
    let found = parts.split(',').find_map(|part| part.strip_prefix(PREFIX));
    found.and_then(|rest| rest.get(..2))
}

/// Returns the 940 shared tokens of a prompt with `part`. Odd parts do not follow the part that all other
/// prompts begin with.
pub fn prefix(part: &str) -> String {
    if part.ends_with(['1', '3', '5', '7', '9', 'b', 'd', 'f']) {
        format!("{part}:940")
    } else {
        format!("0a:40,{part}:900")
    }
}

/// Counts requests that reached engines later than `stability` after the fifth crash under one part.
/// Returns the broken cases, and figures for each part.
pub fn verdict(judge: &Judge, stability: Millis) -> (Vec<String>, Vec<String>) {
    let mut steps: BTreeMap<&str, Vec<&Step>> = BTreeMap::new();
    for step in &judge.steps {
        if let Some(part) = judge.parts.get(&step.id) {
            steps.entry(part).or_default().push(step);
        }
    }
    let (mut broken, mut figures) = (Vec::new(), Vec::new());
    for (part, steps) in steps {
        let of = |what: &'static str| steps.iter().filter(move |step| step.what == what);
        let mut crashes: Vec<_> = of("crashes").map(|step| step.at).collect();
        crashes.sort_unstable();
        let asked = judge.parts.values().filter(|known| *known == part).count();
        let fifth = crashes.get(CRASHES - 1).copied();
        let is_late = |step: &&&Step| fifth.is_some_and(|fifth| step.at > fifth + stability);
        let late: Vec<_> = of("arrives").filter(is_late).collect();
        let ran = of("runs").filter(is_late).count();
        let text = format!(
            "part {part}: {asked} asked, {} arrived, {} crashes, {} arrived late ({ran} ran)",
            of("arrives").count(),
            crashes.len(),
            late.len()
        );
        if late.len() > ALLOWED {
            broken.push(format!("{text}; crashes at {crashes:?}: {late:?}"));
        }
        figures.push(text);
    }
    (broken, figures)
}
