//! Failures of engines and nodes while requests run.

use std::time::Duration;

use fakes::engine::Fault;
use filbertctl::caller::{self, End};
use filbertctl::fleet;
use filbertctl::scenario;
use rstest::rstest;

use crate::{eventually, request, single_domain};

/// Injects `fault` into the first engine that holds KV memory.
fn inject_into_busy_engine(fleet: &fleet::Fleet, fault: Fault) {
    let busy = fleet
        .engines
        .iter()
        .find(|engine| engine.engine.kv_used() > 0);
    let busy = busy.expect("an engine runs the request");
    busy.engine.inject(&busy.server, fault);
}

#[rstest]
#[case::dies(Fault::Crash(Duration::from_secs(2)))]
#[case::connections_cut(Fault::DropConnections)]
#[case::connections_silent(Fault::HangStreams)]
#[case::end_marker_cut(Fault::OmitEndMarker)]
#[case::loses_cache_events(Fault::LoseCacheEvents)]
#[case::stalls(Fault::Stall(Duration::from_secs(4)))]
#[tokio::test]
async fn stream_continues_on_another_engine_after_a_mid_stream_failure(#[case] fault: Fault) {
    let fleet = single_domain(1, 2).await;
    let address = fleet.caller_addresses()[0];
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(3_000, 9));
    let target = &fleet;
    let mut inject_once = |tokens: usize| {
        if tokens == 3 {
            inject_into_busy_engine(target, fault);
        }
    };
    let reply = caller::complete_with(address, request(&key, &prompt), &mut inject_once).await;
    assert_eq!(reply.end, End::Whole, "{}", reply.error);
    assert_eq!(reply.text, fakes::text::answer(&prompt, 64));
    assert!(
        reply.total < Duration::from_secs(6),
        "took {:?}",
        reply.total
    );
    eventually("freeing", || fleet.kv_used() == 0).await;
}

#[tokio::test]
async fn request_is_retried_when_its_engine_dies_before_the_first_token() {
    let fleet = single_domain(1, 2).await;
    let address = fleet.caller_addresses()[0];
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(60_000, 9));
    let completion = caller::complete(address, request(&key, &prompt));
    let failure = async {
        eventually("prefill", || fleet.kv_used() > 0).await;
        inject_into_busy_engine(&fleet, Fault::Crash(Duration::from_secs(2)));
    };
    let (reply, ()) = tokio::join!(completion, failure);
    assert_eq!(reply.end, End::Whole, "{}", reply.error);
}

#[tokio::test]
async fn memory_is_freed_when_responses_to_free_requests_are_lost() {
    let fleet = single_domain(1, 1).await;
    let address = fleet.caller_addresses()[0];
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(30_000, 9));
    let engine = &fleet.engines[0];
    engine.engine.inject(
        &engine.server,
        Fault::LoseFreeResponses(Duration::from_secs(2)),
    );
    let completion = caller::complete(address, request(&key, &prompt));
    // The timeout disconnects the caller during the prefill.
    let _ = tokio::time::timeout(Duration::from_millis(200), completion).await;
    eventually("freeing", || fleet.kv_used() == 0).await;
    let reply = caller::complete(address, request(&key, &prompt)).await;
    assert_eq!(reply.end, End::Whole, "{}", reply.error);
}

#[tokio::test]
async fn surviving_node_frees_only_attempts_of_the_killed_node() {
    let mut fleet = single_domain(2, 2).await;
    let addresses = fleet.caller_addresses();
    let key = fleet::workspace_key(0);
    let prompts = [scenario::prompt(150_000, 1), scenario::prompt(150_000, 2)];
    let killed_request = tokio::spawn({
        let (address, key, prompt) = (addresses[0], key.clone(), prompts[0].clone());
        async move { caller::complete(address, request(&key, &prompt)).await }
    });
    eventually("prefill", || fleet.kv_used() > 0).await;
    fleet.kill(0);
    let surviving = caller::complete(addresses[1], request(&key, &prompts[1])).await;
    assert_eq!(surviving.end, End::Whole, "{}", surviving.error);
    assert_eq!(killed_request.await.expect("no panic").end, End::NodeLost);
    eventually("freeing after the death", || fleet.kv_used() == 0).await;
}

