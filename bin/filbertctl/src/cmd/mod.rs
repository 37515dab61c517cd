//! The subcommands of `filbertctl`.

mod arguments;
mod cost;
mod demo;
mod demo_platform;
mod explain;
mod load;
mod operator;
mod publish;
mod slopes;
mod soak;
mod spread;
mod stand_ins;
mod status;
mod units;

use std::process::ExitCode;

use arguments::{Arguments, Error, nearest};
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};

/// Exit code for a failed check, or for a request without recorded decisions.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a node, file or other resource that is unavailable.
pub const EXIT_UNAVAILABLE: u8 = 3;
/// Exit code for a refusal by a node, or for a file with invalid content.
pub const EXIT_REFUSED: u8 = 4;

const HELP: &str = "\
Operates filbertstage: publishes lists, shows status and decisions, runs demos and measurements.

Usage: filbertctl COMMAND [OPTIONS]

Commands:
  demo       Run a node and stand-ins in one process and serve a prompt of each length
  publish    Publish a change to the plan or usage list
  status     Show hosts, endpoints, leases, list versions and unknown outcomes
  explain    Show every decision on a request
  load       Measure routing policies under the same seeded arrivals
  soak       Run random load under random faults and check the invariants
  spread     Measure the time until a change is in force at every node
  slopes     Measure the kernel's state machines at growing sizes
  stand-ins  Run simulated engines, a service and a platform for a node in another process
  cost       Measure the overhead of a node in another process

Every command takes --help, --json and --log. --version prints the version.

Exit codes:
  0  success
  1  a check failed, or no node has decisions on the request
  2  the command line is invalid
  3  a node, file or other resource is unavailable
  4  a node refused the request, or the content of a file is invalid
";

/// A subcommand, with its help text, the flags that it accepts and its entry point.
struct Command {
    name: &'static str,
    help: &'static str,
    flags: &'static [&'static str],
    run: fn(&mut Arguments) -> Result<ExitCode, Error>,
}

const COMMANDS: [Command; 10] = [
    Command {
        name: "demo",
        help: demo::HELP,
        flags: demo::FLAGS,
        run: demo::run,
    },
    Command {
        name: "publish",
        help: publish::HELP,
        flags: publish::FLAGS,
        run: publish::run,
    },
    Command {
        name: "status",
        help: status::HELP,
        flags: status::FLAGS,
        run: status::run,
    },
    Command {
        name: "explain",
        help: explain::HELP,
        flags: explain::FLAGS,
        run: explain::run,
    },
    Command {
        name: "load",
        help: load::HELP,
        flags: load::FLAGS,
        run: load::run,
    },
    Command {
        name: "soak",
        help: soak::HELP,
        flags: soak::FLAGS,
        run: soak::run,
    },
    Command {
        name: "slopes",
        help: slopes::HELP,
        flags: slopes::FLAGS,
        run: slopes::run,
    },
    Command {
        name: "stand-ins",
        help: stand_ins::HELP,
        flags: stand_ins::FLAGS,
        run: stand_ins::run,
    },
    Command {
        name: "cost",
        help: cost::HELP,
        flags: cost::FLAGS,
        run: cost::run,
    },
    Command {
        name: "spread",
        help: spread::HELP,
        flags: spread::FLAGS,
        run: spread::run,
    },
];

/// Runs the subcommand that the command line names and returns its exit code.
///
/// Prints an error to standard error.
#[must_use]
pub fn run(parser: lexopt::Parser) -> ExitCode {
    match dispatch(parser) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("filbertctl: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn dispatch(mut parser: lexopt::Parser) -> Result<ExitCode, Error> {
    use lexopt::prelude::*;
    let first = parser
        .next()
        .map_err(|error| Error::Usage(error.to_string()))?;
    let name = match first {
        Some(Value(name)) => name.to_string_lossy().into_owned(),
        Some(Long("help") | Short('h')) => {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        Some(Long("version") | Short('V')) => {
            println!("filbertctl {}", env!("CARGO_PKG_VERSION"));
            return Ok(ExitCode::SUCCESS);
        }
        Some(other) => {
            return Err(Error::Usage(format!(
                "unknown argument {other:?}: give a command first, see --help"
            )));
        }
        None => return Err(Error::Usage("no command: see filbertctl --help".to_owned())),
    };
    let names: Vec<_> = COMMANDS.iter().map(|command| command.name).collect();
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        let hint = nearest(&name, &names);
        return Err(Error::Usage(format!(
            "unknown command {name:?}: did you mean {hint}?"
        )));
    };
    let mut arguments = Arguments::parse(parser, command.flags)?;
    if arguments.flag("help") {
        print!("{}", command.help);
        return Ok(ExitCode::SUCCESS);
    }
    install_logger(&mut arguments)?;
    (command.run)(&mut arguments)
}

/// Installs the logger if `--log` is given.
fn install_logger(arguments: &mut Arguments) -> Result<(), Error> {
    let Some(level) = arguments.value::<LevelFilter>("log")? else {
        return Ok(());
    };
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("filbert")
        .build();
    // Fails only if a logger is already installed; this process installs no other.
    let _ = SimpleLogger::init(level, config);
    Ok(())
}

/// Waits for SIGTERM or Ctrl-C.
async fn wait_for_shutdown() {
    use tokio::signal::unix::{SignalKind, signal};
    // The HTTP library installs handlers for both signals, so neither ends the process by itself.
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// Creates the Tokio runtime for a command's asynchronous work.
fn runtime() -> Result<tokio::runtime::Runtime, Error> {
    tokio::runtime::Runtime::new()
        .map_err(|error| Error::Unavailable(format!("the worker threads could not start: {error}")))
}
