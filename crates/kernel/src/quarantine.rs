//! Quarantine of prompt segments that crash engines, also known as queries of death.
//!
//! A segment may crash every engine that begins an answer on it. Nothing else tells such a request
//! from sound ones: its caller, route, length and other segments are shared with them.
//!
//! - If an engine crashes soon after it began an answer, this counts against the segments of that
//!   run's prompt. The other runs of the engine are victims and count against nothing.
//! - A complete answer that began later clears its segments of that crash.
//! - A segment is quarantined if several engines crashed on it at different times, and no segment
//!   that is quarantined already explains these crashes.
//!
//! Hosts exchange crashes, what cleared them, and probes. The verdict depends only on these and not
//! on the order in which they arrived, so that hosts agree without electing one of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::place::LoadId;
use crate::segment::Segment;

/// Number of events up to which a run has only just begun its answer.
pub const EVENTS_AT_START: u64 = 2;

/// Crashes that quarantine a segment on which no answer was completed recently.
const CRASHES: usize = 2;
/// Crashes that quarantine a segment on which an answer was completed recently.
const CRASHES_IF_COMPLETED: usize = 3;
/// Time within which several crashes count as one, because they have a common cause, such as the
/// loss of a rack or of a link.
const SIMULTANEOUS: Duration = Duration::from_millis(50);
/// Duration of a quarantine after [`CRASHES`]. Each further crash doubles it.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
/// Maximum number of times that the duration is doubled.
const MAX_DOUBLINGS: usize = 6;

/// Time for which completed answers are remembered.
const COMPLETION_MEMORY: Duration = Duration::from_mins(1);
/// Time for which crashes and probes are remembered, longer than the longest quarantine.
const CRASH_MEMORY: Duration = Duration::from_mins(20);
/// Maximum number of segments whose completed answers are remembered. Further ones are ignored
/// until old ones are forgotten, so that invented segments cannot push others out.
const MAX_COMPLETED: usize = 4_096;
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;
/// Maximum number of segments that one crash counts against. Those without a completed answer go
/// first.
pub const MAX_SEGMENTS: usize = 16;

/// A run whose engine crashed soon after it began the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The run.
    pub run: LoadId,
    /// The engine that crashed.
    pub engine: Identity,
    /// Time at which the engine began the answer.
    pub began: Instant,
    /// Time at which the crash was noticed.
    pub ended: Instant,
    /// Shared segments of the prompt, in the order of the prompt.
    pub segments: Vec<Segment>,
}

/// What hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// An engine crashed.
    Crash(Crash),
    /// The crash of this run is not due to the segment: an answer on it was completed later, or an
    /// operator said so.
    Cleared(LoadId, Segment),
    /// A probe with this number was sent with the segment.
    Probe(Segment, Probe),
}

/// A request with a quarantined segment that was admitted to test it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Number of the segment's probe, from one.
    pub number: u32,
    /// Time of admission.
    pub at: Instant,
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None of its segments is quarantined.
    Admitted,
    /// The request is for now the only one to test its quarantined segments.
    Probe,
    /// Refused; the next probe is due after this time.
    Refused(Duration),
}

/// Why and until when a segment is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of engines that crashed on the segment.
    pub engines: usize,
    /// Time of the first of these crashes.
    pub first_crash: Instant,
    /// Time of the last of these crashes.
    pub last_crash: Instant,
    /// Time at which the next probe is due.
    pub probe_due: Instant,
}

#[derive(Clone, Debug)]
struct Report {
    crash: Crash,
    cleared: BTreeSet<Segment>,
}

impl Report {
    fn counts_against(&self, segment: Segment) -> bool {
        self.position_counted(segment).is_some()
    }

    /// Returns the position in the prompt of a segment against which the crash counts.
    fn position_counted(&self, segment: Segment) -> Option<usize> {
        let mut segments = self.crash.segments.iter();
        let position = segments.position(|other| *other == segment)?;
        (!self.cleared.contains(&segment)).then_some(position)
    }
}

