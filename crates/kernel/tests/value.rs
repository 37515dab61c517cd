//! Compares the order by value with the order by priority and due time on the same arrivals.

mod support;

use std::time::Duration;

use filbertstage_kernel::clock::Instant;
use filbertstage_kernel::name::Workspace;
use filbertstage_kernel::place::policy::Policy;
use filbertstage_kernel::place::value::{Origin, Value, Weights};
use filbertstage_kernel::place::{Request, Speed};
use proptest::prelude::*;
use rstest::rstest;
use support::NOW;
use support::rush::{
    Arrival, DIGEST, Kind, LONGEST, Play, SHORT, Tally, arrivals, bound, play, pool,
};

const SEEDS: [u64; 4] = [11, 12, 13, 14];
const SECONDS: u64 = 10;

fn request(arrival: &Arrival, kind: &Kind, now: Instant) -> Request {
    let waited = now.since(arrival.at);
    let objective = Duration::from_millis(kind.objective_ms);
    // The first assignment after an arrival is up to a step later.
    let returned = waited >= Duration::from_millis(100);
    Request {
        deadline: arrival.at + Duration::from_millis(kind.deadline_ms),
        due: now + objective.saturating_sub(waited),
        priority: kind.priority,
        origin: Origin {
            kind: kind.name.to_owned(),
            workspace: Some(Workspace::from(arrival.workspace.as_str())),
            prior_wait: if returned { waited } else { Duration::ZERO },
        },
        ..support::request(arrival.tokens, kind.objective_ms, kind.pause_ms, now)
    }
}

/// Sums the plays of several seeds, because single plays differ by chance where little waits.
fn both(kinds: &[Kind], engines: u32) -> (Play, Play, f64) {
    let (mut before, mut after, mut least) = (Play::default(), Play::default(), 0.0);
    for seed in SEEDS {
        let arrivals = arrivals(kinds, SECONDS, seed);
        before.add(play(&mut pool(engines), kinds, &arrivals, request));
        let mut by_value = pool(engines);
        by_value.set_policy(&Policy {
            weights: Some(Weights::default()),
            priorities: Vec::new(),
        });
        after.add(play(&mut by_value, kinds, &arrivals, request));
        least += bound(kinds, &arrivals, engines, SECONDS);
    }
    (before, after, least)
}

const RARE: Kind = Kind {
    rate: 15.0,
    burst: 1.0,
    ..SHORT
};
const SWING: Kind = Kind {
    rate: 2.0,
    burst: 2.5,
    ..LONGEST
};
const GREEDY: Kind = Kind {
    name: "greedy",
    rate: 20.0,
    workspace: Some("greedy"),
    ..DIGEST
};
const EQUAL: Kind = Kind {
    objective_ms: 4_000,
    priority: 1,
    worth: 34.0,
    late: 8.6,
    rate: 1.5,
    burst: 2.5,
    ..LONGEST
};

/// Guards against an order that costs callers more than the order by priority, and against one that
/// serves an urgent kind or one workspace too seldom. `most` is the largest
/// cost relative to the order by priority.
#[rstest]
#[case::short_rush(&[SHORT, DIGEST, LONGEST], 16, 0.9)]
#[case::swing_to_long(&[RARE, DIGEST, SWING], 12, 1.0)]
#[case::few_engines(&[Kind { rate: 6.0, ..SHORT }, Kind { rate: 2.0, ..DIGEST }], 2, 0.9)]
#[case::three_priorities(&[SHORT, Kind { rate: 8.0, burst: 2.5, ..DIGEST }, LONGEST], 12, 0.9)]
#[case::greedy_workspace(&[RARE, Kind { rate: 4.0, ..DIGEST }, GREEDY], 8, 1.0)]
#[case::largest_prompts(&[RARE, EQUAL], 12, 1.0)]
#[case::equal_ranks(&[Kind { priority: 1, ..SHORT }, DIGEST, EQUAL], 20, 1.0)]
fn the_cost_is_lower_than_by_priority(
    #[case] kinds: &[Kind],
    #[case] engines: u32,
    #[case] most: f64,
) {
    let (before, after, bound) = both(kinds, engines);
    println!(
        "bound {bound:.1} order {:.1} value {:.1} of {:.1}\n{:?}\n{:?}\n{:?}",
        before.cost, after.cost, after.worth, after.kinds, after.largest, before.largest
    );
    assert!(after.cost <= before.cost * most);
    assert!(after.cost >= bound);
    for urgent in kinds {
        let share = after.kinds[urgent.name].share();
        for other in kinds
            .iter()
            .filter(|other| other.priority > urgent.priority)
        {
            assert!(share >= after.kinds[other.name].share() - 0.05);
        }
    }
    let all = after.kinds.values().copied().reduce(Tally::sum);
    let half = all.expect("asked").share() / 2.0;
    assert!(after.workspaces.values().all(|tally| tally.share() >= half));
}

