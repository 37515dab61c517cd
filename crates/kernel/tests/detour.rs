//! Tests of the detour around lost links, for one host and for a fleet without a network.

use std::time::Duration;

use filbertstage_kernel::catalogue::Identity;
use filbertstage_kernel::detour::{Candidate, Finding, Link, Peers, ROUND, Wanted, takes_guest};
use filbertstage_kernel::outlier::{DomainHealth, Health, Observation};
use filbertstage_kernel::prelude::*;

const START: Instant = Instant::from_millis(1_000_000);
/// Time of a round of probes that reaches nothing.
const PROBE: Duration = Duration::from_millis(100);
/// Number of hosts of the fleet.
const HOSTS: u64 = 8;

fn name(index: u64) -> Host {
    Host::from(format!("edge-{index}"))
}

/// Runs the rounds of one wake-up of `link`, each reaching all size endpoints or none.
fn run_rounds(link: &mut Link, works: bool, now: &mut Instant) -> (Finding, usize) {
    let mut probes = 0;
    loop {
        let size = link.round_size();
        probes += size;
        *now = *now + PROBE;
        let reached = if works { size } else { 0 };
        match link.record_round(reached, size, *now) {
            Finding::Unclear => {}
            finding => return (finding, probes),
        }
    }
}

fn cut(link: &mut Link, now: &mut Instant) {
    let failed_at = *now;
    link.record_failure(failed_at);
    assert_eq!(run_rounds(link, false, now).0, Finding::Lost(failed_at));
}

/// A fleet in which each host has stated whether it reaches endpoints, or nothing if its build is
/// old.
struct Fleet {
    reaches: Vec<Option<bool>>,
    peers: Peers,
}

impl Fleet {
    fn new(reaches: impl IntoIterator<Item = Option<bool>>) -> Self {
        let reaches: Vec<_> = reaches.into_iter().collect();
        let mut peers = Peers::default();
        for (index, statement) in (0..).zip(&reaches) {
            if let Some(statement) = statement {
                peers.record_statement(&name(index), index, *statement);
            }
        }
        Self { reaches, peers }
    }

    /// All hosts but the asking one, number 0. Even numbers are near.
    fn candidates(&self) -> impl Iterator<Item = Candidate> + use<> {
        let count = self.reaches.len() as u64;
        (1..count).map(|index| Candidate {
            host: name(index),
            holder: index,
            is_near: index.is_multiple_of(2),
        })
    }

    fn pick(&self, excluded: &[Host], now: Instant) -> Option<Host> {
        let mut draw = 0;
        let random = || {
            draw += 1;
            draw
        };
        let wanted = Wanted {
            excluded,
            avoided: None,
            is_untouched: true,
        };
        let helper = self.peers.pick(self.candidates(), wanted, random, now);
        helper.map(|helper| helper.host)
    }
}

/// Guards against endpoints that fail while others work being taken for a lost link, and against
/// probing more than one endpoint to find that out.
#[test]
fn a_host_that_reaches_an_endpoint_is_not_cut_off() {
    let (mut link, mut now) = (Link::default(), START);
    link.record_failure(now);
    assert_eq!(
        run_rounds(&mut link, true, &mut now),
        (Finding::Unchanged, 1)
    );
    // One domain is lost: its endpoint is drawn first, the other domains are reached.
    link.record_failure(now);
    assert_eq!(link.record_round(0, 1, now), Finding::Unclear);
    assert_eq!(link.record_round(3, ROUND, now), Finding::Unchanged);
    assert!(!link.is_cut() && !link.is_suspected());
    assert_eq!(link.round_size(), 1, "the failed round is forgotten");
}

/// Guards against a cut that is noticed too late, and against probes beyond those needed.
#[test]
fn a_cut_is_found_in_two_whole_rounds() {
    let (mut link, mut now) = (Link::default(), START);
    link.record_failure(now);
    let (finding, probes) = run_rounds(&mut link, false, &mut now);
    assert_eq!((finding, probes), (Finding::Lost(START), 1 + 2 * ROUND));
    assert!(link.is_cut());
    assert!(now.since(START) < Duration::from_secs(1));
}

/// Guards against use of a link that works for a second only, and against all requests returning to
/// a restored link at once.
#[test]
fn a_link_returns_after_more_than_a_second_and_by_degrees() {
    for phase in 0..13 {
        let (mut link, mut now) = (Link::default(), START);
        cut(&mut link, &mut now);
        let up = now + Duration::from_millis(phase * 100);
        let down = up + Duration::from_secs(1);
        for _ in 0..8 {
            now = now + link.interval();
            let works = now >= up && now < down;
            let reached = if works { ROUND } else { 0 };
            link.record_round(reached, ROUND, now);
            assert!(link.is_cut(), "back for a second, from {phase}00 ms");
        }
        now = now + link.interval();
        link.record_round(ROUND, ROUND, now);
        now = now + link.interval();
        assert_eq!(link.record_round(ROUND, ROUND, now), Finding::Restored);
        let avoided = |after| {
            let at = now + Duration::from_millis(after);
            let draws = (0..100_u32).map(|draw| f64::from(draw) / 100.0);
            draws.filter(|draw| link.is_avoided(*draw, at)).count()
        };
        assert_eq!(
            [avoided(0), avoided(500), avoided(1_000), avoided(2_000)],
            [100, 75, 50, 0]
        );
    }
}