/// Evidence about segments, and the quarantine that follows from it.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    reports: Vec<Report>,
    /// By segment, the time at which an answer was last completed.
    completed: HashMap<Segment, Instant>,
    /// By segment, the last probe.
    probes: BTreeMap<Segment, Probe>,
    quarantined: BTreeMap<Segment, Entry>,
}

impl Quarantine {
    /// Records that an engine crashed; returns the evidence to share, or `None` if it was known.
    pub fn record_crash(&mut self, mut crash: Crash, now: Instant) -> Option<Evidence> {
        self.forget_old(now);
        let mut reports = self.reports.iter();
        let known = reports.any(|report| report.crash.run == crash.run);
        if known || crash.segments.is_empty() || now.since(crash.ended) >= CRASH_MEMORY {
            return None;
        }
        if crash.segments.len() > MAX_SEGMENTS {
            let completed = &self.completed;
            crash
                .segments
                .sort_by_key(|segment| completed.contains_key(segment));
            crash.segments.truncate(MAX_SEGMENTS);
        }
        if self.reports.len() >= MAX_CRASHES {
            self.drop_weakest_report();
        }
        self.reports.push(Report {
            crash: crash.clone(),
            cleared: BTreeSet::new(),
        });
        self.update();
        Some(Evidence::Crash(crash))
    }

    /// Records a complete answer that began at `began`; returns what it clears.
    pub fn record_completion(
        &mut self,
        segments: &[Segment],
        began: Instant,
        now: Instant,
    ) -> Vec<Evidence> {
        for segment in segments {
            if self.completed.len() >= MAX_COMPLETED && !self.completed.contains_key(segment) {
                self.forget_old(now);
            }
            if self.completed.len() < MAX_COMPLETED || self.completed.contains_key(segment) {
                self.completed.insert(*segment, now);
            }
        }
        self.clear_where(|crash, segment| crash.began < began && segments.contains(&segment))
    }

    /// Clears all crashes so far that count against a segment, on an operator's request; returns
    /// what this changes. They do not count against the other segments of these prompts instead.
    pub fn clear(&mut self, cleared: Segment) -> Vec<Evidence> {
        let reports = self
            .reports
            .iter()
            .filter(|report| report.counts_against(cleared));
        let runs: BTreeSet<_> = reports.map(|report| report.crash.run).collect();
        self.clear_where(|crash, _| runs.contains(&crash.run))
    }

    fn clear_where(&mut self, is_cleared: impl Fn(&Crash, Segment) -> bool) -> Vec<Evidence> {
        let mut evidence = Vec::new();
        for report in &mut self.reports {
            for segment in &report.crash.segments {
                if is_cleared(&report.crash, *segment) && report.cleared.insert(*segment) {
                    evidence.push(Evidence::Cleared(report.crash.run, *segment));
                }
            }
        }
        if !evidence.is_empty() {
            self.update();
        }
        evidence
    }

    /// Applies evidence of another host; returns whether it was unknown.
    pub fn apply(&mut self, evidence: Evidence, now: Instant) -> bool {
        match evidence {
            Evidence::Crash(crash) => self.record_crash(crash, now).is_some(),
            Evidence::Cleared(run, segment) => self.apply_cleared(run, segment),
            Evidence::Probe(segment, probe) => self.apply_probe(segment, probe),
        }
    }

    fn apply_cleared(&mut self, run: LoadId, segment: Segment) -> bool {
        let report = self
            .reports
            .iter_mut()
            .find(|report| report.crash.run == run);
        let new = report.is_some_and(|report| {
            report.crash.segments.contains(&segment) && report.cleared.insert(segment)
        });
        if new {
            self.update();
        }
        new
    }

