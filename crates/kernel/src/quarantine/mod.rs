//! Quarantine of requests that crash endpoints, also known as queries of death.
//!
//! A request may crash every endpoint that runs it, because of a segment of its prompt or as a whole.
//! Nothing else tells it from sound requests: its caller, route and length are shared with them.
//!
//! - If an endpoint crashes soon after a run began on it, this counts against the run's suspects: the
//!   request, and the shared segments of its prompt. The other runs of the endpoint are victims and
//!   count against nothing.
//! - A completed run that began later clears its suspects of that crash.
//! - A suspect is quarantined if several endpoints crashed on it at different times, and no suspect
//!   that is quarantined already explains these crashes. It is tested a few times, at growing
//!   intervals.
//! - A request on which one endpoint crashed is held for a short time before it is run again, so that
//!   several such requests do not take a small service out of use at once.
//!
//! Hosts exchange crashes, what cleared them, and probes. The verdict depends only on these and not
//! on the order in which they arrived, so that hosts agree without electing one of them.

mod completion;
mod evidence;
mod verdict;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::place::LoadId;
use completion::Completions;

pub use evidence::{Crash, Evidence, Probe, Suspect};
pub use verdict::{Entry, Verdict};

/// Number of events up to which a run has only just begun its answer.
pub const EVENTS_AT_START: u64 = 2;

/// Crashes that quarantine a suspect with which no run was completed recently.
const CRASHES: usize = 2;
/// Crashes that quarantine a suspect with which a run was completed recently.
const CRASHES_IF_COMPLETED: usize = 3;
/// Time within which several crashes count as one, because they have a common cause, such as the
/// loss of a rack or of a link.
const SIMULTANEOUS: Duration = Duration::from_millis(50);
/// Duration of a quarantine after [`CRASHES`]. Each further crash doubles it.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
/// Maximum number of times that the duration is doubled.
const MAX_DOUBLINGS: usize = 6;
/// Probes after which a quarantine lasts until an operator ends it.
const MAX_PROBES: u32 = 2;

/// Time for which crashes and probes are remembered, longer than the longest quarantine.
const CRASH_MEMORY: Duration = Duration::from_mins(20);
/// Time after which requests for a suspect that is not tested any more renew its evidence.
const RENEWAL: Duration = Duration::from_mins(5);
/// Time by which another host's probe must be later than a known one to be new. The time for which
/// evidence travels is not known.
const PROBE_TOLERANCE: Duration = Duration::from_millis(50);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;
/// Maximum number of suspects that one crash counts against. Those without a completed answer go
/// first.
pub const MAX_SUSPECTS: usize = 16;

#[derive(Clone, Debug)]
struct Report {
    crash: Crash,
    cleared: BTreeSet<Suspect>,
}

impl Report {
    fn counts_against(&self, suspect: Suspect) -> bool {
        self.position_counted(suspect).is_some()
    }

    /// Returns the position in the prompt of a suspect against which the crash counts. A whole
    /// request comes after all segments.
    fn position_counted(&self, suspect: Suspect) -> Option<usize> {
        let mut suspects = self.crash.suspects.iter();
        let position = suspects.position(|other| *other == suspect)?;
        let position = if suspect.is_request() {
            usize::MAX
        } else {
            position
        };
        (!self.cleared.contains(&suspect)).then_some(position)
    }
}

/// Evidence about suspects, and the quarantine that follows from it.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    reports: Vec<Report>,
    completed: Completions,
    /// By suspect, the last probe.
    probes: BTreeMap<Suspect, Probe>,
    quarantined: BTreeMap<Suspect, Entry>,
    /// Requests that are held, with the time of the crash.
    held: BTreeMap<Suspect, Instant>,
}

