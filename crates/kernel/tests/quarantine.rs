//! Quarantine of requests that crash endpoints, and of segments of their prompts.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertstage_kernel::catalogue::Identity;
use filbertstage_kernel::fingerprint::Fingerprint;
use filbertstage_kernel::place::LoadId;
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::quarantine::{Crash, Evidence, Quarantine, Suspect, Verdict};
use filbertstage_kernel::segment::Segment;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// A segment that all requests share, as the first one of a prompt.
const COMMON: Suspect = Suspect::Segment(Segment(0x5a));
/// A segment that crashes engines.
const LETHAL: Suspect = Suspect::Segment(Segment(0xbad));
const SOUND: Suspect = Suspect::Segment(Segment(0x600d));

/// A request that crashes endpoints.
const LETHAL_REQUEST: Suspect = Suspect::Request(Fingerprint(0xbad));
/// A request that was running when they crashed.
const VICTIM: Suspect = Suspect::Request(Fingerprint(0x71c));
/// Time between two runs of a request on which one endpoint crashed.
const HOLD: Duration = Duration::from_millis(500);

const fn segment(id: u64) -> Suspect {
    Suspect::Segment(Segment(id))
}

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// The crash of engine `engine` at `millis`, 100 ms after it began an answer.
fn crash(engine: u64, millis: u64, suspects: &[Suspect]) -> Crash {
    Crash {
        run: LoadId {
            holder: 1,
            sequence: u32::try_from(engine).unwrap(),
        },
        endpoint: Identity(engine),
        began: at(millis - 100),
        ended: at(millis),
        suspects: suspects.to_vec(),
    }
}

fn crashed(crashes: &[(u64, Vec<Suspect>)]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (engine, (millis, suspects)) in (1..).zip(crashes) {
        quarantine.record_crash(crash(engine, *millis, suspects), at(*millis));
    }
    quarantine
}

fn quarantined(quarantine: &Quarantine) -> Vec<Suspect> {
    quarantine
        .quarantined()
        .map(|(suspect, _)| suspect)
        .collect()
}

fn verdict(quarantine: &mut Quarantine, suspects: &[Suspect], millis: u64) -> Verdict {
    quarantine.admit(suspects, HOLD, at(millis)).0
}

/// Guards against one lethal segment that crashes engine after engine (BUDGET), and against the
/// refusal of sound requests that share its other segments (LOST).
#[test]
fn two_crashes_quarantine_only_the_segment_that_explains_them() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&[COMMON, SOUND], at(0), at(500));
    for (engine, millis) in [(1, 1_000), (2, 1_300)] {
        quarantine.record_crash(crash(engine, millis, &[COMMON, LETHAL]), at(millis));
    }
    assert_eq!(quarantined(&quarantine), [LETHAL]);
    let refused = verdict(&mut quarantine, &[COMMON, LETHAL], 1_400);
    assert!(matches!(refused, Verdict::Refused(_)), "{refused:?}");
    let sound = verdict(&mut quarantine, &[COMMON, SOUND], 1_400);
    assert_eq!(sound, Verdict::Admitted);
}

#[rstest]
#[case::one_crash(vec![(1_000, vec![COMMON, LETHAL])], vec![])]
#[case::rack_lost(vec![(1_000, vec![COMMON]), (1_010, vec![COMMON]), (1_020, vec![COMMON]), (1_030, vec![COMMON])], vec![])]
#[case::nothing_in_common(vec![(1_000, vec![LETHAL]), (1_300, vec![SOUND])], vec![])]
#[case::later_segment_goes_first(vec![(1_000, vec![COMMON, LETHAL]), (1_300, vec![COMMON, LETHAL])], vec![LETHAL])]
#[case::first_segment_is_lethal(
    vec![(1_000, vec![COMMON, LETHAL]), (1_300, vec![COMMON, SOUND])],
    vec![COMMON]
)]
#[case::two_lethal_segments(
    vec![(1_000, vec![COMMON, LETHAL]), (1_300, vec![COMMON, LETHAL]), (1_600, vec![COMMON, LETHAL]),
      (2_000, vec![segment(1), SOUND]), (2_300, vec![segment(2), SOUND])],
    vec![LETHAL, SOUND]
)]
fn crashes_quarantine_what_explains_them(
    #[case] crashes: Vec<(u64, Vec<Suspect>)>,
    #[case] expected: Vec<Suspect>,
) {
    assert_eq!(quarantined(&crashed(&crashes)), expected);
}

