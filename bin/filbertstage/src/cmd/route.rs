//! `filbertstage route`: serves HTTP requests from the catalogue that the platform publishes.

use std::path::Path;
use std::process::ExitCode;

use adapter::Platform;
use relay::Relay;
use relay::settings::Settings;
use relay::transport::Dialer;
use tokio::signal::unix::{SignalKind, signal};

use super::{EXIT_FAILED, check, install_logger};

/// Runs the host until SIGTERM or SIGINT, then drains the host and returns the exit code. SIGHUP
/// checks the settings file for changes.
pub fn run(file: &Path) -> ExitCode {
    let settings = match check::read_settings(file, Settings::read) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    install_logger(&settings.log.level);
    // A host has a fraction of one core, so more threads would only use memory.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("filbertstage: the event loop could not start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(serve(file, settings)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("filbertstage: {error}: check the addresses under listen");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn serve(file: &Path, settings: Settings) -> std::io::Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let dialer = Dialer::default();
    let platform = Platform::new(settings.platform.address, dialer.clone());
    let relay = Relay::start(&settings, platform.dependencies(), dialer).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => report_reload(file, &settings),
        }
    }
    Ok(relay.drain().await)
}

/// Reads the settings file again and logs whether it differs from the settings in use. They stay in
/// use until a restart, because a running host cannot change its addresses and limits.
fn report_reload(file: &Path, running: &Settings) {
    match check::read_settings(file, Settings::read) {
        Ok(settings) if settings == *running => log::info!("event=reload changed=false"),
        Ok(settings) => log::warn!(
            "event=reload changed=true restart={} remedy=\"restart the host to apply\"",
            settings::changed_keys(running, &settings).join(",")
        ),
        Err(_) => log::warn!("event=reload outcome=kept remedy=\"correct the settings\""),
    }
}
