//! Engines of evacuated failure domains in the pools of a host.

mod support;

use std::collections::BTreeSet;

use filbertstage_kernel::catalogue::Entry;
use filbertstage_kernel::place::{Decision, Pool};
use filbertstage_kernel::prelude::*;
use support::{NOW, entries, long, pool, short, start};

/// Returns a pool with three engines in each of two domains, and the entries of the first domain.
fn divided_pool() -> (Pool, Vec<Entry>) {
    let mut entries = entries(6);
    for entry in &mut entries[..3] {
        entry.domain = Domain::from("stone");
    }
    let mut pool = pool(0);
    pool.set_engines(entries.iter());
    entries.truncate(3);
    (pool, entries)
}

fn stone() -> BTreeSet<Domain> {
    [Domain::from("stone")].into()
}

/// Guards against a primary or a helper in an evacuated domain, also for prompts that need more engines
/// than are left.
#[test]
fn evacuated_engines_take_no_part_in_plans() {
    let (mut pool, evacuated) = divided_pool();
    pool.set_evacuated(stone());
    let evacuated: Vec<_> = evacuated.iter().map(Entry::identity).collect();
    for request in [short(NOW), long(300_000, NOW), long(600_000, NOW)] {
        let planned = start(&mut pool, request, NOW);
        let loads = planned.into_iter().flat_map(|(_, plan)| plan.loads);
        assert!(
            !loads
                .into_iter()
                .any(|(engine, _)| evacuated.contains(&engine))
        );
    }
}

/// Guards against engines that count as idle when their domain is taken back, although the streams from
/// before the evacuation still run there.
#[test]
fn running_loads_outlast_an_evacuation() {
    let (mut pool, _) = divided_pool();
    let others = [Domain::from("cannock")].into();
    pool.set_evacuated(others);
    let (id, plan) = start(&mut pool, short(NOW), NOW).expect("a plan");
    pool.set_evacuated(stone());
    assert!(
        pool.own_loads()
            .any(|load| (load.0, load.1) == (plan.primary, id))
    );
    pool.set_evacuated(BTreeSet::new());
    let engine = pool.engine_mut(plan.primary).expect("the engine");
    assert_eq!(engine.decoding(), 1);
    pool.release(id);
    assert_eq!(pool.own_loads().count(), 0);
}

/// Guards against requests that wait although no engine is left.
#[test]
fn requests_are_refused_at_once_if_all_engines_are_evacuated() {
    let (mut pool, _) = divided_pool();
    let mut all = stone();
    all.insert(Domain::from("cannock"));
    pool.set_evacuated(all);
    pool.submit(short(NOW), NOW);
    let decisions = pool.assign(NOW);
    assert!(matches!(decisions[..], [(_, Decision::Refuse(_))]));
    // Without any registered engine, a request waits for one.
    let mut pool = support::pool(0);
    pool.submit(short(NOW), NOW);
    assert!(pool.assign(NOW).is_empty());
}
