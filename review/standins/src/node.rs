//! Starts `filbertstage route` as the deploy file does.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;

pub struct Node {
    pub name: String,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub hosts: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// What the settings of a host take from the sheet of a site.
pub struct Site {
    pub zones: [&'static str; 3],
    pub region: &'static str,
    pub retry_floor: u32,
    pub apply_ms: u32,
    pub drain_ms: u32,
    pub evacuation_ms: Option<u32>,
    /// Memory of the machine; `None` for builds whose settings do not have it.
    pub memory_mb: Option<u64>,
}

pub const CHARNWOOD: Site = Site {
    zones: ["charnwood", "cannock", "sherwood"],
    region: "midlands",
    retry_floor: 102,
    apply_ms: 2_000,
    drain_ms: 2_000,
    evacuation_ms: None,
    memory_mb: None,
};

pub const KITANORI: Site = Site {
    zones: ["doto-a", "doto-b", "doto-c"],
    region: "doto",
    retry_floor: 194,
    apply_ms: 3_000,
    drain_ms: 3_000,
    evacuation_ms: Some(5_000),
    memory_mb: None,
};

pub const SMA: Site = Site {
    zones: ["qro-norte", "qro-sur", "qro-oriente"],
    region: "mx-centro",
    retry_floor: 100,
    apply_ms: 2_000,
    drain_ms: 2_000,
    evacuation_ms: None,
    memory_mb: None,
};

/// A port that is free now, for TCP and UDP. It lies below those that the system gives to outgoing
/// connections, so that a host finds it free when it starts again.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add((std::process::id() % 499) as u16 * 40);
        let port = 12_000 + offset % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Node {
    /// Writes the settings of a host, as `deploy/settings.json.template` is filled in for the site,
    /// with free ports.
    pub fn prepare(root: &Path, folder: &Path, name: &str, site: &Site, zone: &str, store: SocketAddr) -> Self {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (clients, readiness, hosts, metrics) = (address(), address(), address(), address());
        let settings = folder.join(format!("{name}.json"));
        let Site { zones, region, retry_floor, apply_ms, drain_ms, evacuation_ms, memory_mb } = site;
        let regions: Vec<_> = zones.iter().map(|zone| format!("\"{zone}\":\"{region}\"")).collect();
        let regions = regions.join(",");
        let evacuation = evacuation_ms.map_or(String::new(), |time| format!("\"evacuation_ms\": {time}, "));
        let resources = memory_mb.map_or(String::new(), |memory| format!("\"resources\": {{ \"memory_mb\": {memory} }},"));
        let text = format!(
            r#"{{
    "host": "{name}", "domain": "{zone}",
    "regions": {{{regions}}},
    "admission": {{ "policy": "order" }},
    "first_start": true,
    {resources}
    "listen": {{ "clients": "{clients}", "readiness": "{readiness}", "hosts": "{hosts}", "metrics": "{metrics}" }},
    "platform": {{ "address": "{store}" }},
    "retry": {{ "ratio": 0.2, "floor": {retry_floor}, "window_ms": 10000 }},
    "times": {{ "grace_ms": 8000, "apply_ms": {apply_ms}, "drain_ms": {drain_ms}, {evacuation}"heartbeat_ms": 1200 }}
}}
"#
        );
        fs::write(&settings, text).expect("the folder can be written");
        Self {
            name: name.to_owned(),
            clients,
            readiness,
            hosts,
            settings,
            log: folder.join(format!("{name}.log")),
            program: root.join("target/release/filbertstage"),
            child: None,
        }
    }

    /// Starts a host and waits until it is ready. A free port may be taken by another program before the
    /// host has bound it, so a host that ends at once is started again with others.
    pub fn launch(root: &Path, folder: &Path, name: &str, site: &Site, zone: &str, store: SocketAddr) -> Option<Self> {
        for _ in 0..4 {
            let mut node = Self::prepare(root, folder, name, site, zone, store);
            node.start();
            if node.wait_until_ready(Duration::from_secs(5)) {
                return Some(node);
            }
            eprintln!("{name} is not ready: ended {:?}, {}", node.ended(), fs::read_to_string(&node.log).unwrap_or_default());
        }
        None
    }

    /// Starts the process. The platform fills in the settings at every start: only the first one of all
    /// says `first_start`.
    pub fn start(&mut self) {
        self.kill();
        if self.log.exists() {
            let text = fs::read_to_string(&self.settings).expect("the settings were written");
            let text = text.replace("\"first_start\": true", "\"first_start\": false");
            fs::write(&self.settings, text).expect("the folder can be written");
        }
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new(&self.program);
        command.arg("route").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("FILBERTSTAGE_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log file")).stderr(log);
        self.child = Some(command.spawn().expect("target/release/filbertstage is built"));
    }

    /// Waits until the host reports that it is ready; returns whether it does within `limit`.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until && self.ended().is_none() {
            if client::probe(self.readiness) == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, number: i32) {
        extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        if self.pid() > 0 {
            // SAFETY: a plain system call; the process is a child that has not been waited for.
            unsafe { kill(self.pid(), number) };
        }
    }

    /// Whether the process has ended, with its exit code.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.code())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGKILL: i32 = 9;
