//! Counts the outcomes of a soak run and records its trace and violations.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use kernel::membership;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::time::Instant;

use super::super::units::KV_BYTES_PER_TOKEN;
use crate::caller::End;

/// Maximum time from a node's death until its deferred requests have a second copy again: the death
/// is detected, the next replica check runs within one second, and the copy is sent within another.
const MAX_REPLICATION_DELAY: Duration = membership::DEAD_AFTER
    .saturating_add(Duration::from_secs(1))
    .saturating_add(Duration::from_secs(1));

/// The results of a soak run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub seed: u64,
    pub requests: u64,
    pub finished: u64,
    pub failed: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub late: u64,
    /// Requests that were resumed at another node and ended with the complete answer.
    pub continued: u64,
    /// Broken connections to nodes.
    pub cut: u64,
    pub wrong_answers: u64,
    /// Executions of bookings beyond the first of each.
    pub double_runs: u64,
    /// Lost deferred requests that two node deaths within [`MAX_REPLICATION_DELAY`] explain.
    pub lost_by_two_deaths: u64,
    /// KV memory that engines still held at the end of the run.
    pub leaked_bytes: u64,
    pub violations: Vec<String>,
    /// Number of injected faults of each kind.
    pub faults: BTreeMap<String, u64>,
}

impl Report {
    /// Whether every check of the run passed.
    pub fn passed(&self) -> bool {
        self.late == 0
            && self.wrong_answers == 0
            && self.double_runs == 0
            && self.leaked_bytes == 0
            && self.violations.is_empty()
    }

    /// Prints the report as text.
    pub fn print(&self) {
        println!(
            "seed {}: {} requests: {} finished, {} failed, {} not run, {} unknown, {} continued at another node, {} cut",
            self.seed,
            self.requests,
            self.finished,
            self.failed,
            self.not_run,
            self.unknown,
            self.continued,
            self.cut
        );
        println!(
            "{} late, {} wrong answers, {} double runs, {} lost by two deaths, {} bytes leaked, {} violations",
            self.late,
            self.wrong_answers,
            self.double_runs,
            self.lost_by_two_deaths,
            self.leaked_bytes,
            self.violations.len()
        );
        for violation in &self.violations {
            println!("violation: {violation}");
        }
        for (fault, count) in &self.faults {
            println!("fault {fault}: {count}");
        }
    }
}

/// How the attempts of one booking ended; a booking must run at most once.
#[derive(Clone, Debug, Default)]
struct Booking {
    answered: bool,
    all_refused: bool,
}

#[derive(Default)]
struct State {
    report: Report,
    deaths: Vec<Instant>,
    bookings: BTreeMap<String, Booking>,
    trace: Vec<(Instant, String)>,
}

/// Counts, trace and violations of a run, shared by its tasks.
#[derive(Default)]
pub struct Tally {
    state: Mutex<State>,
}

impl Tally {
    /// Adds a line to the trace, with the current time.
    pub fn trace(&self, line: String) {
        self.state.lock().trace.push((Instant::now(), line));
    }

    /// Formats the trace as text; each line starts with the milliseconds since the first one.
    pub fn trace_text(&self) -> String {
        let state = self.state.lock();
        let Some((start, _)) = state.trace.first() else {
            return String::new();
        };
        let mut text = String::new();
        for (at, line) in &state.trace {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{:>8} {line}", at.duration_since(*start).as_millis());
        }
        text
    }

    /// Counts an injected fault and adds it to the trace.
    pub fn record_fault(&self, kind: &str, detail: &str) {
        let mut state = self.state.lock();
        *state.report.faults.entry(kind.to_owned()).or_default() += 1;
        state
            .trace
            .push((Instant::now(), format!("fault {kind} {detail}")));
    }

    /// Records a violated invariant.
    pub fn record_violation(&self, description: String) {
        self.trace(format!("violation {description}"));
        self.state.lock().report.violations.push(description);
    }

