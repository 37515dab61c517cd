//! The settings of a host change to a fraction, with SIGHUP, and the host is stopped and started again.
//!
//! Arguments: repository, folder of the case. `TROUBLE=0` changes them to another whole number.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use standins_2::client;
use standins_2::configuration;
use standins_2::host::{self, Host, Machine, Ports};
use standins_2::record::Record;
use standins_2::store::Store;
use standins_2::worker::Worker;

/// Starts that are tried, as the platform starts a process again that has exited.
const STARTS: usize = 3;

fn main() -> ExitCode {
    standins_2::run("settings_fraction", play)
}

fn play(root: &Path, logs: &Path, trouble: bool, record: &mut Record) -> u8 {
    let store = Store::default();
    let door = store.open_door();
    store.put("keyed.op", "config", &configuration(1, 1_200, &["key-one"]));
    let worker = Worker::start(&store, "i-desk-1", "desk", "cannock");
    let machine = Machine {
        name: "edge-cannock-1",
        zone: "cannock",
        ip: "127.0.0.45",
        store: door.address,
    };
    let ports = Ports::free(machine.ip);
    let settings: PathBuf = logs.join("settings.json");
    let write = |grace: &str| {
        fs::write(
            &settings,
            host::render(root, &machine, &ports, &[("bounds.graceS", grace)]),
        )
        .expect("a folder");
    };
    write("8");
    let mut running = Host::start_with(root, logs, &machine, ports, &settings);
    if !running.wait_until_ready(Duration::from_secs(10)) {
        record.line("the host did not become ready");
        return 2;
    }
    let answer = client::send(running.clients, "/log/pass", "attempt-1", "key-one", 2_500);
    record.line(&format!(
        "sent attempt-1: status {}",
        answer.map_or(0, |answer| answer.status())
    ));
    let grace = if trouble { "7.5" } else { "7" };
    write(grace);
    record.line(&format!("the settings change: bounds.graceS={grace}"));
    running.signal("HUP");
    sleep(Duration::from_secs(1));
    running.signal("TERM");
    let until = Instant::now() + Duration::from_secs(9);
    while running.ended().is_none() && Instant::now() < until {
        sleep(Duration::from_millis(20));
    }
    record.line("the host was stopped with SIGTERM");
    let mut ends = 0;
    for _ in 0..STARTS {
        let mut next = Host::start_with(root, logs, &machine, ports, &settings);
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(code) = next.ended() {
                record.line(&format!(
                    "the program was started and ended by itself with code {code}"
                ));
                ends += 1;
                break;
            }
            if client::is_ready(next.readiness) {
                let answer = client::send(next.clients, "/log/pass", "attempt-2", "key-one", 2_500);
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!(
                    "the program was started and is ready; sent attempt-2: status {status}"
                ));
                return u8::from(status != 200) * 2;
            }
            if Instant::now() > until {
                record.line("the host did not become ready");
                return 2;
            }
            sleep(Duration::from_millis(20));
        }
    }
    record.line(&format!(
        "the worker ran {} requests",
        worker.runs.lock().unwrap().len()
    ));
    for line in fs::read_to_string(&running.log)
        .unwrap_or_default()
        .lines()
        .filter(|line| line.contains("grace"))
    {
        // Without the path of the temporary folder.
        let text = line.rsplit('/').next().unwrap_or(line);
        record.line(&format!("log: {text}"));
    }
    u8::from(ends == STARTS)
}
