//! `filbertctl soak`: runs random load under random faults and checks the system's invariants.

mod artifacts;
mod callers;
mod exits;
mod faults;
mod tally;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::arguments::{Arguments, Error};
use super::{EXIT_FAILED, runtime};
use crate::fleet::{Fleet, Member, Plan};
use artifacts::Artifacts;
use callers::LoadBalancer;
use faults::Injector;
use tally::{Report, Tally};

pub const HELP: &str = "\
Runs several nodes and stand-ins in one process over loopback, with random load of all lengths and
random faults, one or two at a time, and checks the system's invariants.

Usage: filbertctl soak [OPTIONS]

Options:
      --seconds S   Duration of the run, in seconds [default: 30]
      --seed N      Seed of the random choices [default: 1]
      --load F      Arrival rate as a fraction of the engines' capacity [default: 0.4]
      --quiet       Inject no faults
      --rolling     Replace every node, one after another, instead of injecting faults
      --exits       Stop nodes with short drains in series, instead of injecting faults; a connection
                    that ends without a response fails the run
      --trace FILE  Write a trace of the run, one event per line [default: none]
      --keep DIR    Directory for the trace and log of a failed run [default: soak-failures]
      --json        Print JSON
      --log LEVEL   Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 success, 1 a check failed (repeat with the printed seed), 2 usage error,
            3 the soak did not run to its end or a file cannot be written
";
pub const FLAGS: &[&str] = &[
    "seconds=", "seed=", "load=", "quiet", "rolling", "exits", "trace=", "keep=",
];

/// Speed of the engines, as a multiple of real ones.
const SCALE: u32 = 20;
/// Default directory for the trace and log of a failed run.
const DEFAULT_KEEP_DIR: &str = "soak-failures";
/// Maximum wait until the engines have freed all KV memory after the last answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(20);

/// What happens to the fleet while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Random faults are injected.
    Faults,
    /// Nothing is injected.
    Quiet,
    /// Every node is replaced, one after another.
    Rolling,
    /// Nodes are stopped in series, with short drains.
    Exits,
}

/// Parsed options of the command.
struct Setup {
    duration: Duration,
    seed: u64,
    load: f64,
    mode: Mode,
}

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let modes = [
        ("exits", Mode::Exits),
        ("rolling", Mode::Rolling),
        ("quiet", Mode::Quiet),
    ];
    let chosen = modes.into_iter().find(|(flag, _)| arguments.flag(flag));
    let mode = chosen.map_or(Mode::Faults, |(_, mode)| mode);
    let setup = Setup {
        duration: Duration::from_secs(arguments.value("seconds")?.unwrap_or(30)),
        seed: arguments.value("seed")?.unwrap_or(1),
        load: arguments.value("load")?.unwrap_or(0.4),
        mode,
    };
    let trace: Option<String> = arguments.value("trace")?;
    let keep_dir: PathBuf = arguments
        .value("keep")?
        .unwrap_or_else(|| PathBuf::from(DEFAULT_KEEP_DIR));
    let artifacts_error = |error| {
        Error::Unavailable(format!(
            "{}: {error}: give --keep a directory that can be written",
            keep_dir.display()
        ))
    };
    let artifacts = Artifacts::start(&keep_dir, setup.seed).map_err(artifacts_error)?;
    let tally = Arc::new(Tally::default());
    let report = runtime()?.block_on(soak(&setup, &tally));
    if let Some(file) = trace {
        let written = std::fs::write(&file, tally.trace_text());
        written.map_err(|error| {
            Error::Unavailable(format!("{file}: {error}: give a file that can be written"))
        })?;
    }
    let report = report
        .map_err(|error| Error::Unavailable(format!("the soak did not run to its end: {error}")))?;
    if arguments.flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        report.print();
    }
    artifacts
        .finish(&tally, report.passed())
        .map_err(artifacts_error)?;
    Ok(if report.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    })
}

fn plan(seed: u64) -> Plan {
    let mut plan = Plan::new(
        &[
            ("charnwood", 2, 4, 1),
            ("cannock", 2, 4, 1),
            ("sherwood", 1, 4, 1),
        ],
        SCALE,
    );
    plan.seed = seed;
    plan
}

async fn soak(setup: &Setup, tally: &Arc<Tally>) -> std::io::Result<Report> {
    let plan = plan(setup.seed);
    let mut fleet = Fleet::start(plan.clone()).await?;
    let balancer = Arc::new(LoadBalancer::default());
    balancer.set(&fleet);
    tally.trace("started".to_owned());
    let callers = tokio::spawn(callers::run(
        plan,
        Arc::clone(&balancer),
        Arc::clone(tally),
        setup.seed,
        setup.duration,
        setup.load,
    ));
    match setup.mode {
        Mode::Faults => inject_faults(setup, &mut fleet, &balancer, tally).await?,
        Mode::Rolling => replace_nodes(&mut fleet, &balancer, tally).await?,
        Mode::Exits => {
            let mut rng = SmallRng::seed_from_u64(setup.seed ^ 0xe817);
            exits::run(&mut fleet, &balancer, tally, &mut rng, setup.duration).await?;
        }
        Mode::Quiet => {}
    }
    // A panic in the load is a bug of the soak itself, so the run ends with an error.
    callers.await.map_err(std::io::Error::other)?;
    tally.trace("load ended".to_owned());
    let leaked = fleet.wait_until_freed(FREE_TIMEOUT).await;
    tally.record_leak(leaked);
    if leaked > 0 {
        for holding in fleet.holdings() {
            tally.trace(format!("still held: {holding}"));
        }
    }
    if setup.mode == Mode::Exits {
        tally.check_connections();
    }
    tally.check_executions(&fleet.service.executions());
    let violations = node::invariant::violations();
    fleet.stop();
    Ok(tally.report(setup.seed, violations))
}

/// Injects random faults for the duration of the run, then removes all of them.
async fn inject_faults(
    setup: &Setup,
    fleet: &mut Fleet,
    balancer: &LoadBalancer,
    tally: &Tally,
) -> std::io::Result<()> {
    let mut rng = SmallRng::seed_from_u64(setup.seed ^ 0xfa17);
    let mut injector = Injector::default();
    let end = Instant::now() + setup.duration;
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(200..1_500));
        tokio::time::sleep(pause).await;
        let fault_count = if rng.random_bool(0.3) { 2 } else { 1 };
        for _ in 0..fault_count {
            injector.inject(fleet, balancer, tally, &mut rng);
        }
        injector
            .recover(fleet, balancer, tally, Instant::now())
            .await?;
    }
    injector.recover_all(fleet, balancer, tally).await
}

/// Drains every node, one after another, and starts a new host in its place.
async fn replace_nodes(
    fleet: &mut Fleet,
    balancer: &LoadBalancer,
    tally: &Tally,
) -> std::io::Result<()> {
    const PAUSE: Duration = Duration::from_secs(1);
    for index in 0..fleet.nodes.len() {
        tokio::time::sleep(PAUSE).await;
        let leaving = fleet.nodes[index].as_ref().map(Member::caller_address);
        balancer.remove(leaving);
        tally.trace(format!("draining node {index}"));
        if !fleet.drain(index).await {
            tally.record_violation(format!("node {index} did not drain completely"));
        }
        fleet.settings[index].host.push_str("-new");
        fleet.start_node(index).await?;
        fleet.publish_hosts();
        fleet.wait_ready().await?;
        balancer.set(fleet);
        tally.trace(format!("node {index} replaced"));
    }
    Ok(())
}
