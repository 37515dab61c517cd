//! Tests of the detour around lost links, for one host and for a fleet without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use filbertstage_kernel::catalogue::Identity;
use filbertstage_kernel::detour::{
    Candidate, Finding, Link, Peers, Probed, ROUND, Wanted, sample, takes_guest,
};
use filbertstage_kernel::outlier::{DomainHealth, Health, Observation};
use filbertstage_kernel::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

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

/// Endpoints of which most are dead, as one host knows them.
struct Endpoints {
    all: Vec<Probed>,
    alive: BTreeSet<Identity>,
    rng: SmallRng,
}

impl Endpoints {
    /// In each of three failure domains there are `alive` endpoints, and `dead` ones of which the part
    /// `died` has answered the host before.
    fn new(alive: u64, dead: u64, died: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut endpoints = Self {
            all: Vec::new(),
            alive: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for domain in ["cannock", "charnwood", "sherwood"] {
            for index in 0..alive + dead {
                let identity = Identity(endpoints.all.len() as u64);
                let is_alive = index < alive;
                let before = START.saturating_sub(Duration::from_millis(rng.random_range(0..900)));
                let has_answered = is_alive || rng.random_bool(died);
                endpoints.all.push(Probed {
                    identity,
                    domain: Domain::from(domain),
                    answered: has_answered.then_some(before),
                });
                if is_alive {
                    endpoints.alive.insert(identity);
                }
            }
        }
        endpoints
    }

    /// Records that the living ones of these endpoints have answered the host.
    fn record_answers(&mut self, identities: &BTreeSet<Identity>, now: Instant) {
        for endpoint in &mut self.all {
            let identity = &endpoint.identity;
            if self.alive.contains(identity) && identities.contains(identity) {
                endpoint.answered = Some(now);
            }
        }
    }

    /// Probes endpoints as long as the link needs it; returns what they show.
    fn probe(&mut self, link: &mut Link, tried: &mut BTreeSet<Identity>, now: Instant) -> Finding {
        loop {
            self.all.shuffle(&mut self.rng);
            let chosen = sample(&self.all, link.round_size(), tried);
            let reached = chosen.iter().filter(|probed| self.alive.contains(probed));
            let reached = reached.count();
            tried.extend(&chosen);
            self.record_answers(&chosen.iter().copied().collect(), now);
            if reached > 0 {
                tried.clear();
            }
            match link.record_round(reached, chosen.len(), now) {
                Finding::Unclear => {}
                finding => return finding,
            }
        }
    }
}

/// Guards against hosts that take themselves as cut off because most endpoints are dead: entries that
/// name nothing, workers that were never sound, or most machines of a service.
#[rstest]
#[case::never_alive(2, 12, 0.0)]
#[case::most_died(2, 12, 1.0)]
#[case::some_died(1, 20, 0.3)]
fn dead_endpoints_do_not_cut_a_host_off(#[case] alive: u64, #[case] dead: u64, #[case] died: f64) {
    for seed in 0..200 {
        let mut endpoints = Endpoints::new(alive, dead, died, seed);
        let (mut link, mut tried) = (Link::default(), BTreeSet::new());
        for second in 1..20 {
            let now = START + Duration::from_secs(second);
            // The living ones serve all requests.
            endpoints.record_answers(&endpoints.alive.clone(), now);
            link.record_failure(now);
            let finding = endpoints.probe(&mut link, &mut tried, now);
            assert_eq!(finding, Finding::Unchanged, "seed {seed}, second {second}");
        }
    }
}

/// Guards against a host that stays cut off after its link is back, because most endpoints are dead.
#[rstest]
#[case::never_alive(2, 12, 0.0)]
#[case::most_died(2, 12, 1.0)]
fn a_link_is_restored_although_most_endpoints_are_dead(
    #[case] alive: u64,
    #[case] dead: u64,
    #[case] died: f64,
) {
    /// Rounds in which each endpoint is probed twice.
    const ROUNDS: u64 = 2 * 42 / ROUND as u64 + 1;
    for seed in 0..200 {
        let mut endpoints = Endpoints::new(alive, dead, died, seed);
        let (mut link, mut tried, mut now) = (Link::default(), BTreeSet::new(), START);
        let living = std::mem::take(&mut endpoints.alive);
        link.record_failure(now);
        let finding = endpoints.probe(&mut link, &mut tried, now);
        assert_eq!(finding, Finding::Lost(START));
        endpoints.alive = living;
        let restored = (0..ROUNDS).any(|_| {
            now = now + link.interval();
            endpoints.probe(&mut link, &mut tried, now) == Finding::Restored
        });
        assert!(restored, "seed {seed}");
    }
}

/// Guards against probes of one failure domain, or of the same endpoints in each round.
#[test]
fn probes_go_to_all_domains_and_to_endpoints_that_were_not_tried() {
    let endpoints = Endpoints::new(0, 3, 0.0, 1).all;
    let domain = |identity: &Identity| {
        let endpoint = endpoints.iter().find(|known| known.identity == *identity);
        endpoint.expect("a known endpoint").domain.clone()
    };
    let mut tried = BTreeSet::new();
    for _ in 0..3 {
        let chosen = sample(&endpoints, 3, &tried);
        let domains: BTreeSet<_> = chosen.iter().map(domain).collect();
        assert_eq!(domains.len(), 3);
        assert!(chosen.iter().all(|identity| tried.insert(*identity)));
    }
    let again = sample(&endpoints, 4, &tried);
    assert_eq!(again.len(), 4, "all were tried");
}

/// Guards against probes that outweigh the answer of an endpoint on a new connection.
#[test]
fn an_answer_on_a_new_connection_shows_that_the_link_works() {
    let later = START + Duration::from_millis(50);
    let mut link = Link::default();
    link.record_failure(START);
    assert_eq!(link.record_round(0, 1, later), Finding::Unclear);
    link.record_answer(START.saturating_sub(Duration::from_millis(1)), later);
    assert!(link.is_suspected(), "sent before the failure");
    link.record_answer(later, later);
    assert!(!link.is_suspected());
    assert_eq!(link.round_size(), 1);

    let mut now = START;
    cut(&mut link, &mut now);
    assert_eq!(link.record_answer(START, now), Finding::Unchanged);
    assert!(link.is_cut(), "sent before the cut was known");
    assert_eq!(link.record_answer(now, now), Finding::Restored);
    assert!(!link.is_cut());
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

    let mut fleet = Fleet::new((0..HOSTS).map(|index| Some(index == 3)));
    assert!(fleet.peers.has_helper(fleet.candidates()));
    // Host 3 restarts.
    fleet.peers.record_statement(&name(3), 30, true);
    assert!(!fleet.peers.has_helper(fleet.candidates()));
}
