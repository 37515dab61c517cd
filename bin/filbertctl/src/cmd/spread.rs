//! `filbertctl spread`: measures the time until a published change is in force at every node.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use fakes::log;
use hdrhistogram::Histogram;
use http::Method;
use serde::Serialize;
use serde_json::json;

use super::arguments::{Arguments, Error};
use super::operator::OperatorClient;
use super::{EXIT_FAILED, runtime};
use crate::fleet::{Fleet, OPERATOR_KEY, Plan};

pub const HELP: &str = "\
Publishes changes to a fleet in this process and measures the time until each change is in force at
every node: with a healthy log, with a delay of 300 ms in every call to the log, and with half of
the nodes cut off from the log.

Usage: filbertctl spread [OPTIONS]

Options:
      --changes N  Number of changes in each of the three runs [default: 30]
      --json       Print JSON
      --log LEVEL  Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 each p99 is within its target (2 s with a healthy log, otherwise 10 s), 1 one is not,
            2 usage error, 3 the fleet did not start or a change was not in force within 20 s,
            4 a node refused a change
";
pub const FLAGS: &[&str] = &["changes="];

/// Target for the 99th percentile of the time until a change is in force, with a healthy log.
const TARGET: Duration = Duration::from_secs(2);
/// Target for the same percentile with a slow log, or with half of the nodes cut off from it.
const TARGET_IMPAIRED: Duration = Duration::from_secs(10);
/// Time limit for one change to be in force at all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// State of the log during a run. The table prints the variants with `{:?}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Healthy,
    Slow,
    HalfCutOff,
}

/// The result of a run. The times run from the publication of a change until it is in force at the
/// last node.
#[derive(Debug, Serialize)]
struct Measurement {
    log: Mode,
    changes: u64,
    p50_ms: f64,
    p99_ms: f64,
    most_ms: f64,
    target_ms: u128,
    within_target: bool,
}

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let changes = arguments.value("changes")?.unwrap_or(30);
    let mut measurements = Vec::new();
    for mode in [Mode::Healthy, Mode::Slow, Mode::HalfCutOff] {
        measurements.push(runtime()?.block_on(measure(mode, changes))?);
    }
    if arguments.flag("json") {
        println!(
            "{}",
            serde_json::to_string(&measurements).unwrap_or_default()
        );
    } else {
        for measurement in &measurements {
            println!(
                "log {:?}: {} changes in force at all nodes after p50 {:.0} ms, p99 {:.0} ms, at most {:.0} ms (target {} ms)",
                measurement.log,
                measurement.changes,
                measurement.p50_ms,
                measurement.p99_ms,
                measurement.most_ms,
                measurement.target_ms
            );
        }
    }
    let all_within_target = measurements
        .iter()
        .all(|measurement| measurement.within_target);
    Ok(if all_within_target {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    })
}

async fn measure(mode: Mode, changes: u64) -> Result<Measurement, Error> {
    let start_error =
        |error: std::io::Error| Error::Unavailable(format!("the fleet did not start: {error}"));
    let plan = Plan::new(
        &[
            ("charnwood", 2, 1, 0),
            ("cannock", 2, 1, 0),
            ("sherwood", 2, 1, 0),
        ],
        10,
    );
    let fleet = Fleet::start(plan).await.map_err(start_error)?;
    inject_fault(&fleet, mode);
    let clients: Vec<_> = fleet
        .caller_addresses()
        .iter()
        .map(|address| operator_client(*address))
        .collect();
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are constant");
    let mut base = plans_version(&clients[0]).await?;
    for number in 0..changes {
        let started = Instant::now();
        base = publish(&clients[0], number, base).await?;
        for client in &clients {
            wait_for_version(client, base, started).await?;
        }
        times.saturating_record(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    let target = if mode == Mode::Healthy {
        TARGET
    } else {
        TARGET_IMPAIRED
    };
    let quantile_ms =
        |quantile| Duration::from_micros(times.value_at_quantile(quantile)).as_secs_f64() * 1_000.0;
    let target_ms = target.as_millis();
    Ok(Measurement {
        log: mode,
        changes,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        most_ms: quantile_ms(1.0),
        target_ms,
        within_target: Duration::from_micros(times.value_at_quantile(0.99)) <= target,
    })
}

fn inject_fault(fleet: &Fleet, mode: Mode) {
    match mode {
        Mode::Healthy => {}
        Mode::Slow => fleet.platform.log.inject(log::Faults {
            delay: Duration::from_millis(300),
            ..log::Faults::default()
        }),
        Mode::HalfCutOff => {
            for member in fleet.members().skip(1).step_by(2) {
                member.platform_partition.set(true);
            }
        }
    }
}

fn operator_client(address: SocketAddr) -> OperatorClient {
    OperatorClient::new(address, OPERATOR_KEY)
}

async fn plans_version(client: &OperatorClient) -> Result<u64, Error> {
    let lists = client
        .call(Method::GET, "/operator/lists", String::new())
        .await?;
    Ok(lists["plans_version"].as_u64().unwrap_or(0))
}

async fn publish(client: &OperatorClient, number: u64, base: u64) -> Result<u64, Error> {
    let plan = json!({ "workspace": format!("added-{number}"), "key_hashes": [] });
    let edit = json!({ "put_plans": { "workspaces": [plan] } });
    let change = json!({ "id": format!("change-{number}"), "base": base, "edit": edit });
    let verdict = client
        .call(Method::POST, "/operator/publish", change.to_string())
        .await?;
    let refused = || Error::Refused(format!("the change was not accepted: {verdict}"));
    verdict["version"].as_u64().ok_or_else(refused)
}

async fn wait_for_version(
    client: &OperatorClient,
    version: u64,
    started: Instant,
) -> Result<(), Error> {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    while plans_version(client).await? < version {
        if started.elapsed() > CHANGE_TIMEOUT {
            return Err(Error::Unavailable(format!(
                "version {version} of the plan list is not in force at every node after {CHANGE_TIMEOUT:?}: see the logs with --log info"
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