/// The first segment was completed recently, so a third crash is needed: engines may crash for
/// another reason while a popular segment is in use everywhere.
#[test]
fn recently_completed_segment_needs_a_third_crash() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&[COMMON], at(0), at(800));
    for (engine, millis) in [(1, 1_000), (2, 1_300)] {
        quarantine.record_crash(crash(engine, millis, &[COMMON]), at(millis));
    }
    assert_eq!(quarantined(&quarantine), []);
    quarantine.record_crash(crash(3, 1_600, &[COMMON]), at(1_600));
    assert_eq!(quarantined(&quarantine), [COMMON]);
}

/// An answer that began before a crash does not show that the segment was sound at the crash.
#[rstest]
#[case::began_earlier(850, true)]
#[case::began_later(1_250, false)]
fn only_answers_that_began_later_clear_a_segment(#[case] began: u64, #[case] held: bool) {
    let mut quarantine = crashed(&[(1_000, vec![LETHAL]), (1_300, vec![LETHAL])]);
    quarantine.record_completion(&[LETHAL], at(began), at(2_000));
    assert_eq!(
        quarantined(&quarantine),
        if held { vec![LETHAL] } else { vec![] }
    );
}

#[test]
fn one_probe_tests_the_segment_and_a_crash_doubles_the_time() {
    let mut quarantine = crashed(&[(1_000, vec![LETHAL]), (1_300, vec![LETHAL])]);
    assert_eq!(
        verdict(&mut quarantine, &[LETHAL], 6_300),
        Verdict::Refused(Duration::from_secs(5))
    );
    assert_eq!(verdict(&mut quarantine, &[LETHAL], 11_400), Verdict::Probe);
    let refused = verdict(&mut quarantine, &[LETHAL], 11_400);
    assert!(
        matches!(refused, Verdict::Refused(_)),
        "one probe at a time: {refused:?}"
    );
    let check = |quarantine: &Quarantine, millis| {
        quarantine.recheck(&[LETHAL], Verdict::Probe, at(11_400), at(millis))
    };
    assert_eq!(check(&quarantine, 11_450), None);
    quarantine.record_crash(crash(3, 11_600, &[LETHAL]), at(11_600));
    assert_eq!(check(&quarantine, 11_600), Some(Duration::from_secs(20)));
    assert_eq!(verdict(&mut quarantine, &[LETHAL], 31_600), Verdict::Probe);
    quarantine.record_completion(&[LETHAL], at(31_800), at(33_000));
    assert_eq!(
        verdict(&mut quarantine, &[LETHAL], 33_000),
        Verdict::Admitted
    );
}

/// A request that waits is refused when its segment is quarantined, one that is under way to an
/// engine as well.
#[test]
fn admitted_request_is_refused_once_its_segment_is_quarantined() {
    let mut quarantine = Quarantine::default();
    assert_eq!(verdict(&mut quarantine, &[LETHAL], 900), Verdict::Admitted);
    for (engine, millis) in [(1, 1_000), (2, 1_300)] {
        quarantine.record_crash(crash(engine, millis, &[LETHAL]), at(millis));
    }
    let refused = quarantine.recheck(&[LETHAL], Verdict::Admitted, at(900), at(1_300));
    assert_eq!(refused, Some(Duration::from_secs(10)));
}

/// A caller that invents segments and even crashes engines with them pushes out no quarantine.
#[test]
fn invented_segments_do_not_push_others_out() {
    let mut quarantine = crashed(&[(1_000, vec![LETHAL]), (1_300, vec![LETHAL])]);
    for number in 1_000..2_500 {
        let invented: Vec<_> = (0..40).map(|part| segment(number * 100 + part)).collect();
        quarantine.record_completion(&invented, at(1_400), at(1_500));
        quarantine.record_crash(crash(number, 2_000 + number, &invented), at(2_000 + number));
    }
    assert_eq!(quarantined(&quarantine), [LETHAL]);
    let evidence = quarantine.evidence();
    assert!(evidence.len() < 200);
    let fits =
        |item: &Evidence| !matches!(item, Evidence::Crash(crash) if crash.suspects.len() > 16);
    assert!(evidence.iter().all(fits));
}

