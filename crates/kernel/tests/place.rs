//! Who waits and where work goes: the patterns of the heaviest days, without a network.

use std::time::Duration;

use filbertstage_kernel::catalogue::{Entry, Identity, Profile, State};
use filbertstage_kernel::outlier::Judgement;
use filbertstage_kernel::place::{Ask, Load, LoadId, Plan, Pool, Speed, Verdict};
use filbertstage_kernel::prelude::*;
use rstest::rstest;

const NOW: Instant = Instant::from_millis(100_000);
const OWN: u64 = 1;
const OTHER: u64 = 2;

/// The published formula of the engines that the patterns were seen on.
fn profile() -> Profile {
    Profile {
        slots: 16,
        memory_tokens: 450_000,
        stride: 46,
        step_ms: 0.925,
        writer_ms: 0.004_83,
        context_ms: 0.002_54,
        read_per_s: 256_000.0,
        pairs_ms: 0.0917,
        chunk: 2_048,
        hop_ms: 0.1,
    }
}

fn entries(count: u32) -> Vec<Entry> {
    let entry = |index: u32| Entry {
        name: Endpoint::from(format!("engine-{index}")),
        born: 1,
        service: Service::from("writer"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: Domain::from("cannock"),
        slots: 16,
        state: State::Ready,
    };
    (0..count).map(entry).collect()
}

fn pool(count: u32) -> Pool {
    pool_of(OWN, count)
}

fn pool_of(holder: u64, count: u32) -> Pool {
    let mut pool = Pool::new(Speed::new(profile()), Domain::from("cannock"), holder);
    pool.set_engines(entries(count).iter());
    pool
}

fn ask(prompt: u64, objective_ms: u64, pause_ms: u64, now: Instant) -> Ask {
    Ask {
        prompt,
        answer: 1_600,
        due: now + Duration::from_millis(objective_ms),
        deadline: now + Duration::from_millis(objective_ms * 10),
        pause: Duration::from_millis(pause_ms),
        priority: 1,
        begun: false,
        excluded: Vec::new(),
    }
}

fn short(now: Instant) -> Ask {
    ask(5_000, 300, 200, now)
}

fn long(prompt: u64, now: Instant) -> Ask {
    ask(prompt, 3_000, 800, now)
}

fn start(pool: &mut Pool, ask: Ask, now: Instant) -> Option<(LoadId, Plan)> {
    let ticket = pool.submit(ask, now);
    let mut verdicts = pool.assign(now);
    let index = verdicts.iter().position(|(other, _)| *other == ticket)?;
    match verdicts.swap_remove(index).1 {
        Verdict::Start(id, plan) | Verdict::Claim(id, plan) => Some((id, plan)),
        Verdict::Refuse(_) => None,
    }
}

#[rstest]
#[case::short(5_000, 20.0, 24.0)]
#[case::middle(45_000, 270.0, 300.0)]
#[case::long(210_000, 2_800.0, 3_000.0)]
fn reading_grows_with_the_square_of_the_prompt(
    #[case] prompt: u64,
    #[case] least_ms: f64,
    #[case] most_ms: f64,
) {
    let read = Speed::new(profile()).read_ms(prompt);
    assert!((least_ms..most_ms).contains(&read), "{read}");
}

/// A prompt that one engine reads in about its whole objective is read by several.
#[test]
fn a_long_prompt_is_split_and_on_time() {
    let mut pool = pool(21);
    let (_, plan) = start(&mut pool, long(210_000, NOW), NOW).expect("a place");
    assert!(plan.helpers.len() >= 4, "{}", plan.helpers.len());
    assert!(plan.first_event < Duration::from_secs(1));
    assert!(plan.helpers.iter().all(|part| part.reserve == 0));
}

/// A million tokens fit no engine: helpers hold the rest in reserved memory.
#[test]
fn a_million_tokens_are_held_by_several_engines() {
    let mut pool = pool(21);
    let (_, plan) = start(&mut pool, long(1_000_000, NOW), NOW).expect("a place");
    let reserved: u64 = plan.helpers.iter().map(|part| part.reserve).sum();
    assert!(reserved >= 1_001_600 - 450_000, "{reserved}");
    assert!(plan.loads.iter().all(|(_, load)| load.tokens <= 450_000));
}

/// In the quiet of short prompts their streams stay on few engines, so that long ones find many.
#[test]
fn tight_streams_are_packed() {
    let mut pool = pool(21);
    let mut used = std::collections::BTreeSet::new();
    for step in 0..25 {
        let now = NOW + Duration::from_millis(step * 70);
        let (id, plan) = start(&mut pool, short(now), now).expect("a place");
        used.insert(plan.first);
        pool.has_read(id, now + Duration::from_millis(60));
    }
    assert!(used.len() <= 2, "{} engines", used.len());
}

/// The burst of short prompts: many at one moment are spread, and all are on time.
#[test]
fn a_burst_of_short_prompts_is_on_time() {
    let mut pool = pool(21);
    for _ in 0..60 {
        let (_, plan) = start(&mut pool, short(NOW), NOW).expect("a place");
        assert!(
            plan.first_event < Duration::from_millis(290),
            "{:?}",
            plan.first_event
        );
    }
}

/// A long prompt is not read where streams write whose events may pause only briefly.
#[test]
fn long_reading_keeps_away_from_tight_streams() {
    let mut pool = pool(8);
    let (_, first) = start(&mut pool, short(NOW), NOW).expect("a place");
    let (_, plan) = start(&mut pool, long(300_000, NOW), NOW).expect("a place");
    assert_ne!(plan.first, first.first);
    assert!(plan.helpers.iter().all(|part| part.engine != first.first));
}

/// Requests wait at the host rather than behind much reading at an engine.
#[test]
fn engines_get_little_reading_ahead() {
    let mut pool = pool(4);
    let mut started = 0;
    for _ in 0..10 {
        if start(&mut pool, long(210_000, NOW), NOW).is_some() {
            started += 1;
        }
    }
    assert!(started < 3, "{started} started");
    assert_eq!(pool.waiting(), 10 - started);
}

/// Short work goes first, as its worth for the time that it takes is higher.
#[test]
fn the_shorter_of_two_waiting_prompts_goes_first() {
    let mut pool = pool(1);
    let (id, _) = start(&mut pool, long(100_000, NOW), NOW).expect("a place");
    let huge = pool.submit(long(250_000, NOW), NOW);
    let middle = pool.submit(long(100_000, NOW), NOW);
    assert!(pool.assign(NOW).is_empty());
    pool.release(id);
    let verdicts = pool.assign(NOW);
    assert!(verdicts.iter().any(|(ticket, _)| *ticket == middle));
    assert!(verdicts.iter().all(|(ticket, _)| *ticket != huge));
    assert_eq!(pool.waiting(), 1);
}

/// A request that finds no place is refused with a time to come back, not held to its end.
#[test]
fn a_request_without_a_place_is_refused_when_it_is_due() {
    let mut pool = pool(0);
    let ticket = pool.submit(short(NOW), NOW);
    assert!(pool.assign(NOW).is_empty());
    let verdicts = pool.assign(NOW + Duration::from_millis(300));
    assert!(matches!(verdicts[..], [(refused, Verdict::Refuse(after))]
        if refused == ticket && !after.is_zero()));
    assert_eq!(pool.waiting(), 0);
}

/// A stream that broke off in the middle waits for another engine, also when it is late already.
#[test]
fn a_begun_answer_waits_longer_and_goes_first() {
    let mut pool = pool(0);
    let late = NOW + Duration::from_millis(400);
    let begun = Ask {
        begun: true,
        ..short(NOW)
    };
    let ticket = pool.submit(begun, late);
    pool.submit(short(late), late);
    assert!(pool.assign(late + Duration::from_millis(280)).is_empty());
    pool.set_engines(entries(1).iter());
    let verdicts = pool.assign(late + Duration::from_secs(1));
    assert!(matches!(verdicts[0], (first, Verdict::Start(..)) if first == ticket));
}

fn part(work_ms: u64, writes: bool) -> Load {
    Load {
        tokens: 1_000,
        work: Duration::from_millis(work_ms),
        read_by: NOW + Duration::from_millis(work_ms),
        read: false,
        ends_by: NOW + Duration::from_secs(4),
        writes,
        pause: Duration::from_millis(800),
        told: 0,
    }
}

fn backlog(pool: &mut Pool, engine: Identity) -> f64 {
    let engine = pool.engine_mut(engine).expect("known");
    engine.backlog_ms(NOW)
}

/// Engines read parts for others ahead of their own prompts. An account of another host, which
/// repeats what is known, delays nothing again.
#[test]
fn a_part_for_another_engine_delays_own_prompts_once() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    let id = |sequence| LoadId {
        holder: OTHER,
        sequence,
    };
    pool.put(id(1), engine, part(300, true), NOW);
    pool.put(id(2), engine, part(200, false), NOW);
    assert!((backlog(&mut pool, engine) - 500.0).abs() < 1.0);
    pool.drop_holder(OTHER);
    let mut own = part(300, true);
    own.read_by = NOW + Duration::from_millis(500);
    pool.correct(id(1), engine, own);
    pool.correct(id(2), engine, part(200, false));
    assert!((backlog(&mut pool, engine) - 500.0).abs() < 1.0);
}

