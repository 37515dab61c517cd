//! Engines and nodes that fail while requests run.

use std::time::Duration;

use fakes::engine::Fault;
use filbertctl::caller::{self, End};
use filbertctl::fleet;
use filbertctl::scenario;
use rstest::rstest;

use crate::{ask, eventually, small};

/// Finds the engine that holds memory and injects `fault` there.
fn strike(fleet: &fleet::Fleet, fault: Fault) {
    let busy = fleet
        .engines
        .iter()
        .find(|member| member.engine.kv_used() > 0);
    let busy = busy.expect("an engine runs the request");
    busy.engine.inject(&busy.server, fault);
}

#[rstest]
#[case::dies(Fault::Crash(Duration::from_secs(2)))]
#[case::connections_cut(Fault::DropConnections)]
#[case::connections_silent(Fault::HangStreams)]
#[case::end_marker_cut(Fault::OmitEndMarker)]
#[case::loses_cache_events(Fault::LoseCacheEvents)]
#[case::stands_still(Fault::Stall(Duration::from_secs(4)))]
#[tokio::test]
async fn an_answer_goes_on_elsewhere_when_its_engine_fails_in_the_middle(#[case] fault: Fault) {
    let fleet = small(1, 2).await;
    let address = fleet.callers()[0];
    let (key, prompt) = (fleet::key(0), scenario::prompt(3_000, 9));
    let struck = &fleet;
    let mut strike_once = |tokens: usize| {
        if tokens == 3 {
            strike(struck, fault);
        }
    };
    let seen = caller::complete_watched(address, ask(&key, &prompt), &mut strike_once).await;
    assert_eq!(seen.end, End::Whole, "{}", seen.error);
    assert_eq!(seen.text, fakes::text::answer(&prompt, 64));
    assert!(seen.total < Duration::from_secs(6), "took {:?}", seen.total);
    eventually("freeing", || fleet.kv_used() == 0).await;
}

#[tokio::test]
async fn an_engine_that_dies_before_the_first_token_is_replaced() {
    let fleet = small(1, 2).await;
    let address = fleet.callers()[0];
    let (key, prompt) = (fleet::key(0), scenario::prompt(60_000, 9));
    let asked = caller::complete(address, ask(&key, &prompt));
    let struck = async {
        eventually("prefill", || fleet.kv_used() > 0).await;
        strike(&fleet, Fault::Crash(Duration::from_secs(2)));
    };
    let (seen, ()) = tokio::join!(asked, struck);
    assert_eq!(seen.end, End::Whole, "{}", seen.error);
}

#[tokio::test]
async fn lost_answers_to_freeing_neither_lose_nor_repeat_anything() {
    let fleet = small(1, 1).await;
    let address = fleet.callers()[0];
    let (key, prompt) = (fleet::key(0), scenario::prompt(30_000, 9));
    let member = &fleet.engines[0];
    member.engine.inject(
        &member.server,
        Fault::LoseFreeResponses(Duration::from_secs(2)),
    );
    let asked = caller::complete(address, ask(&key, &prompt));
    // The caller leaves in the middle of the prefill.
    let _ = tokio::time::timeout(Duration::from_millis(200), asked).await;
    eventually("freeing", || fleet.kv_used() == 0).await;
    let seen = caller::complete(address, ask(&key, &prompt)).await;
    assert_eq!(seen.end, End::Whole, "{}", seen.error);
}

#[tokio::test]
async fn another_node_frees_what_a_dead_one_left_and_nothing_of_a_live_one() {
    let mut fleet = small(2, 2).await;
    let callers = fleet.callers();
    let key = fleet::key(0);
    let prompts = [scenario::prompt(150_000, 1), scenario::prompt(150_000, 2)];
    let dead = tokio::spawn({
        let (address, key, prompt) = (callers[0], key.clone(), prompts[0].clone());
        async move { caller::complete(address, ask(&key, &prompt)).await }
    });
    eventually("prefill", || fleet.kv_used() > 0).await;
    fleet.kill(0);
    let live = caller::complete(callers[1], ask(&key, &prompts[1])).await;
    assert_eq!(live.end, End::Whole, "{}", live.error);
    assert_eq!(dead.await.expect("no panic").end, End::NodeLost);
    eventually("sweeping", || fleet.kv_used() == 0).await;
}

