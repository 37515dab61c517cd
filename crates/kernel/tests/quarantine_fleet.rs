//! Quarantine in a fleet whose hosts exchange evidence, with lost messages and partitions.

mod support {
    pub mod quarantine;
}

use std::collections::BTreeMap;

use filbertstage_kernel::prelude::*;
use filbertstage_kernel::quarantine::{Evidence, Quarantine, Suspect, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::quarantine::*;

/// Hosts that send requests with a lethal segment and exchange evidence.
struct Fleet {
    hosts: Vec<Quarantine>,
    rng: SmallRng,
    /// Evidence by the millisecond of its arrival, with the index of the receiver.
    arriving: BTreeMap<u64, Vec<(usize, Evidence)>>,
    /// Time until which the first half of the hosts is cut off from the others.
    cut_until: u64,
    /// Longest time for which an admitted request waits before it is sent, in milliseconds.
    wait_ms: u64,
}

/// An admitted request that waits for an endpoint.
struct Waiting {
    host: usize,
    verdict: Verdict,
    since: u64,
}

impl Fleet {
    fn is_cut(&self, from: usize, to: usize, now: u64) -> bool {
        let half = self.hosts.len() / 2;
        now < self.cut_until && (from < half) != (to < half)
    }

    /// Sends evidence to all other hosts, now and with the next four snapshots.
    fn broadcast(&mut self, from: usize, now: u64, evidence: &Evidence) {
        /// Share of the datagrams that are lost.
        const LOST: f64 = 0.03;
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            for sent_at in (0..5).map(|repeat| now + repeat * 500) {
                if !self.rng.random_bool(LOST) && !self.is_cut(from, to, sent_at) {
                    let arrives_at = sent_at + self.rng.random_range(2..9);
                    let arriving = self.arriving.entry(arrives_at).or_default();
                    arriving.push((to, evidence.clone()));
                }
            }
        }
    }

    /// After a cut, each host sends all its evidence to the others.
    fn sync(&mut self, now: u64) {
        for from in 0..self.hosts.len() {
            for evidence in self.hosts[from].evidence() {
                self.broadcast(from, now, &evidence);
            }
        }
    }
}

/// What happened to the endpoints while a fleet got lethal requests.
struct Outcome {
    /// Times at which requests were sent.
    sent: Vec<u64>,
    /// Times at which endpoints ended.
    ended: Vec<u64>,
}

impl Outcome {
    /// Counts the requests that are sent more than 3 s after the `count`th crash.
    fn sent_after_crash(&self, count: usize) -> usize {
        let crash = self.ended.get(count - 1);
        let is_late = |time: &&u64| crash.is_some_and(|crash| **time > crash + 3_000);
        self.sent.iter().filter(is_late).count()
    }
}

impl Fleet {
    fn new(hosts: usize, cut_until: u64) -> Self {
        Self {
            hosts: vec![Quarantine::default(); hosts],
            rng: SmallRng::seed_from_u64(7),
            arriving: BTreeMap::new(),
            cut_until,
            wait_ms: 0,
        }
    }

    /// Admits a request; one that is to test its suspects does so when it is sent.
    fn admit(&mut self, host: usize, suspects: &[Suspect], now: u64) -> Verdict {
        let verdict = self.hosts[host].assess(suspects, HOLD, at(now));
        if verdict == Verdict::Probe {
            return verdict;
        }
        let (verdict, evidence) = self.hosts[host].admit(suspects, HOLD, at(now));
        for evidence in evidence {
            self.broadcast(host, now, &evidence);
        }
        verdict
    }

    /// Returns whether an admitted request may be sent after its wait.
    fn may_send(&mut self, waiting: &Waiting, suspects: &[Suspect], now: u64) -> bool {
        let host = &mut self.hosts[waiting.host];
        if waiting.verdict != Verdict::Probe {
            let refused = host.recheck(suspects, waiting.verdict, at(waiting.since), at(now));
            return refused.is_none();
        }
        let (verdict, evidence) = host.admit(suspects, Duration::ZERO, at(now));
        for evidence in evidence {
            self.broadcast(waiting.host, now, &evidence);
        }
        matches!(verdict, Verdict::Admitted | Verdict::Probe)
    }