    fn apply_probe(&mut self, segment: Segment, probe: Probe) -> bool {
        let known = self.probes.get(&segment);
        let new = known.is_none_or(|known| known.number < probe.number);
        // A segment without crashes needs no probe.
        if !new
            || !self
                .reports
                .iter()
                .any(|report| report.counts_against(segment))
        {
            return false;
        }
        self.probes.insert(segment, probe);
        self.update();
        true
    }

    /// Decides whether a new request with these segments may be sent, and returns the evidence to
    /// share if it is a probe.
    pub fn admit(&mut self, segments: &[Segment], now: Instant) -> (Verdict, Vec<Evidence>) {
        let held = segments.iter().filter_map(|segment| {
            let entry = self.quarantined.get(segment)?;
            Some((*segment, entry.probe_due.since(now)))
        });
        let held: Vec<_> = held.collect();
        match held.iter().map(|(_, rest)| *rest).max() {
            None => (Verdict::Admitted, Vec::new()),
            Some(rest) if rest.is_zero() => {
                let probes = held
                    .iter()
                    .map(|(segment, _)| self.start_probe(*segment, now));
                let probes = probes.collect();
                self.update();
                (Verdict::Probe, probes)
            }
            Some(rest) => (Verdict::Refused(rest), Vec::new()),
        }
    }

    fn start_probe(&mut self, segment: Segment, now: Instant) -> Evidence {
        let last = self.probes.get(&segment).map_or(0, |probe| probe.number);
        let probe = Probe {
            number: last.saturating_add(1),
            at: now,
        };
        self.probes.insert(segment, probe);
        Evidence::Probe(segment, probe)
    }

    /// Checks a request again that was admitted at `admitted_at`. Returns the time after which the
    /// next probe is due if it may no longer be sent.
    ///
    /// A probe may be sent until an engine crashes on its segments.
    #[must_use]
    pub fn recheck(
        &self,
        segments: &[Segment],
        verdict: Verdict,
        admitted_at: Instant,
        now: Instant,
    ) -> Option<Duration> {
        let held = segments.iter().filter_map(|segment| {
            let entry = self.quarantined.get(segment)?;
            let may_test = verdict == Verdict::Probe && entry.last_crash < admitted_at;
            (!may_test).then(|| entry.probe_due.since(now))
        });
        held.max()
    }

    /// Returns the quarantined segments.
    pub fn quarantined(&self) -> impl Iterator<Item = (Segment, Entry)> {
        let entries = self.quarantined.iter();
        entries.map(|(segment, entry)| (*segment, *entry))
    }

    /// Returns all evidence, from which another host reaches the same verdict.
    #[must_use]
    pub fn evidence(&self) -> Vec<Evidence> {
        let mut evidence = Vec::new();
        for report in &self.reports {
            evidence.push(Evidence::Crash(report.crash.clone()));
            let cleared = report.cleared.iter();
            evidence.extend(cleared.map(|segment| Evidence::Cleared(report.crash.run, *segment)));
        }
        let probes = self.probes.iter();
        evidence.extend(probes.map(|(segment, probe)| Evidence::Probe(*segment, *probe)));
        evidence
    }

    /// Forgets crashes, probes and completed answers that are too old to matter.
    pub fn forget_old(&mut self, now: Instant) {
        let count = self.reports.len();
        self.reports
            .retain(|report| now.since(report.crash.ended) < CRASH_MEMORY);
        self.probes
            .retain(|_, probe| now.since(probe.at) < CRASH_MEMORY);
        self.completed
            .retain(|_, at| now.since(*at) < COMPLETION_MEMORY);
        if self.reports.len() < count {
            self.update();
        }
    }

    /// Makes room for another crash. The oldest one that no quarantined segment explains goes
    /// first, then the oldest of the segment with the most crashes.
    fn drop_weakest_report(&mut self) {
        let weight = |report: &Report| {
            let segments = report.crash.segments.iter();
            let entries = segments.filter_map(|segment| self.quarantined.get(segment));
            let most = entries.map(|entry| entry.engines).max();
            (most.is_some(), Reverse(most), report.crash.ended)
        };
        let reports = self.reports.iter().enumerate();
        let weakest = reports.min_by_key(|(_, report)| weight(report));
        if let Some((index, _)) = weakest {
            self.reports.swap_remove(index);
        }
    }

