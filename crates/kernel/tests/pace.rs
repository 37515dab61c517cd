//! Endpoints that name the rate at which all hosts together may send them requests.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use filbertstage_kernel::balance::Balancer;
use filbertstage_kernel::catalogue::{Entry, Identity};
use filbertstage_kernel::pace::{Pacer, Rate};
use filbertstage_kernel::place::{Decision, Load, LoadId, Pool};
use filbertstage_kernel::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::*;

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second).expect("a valid rate")
}

fn after(millis: u64) -> Instant {
    NOW + Duration::from_millis(millis)
}

#[test]
fn idle_endpoint_gets_no_burst() {
    let mut pacer = Pacer::default();
    assert!(pacer.observe(Some(rate(2.0)), NOW));
    let mut sent = Vec::new();
    for millis in 10_000..14_000 {
        if pacer.wait(after(millis)).is_zero() {
            pacer.record_request(after(millis));
            sent.push(millis);
        }
    }
    assert_eq!(
        sent,
        [
            10_000, 10_500, 11_000, 11_500, 12_000, 12_500, 13_000, 13_500
        ]
    );
}

/// Responses overtake each other: one that lacks the limit ends it only if its request was sent
/// after the limit was stated.
#[test]
fn only_a_later_request_shows_that_the_limit_has_ended() {
    let mut pacer = Pacer::default();
    pacer.observe(Some(rate(1.0)), after(100));
    assert!(!pacer.observe(None, after(90)));
    assert_eq!(pacer.limit(), Some(rate(1.0)));
    assert!(pacer.observe(None, after(110)));
    assert_eq!(pacer.limit(), None);
    assert!(
        !pacer.observe(Some(rate(1.0)), after(105)),
        "passed on late by another host"
    );
    assert_eq!(pacer.wait(after(120)), Duration::ZERO);
}

/// An endpoint that names zero is asked now and then, so that it is not shut out for ever.
#[rstest]
#[case::zero(0.0, Some(5.0))]
#[case::tiny(1e-300, Some(5.0))]
#[case::huge(f64::INFINITY, Some(0.000_001))]
#[case::negative(-1.0, None)]
#[case::not_a_number(f64::NAN, None)]
fn rates_out_of_range_are_bounded(#[case] number: f64, #[case] interval_s: Option<f64>) {
    let interval = Rate::per_second(number).map(Rate::interval);
    assert_eq!(interval, interval_s.map(Duration::from_secs_f64));
}

#[test]
fn work_moves_to_engines_without_a_limit() {
    let mut pool = pool(2);
    let (_, first) = start(&mut pool, short(NOW), NOW).expect("a plan");
    pool.observe_limit(first.primary, Some(rate(100.0)), NOW);
    let now = after(50);
    // The other engine has room for these.
    for _ in 0..3 {
        let (_, plan) = start(&mut pool, short(now), now).expect("a plan");
        assert_ne!(plan.primary, first.primary);
    }
}

#[test]
fn limited_engine_helps_no_other() {
    let mut pool = pool(21);
    let limited: Vec<_> = entries(5).iter().map(Entry::identity).collect();
    for engine in &limited {
        pool.observe_limit(*engine, Some(rate(1.0)), NOW);
    }
    let now = after(2_000);
    let (_, plan) = start(&mut pool, long(210_000, now), now).expect("a plan");
    assert!(!plan.helpers.is_empty());
    assert!(
        plan.helpers
            .iter()
            .all(|part| !limited.contains(&part.engine))
    );
}

/// If all engines are limited, the second of two requests is told when its turn comes.
#[test]
fn request_is_refused_at_once_with_the_time_of_its_turn() {
    let mut pool = pool(2);
    for entry in entries(2) {
        pool.observe_limit(entry.identity(), Some(rate(0.5)), NOW);
    }
    let tickets: Vec<_> = (0..2).map(|_| pool.submit(short(NOW), NOW)).collect();
    let decisions: BTreeMap<_, _> = pool.assign(NOW).into_iter().collect();
    for ticket in tickets {
        assert_eq!(decisions[&ticket], Decision::Refuse(Duration::from_secs(2)));
    }
    let waits = |mut request: filbertstage_kernel::place::Request| {
        request.due = after(5_000);
        request.deadline = after(60_000);
        request
    };
    for _ in 0..3 {
        pool.submit(waits(short(NOW)), NOW);
    }
    let late = pool.submit(short(NOW), NOW);
    let decisions: BTreeMap<_, _> = pool.assign(NOW).into_iter().collect();
    assert!(matches!(decisions[&late], Decision::Refuse(turn) if turn >= Duration::from_secs(2)));
}

