//! Checks for values that have the right type but are invalid.

use kernel::{admission, routing};
use settings::{Document, Problem};

use super::Settings;
use super::resources::{MIN_DESCRIPTORS, MIN_MEMORY_MB};

/// Minimum length of `fleet_key`, in bytes.
const MIN_FLEET_KEY_BYTES: usize = 32;
/// Maximum of `times.claim_window_ms`, one day.
const MAX_CLAIM_WINDOW_MS: u64 = 24 * 3_600 * 1_000;

struct Checker<'a, 'b> {
    document: &'a Document<'b>,
    problems: Vec<Problem>,
}

impl Checker<'_, '_> {
    fn require(&mut self, holds: bool, key: &str, message: &str) {
        if !holds {
            self.problems.push(self.document.problem(key, message));
        }
    }
}

/// Returns a problem for each invalid value in `settings`.
pub(super) fn check(settings: &Settings, document: &Document<'_>) -> Vec<Problem> {
    let mut checker = Checker {
        document,
        problems: Vec::new(),
    };
    check_identity(settings, &mut checker);
    check_routing(settings, &mut checker);
    check_bounds(settings, &mut checker);
    checker.problems
}

fn check_identity(settings: &Settings, checker: &mut Checker<'_, '_>) {
    checker.require(
        !settings.host.is_empty(),
        "host",
        "not set: give the host a unique name",
    );
    checker.require(
        !settings.domain.is_empty(),
        "domain",
        "not set: name the host's failure domain",
    );
    checker.require(
        settings.fleet_key.len() >= MIN_FLEET_KEY_BYTES,
        "fleet_key",
        "shorter than 32 characters: use the same long random string on all nodes",
    );
    for (index, hash) in settings.operator_key_hashes.iter().enumerate() {
        let valid = hash.len() == 64
            && hash
                .chars()
                .all(|digit| matches!(digit, '0'..='9' | 'a'..='f'));
        let key = format!("operator_key_hashes[{index}]");
        checker.require(
            valid,
            &key,
            "not a SHA-256 hash: give 64 lower-case hexadecimal digits",
        );
    }
    checker.require(
        settings.listen.callers != settings.listen.nodes || settings.listen.callers.port() == 0,
        "listen.nodes",
        "the same as listen.callers: use another port",
    );
    checker.require(
        !settings.advertised().ip().is_unspecified(),
        "listen.advertise",
        "other nodes cannot reach an unspecified address: set the host's own IP address",
    );
}

fn check_routing(settings: &Settings, checker: &mut Checker<'_, '_>) {
    let routing = &settings.routing;
    let policies = routing::names();
    let message = format!("no policy {:?}: use one of {policies:?}", routing.policy);
    checker.require(
        policies.contains(&routing.policy.as_str()),
        "routing.policy",
        &message,
    );
    checker.require(
        (0.0..=1.0).contains(&routing.short_weight),
        "routing.short_weight",
        "not between 0 and 1: use 0 to weigh all lengths alike and 1 to put short requests first",
    );
    checker.require(
        routing.window_ms > 0,
        "routing.window_ms",
        "0 would keep engines idle: use 1 or more",
    );
    checker.require(
        routing.chunk_even_tokens > 0,
        "routing.chunk_even_tokens",
        "0 is not allowed: use 1 or more",
    );
    checker.require(
        routing.chunk_short_first_tokens > 0,
        "routing.chunk_short_first_tokens",
        "0 is not allowed: use 1 or more",
    );
    let known = admission::names();
    for (index, rule) in settings.admission.rules.iter().enumerate() {
        let message = format!("no rule {rule:?}: use one of {known:?}");
        checker.require(
            known.contains(&rule.as_str()),
            &format!("admission.rules[{index}]"),
            &message,
        );
    }
}

fn check_bounds(settings: &Settings, checker: &mut Checker<'_, '_>) {
    let admission = &settings.admission;
    checker.require(
        admission.body_bytes >= 1_024,
        "admission.body_bytes",
        "too small for any request: use 1024 or more",
    );
    checker.require(
        admission.headers >= 8,
        "admission.headers",
        "too few for any client: use 8 or more",
    );
    checker.require(
        admission.requests > 0,
        "admission.requests",
        "0 would refuse all requests: use 1 or more",
    );
    checker.require(
        settings.times.watch_ms >= 10,
        "times.watch_ms",
        "too short: use 10 or more",
    );
    checker.require(
        (1_000..=MAX_CLAIM_WINDOW_MS).contains(&settings.times.claim_window_ms),
        "times.claim_window_ms",
        "not between a second and a day: stay below the log's retention",
    );
    let resources = &settings.resources;
    checker.require(
        resources.memory_mb == 0 || resources.memory_mb >= MIN_MEMORY_MB,
        "resources.memory_mb",
        "too little: give at least 32, or 0 to ask the system",
    );
    checker.require(
        resources.descriptors == 0 || resources.descriptors >= MIN_DESCRIPTORS,
        "resources.descriptors",
        "too few: give at least 64, or 0 to ask the system",
    );
    checker.require(
        settings.log.level.parse::<log::LevelFilter>().is_ok(),
        "log.level",
        "no such level: use error, warn, info, debug or trace",
    );
}