#[test]
fn operator_clears_a_segment() {
    let mut quarantine = crashed(&[
        (1_000, vec![COMMON, LETHAL]),
        (1_300, vec![COMMON, LETHAL]),
        (1_600, vec![COMMON, LETHAL]),
    ]);
    quarantine.clear(LETHAL);
    assert_eq!(quarantined(&quarantine), []);
    assert_eq!(
        verdict(&mut quarantine, &[LETHAL], 1_400),
        Verdict::Admitted
    );
    assert!(quarantine.clear(LETHAL).is_empty());
}

fn arbitrary_evidence() -> impl Strategy<Value = Evidence> {
    let run = |sequence| LoadId {
        holder: 1,
        sequence,
    };
    let suspect = (1_u64..5).prop_map(segment);
    let segments = proptest::collection::btree_set(1_u64..5, 1..4);
    prop_oneof![
        (1_u32..12, 1_000_u64..4_000, segments).prop_map(|(number, millis, segments)| {
            // A run has one engine, one time and one prompt.
            let millis = millis / 12 * 12 + u64::from(number);
            let segments: Vec<_> = segments.into_iter().map(segment).collect();
            Evidence::Crash(crash(u64::from(number), millis, &segments))
        }),
        (1_u32..12, suspect)
            .prop_map(move |(number, segment)| Evidence::Cleared(run(number), segment)),
    ]
}

proptest! {
    /// Hosts get the evidence of others in any order, more than once, and in two steps after a
    /// partition.
    #[test]
    fn verdict_depends_on_the_evidence_and_not_on_its_order(
        evidence in proptest::collection::vec(arbitrary_evidence(), 0..30),
        seed in any::<u64>(),
    ) {
        let mut seen = std::collections::BTreeSet::new();
        let (crashes, cleared): (Vec<_>, Vec<_>) =
            evidence.into_iter().partition(|item| matches!(item, Evidence::Crash(_)));
        let crashes: Vec<_> = crashes
            .into_iter()
            .filter(|item| matches!(item, Evidence::Crash(crash) if seen.insert(crash.run)))
            .collect();
        let apply = |items: &[Evidence]| {
            let mut quarantine = Quarantine::default();
            for item in items.iter().chain(&cleared).chain(&cleared) {
                quarantine.apply(item.clone(), at(5_000));
            }
            quarantine
        };
        let mut shuffled = crashes.clone();
        let count = shuffled.len().max(1) as u64;
        for index in 0..shuffled.len() {
            let other = usize::try_from(seed.rotate_left(u32::try_from(index).unwrap()) % count);
            shuffled.swap(index, other.unwrap());
        }
        let one = apply(&crashes);
        let other = apply(&shuffled);
        prop_assert_eq!(quarantined(&one), quarantined(&other));
        let mut synced = Quarantine::default();
        for item in one.evidence() {
            synced.apply(item, at(6_000));
        }
        prop_assert_eq!(quarantined(&one), quarantined(&synced));
    }
}