/// Guards against an order that turns away the largest requests of a kind.
#[rstest]
#[case::short_rush(&[SHORT, DIGEST, LONGEST], 16)]
#[case::swing_to_long(&[RARE, DIGEST, SWING], 12)]
#[case::few_engines(&[Kind { rate: 6.0, ..SHORT }, Kind { rate: 2.0, ..DIGEST }], 2)]
#[case::three_priorities(&[SHORT, Kind { rate: 8.0, burst: 2.5, ..DIGEST }, LONGEST], 12)]
#[case::greedy_workspace(&[RARE, Kind { rate: 4.0, ..DIGEST }, GREEDY], 8)]
#[case::largest_prompts(&[RARE, EQUAL], 12)]
#[case::equal_ranks(&[Kind { priority: 1, ..SHORT }, DIGEST, EQUAL], 20)]
fn the_largest_are_served_half_as_often_as_their_kind(
    #[case] kinds: &[Kind],
    #[case] engines: u32,
) {
    let (_, after, _) = both(kinds, engines);
    for kind in kinds {
        let share = after.kinds[kind.name].share();
        let largest = after.largest[kind.name].share();
        assert!(
            largest >= share / 2.0,
            "{}: {largest} of {share}",
            kind.name
        );
    }
}

fn measured(request: &Request, relative: f64, now: Instant) -> Value {
    let speed = Speed::new(support::profile());
    let first_event = Duration::from_millis(50);
    let horizon = Duration::from_secs(1);
    Weights::default().measure(&speed, request, relative, first_event, horizon, now)
}

proptest! {
    /// Guards against a correction for size that outweighs a priority.
    #[test]
    fn an_urgent_request_never_loses_at_equal_work(
        tokens in 1_u64..1_000_000,
        relative in (0.001_f64..100.0, 0.001_f64..100.0),
        returned in any::<bool>(),
        late_ms in 0_u64..20_000,
    ) {
        let mut urgent = support::request(tokens, 2_000, 500, NOW);
        let mut other = urgent.clone();
        (urgent.priority, other.priority) = (0, 1);
        if returned {
            other.origin.prior_wait = Duration::from_secs(1);
        }
        let now = NOW + Duration::from_millis(late_ms);
        let (urgent, other) = (measured(&urgent, relative.0, now), measured(&other, relative.1, now));
        prop_assert!(urgent.urgency >= other.urgency);
        prop_assert!(urgent.worth() >= other.worth());
    }

    /// Guards against starvation of the largest: within a kind the worth grows with the size.
    #[test]
    fn the_worth_grows_with_the_size(tokens in 100_u32..400_000, more in 1_u32..400_000) {
        let worth = |tokens: u32| {
            let request = support::request(tokens.into(), 2_000, 500, NOW);
            measured(&request, f64::from(tokens) / 50_000.0, NOW).worth()
        };
        prop_assert!(worth(tokens + more) >= worth(tokens) * 0.999);
    }

    /// Guards against late requests that take the room of equal ones that can be in time.
    #[test]
    fn what_is_late_yields_to_what_is_about_due(tokens in 1_u64..400_000) {
        let request = support::request(tokens, 2_000, 500, NOW);
        let about_due = measured(&request, 1.0, NOW + Duration::from_millis(1_900));
        let late = measured(&request, 1.0, NOW + Duration::from_millis(2_500));
        prop_assert!(about_due.in_time && !late.in_time);
        prop_assert!(about_due.urgency > late.urgency);
    }
}

/// Guards against refusals of late requests that cost no other request anything.
#[test]
fn a_late_request_waits_while_nothing_needs_its_room() {
    let mut pool = pool(0);
    pool.set_policy(&Policy {
        weights: Some(Weights::default()),
        priorities: vec![0, 1],
    });
    pool.submit(support::request(5_000, 300, 200, NOW), NOW);
    assert!(pool.assign(NOW + Duration::from_millis(600)).is_empty());
    assert_eq!(pool.waiting(), 1);
}

/// Guards against ranks at the engines that differ from the order of the queue.
#[test]
fn the_urgency_follows_the_priority() {
    let mut policy = Policy {
        weights: Some(Weights::default()),
        priorities: vec![0, 1, 2],
    };
    let ranks: Vec<_> = (0..4).map(|priority| policy.urgency(priority)).collect();
    assert_eq!(ranks, [Some(0), Some(4), Some(9), Some(9)]);
    policy.weights = None;
    assert_eq!(policy.urgency(0), None);
}