    /// Records the time at which a node was killed.
    pub fn record_death(&self) {
        self.state.lock().deaths.push(Instant::now());
    }

    /// Records the loss of a deferred request that was accepted at `accepted`.
    ///
    /// Each deferred request is stored on two hosts. Its loss is a violation unless two nodes died
    /// within [`MAX_REPLICATION_DELAY`], before a new copy was made.
    pub fn record_lost(&self, id: &str, accepted: Instant) {
        let allowed = {
            let state = self.state.lock();
            let mut pairs = state.deaths.windows(2);
            pairs.any(|pair| pair[1] >= accepted && pair[1] - pair[0] <= MAX_REPLICATION_DELAY)
        };
        if allowed {
            self.trace(format!("deferred request {id} was lost by two deaths"));
            self.state.lock().report.lost_by_two_deaths += 1;
        } else {
            self.record_violation(format!("deferred request {id} was lost"));
        }
    }

    /// Counts a request that was resumed at another node after its connection broke.
    pub fn record_continued(&self) {
        self.state.lock().report.continued += 1;
    }

    /// Counts a broken connection to a node.
    pub fn record_connection_loss(&self) {
        self.state.lock().report.cut += 1;
    }

    /// Records a violation if a connection to a node broke, in a run in which no node was killed.
    pub fn check_connections(&self) {
        let cut = self.state.lock().report.cut;
        if cut > 0 {
            self.record_violation(format!("{cut} connections ended without a response"));
        }
    }

    /// Counts an ended request and adds it to the trace.
    pub fn record_end(&self, description: &str, end: End, error: &str) {
        let mut state = self.state.lock();
        state.trace.push((
            Instant::now(),
            format!("{description} ended {end:?} {error}"),
        ));
        let report = &mut state.report;
        report.requests += 1;
        match end {
            End::Whole => report.finished += 1,
            End::NotRun => report.not_run += 1,
            End::Failed | End::NodeLost => report.failed += 1,
            End::Unknown => report.unknown += 1,
            End::Wrong => report.wrong_answers += 1,
            End::Late => report.late += 1,
        }
    }

    /// Records how one attempt of a booking ended.
    pub fn record_booking(&self, key: &str, end: End) {
        let mut state = self.state.lock();
        let booking = state.bookings.entry(key.to_owned()).or_insert(Booking {
            answered: false,
            all_refused: true,
        });
        booking.answered |= end == End::Whole;
        booking.all_refused &= end == End::NotRun;
    }

    /// Records that engines still held KV memory of `tokens` tokens at the end of the run.
    pub fn record_leak(&self, tokens: u64) {
        self.state.lock().report.leaked_bytes = tokens * KV_BYTES_PER_TOKEN;
    }

    /// Compares the service's execution counts with the outcomes that the callers received.
    ///
    /// Counts double runs. Records a violation for each answered booking that did not run and each
    /// refused one that ran.
    pub fn check_executions(&self, executions: &BTreeMap<String, u32>) {
        let mut state = self.state.lock();
        let mut violations = Vec::new();
        let mut double_runs = 0;
        for (key, booking) in &state.bookings {
            let count = executions.get(key).copied().unwrap_or(0);
            double_runs += u64::from(count.saturating_sub(1));
            if booking.answered && count == 0 {
                violations.push(format!("booking {key} was answered and did not run"));
            }
            if booking.all_refused && count > 0 {
                violations.push(format!("booking {key} was refused as not run and ran"));
            }
        }
        state.report.double_runs = double_runs;
        state.report.violations.extend(violations);
    }

    /// Returns the report, including the invariant violations that the nodes recorded.
    pub fn report(&self, seed: u64, node_violations: Vec<String>) -> Report {
        let mut report = self.state.lock().report.clone();
        report.seed = seed;
        report.violations.extend(node_violations);
        report
    }
}
