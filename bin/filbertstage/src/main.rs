//! The command that runs a node, one process on each entry host.
//!
//! ```text
//! filbertstage [route] --settings FILE [--check]
//! ```

mod cmd;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

fn main() -> ExitCode {
    let command = match cmd::Command::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("filbertstage: {error}");
            return ExitCode::from(cmd::EXIT_USAGE);
        }
    };
    let code = match command {
        cmd::Command::Help => {
            print!("{}", cmd::HELP);
            ExitCode::SUCCESS
        }
        cmd::Command::Version => {
            println!("filbertstage {}", cmd::VERSION);
            ExitCode::SUCCESS
        }
        cmd::Command::Check(file) => cmd::check::run(&file),
        cmd::Command::CheckRoute(file) => cmd::check::run_route(&file),
        cmd::Command::Serve(file) => cmd::serve::run(&file),
        cmd::Command::Route(file) => cmd::route::run(&file),
    };
    log::logger().flush();
    code
}
