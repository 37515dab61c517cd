//! Failure domains that are cut off from each other, from the platform, or from both.

use std::time::Duration;

use filbertctl::caller::{self, End};
use filbertctl::fleet::{self, BOOKING, Fleet, SERVICE};
use filbertctl::scenario;
use rstest::rstest;

use crate::{LIMIT, ask, eventually};

const DOMAINS: [(&str, usize, usize, usize); 2] = [("charnwood", 2, 2, 1), ("cannock", 2, 2, 0)];

async fn two_domains() -> Fleet {
    crate::fleet(&DOMAINS, 4).await
}

fn cut(fleet: &Fleet, outward: bool, inward: bool) {
    fleet.roads.cut("charnwood", "cannock", outward);
    fleet.roads.cut("cannock", "charnwood", inward);
}

async fn all_serve(fleet: &Fleet, first_prompt: u64) {
    for (index, address) in fleet.callers().iter().enumerate() {
        let (key, prompt) = (
            fleet::key(0),
            scenario::prompt(3_000, first_prompt + index as u64),
        );
        let seen = caller::complete(*address, ask(&key, &prompt)).await;
        assert_eq!(seen.end, End::Whole, "node {index}: {}", seen.error);
        assert!(
            seen.total < Duration::from_secs(5),
            "node {index} took {:?}",
            seen.total
        );
    }
}

#[rstest]
#[case::both_ways(true, true, false)]
#[case::outward_only(true, false, false)]
#[case::inward_only(false, true, false)]
#[case::and_from_the_platform(true, true, true)]
#[tokio::test]
async fn each_side_goes_on_serving_and_healing_repeats_nothing(
    #[case] outward: bool,
    #[case] inward: bool,
    #[case] platform: bool,
) {
    let fleet = two_domains().await;
    cut(&fleet, outward, inward);
    for member in fleet
        .members()
        .filter(|member| member.domain() == "charnwood")
    {
        member.cut.set(platform);
    }
    all_serve(&fleet, 1).await;
    // Longer than it takes to notice the cut.
    tokio::time::sleep(Duration::from_secs(3)).await;
    all_serve(&fleet, 100).await;
    let path = format!("/v1/services/{SERVICE}/{BOOKING}");
    let callers = fleet.callers();
    let key = fleet::key(0);
    let here = caller::call(callers[0], &key, &path, "gate-4", Duration::from_secs(4)).await;
    let there = caller::call(callers[2], &key, &path, "gate-4", Duration::from_secs(4)).await;
    let expected = if platform { End::NotRun } else { End::Whole };
    assert_eq!(here.0, expected, "{}", here.1);
    assert_ne!(there.0, End::Late, "{}", there.1);
    cut(&fleet, false, false);
    for member in fleet.members() {
        member.cut.set(false);
    }
    eventually("healing", || {
        fleet.members().all(|member| member.peers() == 3)
    })
    .await;
    let after = caller::call(callers[2], &key, &path, "gate-4", LIMIT).await;
    assert_ne!(after.0, End::NotRun, "{}", after.1);
    assert!(fleet.service.executions().values().all(|count| *count == 1));
    all_serve(&fleet, 200).await;
    eventually("freeing", || fleet.kv_used() == 0).await;
}

#[tokio::test]
async fn plan_limits_hold_in_a_cut() {
    let mut plan = fleet::Plan::new(&DOMAINS, 1);
    plan.concurrency = 8;
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    cut(&fleet, true, true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let prompts: Vec<_> = (0..40).map(|seed| scenario::prompt(8_000, seed)).collect();
    let key = fleet::key(0);
    let callers = fleet.callers();
    let asked = prompts
        .iter()
        .enumerate()
        .map(|(index, prompt)| caller::complete(callers[index % 4], ask(&key, prompt)));
    let seen = futures_util::future::join_all(asked).await;
    let whole = seen.iter().filter(|seen| seen.end == End::Whole).count();
    let limited = seen
        .iter()
        .filter(|seen| seen.error.starts_with("limit_reached"))
        .count();
    assert_eq!(
        (whole, limited),
        (8, 32),
        "both sides together get what the plan allows at once"
    );
}
