//! Tests hosts that choose engines at the same time and exchange their loads, without a network.

mod support;

use std::time::Duration;

use filbertstage_kernel::place::{Decision, Load, LoadId, Plan};
use rstest::rstest;
use support::*;

/// Guards against two long prompts on one engine: prompts wait at several hosts, and all hosts see
/// at the same time that engines become free.
#[test]
fn concurrent_long_prompts_of_several_hosts_share_no_engine() {
    const HOSTS: u64 = 5;
    const ENGINES: u32 = 60;
    let mut pools: Vec<_> = (1..=HOSTS).map(|holder| pool_of(holder, ENGINES)).collect();
    let mut kept: Vec<(LoadId, Plan)> = Vec::new();
    let mut lost_claims = 0;
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
                    pool.put_remote(*id, *engine, *load, NOW);
                }
            }
        }
        for (id, plan) in chosen {
            let holder = usize::try_from(id.holder).expect("small");
            if pools[holder - 1].settle(id, plan.primary, NOW) {
                kept.push((id, plan));
            } else {
                lost_claims += 1;
                for pool in &mut pools {
                    pool.release(id);
                }
            }
        }
    }
    assert!(lost_claims > 0, "hosts make the same choice");
    let mut engines: Vec<_> = kept
        .iter()
        .flat_map(|(_, plan)| plan.loads.iter().map(|(engine, _)| *engine))
        .collect();
    let placed = engines.len();
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), placed, "two prompts share an engine");
}

/// Guards against lost loads: in a burst, a host's snapshot needs several frames, which arrive in
/// any order.
#[rstest]
#[case::in_order([0, 1])]
#[case::reversed([1, 0])]
fn a_snapshot_in_several_frames_loses_no_load(#[case] order: [usize; 2]) {
    const LOADS_PER_FRAME: u32 = 10;
    let mut pool = pool(2);
    let id = |sequence| LoadId {
        holder: OTHER,
        sequence,
    };
    let engine = entries(1)[0].identity();
    let reported = |prefill_ms, snapshot| Load {
        snapshot,
        ..part(prefill_ms, true)
    };
    let ended = id(1_000);
    pool.put_remote(ended, engine, reported(20, 6), NOW);
    for frame in order {
        for sequence in (0..LOADS_PER_FRAME)
            .map(|index| index + LOADS_PER_FRAME * u32::try_from(frame).unwrap_or(0))
        {
            pool.overwrite(id(sequence), engine, reported(20, 7));
        }
    }
    let update = id(2_000);
    pool.put_remote(update, engine, reported(20, 7), NOW);
    pool.reconcile(OTHER, 7);
    let loads = pool.engine_mut(engine).expect("known").loads().count();
    assert_eq!(
        loads,
        2 * LOADS_PER_FRAME as usize + 1,
        "all loads except the ended one"
    );
}

/// A long prompt is placed while another host places short prompts on the same engine.
#[test]
fn a_short_prompt_does_not_defeat_a_claim() {
    let mut pool = pool(1);
    let (id, plan) = start(&mut pool, long(40_000, NOW), NOW).expect("an engine is free");
    for sequence in 0..20 {
        let other = LoadId {
            holder: OTHER,
            sequence,
        };
        pool.put_remote(other, plan.primary, part(20, true), NOW);
    }
    assert!(pool.settle(id, plan.primary, NOW));
}

/// Guards against an overcommitted engine: in a burst of short prompts, several hosts choose its
/// last slot.
#[test]
fn exactly_one_host_wins_the_last_slot() {
    const SLOTS: u32 = 16;
    let mut pools: Vec<_> = (1..=3).map(|holder| pool_of(holder, 1)).collect();
    let engine = entries(1)[0].identity();
    for pool in &mut pools {
        for sequence in 0..SLOTS - 1 {
            let id = LoadId {
                holder: 9,
                sequence,
            };
            let decoding = Load {
                prefilled: true,
                pause: Duration::from_millis(200),
                ..part(0, true)
            };
            pool.put(id, engine, decoding, NOW);
        }
    }
    let chosen: Vec<_> = pools
        .iter_mut()
        .map(|pool| start(pool, short(NOW), NOW).expect("a slot is left"))
        .collect();
    for (index, pool) in pools.iter_mut().enumerate() {
        for (other, (id, plan)) in chosen.iter().enumerate() {
            if other != index {
                pool.put_remote(*id, plan.primary, plan.loads[0].1, NOW);
            }
        }
    }
    let settled = chosen.iter().zip(&mut pools);
    let kept: Vec<_> = settled
        .map(|((id, plan), pool)| pool.settle(*id, plan.primary, NOW))
        .collect();
    assert_eq!(kept.iter().filter(|kept| **kept).count(), 1, "{kept:?}");
}

/// Short prompts are frequent and use little engine time, so they start without the delay of a
/// claim.
#[test]
fn short_prompts_start_without_a_claim() {
    let mut pool = pool(4);
    pool.submit(short(NOW), NOW);
    let decisions = pool.assign(NOW);
    assert!(matches!(decisions[0].1, Decision::Start(..)));
}