#[test]
fn limited_plain_endpoint_is_used_in_turn_if_there_is_no_other() {
    let entries = entries(2);
    let mut balancer = Balancer::default();
    balancer.observe_limit(entries[0].identity(), Some(rate(2.0)), NOW);
    let domain = Domain::from("cannock");
    let pick = |balancer: &Balancer, excluded: &[Identity], millis| {
        let picked = balancer.pick(entries.iter(), excluded, &domain, after(millis));
        picked.map(Entry::identity)
    };
    let other = entries[1].identity();
    assert_eq!(pick(&balancer, &[], 600), Some(other));
    assert_eq!(pick(&balancer, &[other], 600), Some(entries[0].identity()));
    balancer.record_request(entries[0].identity(), after(600));
    assert_eq!(pick(&balancer, &[other], 700), None);
    let wait = balancer.retry_after(entries.iter(), 0.0, after(700));
    assert_eq!(wait, Some(Duration::from_millis(400)));
}

/// Messages between the hosts.
#[derive(Clone)]
enum Message {
    Put(LoadId, Identity, Load),
    Done(LoadId),
    Request(Identity),
}

struct Fleet {
    pools: Vec<Pool>,
    rng: SmallRng,
    /// Messages by the millisecond of their arrival, with the index of the receiver.
    arriving: BTreeMap<u64, Vec<(usize, Message)>>,
}

impl Fleet {
    fn broadcast(&mut self, from: usize, now: u64, message: &Message) {
        /// Share of the datagrams that are lost.
        const LOST: f64 = 0.03;
        for to in (0..self.pools.len()).filter(|to| *to != from) {
            if self.rng.random_bool(LOST) {
                continue;
            }
            // Batching, the network, and a busy event loop.
            let delay = self.rng.random_range(2..9);
            let arriving = self.arriving.entry(now + delay).or_default();
            arriving.push((to, message.clone()));
        }
    }

    fn deliver(&mut self, now: u64) {
        for (to, message) in self.arriving.remove(&now).unwrap_or_default() {
            let pool = &mut self.pools[to];
            match message {
                Message::Put(id, engine, load) => pool.put_remote(id, engine, load, after(now)),
                Message::Done(id) => pool.release(id),
                Message::Request(engine) => {
                    pool.record_request(engine, after(now));
                }
            }
        }
    }
}

/// Guards against limits that hold for each host but not for all of them: every host has requests
/// that wait for the same few engines, all of which name a limit (LIMIT).
#[rstest]
#[case::few_hosts(5, 3, 2.9)]
#[case::many_hosts(78, 2, 1.0)]
#[case::many_hosts_high_limit(78, 2, 12.0)]
fn limits_hold_for_all_hosts_together(
    #[case] hosts: usize,
    #[case] engines: u32,
    #[case] per_second: f64,
) {
    const WINDOW_MS: u64 = 4_000;
    const TIME_MS: u64 = 12_000;
    let mut fleet = Fleet {
        pools: (1..=hosts as u64)
            .map(|holder| pool_of(holder, engines))
            .collect(),
        rng: SmallRng::seed_from_u64(7),
        arriving: BTreeMap::new(),
    };
    for pool in &mut fleet.pools {
        for entry in entries(engines) {
            pool.observe_limit(entry.identity(), Some(rate(per_second)), NOW);
        }
        let mut waiting = short(NOW);
        waiting.due = after(60_000);
        waiting.deadline = after(600_000);
        pool.submit(waiting, NOW);
    }
    let mut claims: Vec<Vec<(u64, LoadId, Identity)>> = vec![Vec::new(); hosts];
    let mut sent: BTreeMap<Identity, Vec<u64>> = BTreeMap::new();
    for now in 0..TIME_MS {
        fleet.deliver(now);
        for (host, claims) in claims.iter_mut().enumerate() {
            let due = claims.iter().position(|(settles, ..)| *settles == now);
            if let Some((_, id, engine)) = due.map(|index| claims.remove(index)) {
                if fleet.pools[host].settle(id, engine, after(now)) {
                    sent.entry(engine).or_default().push(now);
                    fleet.broadcast(host, now, &Message::Request(engine));
                }
                // Answers are short, so that only the limits bind.
                fleet.pools[host].release(id);
                fleet.broadcast(host, now, &Message::Done(id));
                let mut waiting = short(after(now));
                waiting.due = after(60_000);
                waiting.deadline = after(600_000);
                fleet.pools[host].submit(waiting, after(now));
            }
            // Hosts look for turns every 20 ms, each at another time.
            if !(now + host as u64).is_multiple_of(20) {
                continue;
            }
            for (_, decision) in fleet.pools[host].assign(after(now)) {
                let Decision::Claim(id, plan) = decision else {
                    panic!("a turn is claimed: {decision:?}");
                };
                claims.push((now + 8, id, plan.primary));
                for (engine, load) in plan.loads {
                    fleet.broadcast(host, now, &Message::Put(id, engine, load));
                }
            }
        }
    }
    let allowed = per_second * 1.5 * 4.0 + 5.0;
    assert_eq!(sent.len(), engines as usize, "all engines are used");
    for (engine, times) in &sent {
        let in_window = |start: &u64| {
            let within = times
                .iter()
                .filter(|time| (*start..*start + WINDOW_MS).contains(time));
            u32::try_from(within.count()).unwrap()
        };
        let most = times.iter().map(in_window).max().unwrap_or(0);
        assert!(
            f64::from(most) <= allowed,
            "{engine:?}: {most}, allowed {allowed}"
        );
        let total = f64::from(u32::try_from(times.len()).unwrap());
        assert!(
            total >= per_second * 12.0 * 0.5,
            "{engine:?}: {total} in 12 s"
        );
    }
}