#[tokio::test]
async fn restarted_node_frees_attempts_of_its_previous_incarnation() {
    let mut fleet = single_domain(1, 1).await;
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(150_000, 1));
    let address = fleet.caller_addresses()[0];
    let completion =
        tokio::spawn(async move { caller::complete(address, request(&key, &prompt)).await });
    eventually("prefill", || fleet.kv_used() > 0).await;
    fleet.kill(0);
    assert_eq!(completion.await.expect("no panic").end, End::NodeLost);
    fleet.start_node(0).await.expect("the node starts");
    eventually("freeing after the death", || fleet.kv_used() == 0).await;
}

#[tokio::test]
async fn leaving_engine_finishes_its_streams_and_gets_no_new_requests() {
    let fleet = single_domain(1, 2).await;
    let address = fleet.caller_addresses()[0];
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(60_000, 9));
    let completion = caller::complete(address, request(&key, &prompt));
    let leave = async {
        eventually("prefill", || fleet.kv_used() > 0).await;
        let busy = fleet
            .engines
            .iter()
            .position(|engine| engine.engine.kv_used() > 0)
            .expect("an engine runs the request");
        fleet.engines[busy].engine.drain();
        busy
    };
    let (reply, leaving) = tokio::join!(completion, leave);
    assert_eq!(reply.end, End::Whole, "{}", reply.error);
    for seed in 0..4 {
        let prompt = scenario::prompt(1_000, 100 + seed);
        let reply = caller::complete(address, request(&key, &prompt)).await;
        assert_eq!(reply.end, End::Whole, "{}", reply.error);
        assert_eq!(fleet.engines[leaving].engine.kv_used(), 0);
    }
}

#[tokio::test]
async fn draining_node_completes_its_streams() {
    let mut fleet = single_domain(2, 2).await;
    let addresses = fleet.caller_addresses();
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(60_000, 9));
    let completion =
        tokio::spawn(async move { caller::complete(addresses[0], request(&key, &prompt)).await });
    eventually("prefill", || fleet.kv_used() > 0).await;
    assert!(fleet.drain(0).await, "the node drains completely");
    let reply = completion.await.expect("no panic");
    assert_eq!(reply.end, End::Whole, "{}", reply.error);
}

/// One of the two nodes owns the pool and queues the other one's requests, so each node is killed
/// in one of the cases.
#[rstest]
#[tokio::test]
async fn queued_requests_survive_the_death_of_the_other_node(#[values(0, 1)] killed: usize) {
    let mut fleet = crate::start_fleet(&[("charnwood", 2, 1, 0)], 10).await;
    let address = fleet.caller_addresses()[1 - killed];
    let key = fleet::workspace_key(0);
    let prompts: Vec<_> = (0..6).map(|seed| scenario::prompt(20_000, seed)).collect();
    let completions = prompts
        .iter()
        .map(|prompt| caller::complete(address, request(&key, prompt)));
    let completions = futures_util::future::join_all(completions);
    let kill = async {
        eventually("prefill", || fleet.kv_used() > 0).await;
        fleet.kill(killed);
    };
    let (replies, ()) = tokio::join!(completions, kill);
    for reply in replies {
        assert_eq!(reply.end, End::Whole, "{}", reply.error);
    }
}

#[tokio::test]
async fn started_request_never_ends_as_not_run() {
    let fleet = single_domain(1, 1).await;
    let address = fleet.caller_addresses()[0];
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(3_000, 9));
    let target = &fleet;
    let mut inject_once = |tokens: usize| {
        if tokens == 3 {
            inject_into_busy_engine(target, Fault::Crash(Duration::from_mins(1)));
        }
    };
    let reply = caller::complete_with(address, request(&key, &prompt), &mut inject_once).await;
    assert_eq!(reply.end, End::Failed, "{}", reply.error);
}

#[tokio::test]
async fn prompt_arriving_after_its_free_request_is_freed() {
    let fleet = single_domain(1, 1).await;
    let fault = Fault::DelayRequests(Duration::from_secs(30));
    fleet.engines[0]
        .engine
        .inject(&fleet.engines[0].server, fault);
    let (key, prompt) = (fleet::workspace_key(0), scenario::prompt(60_000, 7));
    let completion = caller::complete(fleet.caller_addresses()[0], request(&key, &prompt));
    let outcome = tokio::time::timeout(Duration::from_millis(300), completion).await;
    assert!(
        outcome.is_err(),
        "the caller disconnects before the engine accepts the prompt"
    );
    eventually("the late arrival", || fleet.kv_used() > 0).await;
    eventually("freeing", || fleet.kv_used() == 0).await;
}
