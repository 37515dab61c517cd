//! Hosts as processes, started like the deploy file says, with the settings of its template.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;

pub struct Host {
    pub name: String,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub log: PathBuf,
    child: Child,
}

/// What the settings of a host say.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// A loopback address of its own.
    pub ip: &'a str,
    pub store: SocketAddr,
}

/// A port that is free now, for TCP and UDP. It lies below those that the system gives to outgoing connections.
fn free_port(ip: &str) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let first = (std::process::id() % 400) as u16 * 20;
        let port = 20_000 + (first + offset) % 8_000;
        let listener = TcpListener::bind((ip, port));
        if listener.is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return listener
                .and_then(|listener| listener.local_addr())
                .expect("an address");
        }
    }
}

/// The addresses of a host.
#[derive(Clone, Copy)]
pub struct Ports {
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub hosts: SocketAddr,
}

impl Ports {
    pub fn free(ip: &str) -> Self {
        Self {
            clients: free_port(ip),
            readiness: free_port(ip),
            hosts: free_port(ip),
        }
    }
}

/// Renders the template of the deploy file.
pub fn render(
    root: &Path,
    machine: &Machine<'_>,
    ports: &Ports,
    bounds: &[(&str, &str)],
) -> String {
    let Ports {
        clients,
        readiness,
        hosts,
    } = *ports;
    {
        let template =
            fs::read_to_string(root.join("deploy/settings.json.template")).expect("the template");
        let mut text: String = template
            .lines()
            .filter(|line| !line.contains("bounds.evacuationMs") || line.contains("heartbeat"))
            .map(|line| format!("{line}\n"))
            .collect();
        text = text.replace("{{/bounds.evacuationMs}}", "");
        let quoted = |text: &str| format!("\"{text}\"");
        let mut fields = vec![
            ("nodeName|json", quoted(machine.name)),
            ("zone|json", quoted(machine.zone)),
            (
                "zones|json",
                "{\"charnwood\":\"midlands\",\"cannock\":\"midlands\",\"sherwood\":\"midlands\"}"
                    .to_owned(),
            ),
            ("firstStart|json", "true".to_owned()),
            (
                "listenAddresses.frontend|json",
                quoted(&clients.to_string()),
            ),
            (
                "listenAddresses.readiness|json",
                quoted(&readiness.to_string()),
            ),
            ("ipAddress", machine.ip.to_owned()),
            ("internalPortRange.0", hosts.port().to_string()),
            ("platform.address|json", quoted(&machine.store.to_string())),
            ("limits.fileDescriptors", "6300".to_owned()),
            ("heartbeatIntervalMs", "1200".to_owned()),
        ];
        let defaults = [
            ("bounds.retryBudgetRatio", "0.2"),
            ("bounds.retryBudgetFloor", "102"),
            ("bounds.budgetWindowS", "10"),
            ("bounds.graceS", "8"),
            ("bounds.configurationApplyMs", "2000"),
            ("bounds.drainMs", "2000"),
            ("limits.memoryMb", "390"),
        ];
        for (name, value) in defaults {
            let set = bounds.iter().find(|(other, _)| *other == name);
            fields.push((name, set.map_or(value, |(_, value)| value).to_owned()));
        }
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text
    }
}

/// Time in which a host becomes ready, and how often it is started with other ports if it does not.
const READY_LIMIT: Duration = Duration::from_secs(6);
const STARTS: usize = 3;

impl Host {
    /// Starts a host, and again with other ports if it does not become ready; `None` if it never does.
    pub fn launch(
        root: &Path,
        folder: &Path,
        machine: &Machine<'_>,
        bounds: &[(&str, &str)],
    ) -> Option<Self> {
        (0..STARTS).find_map(|_| {
            let host = Self::start(root, folder, machine, bounds);
            host.wait_until_ready(READY_LIMIT).then_some(host)
        })
    }

    /// Renders the settings and starts `filbertstage route`. `folder` gets the settings and the log.
    pub fn start(
        root: &Path,
        folder: &Path,
        machine: &Machine<'_>,
        bounds: &[(&str, &str)],
    ) -> Self {
        let ports = Ports::free(machine.ip);
        let settings = folder.join(format!("{}.json", machine.name));
        fs::write(&settings, render(root, machine, &ports, bounds)).expect("a writable folder");
        Self::start_with(root, folder, machine, ports, &settings)
    }

    /// Starts a host with the settings that lie in a file.
    pub fn start_with(
        root: &Path,
        folder: &Path,
        machine: &Machine<'_>,
        ports: Ports,
        settings: &Path,
    ) -> Self {
        let log = folder.join(format!("{}.log", machine.name));
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .expect("a writable folder");
        let errors = output.try_clone().expect("a handle");
        let child = Command::new(root.join("target/release/filbertstage"))
            .arg("route")
            .current_dir(root)
            .env("FILBERTSTAGE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        Self {
            name: machine.name.to_owned(),
            clients: ports.clients,
            readiness: ports.readiness,
            log,
            child,
        }
    }

    /// Sends a signal to the process, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Waits until the host is ready; returns whether it is.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if client::is_ready(self.readiness) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process has ended, with its code.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
