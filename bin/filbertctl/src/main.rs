//! The operators' command-line tool. See `filbertctl --help`.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

fn main() -> ExitCode {
    filbertctl::cmd::run(lexopt::Parser::from_env())
}