    /// Derives the quarantined segments from the evidence.
    ///
    /// The segment that explains most crashes goes first. Among equals, one without a completed
    /// answer does, and then the one that stands later in the prompt, which fewer requests share.
    fn update(&mut self) {
        let mut suspects = self.suspects();
        let mut unexplained: Vec<&Report> = self.reports.iter().collect();
        let mut quarantined = BTreeMap::new();
        loop {
            let cause = suspects.iter().filter_map(|(segment, entry)| {
                let positions = unexplained
                    .iter()
                    .filter_map(|report| report.position_counted(*segment));
                let (crashes, position) = (positions.clone().count(), positions.max()?);
                let unproven = !self.completed.contains_key(segment);
                Some((crashes, unproven, position, *segment, *entry))
            });
            let cause = cause.max_by_key(|(crashes, unproven, position, segment, _)| {
                (*crashes, *unproven, *position, *segment)
            });
            let Some((_, _, _, segment, entry)) = cause else {
                break;
            };
            let counted = unexplained
                .iter()
                .filter(|report| report.counts_against(segment));
            let engines: BTreeSet<_> = counted.map(|report| report.crash.engine).collect();
            unexplained.retain(|report| !engines.contains(&report.crash.engine));
            suspects.remove(&segment);
            quarantined.insert(segment, entry);
        }
        self.quarantined = quarantined;
    }

    /// Returns the segments against which enough crashes count, each with its entry.
    fn suspects(&self) -> BTreeMap<Segment, Entry> {
        let mut counted: BTreeMap<Segment, Vec<&Crash>> = BTreeMap::new();
        for report in &self.reports {
            let segments = report.crash.segments.iter();
            for segment in segments.filter(|segment| report.counts_against(**segment)) {
                counted.entry(*segment).or_default().push(&report.crash);
            }
        }
        counted.retain(|_, crashes| crashes.len() >= CRASHES);
        let entries = counted
            .into_iter()
            .filter_map(|(segment, crashes)| Some((segment, self.entry(segment, crashes)?)));
        entries.collect()
    }

    /// Returns the entry for a segment if the crashes that count against it suffice.
    fn entry(&self, segment: Segment, mut crashes: Vec<&Crash>) -> Option<Entry> {
        crashes.sort_by_key(|crash| (crash.ended, crash.run));
        let mut engines = BTreeSet::new();
        crashes.retain(|crash| engines.insert(crash.engine));
        let times: Vec<_> = crashes.iter().map(|crash| crash.ended).collect();
        let needed = if self.completed.contains_key(&segment) {
            CRASHES_IF_COMPLETED
        } else {
            CRASHES
        };
        if count_separate(&times) < needed {
            return None;
        }
        let last = *times.last()?;
        let doublings = (crashes.len() - CRASHES).min(MAX_DOUBLINGS);
        let time = FIRST_QUARANTINE * 2_u32.pow(u32::try_from(doublings).unwrap_or(0));
        let probe = self.probes.get(&segment);
        let since = probe.map_or(last, |probe| probe.at.max(last));
        Some(Entry {
            engines: crashes.len(),
            first_crash: *times.first()?,
            last_crash: last,
            probe_due: since + time,
        })
    }
}

/// Counts ascending times, those within [`SIMULTANEOUS`] as one.
fn count_separate(times: &[Instant]) -> usize {
    let mut count = 0;
    let mut counted: Option<Instant> = None;
    for time in times {
        if counted.is_none_or(|at| time.since(at) >= SIMULTANEOUS) {
            count += 1;
            counted = Some(*time);
        }
    }
    count
}