    /// Sends requests with these suspects for `time_ms`, each to a random host.
    fn play(&mut self, suspects: &[Suspect], request_every_ms: u64, time_ms: u64) -> Outcome {
        /// Time from sending a request to the crash of its endpoint.
        const CRASH_AFTER_MS: u64 = 150;
        let mut crashing: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let mut waiting: BTreeMap<u64, Vec<Waiting>> = BTreeMap::new();
        let (mut sent, mut ended) = (Vec::new(), Vec::new());
        for now in 1_000..time_ms {
            for (to, evidence) in self.arriving.remove(&now).unwrap_or_default() {
                self.hosts[to].apply(evidence, at(now));
            }
            for host in crashing.remove(&now).unwrap_or_default() {
                ended.push(now);
                let crash = crash(ended.len() as u64, now, suspects);
                let evidence = self.hosts[host].record_crash(crash, at(now));
                self.broadcast(host, now, &evidence.expect("a new crash"));
            }
            if self.cut_until > 0 && now == self.cut_until {
                self.sync(now);
            }
            if now.is_multiple_of(request_every_ms) {
                let host = self.rng.random_range(0..self.hosts.len());
                let verdict = self.admit(host, suspects, now);
                if matches!(verdict, Verdict::Admitted | Verdict::Probe) {
                    let wait = match self.wait_ms {
                        0 => 0,
                        longest => self.rng.random_range(0..longest),
                    };
                    waiting.entry(now + wait).or_default().push(Waiting {
                        host,
                        verdict,
                        since: now,
                    });
                }
            }
            for request in waiting.remove(&now).unwrap_or_default() {
                if self.may_send(&request, suspects, now) {
                    sent.push(now);
                    let crashing = crashing.entry(now + CRASH_AFTER_MS).or_default();
                    crashing.push(request.host);
                }
            }
        }
        Outcome { sent, ended }
    }
}

/// Guards against hosts that each crash engines to learn of the same lethal segment (BUDGET): three
/// seconds after the fifth crash, three requests at most may still reach an engine.
#[rstest]
#[case::few_hosts(4, 300, 0)]
#[case::many_hosts(78, 60, 0)]
#[case::many_hosts_and_two_halves(78, 60, 20_000)]
fn lethal_segment_reaches_few_engines_of_the_whole_fleet(
    #[case] hosts: usize,
    #[case] request_every_ms: u64,
    #[case] cut_until: u64,
) {
    let mut fleet = Fleet::new(hosts, cut_until);
    let outcome = fleet.play(&[COMMON, LETHAL], request_every_ms, 120_000);
    let sent = &outcome.sent;
    let late = outcome.sent_after_crash(5);
    assert!(
        late <= 3,
        "{late} requests later than 3 s after the fifth crash: {sent:?}"
    );
    // Five requests, and in each of two halves those that are under way when the fifth engine
    // crashes.
    let soon = sent.iter().filter(|time| **time < 5_000).count();
    assert!(soon <= 10, "{soon} requests before hosts knew: {sent:?}");
    // In each of two halves, five crashes and three later ones.
    assert!(
        outcome.ended.len() <= 16,
        "{} crashes in two minutes: {sent:?}",
        outcome.ended.len()
    );
}

/// Guards against a lethal request that the hosts of a fleet go on to send for as long as it comes
/// (BUDGET): three seconds after the third crash, three at most may still reach an endpoint.
#[rstest]
#[case::few_hosts(4, 300, 0)]
#[case::many_hosts(78, 60, 0)]
#[case::many_hosts_and_two_halves(78, 60, 8_000)]
fn lethal_request_reaches_few_endpoints_of_the_whole_fleet(
    #[case] hosts: usize,
    #[case] request_every_ms: u64,
    #[case] cut_until: u64,
) {
    /// Longer than the evidence about a crash is kept.
    const TIME_MS: u64 = 30 * 60 * 1_000;
    let mut fleet = Fleet::new(hosts, cut_until);
    let outcome = fleet.play(&[LETHAL_REQUEST], request_every_ms, TIME_MS);
    let late = outcome.sent_after_crash(3);
    assert!(
        late <= 3,
        "{late} requests later than 3 s after the third crash: {:?}",
        outcome.sent
    );
}

/// Guards against several hosts that test a suspect, because each of them has admitted a request that
/// then waited for an endpoint (BUDGET).
#[rstest]
#[case::request(&[LETHAL_REQUEST], 3)]
#[case::segment(&[COMMON, LETHAL], 5)]
fn few_of_the_requests_that_wait_test_a_suspect(
    #[case] suspects: &[Suspect],
    #[case] crashes: usize,
    #[values(4, 78)] hosts: usize,
    #[values(100, 500)] wait_ms: u64,
) {
    const TIME_MS: u64 = 5 * 60 * 1_000;
    let mut fleet = Fleet::new(hosts, 0);
    fleet.wait_ms = wait_ms;
    let outcome = fleet.play(suspects, 60, TIME_MS);
    let late = outcome.sent_after_crash(crashes);
    assert!(late <= 3, "{late} requests are late: {:?}", outcome.sent);
}
