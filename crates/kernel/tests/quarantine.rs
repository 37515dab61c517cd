//! Quarantine of segments that crash engines.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertstage_kernel::catalogue::Identity;
use filbertstage_kernel::place::LoadId;
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::quarantine::{Crash, Evidence, Quarantine, Verdict};
use filbertstage_kernel::segment::Segment;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// A segment that all requests share, as the first one of a prompt.
const COMMON: Segment = Segment(0x5a);
/// A segment that crashes engines.
const LETHAL: Segment = Segment(0xbad);
const SOUND: Segment = Segment(0x600d);

const fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// The crash of engine `engine` at `millis`, 100 ms after it began an answer.
fn crash(engine: u64, millis: u64, segments: &[Segment]) -> Crash {
    Crash {
        run: LoadId {
            holder: 1,
            sequence: u32::try_from(engine).unwrap(),
        },
        engine: Identity(engine),
        began: at(millis - 100),
        ended: at(millis),
        segments: segments.to_vec(),
    }
}

fn crashed(crashes: &[(u64, Vec<Segment>)]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (engine, (millis, segments)) in (1..).zip(crashes) {
        quarantine.record_crash(crash(engine, *millis, segments), at(*millis));
    }
    quarantine
}

fn quarantined(quarantine: &Quarantine) -> Vec<Segment> {
    quarantine
        .quarantined()
        .map(|(segment, _)| segment)
        .collect()
}

fn verdict(quarantine: &mut Quarantine, segments: &[Segment], millis: u64) -> Verdict {
    quarantine.admit(segments, at(millis)).0
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
      (2_000, vec![Segment(1), SOUND]), (2_300, vec![Segment(2), SOUND])],
    vec![LETHAL, SOUND]
)]
fn crashes_quarantine_what_explains_them(
    #[case] crashes: Vec<(u64, Vec<Segment>)>,
    #[case] expected: Vec<Segment>,
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
        let invented: Vec<_> = (0..40).map(|part| Segment(number * 100 + part)).collect();
        quarantine.record_completion(&invented, at(1_400), at(1_500));
        quarantine.record_crash(crash(number, 2_000 + number, &invented), at(2_000 + number));
    }
    assert_eq!(quarantined(&quarantine), [LETHAL]);
    let evidence = quarantine.evidence();
    assert!(evidence.len() < 200);
    let fits =
        |item: &Evidence| !matches!(item, Evidence::Crash(crash) if crash.segments.len() > 16);
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
    let segment = (1_u64..5).prop_map(Segment);
    let segments = proptest::collection::btree_set(1_u64..5, 1..4);
    prop_oneof![
        (1_u32..12, 1_000_u64..4_000, segments).prop_map(|(number, millis, segments)| {
            // A run has one engine, one time and one prompt.
            let millis = millis / 12 * 12 + u64::from(number);
            let segments: Vec<_> = segments.into_iter().map(Segment).collect();
            Evidence::Crash(crash(u64::from(number), millis, &segments))
        }),
        (1_u32..12, segment)
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
    const TIME_MS: u64 = 120_000;
    /// Time from sending a request to the crash of its engine.
    const CRASH_AFTER_MS: u64 = 150;
    let mut fleet = Fleet {
        hosts: vec![Quarantine::default(); hosts],
        rng: SmallRng::seed_from_u64(7),
        arriving: BTreeMap::new(),
        cut_until,
    };
    let mut crashing: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let (mut sent, mut ended) = (Vec::new(), Vec::new());
    for now in 1_000..TIME_MS {
        for (to, evidence) in fleet.arriving.remove(&now).unwrap_or_default() {
            fleet.hosts[to].apply(evidence, at(now));
        }
        for host in crashing.remove(&now).unwrap_or_default() {
            ended.push(now);
            let crash = crash(ended.len() as u64, now, &[COMMON, LETHAL]);
            let evidence = fleet.hosts[host].record_crash(crash, at(now));
            fleet.broadcast(host, now, &evidence.expect("a new crash"));
        }
        if cut_until > 0 && now == cut_until {
            fleet.sync(now);
        }
        if now.is_multiple_of(request_every_ms) {
            let host = fleet.rng.random_range(0..hosts);
            let (verdict, evidence) = fleet.hosts[host].admit(&[COMMON, LETHAL], at(now));
            for evidence in evidence {
                fleet.broadcast(host, now, &evidence);
            }
            if !matches!(verdict, Verdict::Refused(_)) {
                sent.push(now);
                crashing.entry(now + CRASH_AFTER_MS).or_default().push(host);
            }
        }
    }
    if let Some(fifth) = ended.get(4) {
        let late = sent.iter().filter(|time| **time > fifth + 3_000).count();
        assert!(
            late <= 3,
            "{late} requests later than 3 s after the fifth crash: {sent:?}"
        );
    }
    // Five requests, and in each of two halves those that are under way when the fifth engine
    // crashes.
    let soon = sent.iter().filter(|time| **time < 5_000).count();
    assert!(soon <= 10, "{soon} requests before hosts knew: {sent:?}");
    // In each of two halves, five crashes and three later ones.
    assert!(
        ended.len() <= 16,
        "{} crashes in two minutes: {sent:?}",
        ended.len()
    );
}
