//! `filbertstage --settings FILE`: runs a node until SIGTERM or SIGINT.

use std::path::Path;
use std::process::ExitCode;

use node::settings::Settings;
use node::{Dependencies, Node};
use tokio::signal::unix::{SignalKind, signal};

use super::{EXIT_FAILED, check, install_logger};

/// Runs a node with the settings in `file`, drains the node at the end and returns the exit code.
pub fn run(file: &Path) -> ExitCode {
    let settings = match check::read_settings(file, Settings::read) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    install_logger(&settings.log.level);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("filbertstage: the worker threads could not start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let outcome = runtime.block_on(serve(settings));
    runtime.shutdown_background();
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("filbertstage: {error}: check listen.callers and listen.nodes");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn serve(settings: Settings) -> std::io::Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let dependencies = Dependencies::from_settings(&settings);
    let node = Node::start(settings, dependencies).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(node.drain().await)
}