impl Quarantine {
    /// Records that an endpoint crashed; returns the evidence to share, or `None` if it was known.
    pub fn record_crash(&mut self, mut crash: Crash, now: Instant) -> Option<Evidence> {
        self.forget_old(now);
        let mut reports = self.reports.iter();
        let known = reports.any(|report| report.crash.run == crash.run);
        if known || crash.suspects.is_empty() || now.since(crash.ended) >= CRASH_MEMORY {
            return None;
        }
        if crash.suspects.len() > MAX_SUSPECTS {
            let completed = &self.completed;
            crash
                .suspects
                .sort_by_key(|suspect| completed.contains(*suspect));
            crash.suspects.truncate(MAX_SUSPECTS);
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

    /// Records a completed run that began at `began`; returns what it clears.
    pub fn record_completion(
        &mut self,
        suspects: &[Suspect],
        began: Instant,
        now: Instant,
    ) -> Vec<Evidence> {
        for suspect in suspects {
            self.completed.record(*suspect, now);
        }
        self.clear_where(|crash, suspect| crash.began < began && suspects.contains(&suspect))
    }

    /// Clears all crashes so far that count against a suspect, on an operator's request; returns
    /// what this changes. They do not count against other suspects instead.
    pub fn clear(&mut self, cleared: Suspect) -> Vec<Evidence> {
        let reports = self.reports.iter();
        let counted = reports.filter(|report| report.counts_against(cleared));
        let endpoints: BTreeSet<_> = counted.map(|report| report.crash.endpoint).collect();
        self.clear_where(|crash, _| endpoints.contains(&crash.endpoint))
    }

    fn clear_where(&mut self, is_cleared: impl Fn(&Crash, Suspect) -> bool) -> Vec<Evidence> {
        let mut evidence = Vec::new();
        for report in &mut self.reports {
            for suspect in &report.crash.suspects {
                if is_cleared(&report.crash, *suspect) && report.cleared.insert(*suspect) {
                    evidence.push(Evidence::Cleared(report.crash.run, *suspect));
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
            Evidence::Cleared(run, suspect) => self.apply_cleared(run, suspect),
            Evidence::Probe(suspect, probe) => self.apply_probe(suspect, probe),
        }
    }

    fn apply_cleared(&mut self, run: LoadId, suspect: Suspect) -> bool {
        let report = self
            .reports
            .iter_mut()
            .find(|report| report.crash.run == run);
        let new = report.is_some_and(|report| {
            report.crash.suspects.contains(&suspect) && report.cleared.insert(suspect)
        });
        if new {
            self.update();
        }
        new
    }

    fn apply_probe(&mut self, suspect: Suspect, probe: Probe) -> bool {
        let known = self.probes.get(&suspect);
        let new = known.is_none_or(|known| {
            let earlier = known.at > probe.at + PROBE_TOLERANCE;
            let later = probe.at > known.at + PROBE_TOLERANCE;
            later || (!earlier && known.number < probe.number)
        });
        // A suspect without crashes needs no probe.
        if !new || !self.is_counted(suspect) {
            return false;
        }
        self.probes.insert(suspect, probe);
        self.update();
        true
    }

    fn is_counted(&self, suspect: Suspect) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|report| report.counts_against(suspect))
    }

    /// Decides whether a new request with these suspects may be sent. Nothing is recorded.
    ///
    /// `hold` is the time between two runs of a request on which one endpoint crashed.
    #[must_use]
    pub fn assess(&self, suspects: &[Suspect], hold: Duration, now: Instant) -> Verdict {
        let quarantined = suspects.iter().filter_map(|suspect| {
            let entry = self.quarantined.get(suspect)?;
            Some(entry.wait(now))
        });
        let quarantined = quarantined.max();
        if let Some(wait) = quarantined.filter(|wait| !wait.is_zero()) {
            return Verdict::Refused(wait);
        }
        let pauses = suspects.iter().filter_map(|suspect| {
            let crashed_at = *self.held.get(suspect)?;
            let probe = self.probes.get(suspect);
            let since = probe.map_or(crashed_at, |probe| probe.at.max(crashed_at));
            Some((since + hold).since(now))
        });
        if let Some(wait) = pauses.max().filter(|wait| !wait.is_zero()) {
            return Verdict::Held(wait);
        }
        if quarantined.is_some() {
            Verdict::Probe
        } else {
            Verdict::Admitted
        }
    }

    /// Decides like [`Quarantine::assess`] on a request that is sent at once if it may be, and returns the
    /// evidence to share if it tests one of the suspects.
    pub fn admit(
        &mut self,
        suspects: &[Suspect],
        hold: Duration,
        now: Instant,
    ) -> (Verdict, Vec<Evidence>) {
        let verdict = self.assess(suspects, hold, now);
        let evidence = match verdict {
            Verdict::Refused(_) => self.renew(suspects, now),
            Verdict::Held(_) => Vec::new(),
            Verdict::Admitted | Verdict::Probe => {
                let suspects = suspects.iter().copied();
                let tested: Vec<_> = suspects
                    .filter(|suspect| {
                        self.quarantined.contains_key(suspect) || self.held.contains_key(suspect)
                    })
                    .collect();
                let probes = tested.into_iter();
                probes
                    .map(|suspect| self.start_probe(suspect, now))
                    .collect()
            }
        };
        if verdict == Verdict::Probe {
            self.update();
        }
        (verdict, evidence)
    }

    fn start_probe(&mut self, suspect: Suspect, now: Instant) -> Evidence {
        let entry = self.quarantined.get(&suspect);
        let number = entry.map_or(0, |entry| self.probes_since(suspect, entry.first_crash) + 1);
        let probe = Probe { number, at: now };
        self.probes.insert(suspect, probe);
        Evidence::Probe(suspect, probe)
    }

    /// Returns the number of probes of a suspect in the quarantine that began with the crashes from
    /// `first_crash` on.
    fn probes_since(&self, suspect: Suspect, first_crash: Instant) -> u32 {
        let probe = self.probes.get(&suspect);
        let probe = probe.filter(|probe| probe.at >= first_crash);
        probe.map_or(0, |probe| probe.number)
    }

    /// Keeps the evidence about suspects that are not tested any more for as long as requests for
    /// them come.
    fn renew(&mut self, suspects: &[Suspect], now: Instant) -> Vec<Evidence> {
        let due = suspects.iter().copied().filter(|suspect| {
            let entry = self.quarantined.get(suspect);
            let untested = entry.is_some_and(|entry| entry.probe_due.is_none());
            let probe = self.probes.get(suspect);
            untested && probe.is_none_or(|probe| now.since(probe.at) >= RENEWAL)
        });
        let due: Vec<_> = due.collect();
        due.into_iter()
            .map(|suspect| self.start_probe(suspect, now))
            .collect()
    }

    /// Checks a request again that was admitted at `admitted_at`. Returns the time after which the
    /// caller may come back if the request may no longer be sent.
    ///
    /// A probe may be sent until an endpoint crashes on its suspects.
    #[must_use]
    pub fn recheck(
        &self,
        suspects: &[Suspect],
        verdict: Verdict,
        admitted_at: Instant,
        now: Instant,
    ) -> Option<Duration> {
        let waits = suspects.iter().filter_map(|suspect| {
            let entry = self.quarantined.get(suspect)?;
            let may_test = verdict == Verdict::Probe && entry.last_crash < admitted_at;
            (!may_test).then(|| entry.wait(now))
        });
        waits.max()
    }

    /// Returns the quarantined suspects.
    pub fn quarantined(&self) -> impl Iterator<Item = (Suspect, Entry)> {
        let entries = self.quarantined.iter();
        entries.map(|(suspect, entry)| (*suspect, *entry))
    }

    /// Returns all evidence, from which another host reaches the same verdict.
    #[must_use]
    pub fn evidence(&self) -> Vec<Evidence> {
        let mut evidence = Vec::new();
        for report in &self.reports {
            evidence.push(Evidence::Crash(report.crash.clone()));
            let cleared = report.cleared.iter();
            evidence.extend(cleared.map(|suspect| Evidence::Cleared(report.crash.run, *suspect)));
        }
        let probes = self.probes.iter();
        evidence.extend(probes.map(|(suspect, probe)| Evidence::Probe(*suspect, *probe)));
        evidence
    }

    /// Forgets crashes, probes and completed answers that are too old to matter.
    pub fn forget_old(&mut self, now: Instant) {
        let count = self.reports.len();
        self.probes
            .retain(|_, probe| now.since(probe.at) < CRASH_MEMORY);
        let probes = &self.probes;
        self.reports.retain(|report| {
            let mut suspects = report.crash.suspects.iter();
            let recent = now.since(report.crash.ended) < CRASH_MEMORY;
            recent || suspects.any(|suspect| probes.contains_key(suspect))
        });
        self.completed.forget_old(now);
        if self.reports.len() < count {
            self.update();
        }
    }

    /// Makes room for another crash. Of those that no quarantined suspect explains, one of the
    /// endpoint with the most reports goes first: the crash of a busy endpoint is reported by all its
    /// runs. Of these the newest goes, since the run that crashed the endpoint breaks first. Then goes the
    /// oldest of the suspect with the most crashes.
    fn drop_weakest_report(&mut self) {
        let mut runs: BTreeMap<_, usize> = BTreeMap::new();
        for report in &self.reports {
            *runs.entry(report.crash.endpoint).or_default() += 1;
        }
        let weight = |report: &Report| {
            let suspects = report.crash.suspects.iter();
            let entries = suspects.filter_map(|suspect| self.quarantined.get(suspect));
            let most = entries.map(|entry| entry.endpoints).max();
            let runs = runs.get(&report.crash.endpoint);
            let ended = report.crash.ended;
            let newest = most.is_none().then_some(Reverse(ended));
            (most.is_some(), Reverse(most), Reverse(runs), newest, ended)
        };
        let reports = self.reports.iter().enumerate();
        let weakest = reports.min_by_key(|(_, report)| weight(report));
        if let Some((index, _)) = weakest {
            self.reports.swap_remove(index);
        }
    }

    /// Derives the quarantined suspects from the evidence.
    ///
    /// The suspect that explains the crashes of most endpoints goes first. Among equals, one without a
    /// completed run does, then the one with more runs, and then the one that fewer requests share: a whole
    /// request, or the segment that stands later in the prompt.
    fn update(&mut self) {
        let mut suspects = self.suspects();
        let mut unexplained: Vec<&Report> = self.reports.iter().collect();
        let mut quarantined = BTreeMap::new();
        loop {
            let cause = suspects.iter().filter_map(|(suspect, entry)| {
                let counted = unexplained.iter().filter_map(|report| {
                    let position = report.position_counted(*suspect)?;
                    Some((report.crash.endpoint, position))
                });
                let position = counted.clone().map(|(_, position)| position).max()?;
                let runs = counted.clone().count();
                let endpoints: BTreeSet<_> = counted.map(|(endpoint, _)| endpoint).collect();
                let unproven = !self.completed.contains(*suspect);
                let rank = (endpoints.len(), unproven, runs, position);
                Some((rank, *suspect, *entry))
            });
            let cause = cause.max_by_key(|(rank, suspect, _)| (*rank, *suspect));
            let Some((_, suspect, entry)) = cause else {
                break;
            };
            let counted = unexplained
                .iter()
                .filter(|report| report.counts_against(suspect));
            let endpoints: BTreeSet<_> = counted.map(|report| report.crash.endpoint).collect();
            unexplained.retain(|report| !endpoints.contains(&report.crash.endpoint));
            suspects.remove(&suspect);
            quarantined.insert(suspect, entry);
        }
        let mut held = BTreeMap::new();
        for report in unexplained {
            let suspects = report.crash.suspects.iter().filter(|suspect| {
                suspect.is_request()
                    && report.counts_against(**suspect)
                    && !self.completed.contains(**suspect)
            });
            for suspect in suspects {
                let crashed_at = held.entry(*suspect).or_insert(report.crash.ended);
                *crashed_at = report.crash.ended.max(*crashed_at);
            }
        }
        self.quarantined = quarantined;
        self.held = held;
    }

    /// Returns the suspects against which enough crashes count, each with its entry.
    fn suspects(&self) -> BTreeMap<Suspect, Entry> {
        let mut counted: BTreeMap<Suspect, Vec<&Crash>> = BTreeMap::new();
        for report in &self.reports {
            let suspects = report.crash.suspects.iter();
            for suspect in suspects.filter(|suspect| report.counts_against(**suspect)) {
                counted.entry(*suspect).or_default().push(&report.crash);
            }
        }
        counted.retain(|_, crashes| crashes.len() >= CRASHES);
        let entries = counted
            .into_iter()
            .filter_map(|(suspect, crashes)| Some((suspect, self.entry(suspect, crashes)?)));
        entries.collect()
    }

    /// Returns the entry for a suspect if the crashes that count against it suffice.
    fn entry(&self, suspect: Suspect, mut crashes: Vec<&Crash>) -> Option<Entry> {
        crashes.sort_by_key(|crash| (crash.ended, crash.run));
        let mut endpoints = BTreeSet::new();
        crashes.retain(|crash| endpoints.insert(crash.endpoint));
        let times: Vec<_> = crashes.iter().map(|crash| crash.ended).collect();
        let needed = if self.completed.contains(suspect) {
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
        let probe = self.probes.get(&suspect);
        let since = probe.map_or(last, |probe| probe.at.max(last));
        let first_crash = *times.first()?;
        let probes = self.probes_since(suspect, first_crash);
        Some(Entry {
            endpoints: crashes.len(),
            first_crash,
            last_crash: last,
            probe_due: (probes < MAX_PROBES).then(|| since + time),
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
