//! `filbertctl load`: compares routing policies under the same seeded arrivals.

mod plot;
mod report;
mod run;

use std::process::ExitCode;
use std::time::Duration;

use super::arguments::{Arguments, Error};
use super::{EXIT_FAILED, runtime};
use crate::fleet::Plan;
use crate::scenario::{Arrival, MAX_SHORT_TOKENS, Scenario};
use report::{Report, Run};

pub const HELP: &str = "\
Runs real nodes and time-scaled stand-ins over loopback and measures each routing policy under the
same seeded arrivals. Each policy runs twice: with all prompts, and with only the short ones.

Usage: filbertctl load --scenario NAME [OPTIONS]

Options:
      --scenario NAME       charnwood (favors short requests) or lijmnet (weights lengths equally)
      --policy P[,P...]     Policies to compare [default: first_token,round_robin,least_loaded]
      --seed N              Seed of the random choices [default: 1]
      --seconds S           How long requests arrive, in seconds [default: 30]
      --load F              Arrival rate as a fraction of the engines' capacity [default: 0.7]
      --scale N             Engines run this many times faster than real ones [default: 5]
      --short-weight W      Weight of short requests, from 0 to 1 [default: the scenario's]
      --mixed-only          Skip the run with only the short prompts
      --plot FILE           Write a plot of the times to the first token (SVG) [default: none]
      --json                Print JSON
      --log LEVEL           Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 success, 1 an answer was wrong or late or memory leaked, 2 usage error,
            3 the fleet did not start or a file cannot be written
";
pub const FLAGS: &[&str] = &[
    "scenario=",
    "policy=",
    "seed=",
    "seconds=",
    "load=",
    "scale=",
    "short-weight=",
    "plot=",
    "mixed-only",
];

/// Parsed options of the command.
struct Setup {
    scenario: Scenario,
    seed: u64,
    duration: Duration,
    load: f64,
    scale: u32,
    short_weight: Option<f64>,
    mixed_only: bool,
}

impl Setup {
    fn plan(&self, policy: &str) -> Plan {
        let mut plan = self.scenario.plan(self.scale);
        policy.clone_into(&mut plan.policy);
        plan.seed = self.seed;
        if let Some(weight) = self.short_weight {
            plan.short_weight = weight;
        }
        plan
    }
}

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let name: String = arguments.required("scenario")?;
    let unknown = || {
        Error::Usage(format!(
            "unknown scenario {name:?}: use charnwood or lijmnet"
        ))
    };
    let setup = Setup {
        scenario: Scenario::from_name(&name).ok_or_else(unknown)?,
        seed: arguments.value("seed")?.unwrap_or(1),
        duration: Duration::from_secs(arguments.value("seconds")?.unwrap_or(30)),
        load: arguments.value("load")?.unwrap_or(0.7),
        scale: arguments.value("scale")?.unwrap_or(5),
        short_weight: arguments.value("short-weight")?,
        mixed_only: arguments.flag("mixed-only"),
    };
    let policies: String = arguments
        .value("policy")?
        .unwrap_or_else(|| "first_token,round_robin,least_loaded".to_owned());
    let policies = parse_policies(&policies)?;
    let plot: Option<String> = arguments.value("plot")?;
    let mut runs = Vec::new();
    for policy in &policies {
        runs.push(measure(&setup, policy)?);
    }
    let report = Report {
        scenario: setup.scenario.name(),
        seed: setup.seed,
        runs,
    };
    if arguments.flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        report.print();
    }
    if let Some(file) = plot {
        plot::write(&report, &file).map_err(|error| {
            Error::Unavailable(format!("{file}: {error}: give a file that can be written"))
        })?;
    }
    Ok(if report.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    })
}

fn parse_policies(text: &str) -> Result<Vec<String>, Error> {
    let known = kernel::routing::names();
    let policies: Vec<_> = text.split(',').map(str::to_owned).collect();
    match policies
        .iter()
        .find(|policy| !known.contains(&policy.as_str()))
    {
        Some(policy) => Err(Error::Usage(format!(
            "unknown policy {policy:?}: use one or more of {known:?}"
        ))),
        None => Ok(policies),
    }
}

/// Measures one policy: a run with all prompts and, unless `mixed_only`, one with only the short
/// ones. Each run starts a new fleet.
fn measure(setup: &Setup, policy: &str) -> Result<Run, Error> {
    let plan = setup.plan(policy);
    let arrivals = setup
        .scenario
        .arrivals(&plan, setup.seed, setup.duration, setup.load);
    let start_error =
        |error: std::io::Error| Error::Unavailable(format!("the fleet did not start: {error}"));
    let title = format!("{policy}, all prompts");
    let mixed = runtime()?.block_on(run::run(&plan, &arrivals, &title));
    let mixed = mixed.map_err(start_error)?;
    if setup.mixed_only {
        return Ok(Run::new(policy, &plan, setup.duration, &mixed, None));
    }
    let is_short = |arrival: &&Arrival| arrival.prompt_tokens <= MAX_SHORT_TOKENS;
    let short: Vec<_> = arrivals.iter().filter(is_short).cloned().collect();
    let title = format!("{policy}, short prompts alone");
    let alone = runtime()?.block_on(run::run(&plan, &short, &title));
    Ok(Run::new(
        policy,
        &plan,
        setup.duration,
        &mixed,
        Some(&alone.map_err(start_error)?),
    ))
}