#[test]
fn the_loads_of_a_lost_host_are_dropped_and_own_ones_stay() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    let theirs = LoadId {
        holder: OTHER,
        sequence: 1,
    };
    pool.put(theirs, engine, part(20, true), NOW);
    let (own, _) = start(&mut pool, short(NOW), NOW).expect("a place");
    assert_eq!(pool.engine_mut(engine).expect("known").writers(), 2);
    pool.drop_holder(OTHER);
    let kept: Vec<_> = pool.own().map(|(_, id, _)| id).collect();
    assert_eq!(kept, [own]);
}

/// Loads that nobody renews end some time after they should have; own ones are held by requests.
#[test]
fn loads_that_nobody_renews_are_forgotten() {
    let mut pool = pool(1);
    let engine = entries(1)[0].identity();
    let theirs = LoadId {
        holder: OTHER,
        sequence: 1,
    };
    pool.put(theirs, engine, part(300, true), NOW);
    pool.forget(NOW + Duration::from_secs(5));
    assert_eq!(pool.engine_mut(engine).expect("known").writers(), 1);
    pool.forget(NOW + Duration::from_secs(8));
    assert_eq!(pool.engine_mut(engine).expect("known").writers(), 0);
}

/// Engines that failed lately are left out, unless that would leave out most of them.
#[rstest]
#[case::one_of_four(1, false)]
#[case::three_of_four(3, true)]
fn failing_engines_are_left_out_with_a_floor(#[case] failing: usize, #[case] used: bool) {
    let mut pool = pool(4);
    let bad: Vec<_> = entries(4)[..failing].iter().map(Entry::identity).collect();
    for identity in &bad {
        pool.judge(*identity, Judgement::Failed, NOW);
        pool.judge(*identity, Judgement::Failed, NOW);
    }
    let mut touched = false;
    for _ in 0..12 {
        if let Some((_, plan)) = start(&mut pool, short(NOW), NOW) {
            touched |= bad.contains(&plan.first);
        }
    }
    assert_eq!(touched, used);
}

