//! Network partitions between failure domains, and between a failure domain and the platform.

use std::time::Duration;

use filbertctl::caller::{self, End};
use filbertctl::fleet::{self, BOOKING_CALL, Fleet, SERVICE};
use filbertctl::scenario;
use rstest::rstest;

use crate::{TIME_LIMIT, eventually, request};

/// Name of each failure domain and its numbers of nodes, engines and service workers.
const DOMAINS: [(&str, usize, usize, usize); 2] = [("charnwood", 2, 2, 1), ("cannock", 2, 2, 0)];

async fn start_two_domains() -> Fleet {
    crate::start_fleet(&DOMAINS, 4).await
}

fn set_partition(fleet: &Fleet, outward: bool, inward: bool) {
    fleet.links.set_cut("charnwood", "cannock", outward);
    fleet.links.set_cut("cannock", "charnwood", inward);
}

async fn assert_all_serve(fleet: &Fleet, first_seed: u64) {
    for (index, address) in fleet.caller_addresses().iter().enumerate() {
        let (key, prompt) = (
            fleet::workspace_key(0),
            scenario::prompt(3_000, first_seed + index as u64),
        );
        let reply = caller::complete(*address, request(&key, &prompt)).await;
        assert_eq!(reply.end, End::Whole, "node {index}: {}", reply.error);
        assert!(
            reply.total < Duration::from_secs(5),
            "node {index} took {:?}",
            reply.total
        );
    }
}

#[rstest]
#[case::both_ways(true, true, false)]
#[case::outward_only(true, false, false)]
#[case::inward_only(false, true, false)]
#[case::both_ways_and_from_the_platform(true, true, true)]
#[tokio::test]
async fn both_sides_serve_during_a_partition_and_no_call_runs_twice(
    #[case] outward: bool,
    #[case] inward: bool,
    #[case] platform: bool,
) {
    let fleet = start_two_domains().await;
    set_partition(&fleet, outward, inward);
    for member in fleet
        .members()
        .filter(|member| member.domain() == "charnwood")
    {
        member.platform_partition.set(platform);
    }
    assert_all_serve(&fleet, 1).await;
    // Longer than the nodes take to detect the partition.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_all_serve(&fleet, 100).await;
    let path = format!("/v1/services/{SERVICE}/{BOOKING_CALL}");
    let addresses = fleet.caller_addresses();
    let key = fleet::workspace_key(0);
    let here = caller::call(addresses[0], &key, &path, "gate-4", Duration::from_secs(4)).await;
    let there = caller::call(addresses[2], &key, &path, "gate-4", Duration::from_secs(4)).await;
    let expected = if platform { End::NotRun } else { End::Whole };
    assert_eq!(here.0, expected, "{}", here.1);
    assert_ne!(there.0, End::Late, "{}", there.1);
    set_partition(&fleet, false, false);
    for member in fleet.members() {
        member.platform_partition.set(false);
    }
    eventually("recovery of the membership", || {
        fleet.members().all(|member| member.peers() == 3)
    })
    .await;
    let after = caller::call(addresses[2], &key, &path, "gate-4", TIME_LIMIT).await;
    assert_ne!(after.0, End::NotRun, "{}", after.1);
    assert!(fleet.service.executions().values().all(|count| *count == 1));
    assert_all_serve(&fleet, 200).await;
    eventually("freeing", || fleet.kv_used() == 0).await;
}

/// A call that arrives while the log is being read again after an outage waits for that read and is
/// not refused.
#[tokio::test]
async fn calls_run_as_soon_as_the_log_can_be_reached_again() {
    let fleet = start_two_domains().await;
    let path = format!("/v1/services/{SERVICE}/{BOOKING_CALL}");
    let key = fleet::workspace_key(0);
    for round in 0..2 {
        for member in fleet.members() {
            member.platform_partition.set(true);
        }
        // Longer than the age at which the claims count as stale.
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        for member in fleet.members() {
            member.platform_partition.set(false);
        }
        let addresses = fleet.caller_addresses();
        let calls = addresses.iter().enumerate().map(|(index, address)| {
            let (key, path) = (key.clone(), path.clone());
            async move {
                let name = format!("gate-{round}-{index}");
                caller::call(*address, &key, &path, &name, TIME_LIMIT).await
            }
        });
        for (index, answer) in futures_util::future::join_all(calls)
            .await
            .iter()
            .enumerate()
        {
            assert_eq!(answer.0, End::Whole, "node {index}: {}", answer.1);
        }
    }
    assert!(fleet.service.executions().values().all(|count| *count == 1));
}

#[tokio::test]
async fn plan_limits_hold_during_a_partition() {
    let mut plan = fleet::Plan::new(&DOMAINS, 1);
    plan.concurrency = 8;
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    set_partition(&fleet, true, true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let prompts: Vec<_> = (0..40).map(|seed| scenario::prompt(8_000, seed)).collect();
    let key = fleet::workspace_key(0);
    let addresses = fleet.caller_addresses();
    let completions = prompts
        .iter()
        .enumerate()
        .map(|(index, prompt)| caller::complete(addresses[index % 4], request(&key, prompt)));
    let replies = futures_util::future::join_all(completions).await;
    let completed = replies
        .iter()
        .filter(|reply| reply.end == End::Whole)
        .count();
    let limited = replies
        .iter()
        .filter(|reply| reply.error.starts_with("limit_reached"))
        .count();
    assert_eq!(
        (completed, limited),
        (8, 32),
        "the concurrency limit holds for both sides together"
    );
}
