//! `filbertctl explain`: shows every decision on a request.

use std::process::ExitCode;

use http::Method;

use super::arguments::{Arguments, Error};
use super::operator::OperatorClient;
use super::{EXIT_FAILED, runtime};

pub const HELP: &str = "\
Shows every decision of the nodes on a request, with reasons and numbers.

Usage: filbertctl explain REQUEST --node ADDRESS --key KEY [OPTIONS]

REQUEST is the x-request-id of the response. Nodes keep the decisions on the last few thousand
requests.

Options:
      --node ADDRESS  Address and port of a node
      --key KEY       An operator's key
      --json          Print JSON
      --log LEVEL     Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 success, 1 no node has decisions on the request, 2 usage error,
            3 the node is unavailable, 4 the node refused the request
";
pub const FLAGS: &[&str] = &["node=", "key="];

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let request = arguments.next_positional("REQUEST")?;
    let client = OperatorClient::from_arguments(arguments)?;
    let path = format!("/operator/explain/{request}");
    let call = client.call(Method::GET, &path, String::new());
    let explanation = runtime()?.block_on(call)?;
    let decisions = explanation["decisions"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    if arguments.flag("json") {
        println!("{explanation}");
    } else {
        for decision in &decisions {
            println!(
                "{:>8} ms  {:<20} {:<16} {}",
                decision["after_ms"].to_string(),
                decision["host"].as_str().unwrap_or_default(),
                decision["event"].as_str().unwrap_or_default(),
                decision["reason"].as_str().unwrap_or_default(),
            );
        }
    }
    if decisions.is_empty() {
        eprintln!("filbertctl: no node has decisions on request {request}");
        return Ok(ExitCode::from(EXIT_FAILED));
    }
    Ok(ExitCode::SUCCESS)
}
