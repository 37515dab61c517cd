//! Tests the choice of engines by the learned paths to the failure domains, without a network.

mod support;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use filbertstage_kernel::catalogue::{Delay, Entry};
use filbertstage_kernel::place::path::{Paths, Stream};
use filbertstage_kernel::place::{Pool, Speed};
use filbertstage_kernel::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;

const DOMAINS: [&str; 3] = ["cannock", "dunley", "eardisley"];

/// Engines that are spread evenly over three failure domains.
fn spread_entries(count: u32) -> Vec<Entry> {
    let mut all = entries(count);
    for (entry, domain) in all.iter_mut().zip(DOMAINS.iter().cycle()) {
        entry.domain = Domain::from(*domain);
    }
    all
}

/// Plays short and long prompts for some seconds and returns each choice.
fn play(pool: &mut Pool, engines: &[Entry], arrivals: u64) -> String {
    let names: BTreeMap<_, _> = engines
        .iter()
        .map(|entry| (entry.identity(), entry.name.to_string()))
        .collect();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut running = Vec::new();
    let mut choices = String::new();
    for step in 0..arrivals {
        let now = NOW + Duration::from_millis(step * 60);
        running.retain(|(id, ends)| {
            if *ends <= now {
                pool.release(*id);
            }
            *ends > now
        });
        let request = if rng.random_range(0..20) == 0 {
            long(rng.random_range(20_000..200_000), now)
        } else {
            short(now)
        };
        let Some((id, plan)) = start(pool, request, now) else {
            pool.cancel(step + 1);
            choices.push_str("- ");
            continue;
        };
        if plan.helpers.is_empty() {
            pool.finish_prefill(id, now + Duration::from_millis(60));
        }
        let number = names[&plan.primary].trim_start_matches("engine-");
        let _ = write!(choices, "{number}+{} ", plan.helpers.len());
        let ends = now + Duration::from_millis(rng.random_range(1_500..2_500));
        running.push((id, ends));
    }
    choices
}

/// Load: a mixed load on even links without loss. Guards against choices that differ from those
/// before paths were learned; the snapshot was recorded with the constant price.
#[test]
fn even_links_change_no_choice() {
    let engines = spread_entries(18);
    let mut pool = Pool::new(Speed::new(profile()), Domain::from(DOMAINS[0]), OWN);
    pool.set_engines(engines.iter());
    insta::assert_snapshot!(play(&mut pool, &engines, 160));
}

fn domain(index: usize) -> Domain {
    Domain::from(DOMAINS[index])
}

fn paths(host: &str) -> Paths {
    Paths::new(domain(0), &Host::from(host))
}

fn delays(delay_ms: f64) -> Vec<Delay> {
    let pairs = DOMAINS
        .iter()
        .flat_map(|from| DOMAINS.iter().map(move |to| (from, to)));
    pairs
        .filter(|(from, to)| from != to)
        .map(|(from, to)| Delay {
            from: Domain::from(*from),
            to: Domain::from(*to),
            delay_ms,
        })
        .collect()
}

/// Streams of 35 events from all domains, of which every fourth from another domain is late.
fn record_losses(paths: &mut Paths, now: Instant) {
    for stream in 0..40 {
        paths.record_events(&domain(0), 35, false, now);
        paths.record_events(&domain(1), 35, stream % 4 == 0, now);
        paths.record_events(&domain(2), 35, stream % 4 == 0, now);
    }
}

const SHORT: Stream = Stream {
    events: 35.0,
    pause: Duration::from_millis(200),
    pass_ms: 45.0,
};

fn cost(paths: &Paths, index: usize, now: Instant) -> f64 {
    paths.price(&domain(index), &SHORT, now).cost_ms
}

fn spread_pool(paths: Paths, engines: &[Entry]) -> Pool {
    let mut pool = Pool::new(Speed::new(profile()), domain(0), OWN);
    pool.set_engines(engines.iter());
    pool.set_paths(Arc::new(paths));
    pool
}

/// Load: a mixed load on even links that were measured, with published delays of 1.4 ms and one
/// late stream. Guards against noise that changes the choices.
#[test]
fn measured_even_links_change_no_choice() {
    let mut paths = paths("host-1");
    paths.set_delays(delays(1.4).iter());
    let mut rng = SmallRng::seed_from_u64(3);
    for index in (0..3).cycle().take(90) {
        let time = Duration::from_micros(rng.random_range(500..4_000));
        paths.record_opening(&domain(index), time, NOW);
        paths.record_events(&domain(index), 35, false, NOW);
    }
    paths.record_events(&domain(1), 35, true, NOW);
    let engines = spread_entries(18);
    let mut pool = spread_pool(paths, &engines);
    let choices = play(&mut pool, &engines, 160);
    insta::assert_snapshot!("even_links_change_no_choice", choices);
}

/// Load: short streams in one domain with lossy links to the others. Guards against streams that
/// cross such links while engines of their own domain are free.
#[test]
fn short_streams_stay_in_their_domain_on_lossy_links() {
    let mut lossy = paths("host-1");
    record_losses(&mut lossy, NOW);
    let mut published = paths("host-1");
    published.set_delays(delays(4.5).iter());
    let engines = spread_entries(18);
    for paths in [lossy, published] {
        let mut pool = spread_pool(paths, &engines);
        for _ in 0..12 {
            let (_, plan) = start(&mut pool, short(NOW), NOW).expect("a plan");
            let entry = engines
                .iter()
                .find(|entry| entry.identity() == plan.primary);
            assert_eq!(entry.map(|entry| &entry.domain), Some(&domain(0)));
        }
    }
}