/// Guards against refused callers that all come back at the same turn, each to another host, and
/// are all sent on before the hosts hear of each other (LIMIT).
#[test]
fn callers_that_come_back_do_not_meet_at_one_turn() {
    const HOSTS: usize = 78;
    const DELAY_MS: u64 = 6;
    const CALLS_PER_MS: f64 = 0.1;
    /// Times that a refused caller comes back.
    const RETURNS: u32 = 2;
    let entries = entries(1);
    let (endpoint, domain) = (entries[0].identity(), Domain::from("cannock"));
    let mut rng = SmallRng::seed_from_u64(7);
    let mut balancers: Vec<_> = (0..HOSTS).map(|_| Balancer::default()).collect();
    for balancer in &mut balancers {
        balancer.observe_limit(endpoint, Some(rate(1.0)), NOW);
    }
    let mut announced: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    // By the millisecond of the arrival: how often each caller will come back if it is refused.
    let mut arriving: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    let mut sent: Vec<u64> = Vec::new();
    for now in 0..20_000 {
        for from in announced.remove(&now).unwrap_or_default() {
            for to in (0..HOSTS).filter(|to| *to != from) {
                balancers[to].record_request(endpoint, after(now));
            }
        }
        if rng.random_bool(CALLS_PER_MS) {
            arriving.entry(now).or_default().push(RETURNS);
        }
        for returns in arriving.remove(&now).unwrap_or_default() {
            let host = rng.random_range(0..HOSTS);
            let balancer = &mut balancers[host];
            let picked = balancer.pick(entries.iter(), &[], &domain, after(now));
            if picked.is_some() {
                balancer.record_request(endpoint, after(now));
                announced.entry(now + DELAY_MS).or_default().push(host);
                sent.push(now);
            } else if returns > 0 {
                let wait = balancer.retry_after(entries.iter(), rng.random(), after(now));
                let wait = wait.expect("the endpoint is limited").as_millis();
                let back = now + u64::try_from(wait).unwrap() + 1;
                arriving.entry(back).or_default().push(returns - 1);
            }
        }
    }
    let in_window = |start: &u64| {
        let within = sent
            .iter()
            .filter(|time| (*start..*start + 4_000).contains(time));
        within.count()
    };
    let most = sent.iter().map(in_window).max().unwrap_or(0);
    assert!(most <= 11, "{most} in 4 s: {sent:?}");
    assert!(sent.len() >= 10, "{} in 20 s", sent.len());
}

/// Guards against calls that overload the endpoints without a limit while a turn at another one is
/// free.
#[test]
fn limited_plain_endpoint_is_used_if_the_others_are_full() {
    let entries = entries(2);
    let mut balancer = Balancer::default();
    let (limited, other) = (entries[0].identity(), entries[1].identity());
    balancer.observe_limit(limited, Some(rate(2.0)), NOW);
    let domain = Domain::from("cannock");
    let pick = |balancer: &Balancer| {
        let picked = balancer.pick(entries.iter(), &[], &domain, after(600));
        picked.map(Entry::identity)
    };
    for _ in 0..entries[1].slots {
        assert_eq!(pick(&balancer), Some(other));
        balancer.record_start(other);
    }
    assert_eq!(pick(&balancer), Some(limited));
    balancer.record_request(limited, after(600));
    assert_eq!(pick(&balancer), Some(other), "no turn is left");
}

/// Guards against endpoints that get all their load at once when they are used again, although they
/// became cold meanwhile, and against a bound that stays.
#[test]
fn endpoint_that_is_used_again_gets_requests_at_a_rising_rate() {
    let start = Instant::from_millis(1_000);
    let rate = Rate::per_second(10.0).expect("a rate");
    let mut pacer = Pacer::default();
    pacer.restart(rate, Duration::from_secs(4), start);
    // A response without a limit does not end it.
    pacer.observe(None, start);
    let mut per_second = [0; 4];
    for ms in 0..4_000_u64 {
        let now = start + Duration::from_millis(ms);
        if pacer.wait(now).is_zero() {
            assert!(pacer.is_paced(now) && pacer.is_free(now));
            pacer.record_request(now);
            per_second[usize::try_from(ms / 1_000).expect("few")] += 1;
        }
    }
    assert_eq!(per_second, [6, 7, 8, 9]);
    let end = start + Duration::from_secs(4);
    assert!(pacer.wait(end).is_zero() && !pacer.is_paced(end));
}
