//! `filbertctl status`: shows the state of the nodes.

use std::process::ExitCode;

use http::Method;
use serde_json::Value;

use super::arguments::{Arguments, Error};
use super::operator::OperatorClient;
use super::runtime;

pub const HELP: &str = "\
Shows hosts, failure domains, leases, endpoints with their KV memory, list versions and unknown
outcomes, as reported by the given node and every node that it knows.

Usage: filbertctl status --node ADDRESS --key KEY [OPTIONS]

Options:
      --node ADDRESS  Address and port of a node
      --key KEY       An operator's key
      --json          Print JSON
      --log LEVEL     Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 success, 2 usage error, 3 the node is unavailable, 4 the node refused the request
";
pub const FLAGS: &[&str] = &["node=", "key="];

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let client = OperatorClient::from_arguments(arguments)?;
    let call = client.call(Method::GET, "/operator/status", String::new());
    let status = runtime()?.block_on(call)?;
    if arguments.flag("json") {
        println!("{status}");
        return Ok(ExitCode::SUCCESS);
    }
    for node in status["nodes"].as_array().into_iter().flatten() {
        show(node);
    }
    Ok(ExitCode::SUCCESS)
}

/// Formats a JSON value; a string has no quotes.
fn display_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn show(node: &Value) {
    if let Some(reason) = node["unreachable"].as_str() {
        println!("{}: unreachable: {reason}", display_text(&node["host"]));
        return;
    }
    println!(
        "{} in {}: ready {}, running {}, plans {}, usage {}, lists from {}, held {}",
        display_text(&node["host"]),
        display_text(&node["domain"]),
        node["ready"],
        node["running"],
        node["plans_version"],
        node["usage_version"],
        if node["lists_from_log"] == true {
            "the log"
        } else {
            "peers"
        },
        node["held_at_endpoints"],
    );
    for engine in node["engines"].as_array().into_iter().flatten() {
        println!(
            "  engine {}: {} {}, KV {} of {} tokens{}",
            display_text(&engine["endpoint"]),
            display_text(&engine["model"]),
            display_text(&engine["version"]),
            engine["kv_used"],
            engine["kv_total"],
            if engine["leaving"] == true {
                ", leaving"
            } else {
                ""
            },
        );
    }
    for pool in node["pools"].as_array().into_iter().flatten() {
        println!(
            "  pool {}: {} waiting",
            display_text(&pool["model"]),
            pool["digest"]["waiting"]
        );
    }
    for lease in node["leases"].as_array().into_iter().flatten() {
        println!(
            "  lease {}: held by {}, fence {}",
            display_text(&lease["name"]),
            display_text(&lease["holder"]),
            lease["fence"]
        );
    }
    for key in node["unknown_outcomes"].as_array().into_iter().flatten() {
        println!("  unknown outcome: {}", display_text(key));
    }
}
