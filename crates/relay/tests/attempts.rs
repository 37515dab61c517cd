//! Attempts of one request on one host.

use std::time::Duration;

use filbertstage_relay::attempts::Attempts;
use kernel::catalogue::{Identity, Kind, Route};

const ENGINE: Identity = Identity(1);

fn route(kind: Kind, attempts: u32) -> Route {
    Route {
        name: "ask".to_owned(),
        host: "site.example".to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: Duration::from_secs(8),
        objective: Duration::from_millis(300),
        pause: None,
        priority: 1,
        targets: Vec::new(),
        attempts,
        anonymous: true,
        resumable: kind == Kind::Stream,
        homes: Vec::new(),
    }
}

/// Guards against a stream that is broken off although its route allows another engine: an engine that
/// falls silent and then breaks its connection has run the request once.
#[test]
fn an_endpoint_that_fails_twice_has_run_the_request_once() {
    let mut attempts = Attempts::new(&route(Kind::Stream, 2), None);
    attempts.record_run(ENGINE);
    attempts.record_run(ENGINE);
    assert!(attempts.allowed());
    attempts.record_run(Identity(2));
    assert!(!attempts.allowed() && !attempts.may_lend());
}
