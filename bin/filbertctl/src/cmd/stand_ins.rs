//! `filbertctl stand-ins`: runs fakes of engines, a service and the platform for a node in another
//! process.

use std::process::ExitCode;

use super::arguments::{Arguments, Error};
use super::{runtime, wait_for_shutdown};
use crate::fleet::{self, Fleet, MODEL, OPERATOR_KEY, Plan};

pub const HELP: &str = "\
Runs stand-ins (simulated engines, a service and a platform) on loopback, publishes their lists, and
writes the settings for a node that you start yourself:

  filbertctl stand-ins --settings node.json &
  filbertstage --settings node.json

Usage: filbertctl stand-ins --settings FILE [OPTIONS]

Options:
      --settings FILE  Write the node's settings to FILE
      --engines N      Number of engines [default: 1]
      --scale N        Engines run this many times faster than real ones [default: 1]
      --streams N      Maximum concurrent streams on each engine [default: 6000]
      --port PORT      Port on which the node serves callers, up to 65534; it serves other nodes on
                       the next port [default: 8080]
      --json           Print JSON
      --log LEVEL      Log level: off, error, warn, info, debug or trace [default: off]

Runs until Ctrl-C or SIGTERM.

Exit codes: 0 stopped by a signal, 2 usage error,
            3 the stand-ins did not start or FILE cannot be written
";
pub const FLAGS: &[&str] = &["settings=", "engines=", "scale=", "streams=", "port="];

/// KV memory of each engine, in tokens: enough for many concurrent streams.
const KV_TOTAL_TOKENS: u64 = 8_000_000;

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let file: String = arguments.required("settings")?;
    let engines = arguments.value("engines")?.unwrap_or(1);
    let scale = arguments.value("scale")?.unwrap_or(1);
    let port: u16 = arguments.value("port")?.unwrap_or(8_080);
    let mut plan = Plan::new(&[("charnwood", 0, engines, 1)], scale);
    plan.kv_total = KV_TOTAL_TOKENS;
    plan.max_running = arguments.value("streams")?.unwrap_or(6_000);
    runtime()?.block_on(serve(plan, &file, port, arguments.flag("json")))
}

async fn serve(plan: Plan, file: &str, port: u16, json: bool) -> Result<ExitCode, Error> {
    let start_error =
        |error: std::io::Error| Error::Unavailable(format!("the stand-ins did not start: {error}"));
    let fleet = Fleet::start(plan).await.map_err(start_error)?;
    let mut settings = fleet.node_settings("entry-1", "charnwood");
    settings.listen.callers.set_port(port);
    settings.listen.nodes.set_port(port + 1);
    let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
    std::fs::write(file, text).map_err(|error| {
        Error::Unavailable(format!("{file}: {error}: give a file that can be written"))
    })?;
    let engine = fleet.engines[0].server.address;
    if json {
        println!(
            "{}",
            serde_json::json!({ "engine": engine, "key": fleet::workspace_key(0), "operator_key": OPERATOR_KEY })
        );
    } else {
        println!(
            "engine {engine}, model {MODEL}, key {}, operator's key {OPERATOR_KEY}",
            fleet::workspace_key(0)
        );
    }
    wait_for_shutdown().await;
    Ok(ExitCode::SUCCESS)
}
