//! A node as a process of its own, before fakes of the engine and the platform in the test's process.

// Each test binary uses a part of this module.
#![allow(dead_code)]

pub mod crowd;
pub mod faulty;
pub mod http;

use std::io::{BufRead as _, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use fakes::engine::{Config, Engine};
use fakes::platform::Platform;
use serde_json::{Value, json};

/// Memory of the smallest machine that the users deploy on, in kilobytes.
const MEMORY_KB: u64 = 160 * 1_024;
/// Maximum number of open descriptors of the node.
pub const DESCRIPTORS: usize = 256;
/// Limit on the body of a request, in bytes.
pub const BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// Guard against hanging; nothing is expected to take as long.
pub const GUARD: Duration = Duration::from_secs(30);

pub const KEY: &str = "caller-key";
const KEY_HASH: &str = "d9f376b9bf894cc2c24e74981b01839a2dcf84bf07c5bb6bea376e90c4c7ae81";
const OPERATOR_KEY: &str = "operator-key";
const OPERATOR_KEY_HASH: &str = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";
pub const MODEL: &str = "report-writer";
/// The model of the faulty engines.
pub const FAULTY_MODEL: &str = "faulty-writer";
/// The service of the faulty workers.
pub const FAULTY_SERVICE: &str = "faulty-desk";

/// Which endpoints and which platform a node has.
#[derive(Default)]
pub struct Plan {
    /// Addresses of engines of [`FAULTY_MODEL`].
    pub engines: Vec<SocketAddr>,
    /// Addresses of workers of [`FAULTY_SERVICE`].
    pub workers: Vec<SocketAddr>,
    /// Starts a server in front of the platform at the given address.
    pub platform: Option<Box<dyn Fn(SocketAddr) -> SocketAddr>>,
    /// Changes the engine of [`MODEL`].
    pub engine: Option<fn(&mut Config)>,
    /// Maximum duration of a drain, in milliseconds.
    pub drain_ms: Option<u64>,
}

/// A node and all that it needs.
pub struct Site {
    child: Child,
    settings: PathBuf,
    pub callers: SocketAddr,
    pub nodes: SocketAddr,
    directory: PathBuf,
    _fakes: tokio::runtime::Runtime,
    _alone: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts a node and waits until it has answered a request. Only one site runs at a time.
    pub fn start(plan: &Plan) -> Self {
        static ALONE: Mutex<()> = Mutex::new(());
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let fakes = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let (engine, platform) = fakes.block_on(start_fakes(plan));
        let platform = plan
            .platform
            .as_ref()
            .map_or(platform, |front| front(platform));
        let (callers, nodes) = (free_address(), free_address());
        let directory = std::env::temp_dir().join(format!(
            "filbertstage-node-crowds-{}-{}",
            std::process::id(),
            callers.port()
        ));
        std::fs::create_dir_all(&directory).expect("a directory");
        let file = directory.join("node.json");
        let mut times = json!({ "watch_ms": 100 });
        if let Some(limit) = plan.drain_ms {
            times["drain_ms"] = limit.into();
        }
        let settings = json!({
            "host": "entry-1",
            "domain": "charnwood",
            "fleet_key": "a fleet key for tests on loopback only",
            "operator_key_hashes": [OPERATOR_KEY_HASH],
            "listen": { "callers": callers, "nodes": nodes },
            "platform": { "address": platform },
            "admission": { "body_bytes": BODY_BYTES },
            "times": times,
            "resources": { "memory_mb": 160, "descriptors": 256 },
        });
        std::fs::write(&file, settings.to_string()).expect("the settings are written");
        let mut child = Command::new("sh")
            .args([
                "-c",
                &format!("ulimit -n {DESCRIPTORS}; exec \"$0\" \"$@\""),
            ])
            .arg(env!("CARGO_BIN_EXE_filbertstage"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node starts");
        keep_log(&mut child, directory.join("log"));
        let mut site = Self {
            child,
            settings: file,
            callers,
            nodes,
            directory,
            _fakes: fakes,
            _alone: alone,
        };
        site.publish(&lists(engine, plan));
        site.wait_until_serving();
        site
    }

    fn publish(&mut self, lists: &[Value; 2]) {
        for change in lists {
            let key = format!("Bearer {OPERATOR_KEY}");
            self.retry("published", |site| {
                http::post(site.callers, "/operator/publish", &key, &change.to_string())
                    .is_ok_and(|(status, _)| status == 200)
            });
        }
    }

    fn wait_until_serving(&mut self) {
        self.retry("served a first request", |site| site.ask() == Ok(200));
    }

    fn retry(&mut self, what: &str, attempt: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while !attempt(self) {
            assert!(started.elapsed() < GUARD, "the node has not {what}");
            self.assert_alive();
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends an ordinary request and returns the status of its answer.
    pub fn ask(&self) -> Result<u16, String> {
        let body = json!({ "model": MODEL, "prompt": "a short prompt", "max_tokens": 4 });
        let key = format!("Bearer {KEY}");
        http::post(self.callers, "/v1/completions", &key, &body.to_string())
            .map(|(status, _)| status)
            .map_err(|error| error.to_string())
    }

    /// Sends the node a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "no {name} sent");
    }

    /// Waits until the node has exited, and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the state of the node") {
                return status.code();
            }
            assert!(started.elapsed() < GUARD, "the node does not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns what the node has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log")).expect("a log")
    }

    /// Rewrites the settings file with `change`.
    pub fn edit_settings(&self, change: impl FnOnce(&str) -> String) {
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        std::fs::write(&self.settings, change(&text)).expect("the settings are written");
    }

    pub fn assert_alive(&mut self) {
        let ended = self.child.try_wait().expect("the state of the node");
        assert!(ended.is_none(), "the node ended: {ended:?}");
    }

    /// Returns a value in kilobytes from the node's `/proc/PID/status`.
    fn memory_kb(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the node's status");
        let line = status.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        value.expect("a size")
    }

    fn descriptors(&self) -> usize {
        let list = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        list.expect("the node's descriptors").count()
    }

    /// Waits until the node's memory has stopped growing.
    pub fn settle(&mut self) {
        const QUIET: Duration = Duration::from_secs(1);
        let started = Instant::now();
        let mut peak = self.memory_kb("VmHWM");
        let mut grown = started;
        while grown.elapsed() < QUIET && started.elapsed() < GUARD {
            self.assert_alive();
            thread::sleep(Duration::from_millis(50));
            let now = self.memory_kb("VmHWM");
            if now > peak {
                (peak, grown) = (now, Instant::now());
            }
        }
    }

    /// Checks that the node lives, within its memory and descriptors, and answers an ordinary
    /// request both while `crowd` is held and after it is dropped.
    pub fn check<T>(&mut self, crowd: T) {
        self.settle();
        let open = self.descriptors();
        let during = self.ask();
        drop(crowd);
        self.assert_alive();
        let after = self.ask();
        self.assert_alive();
        let peak = self.memory_kb("VmHWM");
        println!(
            "peak {} MB, now {} MB, descriptors {open} and {}, during {during:?}, after {after:?}",
            peak / 1_024,
            self.memory_kb("VmRSS") / 1_024,
            self.descriptors(),
        );
        assert!(open <= DESCRIPTORS, "{open} descriptors are open");
        assert_eq!(during, Ok(200), "an ordinary request during the crowd");
        assert_eq!(after, Ok(200), "an ordinary request after the crowd");
        assert!(peak < MEMORY_KB, "the node used {} MB", peak / 1_024);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

async fn start_fakes(plan: &Plan) -> (SocketAddr, SocketAddr) {
    let platform = Platform::new();
    let mut config = Config::scaled("engine-1", MODEL, 1_000);
    config.kv_total = 8_000_000;
    config.max_running = 1_000;
    if let Some(change) = plan.engine {
        change(&mut config);
    }
    let engine = Engine::new(config, platform.weights.clone());
    let engine = engine.serve().await.expect("the engine starts");
    let platform = platform.serve(0).await.expect("the platform starts");
    (engine.address, platform.address)
}

/// Writes the node's output to `file`.
fn keep_log(child: &mut Child, file: PathBuf) {
    let output = child.stdout.take().expect("the node's output");
    thread::spawn(move || {
        use std::io::Write as _;
        let mut log = std::fs::File::create(file).expect("a log file");
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let _ = writeln!(log, "{line}");
        }
    });
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Returns the changes that publish the plan and the usage list.
fn lists(engine: SocketAddr, plan: &Plan) -> [Value; 2] {
    let plans = json!({ "workspaces": [{
        "workspace": "workspace-1",
        "key_hashes": [KEY_HASH],
        "models": [MODEL, FAULTY_MODEL],
        "services": [FAULTY_SERVICE],
        "requests_per_second": 100_000.0,
        "concurrency": 100_000,
    }] });
    let entry = |name: String, address: SocketAddr, model: &str| {
        json!({
            "name": name, "domain": "charnwood", "address": address.to_string(),
            "kind": "engine", "model": model, "checks_fencing": true,
        })
    };
    let mut endpoints = vec![entry("engine-1".to_owned(), engine, MODEL)];
    for (index, address) in plan.engines.iter().enumerate() {
        endpoints.push(entry(format!("faulty-{index}"), *address, FAULTY_MODEL));
    }
    for (index, address) in plan.workers.iter().enumerate() {
        endpoints.push(json!({
            "name": format!("worker-{index}"), "domain": "charnwood",
            "address": address.to_string(), "kind": "service", "service": FAULTY_SERVICE,
        }));
    }
    let usage = json!({
        "models": [{ "name": MODEL, "version": "1" }, { "name": FAULTY_MODEL, "version": "1" }],
        "endpoints": endpoints,
        "services": [{
            "name": FAULTY_SERVICE, "calls": [
                { "name": "conditions", "repeatable": true },
                { "name": "booking", "repeatable": false },
            ],
        }],
    });
    [
        json!({ "id": "first-plans", "base": 0, "edit": { "replace_plans": plans } }),
        json!({ "id": "first-usage", "base": 0, "edit": { "replace_usage": usage } }),
    ]
}
