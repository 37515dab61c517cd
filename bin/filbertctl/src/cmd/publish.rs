//! `filbertctl publish`: publishes a change to a list.

use std::process::ExitCode;

use http::Method;
use kernel::lists::{Change, Plans, Usage, check_plans, check_usage};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::arguments::{Arguments, Error};
use super::operator::OperatorClient;
use super::{EXIT_REFUSED, runtime};

pub const HELP: &str = "\
Publishes a change to the plan or usage list and shows whether it was accepted.

Usage: filbertctl publish plans|usage FILE --base VERSION --node ADDRESS --key KEY [OPTIONS]

FILE contains a complete list, which replaces the one in force, or with --put the entries to add or
replace. Publishing the same file with the same base again is safe: the change has the same ID and
is applied once.

Options:
      --base VERSION  Version of the list that the change is based on; 0 if there is none yet
      --put           Add or replace only the entries in FILE
      --id ID         ID of the change [default: a hash of the change]
      --node ADDRESS  Address and port of a node
      --key KEY       An operator's key
      --json          Print JSON
      --log LEVEL     Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 the change was accepted, 2 usage error, 3 the node or file is unavailable,
            4 the change conflicts or is invalid, or the node refused the request
";
pub const FLAGS: &[&str] = &["base=", "put", "id=", "node=", "key="];

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let list = arguments.next_positional("plans|usage")?;
    let file = arguments.next_positional("FILE")?;
    let base: u64 = arguments.required("base")?;
    let client = OperatorClient::from_arguments(arguments)?;
    let text = std::fs::read_to_string(&file).map_err(|error| {
        Error::Unavailable(format!("{file}: {error}: give a file that can be read"))
    })?;
    let content: Value = serde_json::from_str(&text)
        .map_err(|error| Error::Refused(format!("{file}: {error}: correct the JSON")))?;
    let edit = build_edit(&list, arguments.flag("put"), &content, &file)?;
    let id = arguments
        .value("id")?
        .unwrap_or_else(|| change_id(base, &edit));
    let change = json!({ "id": id, "base": base, "edit": edit });
    let change: Change = serde_json::from_value(change).map_err(|error| {
        Error::Refused(format!("{file}: {error}: follow schemas/lists.schema.json"))
    })?;
    let body = serde_json::to_string(&change).unwrap_or_default();
    let call = client.call(Method::POST, "/operator/publish", body);
    let verdict = runtime()?.block_on(call)?;
    show(&id, &verdict, arguments.flag("json"));
    if verdict["verdict"] == "accepted" {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_REFUSED))
}

/// Converts the content of the file to an edit of the list.
///
/// Plans and complete usage lists are checked here, so that problems are reported before the change
/// is sent.
fn build_edit(list: &str, put: bool, content: &Value, file: &str) -> Result<Value, Error> {
    let schema_error = |error: serde_json::Error| {
        Error::Refused(format!("{file}: {error}: follow schemas/lists.schema.json"))
    };
    let problems = match list {
        "plans" => {
            let plans: Plans = serde_json::from_value(content.clone()).map_err(schema_error)?;
            check_plans(&plans)
        }
        "usage" => {
            let usage: Usage = serde_json::from_value(content.clone()).map_err(schema_error)?;
            if put { Vec::new() } else { check_usage(&usage) }
        }
        other => {
            return Err(Error::Usage(format!(
                "unknown list {other:?}: give plans or usage"
            )));
        }
    };
    if !problems.is_empty() {
        let lines: Vec<_> = problems
            .iter()
            .map(|problem| format!("{file}: {problem}"))
            .collect();
        return Err(Error::Refused(lines.join("\n")));
    }
    let operation = if put { "put" } else { "replace" };
    Ok(json!({ format!("{operation}_{list}"): content }))
}

/// Returns the default ID of a change: a hash of its base and edit.
fn change_id(base: u64, edit: &Value) -> String {
    hex::encode(Sha256::digest(format!("{base} {edit}").as_bytes()))
}

fn show(id: &str, verdict: &Value, json: bool) {
    if json {
        let mut verdict = verdict.clone();
        verdict["id"] = Value::from(id);
        println!("{verdict}");
        return;
    }
    match verdict["verdict"].as_str() {
        Some("accepted") => println!(
            "accepted: the list is now at version {}",
            verdict["version"]
        ),
        Some("conflict") => println!(
            "conflict: the list is at version {}: read it, make the change again, and publish with that base",
            verdict["current"]
        ),
        _ => println!(
            "invalid: {}",
            verdict["reason"].as_str().unwrap_or("no reason given")
        ),
    }
}
