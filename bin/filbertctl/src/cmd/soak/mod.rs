//! `filbertctl soak`: random load under random faults, with what must always hold checked.

mod artifacts;
mod callers;
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
random faults, alone and in pairs, and checks what must always hold.

Usage: filbertctl soak [OPTIONS]

Options:
      --seconds S   Length of the run [default: 30]
      --seed N      Where random choices start [default: 1]
      --load F      Arrivals as a part of the engines' capacity [default: 0.4]
      --quiet       Inject no faults
      --rolling     Instead of faults, replace every node one after another
      --trace FILE  Write what happened, a line each
      --keep DIR    Where a failed run leaves its trace and log [default: soak-failures]
      --json        Print JSON
      --log LEVEL   Show logs of this level

Exit codes: 0 everything held, 1 something did not (repeat with the printed seed), 2 usage
";
pub const FLAGS: &[&str] = &[
    "seconds=", "seed=", "load=", "quiet", "rolling", "trace=", "keep=",
];

/// Engines of a soak run this many times faster than real ones.
const SCALE: u32 = 20;
/// Where a failed run leaves its trace and log.
const DEFAULT_KEEP_DIR: &str = "soak-failures";
/// Longest wait for engines to be free of memory after the last answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(20);

/// What happens besides the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Faults,
    Quiet,
    Rolling,
}

/// What is run.
struct Setup {
    duration: Duration,
    seed: u64,
    load: f64,
    mode: Mode,
}

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let mode = match (arguments.flag("rolling"), arguments.flag("quiet")) {
        (true, _) => Mode::Rolling,
        (false, true) => Mode::Quiet,
        (false, false) => Mode::Faults,
    };
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
    let unusable = |error| Error::Unusable(format!("{}: {error}", keep_dir.display()));
    let artifacts = Artifacts::start(&keep_dir, setup.seed).map_err(unusable)?;
    let tally = Arc::new(Tally::default());
    let report = runtime()?.block_on(soak(&setup, &tally));
    if let Some(file) = trace {
        let written = std::fs::write(&file, tally.trace_text());
        written.map_err(|error| Error::Unusable(format!("{file}: {error}")))?;
    }
    let report =
        report.map_err(|error| Error::Unusable(format!("the fleet did not start: {error}")))?;
    if arguments.flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        report.print();
    }
    artifacts
        .finish(&tally, report.passed())
        .map_err(unusable)?;
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
        Mode::Quiet => {}
    }
    // A panicking caller is a defect of the run itself.
    callers.await.map_err(std::io::Error::other)?;
    tally.trace("load ended".to_owned());
    let leaked = fleet.wait_until_freed(FREE_TIMEOUT).await;
    tally.record_leak(leaked);
    if leaked > 0 {
        for holding in fleet.holdings() {
            tally.trace(format!("still held: {holding}"));
        }
    }
    tally.check_executions(&fleet.service.executions());
    let violations = node::invariant::violations();
    fleet.stop();
    Ok(tally.report(setup.seed, violations))
}

/// Injects faults until the time is up, then lets everything recover.
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

/// Replaces every node, one after another.
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
        tally.trace(format!("node {index} drains"));
        if !fleet.drain(index).await {
            tally.record_violation(format!("node {index} did not drain whole"));
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