/// A domain is cut off: after three of its engines fell silent, none of them is tried for a while,
/// though they are the most of all engines.
#[test]
fn a_domain_that_is_cut_off_is_left_out() {
    let mut entries = entries(21);
    for (index, entry) in entries.iter_mut().enumerate() {
        let domain = if index < 7 { "cannock" } else { "sherwood" };
        entry.domain = Domain::from(domain);
    }
    let mut pool = pool(0);
    pool.set_engines(entries.iter());
    let near: Vec<_> = entries[..7].iter().map(Entry::identity).collect();
    for far in &entries[7..10] {
        pool.judge(far.identity(), Judgement::Silent, NOW);
    }
    for _ in 0..20 {
        if let Some((_, plan)) = start(&mut pool, short(NOW), NOW) {
            assert!(near.contains(&plan.first));
        }
    }
    let later = NOW + Duration::from_millis(1_600);
    pool.judge(entries[12].identity(), Judgement::Succeeded, later);
    let (_, plan) = start(&mut pool, long(300_000, later), later).expect("a place");
    assert!(plan.loads.iter().any(|(engine, _)| !near.contains(engine)));
}

/// Pattern: at many hosts long prompts wait, engines become free, and all hosts see it at once.
#[test]
fn long_prompts_of_hosts_that_choose_at_once_do_not_meet_on_an_engine() {
    const HOSTS: u64 = 5;
    const ENGINES: u32 = 60;
    let mut pools: Vec<_> = (1..=HOSTS).map(|holder| pool_of(holder, ENGINES)).collect();
    let mut kept: Vec<(LoadId, Plan)> = Vec::new();
    let mut losses = 0;
    while kept.len() < pools.len() {
        let chosen: Vec<_> = pools
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| kept.iter().all(|(id, _)| id.holder != *index as u64 + 1))
            .map(|(_, pool)| start(pool, long(210_000, NOW), NOW).expect("engines are free"))
            .collect();
        for (id, plan) in &chosen {
            let others = pools
                .iter_mut()
                .zip(1..)
                .filter(|(_, holder)| *holder != id.holder);
            for (pool, _) in others {
                for (engine, load) in &plan.loads {
                    pool.hear(*id, *engine, *load, NOW);
                }
            }
        }
        for (id, plan) in chosen {
            let holder = usize::try_from(id.holder).expect("small");
            if pools[holder - 1].settle(id) {
                kept.push((id, plan));
            } else {
                losses += 1;
                for pool in &mut pools {
                    pool.release(id);
                }
            }
        }
    }
    assert!(losses > 0, "they choose alike");
    let mut engines: Vec<_> = kept
        .iter()
        .flat_map(|(_, plan)| plan.loads.iter().map(|(engine, _)| *engine))
        .collect();
    let placed = engines.len();
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), placed, "two prompts meet on an engine");
}

