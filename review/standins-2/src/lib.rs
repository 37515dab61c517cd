//! Stand-ins for the platform's store, workers and clients, and the start of hosts as processes.
//!
//! They follow PROTOCOL.md. They have no dependencies, and use loopback addresses only.

pub mod client;
pub mod host;
pub mod http;
pub mod record;
pub mod store;
pub mod worker;

use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// Runs a script with the arguments REPOSITORY and FOLDER; the record goes to the folder.
pub fn run(name: &str, play: impl FnOnce(&Path, &Path, bool, &mut Record) -> u8) -> ExitCode {
    let arguments: Vec<PathBuf> = env::args_os().skip(1).map(PathBuf::from).collect();
    let [root, folder] = &arguments[..] else {
        eprintln!("usage: {name} REPOSITORY FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::create(&folder.join("record.txt"));
    let logs = env::temp_dir().join(format!("{name}-{}", std::process::id()));
    if std::fs::create_dir_all(&logs).is_err() {
        return ExitCode::from(2);
    }
    let code = play(root, &logs, trouble, &mut record);
    let _ = std::fs::remove_dir_all(&logs);
    ExitCode::from(code)
}

/// A configuration with one route of calls that may run once, and the keys of one tenant.
pub fn configuration(version: u64, timeout_ms: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-desk\",\"host\":\"desk.example\",\"pathPrefix\":\"/log/\",\"kind\":\"non_idempotent\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":150,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1}}],\"services\":[{{\"name\":\"desk\",\"connectionLimit\":100}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"club\",\"apiKeys\":[{keys}]}}]}}"
    )
}
