//! `filbertstage --settings FILE`: runs a node until SIGTERM or SIGINT.

use std::path::Path;
use std::process::ExitCode;

use node::settings::Settings;
use node::{Dependencies, Node};
use tokio::signal::unix::{SignalKind, signal};

use super::{EXIT_FAILED, check, install_logger, set_log_level};

/// Runs a node with the settings in `file`, drains the node at the end and returns the exit code. SIGHUP
/// reads the settings again, and a second signal in the drain hastens it.
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
    let outcome = runtime.block_on(serve(file, settings));
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

async fn serve(file: &Path, settings: Settings) -> std::io::Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let dependencies = Dependencies::from_settings(&settings);
    let node = Node::start(settings, dependencies).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(file, &node),
        }
    }
    let drained = node.drain();
    tokio::pin!(drained);
    loop {
        tokio::select! {
            complete = &mut drained => return Ok(complete),
            _ = terminate.recv() => node.hasten(),
            _ = interrupt.recv() => node.hasten(),
            // The settings no longer matter.
            _ = hangup.recv() => {}
        }
    }
}

/// Reads the settings again. Settings with an error change nothing.
fn reload(file: &Path, node: &Node) {
    let Ok(settings) = check::read_settings(file, Settings::read) else {
        log::warn!("event=reload outcome=kept remedy=\"correct the settings\"");
        return;
    };
    let changes = node.reload(&settings);
    set_log_level(&settings.log.level);
    let (applied, restart) = (changes.applied.join(","), changes.restart.join(","));
    if restart.is_empty() {
        log::info!("event=reload outcome=applied applied={applied}");
    } else {
        log::warn!(
            "event=reload outcome=applied applied={applied} restart={restart} \
             remedy=\"restart the node to apply the rest\""
        );
    }
}