/// Load: callers of one domain with more streams than its engines hold. Guards against engines of
/// other domains that stay idle, and against refusals while they have room.
#[test]
fn short_streams_spill_when_their_domain_is_full() {
    let mut paths = paths("host-1");
    record_losses(&mut paths, NOW);
    let engines = spread_entries(18);
    let mut unsampled = Pool::new(Speed::new(profile()), domain(0), OWN);
    unsampled.set_engines(engines.iter());
    let capacity = (0..200).take_while(|_| start(&mut unsampled, short(NOW), NOW).is_some());
    let capacity = capacity.count();
    let mut pool = spread_pool(paths, &engines);
    let mut remote = 0_usize;
    for number in 0..capacity {
        let started = start(&mut pool, short(NOW), NOW);
        let (_, plan) = started.unwrap_or_else(|| panic!("no plan for {number} of {capacity}"));
        let entry = engines
            .iter()
            .find(|entry| entry.identity() == plan.primary);
        remote += usize::from(entry.is_some_and(|entry| entry.domain != domain(0)));
        assert!(plan.first_event < Duration::from_millis(290));
    }
    let share = capacity * 2 / 3;
    assert!(
        (share - 2..=share + 2).contains(&remote),
        "{remote} of {capacity}"
    );
}

/// Load: long prompts on lossy links. Guards against a price that keeps them from free engines,
/// although a lost packet makes no answer with long allowed pauses late.
#[test]
fn loss_hardly_matters_to_long_prompts() {
    let mut paths = paths("host-1");
    record_losses(&mut paths, NOW);
    let tolerant = Stream {
        pause: Duration::from_millis(800),
        ..SHORT
    };
    let price = paths.price(&domain(1), &tolerant, NOW);
    assert!(price.cost_ms < 20.0, "{price:?}");
    assert!(cost(&paths, 1, NOW) > 100.0);
}

/// Load: several hosts with the same view of a lossy path. Guards against all of them moving to
/// other domains at the same load.
#[test]
fn hosts_with_the_same_view_have_different_prices() {
    let prices = (0..8).map(|host| {
        let mut paths = paths(&format!("host-{host}"));
        paths.set_delays(delays(4.5).iter());
        assert!((cost(&paths, 0, NOW)).abs() < f64::EPSILON);
        cost(&paths, 1, NOW).to_bits()
    });
    let distinct: std::collections::BTreeSet<_> = prices.collect();
    assert!(distinct.len() >= 7, "{}", distinct.len());
}

/// Load: a domain whose path was lossy is used again after an outage. Guards against an estimate
/// that stays without fresh samples, and one that jumps with a single one.
#[test]
fn a_domain_without_samples_returns_to_its_prior() {
    let mut paths = paths("host-1");
    paths.record_events(&domain(1), 35, true, NOW);
    assert!((cost(&paths, 1, NOW) - cost(&paths, 2, NOW)).abs() < f64::EPSILON);
    record_losses(&mut paths, NOW);
    assert!(cost(&paths, 1, NOW) > 100.0);
    let later = NOW + Duration::from_mins(15);
    assert!((cost(&paths, 1, later) - 15.0).abs() < 0.1);
    for _ in 0..30 {
        paths.record_opening(&domain(0), Duration::from_millis(1), later);
        paths.record_opening(&domain(1), Duration::from_millis(30), later);
    }
    let price = paths.price(&domain(1), &SHORT, later);
    assert!((20.0..30.0).contains(&price.delay_ms), "{price:?}");
    let much_later = later + Duration::from_mins(15);
    assert!(paths.price(&domain(1), &SHORT, much_later).delay_ms < 0.1);
}

/// Load: short streams on even links from a host with connections to some engines. Guards against
/// connections that change the choice between engines of different cost.
#[test]
fn connections_change_no_choice_on_even_links() {
    let engines = spread_entries(18);
    let mut pool = spread_pool(paths("host-1"), &engines);
    pool.set_connected(engines[..4].iter().map(Entry::identity).collect());
    let choices = play(&mut pool, &engines, 160);
    insta::assert_snapshot!("even_links_change_no_choice", choices);
}

/// Load: a host that starts on links with long round trips. Guards against an opening where another
/// engine of nearly the same cost is connected.
#[test]
fn a_connected_engine_saves_the_round_trip_of_an_opening() {
    let mut paths = paths("host-1");
    paths.set_delays(delays(4.5).iter());
    for _ in 0..30 {
        paths.record_opening(&domain(0), Duration::from_millis(3), NOW);
    }
    let engines: Vec<_> = spread_entries(60);
    let engines: Vec<_> = engines
        .into_iter()
        .filter(|entry| entry.domain == domain(0))
        .collect();
    let mut pool = spread_pool(paths.clone(), &engines);
    let (id, first) = start(&mut pool, short(NOW), NOW).expect("a plan");
    pool.release(id);
    let mut by_order: Vec<_> = engines.iter().map(Entry::identity).collect();
    by_order.sort_by_key(|identity| identity.0 % 1_000);
    // Two engines may have the same position in the fill order.
    assert_eq!(first.primary.0 % 1_000, by_order[0].0 % 1_000);
    pool.set_connected([by_order[1]].into());
    let (_, plan) = start(&mut pool, short(NOW), NOW).expect("a plan");
    let gap = (by_order[1].0 % 1_000) - (by_order[0].0 % 1_000);
    let opening_ms = paths.opening_price_ms(&domain(0), NOW);
    let expected =
        usize::from(f64::from(u32::try_from(gap).expect("below 1,000")) / 10.0 < opening_ms);
    assert_eq!(plan.primary, by_order[expected], "{gap} {opening_ms}");
    assert!(paths.opening_price_ms(&domain(1), NOW) > opening_ms);
}
