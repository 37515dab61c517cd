//! Builds the plan and usage lists of a fleet.

use kernel::fold::change_record;
use kernel::lists::Change;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::Fleet;

/// The model that all engines load at their start.
pub const MODEL: &str = "report-writer";
/// The name of the plain service.
pub const SERVICE: &str = "trail-desk";
/// The name of the service call that must run at most once.
pub const BOOKING_CALL: &str = "book";
/// The name of the service call that can be repeated safely.
pub const CONDITIONS_CALL: &str = "conditions";

/// Returns the bearer key of the workspace with this index.
#[must_use]
pub fn workspace_key(index: usize) -> String {
    format!("key-of-workspace-{index}")
}

/// Returns the SHA-256 hash of a key in hexadecimal, as the lists and settings store it.
#[must_use]
pub fn key_hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn plans(fleet: &Fleet) -> Value {
    let plan = |index: usize| {
        json!({
            "workspace": format!("workspace-{index}"),
            "key_hashes": [key_hash(&workspace_key(index))],
            "models": [MODEL],
            "services": [SERVICE],
            "requests_per_second": 100_000.0,
            "concurrency": fleet.plan.concurrency,
        })
    };
    let workspaces: Vec<_> = (0..fleet.plan.workspaces).map(plan).collect();
    json!({ "workspaces": workspaces })
}

fn usage(fleet: &Fleet) -> Value {
    let engine = |engine: &super::Engine| {
        json!({
            "name": engine.name,
            "domain": engine.domain,
            "address": engine.server.address.to_string(),
            "kind": "engine",
            "model": MODEL,
            "checks_fencing": true,
        })
    };
    let worker = |(index, (domain, server)): (usize, &(String, fakes::Server))| {
        json!({
            "name": format!("{domain}-worker-{index}"),
            "domain": domain,
            "address": server.address.to_string(),
            "kind": "service",
            "service": SERVICE,
        })
    };
    let engines = fleet.engines.iter().map(engine);
    let workers = fleet.workers.iter().enumerate().map(worker);
    let endpoints: Vec<_> = engines.chain(workers).collect();
    json!({
        "models": [{ "name": MODEL, "version": "1" }],
        "endpoints": endpoints,
        "services": [{
            "name": SERVICE,
            "calls": [
                { "name": BOOKING_CALL, "repeatable": false },
                { "name": CONDITIONS_CALL, "repeatable": true },
            ],
        }],
    })
}

/// Returns the log records that publish the plan list and the usage list.
pub(super) fn records(fleet: &Fleet) -> Vec<String> {
    let plans =
        json!({ "id": "first-plans", "base": 0, "edit": { "replace_plans": plans(fleet) } });
    let usage =
        json!({ "id": "first-usage", "base": 0, "edit": { "replace_usage": usage(fleet) } });
    [plans, usage]
        .into_iter()
        .filter_map(|change| serde_json::from_value::<Change>(change).ok())
        .map(|change| change_record(&change))
        .collect()
}