/// Pattern: in a burst a host's account takes several frames, and they arrive in any order.
#[rstest]
#[case::in_order([0, 1])]
#[case::the_other_way_round([1, 0])]
fn an_account_in_several_frames_loses_nothing(#[case] order: [usize; 2]) {
    const EACH: u32 = 10;
    let mut pool = pool(2);
    let id = |sequence| LoadId {
        holder: OTHER,
        sequence,
    };
    let engine = entries(1)[0].identity();
    let told = |account, told| Load {
        told,
        ..part(account, true)
    };
    let ended = id(1_000);
    pool.hear(ended, engine, told(20, 6), NOW);
    for frame in order {
        for sequence in (0..EACH).map(|index| index + EACH * u32::try_from(frame).unwrap_or(0)) {
            pool.correct(id(sequence), engine, told(20, 7));
        }
    }
    let news = id(2_000);
    pool.hear(news, engine, told(20, 7), NOW);
    pool.reconcile(OTHER, 7);
    let loads = pool.engine_mut(engine).expect("known").loads().count();
    assert_eq!(loads, 2 * EACH as usize + 1, "all but the one that ended");
}

/// Pattern: short prompts come all the time and cost an engine little; nothing waits for them.
#[test]
fn short_prompts_start_without_a_claim() {
    let mut pool = pool(4);
    pool.submit(short(NOW), NOW);
    let verdicts = pool.assign(NOW);
    assert!(matches!(verdicts[0].1, Verdict::Start(..)));
}

/// Pattern: a long prompt is placed while another host's short one comes to the same engine.
#[test]
fn a_short_prompt_takes_no_claim_away() {
    let mut pool = pool(1);
    let (id, plan) = start(&mut pool, long(40_000, NOW), NOW).expect("an engine is free");
    for sequence in 0..20 {
        let other = LoadId {
            holder: OTHER,
            sequence,
        };
        pool.hear(other, plan.first, part(20, true), NOW);
    }
    assert!(pool.settle(id));
}

/// Pattern: a burst of long prompts fills the engines, and more come than can wait.
#[test]
fn who_is_refused_is_told_when_enough_engines_have_room() {
    let mut pool = pool(20);
    while start(&mut pool, long(210_000, NOW), NOW).is_some() {}
    let due = NOW + Duration::from_millis(2_900);
    let busy = Load {
        ends_by: due + Duration::from_millis(1_500),
        ..part(100, true)
    };
    let engines: Vec<_> = pool.own().map(|(engine, ..)| engine).collect();
    for (sequence, engine) in (1_000..).zip(engines) {
        let id = LoadId {
            holder: OTHER,
            sequence,
        };
        pool.put(id, engine, busy, due);
    }
    for _ in 0..16 {
        pool.submit(long(300_000, NOW), NOW);
    }
    let verdicts = pool.assign(NOW + Duration::from_secs(3));
    let mut told: Vec<_> = verdicts
        .iter()
        .filter_map(|(_, verdict)| match verdict {
            Verdict::Refuse(after) => Some(after.as_millis()),
            _ => None,
        })
        .collect();
    told.sort_unstable();
    let (first, last) = (told[0], told[told.len() - 1]);
    assert!(
        (1_400..=1_500).contains(&first),
        "the engines are busy for 1.4 s: {told:?}"
    );
    assert!(
        (1_700..=1_900).contains(&last),
        "by a third later: {told:?}"
    );
    told.dedup();
    assert!(
        told.len() >= 6,
        "they come back at different times: {told:?}"
    );
}

/// Pattern: in a burst of short prompts several hosts want the last slot of an engine.
#[test]
fn one_of_the_hosts_that_choose_the_last_slot_gets_it() {
    const SLOTS: u32 = 16;
    let mut pools: Vec<_> = (1..=3).map(|holder| pool_of(holder, 1)).collect();
    let engine = entries(1)[0].identity();
    for pool in &mut pools {
        for sequence in 0..SLOTS - 1 {
            let id = LoadId {
                holder: 9,
                sequence,
            };
            let writes = Load {
                read: true,
                pause: Duration::from_millis(200),
                ..part(0, true)
            };
            pool.put(id, engine, writes, NOW);
        }
    }
    let chosen: Vec<_> = pools
        .iter_mut()
        .map(|pool| start(pool, short(NOW), NOW).expect("a slot is left"))
        .collect();
    for (index, pool) in pools.iter_mut().enumerate() {
        for (other, (id, plan)) in chosen.iter().enumerate() {
            if other != index {
                pool.hear(*id, plan.first, plan.loads[0].1, NOW);
            }
        }
    }
    let settled = chosen.iter().zip(&mut pools);
    let kept: Vec<_> = settled.map(|((id, _), pool)| pool.settle(*id)).collect();
    assert_eq!(kept.iter().filter(|kept| **kept).count(), 1, "{kept:?}");
}