#[tokio::test]
async fn the_only_node_of_a_domain_frees_what_its_former_incarnation_left() {
    let mut fleet = small(1, 1).await;
    let (key, prompt) = (fleet::key(0), scenario::prompt(150_000, 1));
    let address = fleet.callers()[0];
    let asked = tokio::spawn(async move { caller::complete(address, ask(&key, &prompt)).await });
    eventually("prefill", || fleet.kv_used() > 0).await;
    fleet.kill(0);
    assert_eq!(asked.await.expect("no panic").end, End::NodeLost);
    fleet.start_node(0).await.expect("it starts");
    eventually("sweeping", || fleet.kv_used() == 0).await;
}

#[tokio::test]
async fn an_engine_that_leaves_gets_no_new_work_and_its_streams_end_whole() {
    let fleet = small(1, 2).await;
    let address = fleet.callers()[0];
    let (key, prompt) = (fleet::key(0), scenario::prompt(60_000, 9));
    let asked = caller::complete(address, ask(&key, &prompt));
    let leave = async {
        eventually("prefill", || fleet.kv_used() > 0).await;
        let busy = fleet
            .engines
            .iter()
            .position(|member| member.engine.kv_used() > 0)
            .expect("one runs");
        fleet.engines[busy].engine.drain();
        busy
    };
    let (seen, left) = tokio::join!(asked, leave);
    assert_eq!(seen.end, End::Whole, "{}", seen.error);
    for seed in 0..4 {
        let prompt = scenario::prompt(1_000, 100 + seed);
        let seen = caller::complete(address, ask(&key, &prompt)).await;
        assert_eq!(seen.end, End::Whole, "{}", seen.error);
        assert_eq!(fleet.engines[left].engine.kv_used(), 0);
    }
}

#[tokio::test]
async fn a_node_that_drains_cuts_no_stream_and_is_not_ready_at_once() {
    let mut fleet = small(2, 2).await;
    let callers = fleet.callers();
    let (key, prompt) = (fleet::key(0), scenario::prompt(60_000, 9));
    let asked = tokio::spawn(async move { caller::complete(callers[0], ask(&key, &prompt)).await });
    eventually("prefill", || fleet.kv_used() > 0).await;
    assert!(fleet.drain(0).await, "it drains whole");
    let seen = asked.await.expect("no panic");
    assert_eq!(seen.end, End::Whole, "{}", seen.error);
}

/// One of the two nodes owns the pool; the other one's requests wait there.
#[rstest]
#[tokio::test]
async fn requests_that_wait_survive_the_death_of_the_other_node(#[values(0, 1)] killed: usize) {
    let mut fleet = crate::fleet(&[("charnwood", 2, 1, 0)], 10).await;
    let address = fleet.callers()[1 - killed];
    let key = fleet::key(0);
    let prompts: Vec<_> = (0..6).map(|seed| scenario::prompt(20_000, seed)).collect();
    let asked = prompts
        .iter()
        .map(|prompt| caller::complete(address, ask(&key, prompt)));
    let asked = futures_util::future::join_all(asked);
    let kill = async {
        eventually("prefill", || fleet.kv_used() > 0).await;
        fleet.kill(killed);
    };
    let (seen, ()) = tokio::join!(asked, kill);
    for seen in seen {
        assert_eq!(seen.end, End::Whole, "{}", seen.error);
    }
}

#[tokio::test]
async fn a_request_that_had_started_is_never_refused_as_not_run() {
    let fleet = small(1, 1).await;
    let address = fleet.callers()[0];
    let (key, prompt) = (fleet::key(0), scenario::prompt(3_000, 9));
    let struck = &fleet;
    let mut strike_once = |tokens: usize| {
        if tokens == 3 {
            strike(struck, Fault::Crash(Duration::from_mins(1)));
        }
    };
    let seen = caller::complete_watched(address, ask(&key, &prompt), &mut strike_once).await;
    assert_eq!(seen.end, End::Failed, "{}", seen.error);
}

#[tokio::test]
async fn a_prompt_that_arrives_after_it_was_freed_leaves_nothing_held() {
    let fleet = small(1, 1).await;
    let late = Fault::DelayRequests(Duration::from_secs(30));
    fleet.engines[0]
        .engine
        .inject(&fleet.engines[0].server, late);
    let (key, prompt) = (fleet::key(0), scenario::prompt(60_000, 7));
    let asked = caller::complete(fleet.callers()[0], ask(&key, &prompt));
    let left = tokio::time::timeout(Duration::from_millis(300), asked).await;
    assert!(
        left.is_err(),
        "the caller leaves before its prompt is taken"
    );
    eventually("the late arrival", || fleet.kv_used() > 0).await;
    eventually("freeing", || fleet.kv_used() == 0).await;
}
