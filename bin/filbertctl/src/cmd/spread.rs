//! `filbertctl spread`: how long a published change takes to be in force at every node.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use fakes::log;
use hdrhistogram::Histogram;
use http::Method;
use serde::Serialize;
use serde_json::json;

use super::arguments::{Arguments, Error};
use super::operator::Operator;
use super::{EXIT_FAILED, runtime};
use crate::fleet::{Fleet, OPERATOR_KEY, Plan};

pub const HELP: &str = "\
Publishes changes to a fleet of stand-ins and measures the time until each is in force at every node:
with the log healthy, with every call to it 300 ms slower, and with half of the nodes cut off from it.

Usage: filbertctl spread [OPTIONS]

Options:
      --changes N  Changes in each of the three runs [default: 30]
      --json       Print JSON
      --log LEVEL  Show logs of this level

Exit codes: 0 all within their targets (2 s, 10 s with half cut off), 1 not, 2 usage, 3 not started
";
pub const FLAGS: &[&str] = &["changes="];

/// Time in which a change must be in force with the log healthy.
const TARGET: Duration = Duration::from_secs(2);
/// The same with the log slow, or out of reach of half of the nodes.
const TARGET_IMPAIRED: Duration = Duration::from_secs(10);
/// Longest wait for one change.
const LONGEST: Duration = Duration::from_secs(20);

/// What the log is like in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Healthy,
    Slow,
    HalfCutOff,
}

/// What was measured in a run, in milliseconds from the publish to the last node.
#[derive(Debug, Serialize)]
struct Line {
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
    let mut lines = Vec::new();
    for mode in [Mode::Healthy, Mode::Slow, Mode::HalfCutOff] {
        lines.push(runtime()?.block_on(measure(mode, changes))?);
    }
    if arguments.flag("json") {
        println!("{}", serde_json::to_string(&lines).unwrap_or_default());
    } else {
        for line in &lines {
            println!(
                "log {:?}: {} changes in force at all nodes after p50 {:.0} ms, p99 {:.0} ms, at most {:.0} ms (target {} ms)",
                line.log, line.changes, line.p50_ms, line.p99_ms, line.most_ms, line.target_ms
            );
        }
    }
    let within = lines.iter().all(|line| line.within_target);
    Ok(if within {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    })
}

async fn measure(mode: Mode, changes: u64) -> Result<Line, Error> {
    let unusable =
        |error: std::io::Error| Error::Unusable(format!("the fleet did not start: {error}"));
    let plan = Plan::new(
        &[
            ("charnwood", 2, 1, 0),
            ("cannock", 2, 1, 0),
            ("sherwood", 2, 1, 0),
        ],
        10,
    );
    let fleet = Fleet::start(plan).await.map_err(unusable)?;
    impair(&fleet, mode);
    let operators: Vec<_> = fleet
        .caller_addresses()
        .iter()
        .map(|address| operator(*address))
        .collect();
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are constant");
    let mut base = version(&operators[0]).await?;
    for number in 0..changes {
        let started = Instant::now();
        base = publish(&operators[0], number, base).await?;
        for operator in &operators {
            wait_for(operator, base, started).await?;
        }
        times.saturating_record(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
    let target = if mode == Mode::Healthy {
        TARGET
    } else {
        TARGET_IMPAIRED
    };
    let millis =
        |quantile| Duration::from_micros(times.value_at_quantile(quantile)).as_secs_f64() * 1_000.0;
    let target_ms = target.as_millis();
    Ok(Line {
        log: mode,
        changes,
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        most_ms: millis(1.0),
        target_ms,
        within_target: Duration::from_micros(times.value_at_quantile(0.99)) <= target,
    })
}

fn impair(fleet: &Fleet, mode: Mode) {
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

fn operator(address: SocketAddr) -> Operator {
    Operator::new(address, OPERATOR_KEY)
}

async fn version(operator: &Operator) -> Result<u64, Error> {
    let lists = operator
        .call(Method::GET, "/operator/lists", String::new())
        .await?;
    Ok(lists["plans_version"].as_u64().unwrap_or(0))
}

async fn publish(operator: &Operator, number: u64, base: u64) -> Result<u64, Error> {
    let plan = json!({ "workspace": format!("added-{number}"), "key_hashes": [] });
    let edit = json!({ "put_plans": { "workspaces": [plan] } });
    let change = json!({ "id": format!("change-{number}"), "base": base, "edit": edit });
    let verdict = operator
        .call(Method::POST, "/operator/publish", change.to_string())
        .await?;
    let refused = || Error::Refused(format!("the change was not accepted: {verdict}"));
    verdict["version"].as_u64().ok_or_else(refused)
}

async fn wait_for(operator: &Operator, wanted: u64, started: Instant) -> Result<(), Error> {
    const LOOK: Duration = Duration::from_millis(5);
    while version(operator).await? < wanted {
        if started.elapsed() > LONGEST {
            return Err(Error::Unusable(format!(
                "version {wanted} did not come into force"
            )));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
