//! Checks of the lists that a schema cannot express.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use super::{Plans, Usage};

/// A reason why a list cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the value in the list, such as `workspaces[2].key_hashes[0]`.
    pub path: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)
    }
}

fn problem(path: String, message: &str) -> Problem {
    Problem {
        path,
        message: message.to_owned(),
    }
}

fn duplicates<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Vec<Problem> {
    let mut seen = BTreeSet::new();
    names
        .enumerate()
        .filter(|(_, name)| !seen.insert(*name))
        .map(|(index, name)| {
            let message = format!("duplicate name {name:?}: remove or rename one");
            problem(format!("{list}[{index}]"), &message)
        })
        .collect()
}

/// Checks a plan list for duplicate names and keys, malformed key hashes and time limits above the
/// longest one; returns all problems.
#[must_use]
pub fn check_plans(plans: &Plans) -> Vec<Problem> {
    let names = plans.workspaces.iter().map(|plan| plan.workspace.as_str());
    let mut problems = duplicates("workspaces", names);
    let mut keys = BTreeSet::new();
    for (index, plan) in plans.workspaces.iter().enumerate() {
        for (position, hash) in plan.key_hashes.iter().enumerate() {
            let path = format!("workspaces[{index}].key_hashes[{position}]");
            let hexadecimal = |digit: char| matches!(digit, '0'..='9' | 'a'..='f');
            if !hash.chars().all(hexadecimal) {
                problems.push(problem(
                    path,
                    "not a SHA-256 hash: give 64 lower-case hexadecimal digits",
                ));
            } else if !keys.insert(hash.as_str()) {
                problems.push(problem(
                    path,
                    "the key already belongs to a workspace: give each workspace keys of its own",
                ));
            }
        }
        if plan.time_limit_ms > plan.longest_time_limit_ms {
            let path = format!("workspaces[{index}].time_limit_ms");
            problems.push(problem(
                path,
                "longer than longest_time_limit_ms: lower it or raise longest_time_limit_ms",
            ));
        }
    }
    problems
}

/// Checks a usage list for duplicate names, malformed addresses, unknown kinds, and endpoints whose
/// model or service is not in the list; returns all problems.
#[must_use]
pub fn check_usage(usage: &Usage) -> Vec<Problem> {
    let models: BTreeSet<_> = usage
        .models
        .iter()
        .map(|model| model.name.as_str())
        .collect();
    let services: BTreeSet<_> = usage
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut problems = duplicates(
        "models",
        usage.models.iter().map(|model| model.name.as_str()),
    );
    problems.extend(duplicates(
        "endpoints",
        usage.endpoints.iter().map(|entry| entry.name.as_str()),
    ));
    problems.extend(duplicates(
        "services",
        usage.services.iter().map(|service| service.name.as_str()),
    ));
    for (index, entry) in usage.endpoints.iter().enumerate() {
        let path = |key: &str| format!("endpoints[{index}].{key}");
        if entry.address.parse::<SocketAddr>().is_err() {
            problems.push(problem(
                path("address"),
                "not an IP address and port: write it like 10.1.2.3:8000",
            ));
        }
        match entry.kind.as_str() {
            "engine"
                if entry
                    .model
                    .as_deref()
                    .is_some_and(|model| !models.contains(model)) =>
            {
                problems.push(problem(
                    path("model"),
                    "names no model of the list: add the model or correct the name",
                ));
            }
            "service"
                if !entry
                    .service
                    .as_deref()
                    .is_some_and(|service| services.contains(service)) =>
            {
                problems.push(problem(
                    path("service"),
                    "names no service of the list: add the service or correct the name",
                ));
            }
            "engine" | "service" => {}
            _ => problems.push(problem(
                path("kind"),
                "no such kind of endpoint: use engine or service",
            )),
        }
    }
    problems
}