/// Guards against requests to hosts that are cut off, drained, unknown or of an old build.
#[test]
fn only_hosts_that_state_that_they_reach_endpoints_are_asked() {
    let mut fleet = Fleet::new((0..HOSTS).map(|index| Some(index >= HOSTS / 2)));
    assert_eq!(fleet.pick(&[], START), Some(name(4)), "a near one");
    fleet.peers.record_statement(&name(4), 4, false);
    assert_eq!(fleet.pick(&[], START), Some(name(6)));
    assert_eq!(fleet.pick(&[name(6)], START), Some(name(5)));
    fleet.peers.record_failure(&name(6), START);
    assert_eq!(fleet.pick(&[], START), Some(name(5)));
    let later = START + Duration::from_secs(1);
    assert_eq!(fleet.pick(&[], later), Some(name(6)), "after its failure");
    // Host 6 restarts: what its earlier incarnation stated does not count.
    fleet.peers.record_statement(&name(6), 60, true);
    assert_eq!(fleet.pick(&[], later), Some(name(5)));

    let all_cut = Fleet::new((0..HOSTS).map(|_| Some(false)));
    assert_eq!(all_cut.pick(&[], START), None);
    assert!(all_cut.peers.has_statement(all_cut.candidates()));
    let old = Fleet::new((0..HOSTS).map(|_| None));
    assert_eq!(old.pick(&[], START), None);
    assert!(!old.peers.has_statement(old.candidates()));
}

/// Guards against hosts of an earlier build that repeat what has already been attempted, as if nothing
/// had been.
#[test]
fn requests_that_were_attempted_go_to_hosts_that_keep_to_loans() {
    let mut fleet = Fleet::new((0..HOSTS).map(|_| Some(true)));
    let pick = |fleet: &Fleet, is_untouched| {
        let wanted = Wanted {
            excluded: &[],
            avoided: None,
            is_untouched,
        };
        let picked = fleet.peers.pick(fleet.candidates(), wanted, || 0, START);
        picked.map(|helper| (helper.host, helper.keeps_loans))
    };
    assert_eq!(pick(&fleet, true), Some((name(2), false)));
    assert_eq!(pick(&fleet, false), None);
    fleet.peers.record_borrows(&name(5), 5, true);
    assert_eq!(pick(&fleet, false), Some((name(5), true)));
    // Host 5 restarts with an earlier build.
    fleet.peers.record_borrows(&name(5), 4, true);
    assert_eq!(pick(&fleet, false), None);
}

/// Guards against a stream that is broken off because the only other host, whose engine fell silent, is
/// not asked again.
#[test]
fn a_host_that_is_avoided_is_asked_if_there_is_no_other() {
    let fleet = Fleet::new((0..3).map(|index| Some(index > 0)));
    let near = name(2);
    let pick = |excluded: &[Host]| {
        let wanted = Wanted {
            excluded,
            avoided: Some(&near),
            is_untouched: true,
        };
        let picked = fleet.peers.pick(fleet.candidates(), wanted, || 0, START);
        picked.map(|helper| helper.host)
    };
    assert_eq!(pick(&[]), Some(name(1)), "a remote one");
    assert_eq!(pick(&[name(1)]), Some(name(2)));
}

/// Guards against a single helper for all requests of a host while others are idle.
#[test]
fn requests_are_spread_over_the_hosts() {
    let mut fleet = Fleet::new((0..HOSTS).map(|_| Some(true)));
    let mut counts = vec![0_u32; usize::try_from(HOSTS).expect("a small number")];
    for _ in 0..27 {
        let host = fleet.pick(&[], START).expect("a host");
        fleet.peers.record_start(&host);
        let index = (0..HOSTS).position(|index| name(index) == host);
        counts[index.expect("a known host")] += 1;
    }
    counts.sort_unstable();
    assert!(counts[1] >= 3 && counts[7] <= 5, "{counts:?}");
}

/// Guards against many cut hosts displacing the own callers of the only helper.
#[test]
fn a_helper_serves_at_most_as_many_guests_as_own_requests() {
    let served = |own| (0..10_000).take_while(move |guests| takes_guest(*guests, own));
    assert_eq!(served(0).count(), 16);
    assert_eq!(served(200).count(), 200);
}

/// Guards against ejections from the time of a cut that outlive it, and against the loss of earlier
/// ones.
#[test]
fn failures_of_the_own_link_eject_nothing() {
    let (earlier, since) = (START, START + Duration::from_millis(100));
    let fail = |at| {
        let (mut health, mut domains) = (Health::default(), DomainHealth::default());
        let domain = Domain::from("cannock");
        health.record(Observation::Unresponsive, at);
        for endpoint in 0..3 {
            let identity = Identity(endpoint);
            domains.record(&domain, identity, Observation::Unresponsive, at);
        }
        health.forgive(since);
        domains.forgive(since);
        (health.is_ejected(at), domains.is_ejected(&domain, at))
    };
    assert_eq!(fail(earlier), (true, true));
    assert_eq!(fail(since), (false, false));
}

/// Guards against hosts that all refuse everything because all of them are wrong about their links, and
/// against callers that all wait for connections that cannot be opened.
#[test]
fn some_requests_try_the_links_if_no_host_reaches_endpoints() {
    let fleet = Fleet::new((0..HOSTS).map(|_| Some(false)));
    assert!(!fleet.peers.has_helper(fleet.candidates()));
    let mut link = Link::default();
    let mut now = START;
    cut(&mut link, &mut now);
    let tries = (0..1_000).filter(|millis| link.may_try(now + Duration::from_millis(*millis)));
    assert_eq!(tries.count(), 4, "in one second");
    assert!(link.record_trial(now) && !link.is_cut());
    assert!(!link.record_trial(now), "restored once");

    let mut fleet = Fleet::new((0..HOSTS).map(|index| Some(index == 3)));
    assert!(fleet.peers.has_helper(fleet.candidates()));
    // Host 3 restarts.
    fleet.peers.record_statement(&name(3), 30, true);
    assert!(!fleet.peers.has_helper(fleet.candidates()));
}
