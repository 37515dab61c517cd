//! Hosts of the project: `filbertstage route` as processes.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Number of times that a host is started.
const STARTS: u32 = 5;
/// Time in which a host that cannot bind a port has ended.
const START_TIME: Duration = Duration::from_millis(500);

/// A running host. It is killed when this is dropped.
pub struct Host {
    pub name: String,
    pub clients: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a port that is free for TCP and UDP.
fn free(ip: &str) -> io::Result<SocketAddr> {
    loop {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

impl Host {
    /// Starts a host. If it ends at once, another program may have taken one of its ports, so that it is started again
    /// with other ones.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        for _ in 0..STARTS {
            let mut host = Self::spawn(root, folder, name, zone, store)?;
            thread::sleep(START_TIME);
            if host.child.try_wait()?.is_none() {
                return Ok(host);
            }
        }
        Err(io::Error::other("a host ends at each start"))
    }

    /// Starts a host with the command of the deploy file and settings like those of the small site.
    fn spawn(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = "127.0.0.1";
        let (clients, readiness, hosts, metrics) = (free(ip)?, free(ip)?, free(ip)?, free(ip)?);
        let settings = format!(
            r#"{{
    "host": "{name}",
    "domain": "{zone}",
    "regions": {{"charnwood":"midlands","cannock":"midlands","sherwood":"midlands"}},
    "admission": {{ "policy": "order" }},
    "first_start": true,
    "listen": {{ "clients": "{clients}", "readiness": "{readiness}", "hosts": "{hosts}", "metrics": "{metrics}" }},
    "platform": {{ "address": "{store}" }},
    "retry": {{ "ratio": "0.2", "floor": "102", "window_s": "10" }},
    "resources": {{ "memory_mb": "390", "descriptors": "6300" }},
    "times": {{ "grace_s": "8", "apply_ms": "2000", "drain_ms": "2000", "heartbeat_ms": "1200" }}
}}
"#
        );
        let file: PathBuf = folder.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(root.join("target/release/filbertstage"))
            .arg("route")
            .env("FILBERTSTAGE_CONFIG", &file)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            clients,
            readiness,
            child,
        })
    }

    /// Asks whether the host is ready.
    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
            let mut connection = Connection::open(self.readiness, Duration::from_secs(1))?;
            connection
                .stream
                .set_read_timeout(Some(Duration::from_secs(1)))?;
            connection.send(b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n")?;
            Ok(connection.head()?.word(1) == "200")
        };
        asked().unwrap_or(false)
    }

    /// Waits until the host is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}