/// Hosts that send requests with a lethal segment and exchange evidence.
struct Fleet {
    hosts: Vec<Quarantine>,
    rng: SmallRng,
    /// Evidence by the millisecond of its arrival, with the index of the receiver.
    arriving: BTreeMap<u64, Vec<(usize, Evidence)>>,
    /// Time until which the first half of the hosts is cut off from the others.
    cut_until: u64,
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
        }
    }

    /// Sends requests with these suspects for `time_ms`, each to a random host.
    fn play(&mut self, suspects: &[Suspect], request_every_ms: u64, time_ms: u64) -> Outcome {
        /// Time from sending a request to the crash of its endpoint.
        const CRASH_AFTER_MS: u64 = 150;
        let mut crashing: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
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
                let (verdict, evidence) = self.hosts[host].admit(suspects, HOLD, at(now));
                for evidence in evidence {
                    self.broadcast(host, now, &evidence);
                }
                if matches!(verdict, Verdict::Admitted | Verdict::Probe) {
                    sent.push(now);
                    crashing.entry(now + CRASH_AFTER_MS).or_default().push(host);
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

/// Guards against lethal requests that take a small service out of use before hosts have learnt of
/// them: what one crash teaches delays the second run, for all hosts.
#[test]
fn second_run_of_a_request_that_crashed_an_endpoint_is_held() {
    let mut quarantine = crashed(&[(1_000, vec![LETHAL_REQUEST])]);
    let held = verdict(&mut quarantine, &[LETHAL_REQUEST], 1_100);
    assert_eq!(held, Verdict::Held(Duration::from_millis(400)));
    assert_eq!(
        verdict(&mut quarantine, &[VICTIM], 1_100),
        Verdict::Admitted
    );
    let (due, evidence) = quarantine.admit(&[LETHAL_REQUEST], HOLD, at(1_500));
    assert_eq!(due, Verdict::Admitted);
    let mut other = crashed(&[(1_000, vec![LETHAL_REQUEST])]);
    for item in evidence {
        other.apply(item, at(1_500));
    }
    let elsewhere = verdict(&mut other, &[LETHAL_REQUEST], 1_600);
    assert_eq!(elsewhere, Verdict::Held(Duration::from_millis(400)));
    quarantine.record_completion(&[LETHAL_REQUEST], at(1_500), at(1_700));
    assert_eq!(
        verdict(&mut quarantine, &[LETHAL_REQUEST], 1_700),
        Verdict::Admitted
    );
}

/// Guards against the refusal of sound requests that ran beside a lethal one (LOST).
#[test]
fn victims_of_a_lethal_request_are_neither_held_nor_refused() {
    let mut quarantine = Quarantine::default();
    for (number, endpoint, millis, suspect) in [
        (1, 1, 1_000, LETHAL_REQUEST),
        (2, 1, 1_001, VICTIM),
        (3, 2, 2_000, LETHAL_REQUEST),
    ] {
        let crash = Crash {
            endpoint: Identity(endpoint),
            ..crash(number, millis, &[suspect])
        };
        quarantine.record_crash(crash, at(millis));
    }
    assert_eq!(quarantined(&quarantine), [LETHAL_REQUEST]);
    assert_eq!(
        verdict(&mut quarantine, &[VICTIM], 2_100),
        Verdict::Admitted
    );
}

/// Guards against the refusal of popular requests, which run on every endpoint and so near every
/// crash (LOST).
#[test]
fn request_that_is_completed_between_crashes_is_admitted() {
    let mut quarantine = Quarantine::default();
    for (endpoint, millis) in [(1, 1_000), (2, 2_000), (3, 3_000), (4, 4_000)] {
        quarantine.record_completion(&[VICTIM], at(millis - 400), at(millis - 300));
        quarantine.record_crash(crash(endpoint, millis, &[VICTIM]), at(millis));
        let admitted = verdict(&mut quarantine, &[VICTIM], millis + 10);
        assert_eq!(admitted, Verdict::Admitted);
    }
}

/// Guards against a request that is tested on and on, each time with the loss of an endpoint
/// (BUDGET), and against one that can never be used again.
#[test]
fn tests_of_a_quarantined_request_end_until_an_operator_clears_it() {
    let mut quarantine = crashed(&[(1_000, vec![LETHAL_REQUEST]), (2_000, vec![LETHAL_REQUEST])]);
    let mut probes = 0;
    for second in 3..3_000 {
        let millis = second * 1_000;
        if verdict(&mut quarantine, &[LETHAL_REQUEST], millis) == Verdict::Probe {
            probes += 1;
            let crash = crash(10 + probes, millis + 100, &[LETHAL_REQUEST]);
            quarantine.record_crash(crash, at(millis + 100));
        }
    }
    assert_eq!(probes, 2);
    quarantine.clear(LETHAL_REQUEST);
    let admitted = verdict(&mut quarantine, &[LETHAL_REQUEST], 3_000_000);
    assert_eq!(admitted, Verdict::Admitted);
}

/// Guards against evidence about a request that is pushed out by the runs of busy endpoints that
/// crash for another reason.
#[test]
fn crashes_of_busy_endpoints_do_not_push_the_evidence_about_a_request_out() {
    let mut quarantine = crashed(&[(1_000, vec![LETHAL_REQUEST])]);
    for run in 0..400_u64 {
        let millis = 2_000 + run / 100 * 1_000;
        let crash = Crash {
            endpoint: Identity(100 + run / 100),
            ..crash(
                1_000 + run,
                millis,
                &[Suspect::Request(Fingerprint(run.into()))],
            )
        };
        quarantine.record_crash(crash, at(millis));
    }
    quarantine.record_crash(crash(2, 9_000, &[LETHAL_REQUEST]), at(9_000));
    assert!(quarantined(&quarantine).contains(&LETHAL_REQUEST));
}
