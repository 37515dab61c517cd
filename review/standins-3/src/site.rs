//! A small deployment: a store, workers and hosts of the project.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{HOST, KEY};
use crate::host::Host;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Registration, Worker};

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["charnwood", "cannock", "sherwood"];
/// Time from the start of the machines to the first traffic.
const LEAD: Duration = Duration::from_secs(10);

/// A running deployment.
pub struct Site {
    pub store: Arc<Store>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The configuration of the operator, with the figures of the site file.
fn configuration(version: u64) -> String {
    let route = |name: &str,
                 path: &str,
                 kind: &str,
                 timeout: u64,
                 target: u64,
                 service: &str,
                 rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{path}\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout},\
             \"targetLatencyMs\":{target},\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
             \"anonymousAccess\":false{rest}}}"
        )
    };
    let stream = |pause: u64| {
        format!(",\"sessionAffinity\":true,\"streamResumption\":true,\"gapTargetMs\":{pause}")
    };
    let routes = [
        route(
            "quick-ask",
            "/ask/",
            "streaming",
            10_000,
            300,
            "report-writer",
            &stream(200),
        ),
        route(
            "season-digest",
            "/digest/",
            "streaming",
            10_000,
            1_500,
            "report-writer",
            &stream(500),
        ),
        route(
            "pass-log",
            "/log/",
            "non_idempotent",
            2_500,
            150,
            "trail-desk",
            "",
        ),
        route(
            "trail-status",
            "/status/",
            "idempotent",
            2_500,
            150,
            "trail-desk",
            "",
        ),
    ];
    let engine = "{\"slots\":16,\"kvCacheTokens\":450000,\"stride\":46,\"step_ms\":0.925,\"per_seq_ms\":0.00483,\
        \"context_per_k\":0.00254,\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\
        \"delays\":[],\"usual\":{\"prompt\":13229,\"answer\":1541},\"hopMs\":0.1}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"report-writer\",\"healthCheckPath\":\"/health\",\"connectionLimit\":364,\"engine\":{engine}}},\
         {{\"name\":\"trail-desk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":100}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

impl Site {
    /// Starts a deployment with this many hosts, engines and plain workers, spread over the zones, and waits until
    /// traffic may start.
    pub fn start(
        root: &Path,
        record: &Arc<Record>,
        hosts: usize,
        engines: usize,
        desks: usize,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (store, address) = Store::start()?;
        store.put("keyed.op", "config", &configuration(1));
        let mut site = Self {
            store,
            hosts: Vec::new(),
            folder,
        };
        for (service, count) in [("report-writer", engines), ("trail-desk", desks)] {
            for index in 0..count {
                let at = Registration {
                    store: &site.store,
                    service,
                    zone: ZONES[index % ZONES.len()],
                };
                let name = format!("i-{service}-{index}");
                let worker = Worker::start(&name, service == "report-writer", &at, record)?;
                record.note(&format!("{name} listens at {worker}"));
            }
        }
        for index in 0..hosts {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("edge-{zone}-{}", 1 + index / ZONES.len());
            let host = Host::start(root, &site.folder, &name, zone, address)?;
            record.note(&format!("{name} listens at {}", host.clients));
            site.hosts.push(host);
        }
        thread::sleep(LEAD);
        if site
            .hosts
            .iter()
            .all(|host| host.wait_until_ready(Duration::from_secs(5)))
        {
            Ok(site)
        } else {
            Err(io::Error::other("a host is not ready"))
        }
    }

    /// Records which hosts say that they are ready.
    pub fn note_ready(&self, record: &Record) {
        for host in &self.hosts {
            let state = if host.is_ready() {
                "ready"
            } else {
                "not ready"
            };
            record.note(&format!("{} says that it is {state}", host.name));
        }
    }

    /// Copies the logs of the hosts.
    pub fn keep_logs(&self, to: &Path) {
        for host in &self.hosts {
            let name = format!("{}.log", host.name);
            let _ = fs::copy(self.folder.join(&name), to.join(&name));
        }
    }
}
