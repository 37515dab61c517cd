//! Tests that the policy `order` decides as before there was another one.

mod support;

use std::time::Duration;

use filbertstage_kernel::clock::Instant;
use filbertstage_kernel::place::Request;
use support::rush::{Arrival, DIGEST, Kind, LONGEST, SHORT, arrivals, play, pool};

/// A request as the hosts of a service without ranks submit it.
fn request(arrival: &Arrival, kind: &Kind, now: Instant) -> Request {
    let waited = now.since(arrival.at);
    let objective = Duration::from_millis(kind.objective_ms);
    Request {
        deadline: arrival.at + Duration::from_millis(kind.deadline_ms),
        due: now + objective.saturating_sub(waited),
        priority: kind.priority,
        ..support::request(arrival.tokens, kind.objective_ms, kind.pause_ms, now)
    }
}

/// Guards against a change of the order, the refusals and the retry delays of deployments that use
/// no ranks. The snapshot was recorded before the policy `value` existed.
#[test]
fn decisions_by_order_are_unchanged() {
    let kinds = [SHORT, DIGEST, LONGEST];
    let played = play(&mut pool(4), &kinds, &arrivals(&kinds, 3, 7), request);
    insta::assert_snapshot!(played.decisions.join("\n"));
}
