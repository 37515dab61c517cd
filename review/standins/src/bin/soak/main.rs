//! Hosts and workers as processes, with clients, faults and links that are cut, all from one seed.
//!
//! Arguments: the repository or work tree whose `target/release/filbertstage` is played, a folder for the
//! record and the logs, the seed, the seconds. `SOAK_HOSTS`, `SOAK_CLIENTS` set how many there are, `SOAK_FAULTS`
//! which kinds of faults come (all but `poison` by default), `SOAK_WORKER_FAULTS` which of workers (all by default), `SOAK_MOMENTS` when engines end under the
//! fault `poison`, `SOAK_REQUESTS` which
//! kinds of requests clients send, and `SOAK_SCALE` by how many
//! percent of its usual share each of these is scaled. `SOAK_OTHER_ROOT` is a work tree whose program every second host
//! runs, and `SOAK_ARCHIVE=1` takes the settings of sma-qro. `SOAK_DESKS` and `SOAK_WRITERS` set how many workers there
//! are, and with `SOAK_REPEATS=1` clients send a refused attempt once more under its identifier. Exits with 1 if a rule
//! is broken.

mod poison;
mod trouble;

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{exit, Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::caller::{exchange, Kind, KINDS};
use review_standins::judge::{now, Attempt, Bounds, End, Judge, Millis, Step};
use review_standins::node::{Node, Site, CHARNWOOD, SMA};
use review_standins::peers::Peers;
use review_standins::plan::{is_chosen, setting, CONFIGURATION, FAULTS};
use review_standins::proxy::{self, Proxy};
use review_standins::rng::Rng;
use review_standins::store::Store;
use review_standins::worker::entry;

/// Where a worker's connections arrive, by host and worker.
type Links = Arc<Mutex<HashMap<(usize, String), Proxy>>>;

struct Worker {
    name: String,
    service: &'static str,
    zone: &'static str,
    port: u16,
    child: Child,
    input: ChildStdin,
    state: Arc<AtomicU8>,
}

const READY: u8 = 0;
const DRAINING: u8 = 1;
const ENDED: u8 = 2;

struct Soak {
    store: Store,
    views: Vec<Store>,
    links: Links,
    peers: Arc<OnceLock<Arc<Peers>>>,
    site: &'static Site,
    judge: Arc<Mutex<Judge>>,
    record: Arc<Mutex<File>>,
    hosts: Vec<Mutex<Node>>,
    /// Whether the balancer sends new connections to a host.
    rotation: Arc<Vec<AtomicBool>>,
    workers: Mutex<Vec<Worker>>,
    /// The kinds of requests that clients send.
    requests: Vec<&'static Kind>,
    /// The faults of workers that come.
    faults: Vec<(&'static str, f64)>,
    /// The part of prompts that crashes engines now.
    part: Mutex<Option<String>>,
    /// Whether hosts reach workers without a link that can be cut.
    is_direct: bool,
    numbers: AtomicU64,
    stopped: AtomicBool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let root = PathBuf::from(&arguments[0]);
    let folder = PathBuf::from(&arguments[1]);
    let number = |index: usize| arguments[index].parse::<u64>().expect("a number");
    let (seed, seconds) = (number(2), number(3));
    let (host_count, clients) = (setting("SOAK_HOSTS", 4) as usize, setting("SOAK_CLIENTS", 32));
    let kinds = std::env::var("SOAK_FAULTS").unwrap_or_else(|_| "worker,kill,drain,stop,host,freeze,term,link,store,peers,detour".to_owned());
    fs::create_dir_all(&folder).expect("a folder");
    let soak = Soak::start(&root, &folder, host_count, seed);
    let (desks, writers) = (setting("SOAK_DESKS", 4) as usize, setting("SOAK_WRITERS", 5) as usize);
    for index in 0..desks + writers {
        soak.start_worker(if index < desks { "desk" } else { "writer" }, soak.site.zones[index % 3], 0, seed * 100 + index as u64, None);
    }
    if !soak.start_hosts() {
        println!("seed {seed}: a host does not become ready");
        soak.end();
        exit(2);
    }
    let began = Instant::now();
    let until = began + Duration::from_secs(seconds);
    thread::scope(|scope| {
        scope.spawn(|| soak.balance());
        scope.spawn(|| soak.replace_crashed());
        for client in 0..clients {
            let soak = &soak;
            scope.spawn(move || soak.run_client(client, Rng::new(seed * 1_000 + client), until));
        }
        soak.make_trouble(&kinds, &mut Rng::new(seed), until);
        soak.stopped.store(true, Ordering::SeqCst);
    });
    // Whatever is still on its way arrives.
    thread::sleep(Duration::from_secs(2));
    let code = soak.report(seed, &folder);
    soak.end();
    exit(code);
}

impl Soak {
    fn start(root: &std::path::Path, folder: &std::path::Path, host_count: usize, seed: u64) -> Self {
        let store = Store::start();
        store.put("keyed.op", "config", &CONFIGURATION.replace('\n', ""));
        let links: Links = Arc::default();
        let peers: Arc<OnceLock<Arc<Peers>>> = Arc::default();
        let site = if setting("SOAK_ARCHIVE", 0) == 1 { &SMA } else { &CHARNWOOD };
        let views: Vec<_> = (0..host_count)
            .map(|host| {
                let (links, peers) = (Arc::clone(&links), Arc::clone(&peers));
                store.view(Arc::new(move |value: &[u8]| {
                    let text = String::from_utf8_lossy(value);
                    let Some((before, rest)) = text.split_once('@') else {
                        let peers: Option<&Arc<Peers>> = peers.get();
                        return peers.map_or(value.to_vec(), |peers| peers.rewrite(host, text.into_owned()).into_bytes());
                    };
                    let Some((name, after)) = rest.split_once('@') else { return value.to_vec() };
                    let address = links.lock().unwrap().get(&(host, name.to_owned())).map(|proxy| proxy.address);
                    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 1)));
                    format!("{before}{address}{after}").into_bytes()
                }))
            })
            .collect();
        let scale = setting("SOAK_SCALE", 100) as f64 / 100.0;
        // Hosts of two builds side by side.
        let other = std::env::var("SOAK_OTHER_ROOT").ok().map(PathBuf::from);
        let hosts = views.iter().enumerate().map(|(host, view)| {
            let root = if host % 2 == 1 { other.as_deref().unwrap_or(root) } else { root };
            Mutex::new(Node::prepare(root, folder, &format!("edge-{host}"), site, site.zones[host % 3], view.address))
        });
        let hosts: Vec<_> = hosts.collect();
        let addresses: Vec<_> = hosts.iter().map(|host: &Mutex<Node>| host.lock().unwrap().hosts).collect();
        let _ = peers.set(Peers::start(&addresses, seed));
        Self {
            store,
            views,
            links,
            peers,
            site,
            judge: Arc::default(),
            record: Arc::new(Mutex::new(File::create(folder.join("record.txt")).expect("the folder can be written"))),
            rotation: Arc::new(hosts.iter().map(|_| AtomicBool::new(true)).collect()),
            hosts,
            workers: Mutex::default(),
            requests: KINDS.iter().filter(|kind| is_chosen("SOAK_REQUESTS", kind.path)).collect(),
            faults: FAULTS
                .into_iter()
                .filter(|(name, _)| is_chosen("SOAK_WORKER_FAULTS", name))
                .map(|(name, share)| (name, (share * scale).min(0.95)))
                .collect(),
            part: Mutex::default(),
            is_direct: setting("SOAK_DIRECT", 0) == 1,
            numbers: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    fn start_hosts(&self) -> bool {
        for host in &self.hosts {
            host.lock().unwrap().start();
        }
        self.hosts.iter().all(|host| host.lock().unwrap().wait_until_ready(Duration::from_secs(10)))
    }

    fn end(&self) {
        for worker in self.workers.lock().unwrap().iter_mut() {
            worker.state.store(ENDED, Ordering::SeqCst);
            let _ = worker.child.kill();
            let _ = worker.child.wait();
        }
        for host in &self.hosts {
            host.lock().unwrap().kill();
        }
    }

    fn line(&self, text: &str) {
        let _ = self.record.lock().unwrap().write_all(format!("{} {text}\n", now()).as_bytes());
    }

    /// Starts a worker, on the same port or under the same name as an earlier one if these are given.
    fn start_worker(&self, service: &'static str, zone: &'static str, port: u16, seed: u64, name: Option<String>) {
        let number = self.numbers.fetch_add(1, Ordering::SeqCst);
        let name = name.unwrap_or_else(|| format!("i-{number}"));
        let slots = if service == "desk" { 6 } else { 16 };
        let program = std::env::current_exe().expect("a path").with_file_name("soak_worker");
        let mut command = Command::new(program);
        command.args([name.clone(), port.to_string(), slots.to_string(), seed.to_string()]);
        let spawned = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
        let mut child = spawned.expect("review/build.sh has run");
        let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let Some(Ok(address)) = lines.next() else {
            // Its port is taken.
            let _ = child.wait();
            if port != 0 {
                self.start_worker(service, zone, 0, seed, Some(name));
            }
            return;
        };
        let address: SocketAddr = address.parse().expect("an address");
        for host in 0..self.hosts.len() {
            let judge = Arc::clone(&self.judge);
            let proxy = Proxy::start(address, Arc::new(move |port| {
                judge.lock().unwrap().ports.insert(port, host);
            }));
            if let Some(former) = self.links.lock().unwrap().insert((host, name.clone()), proxy) {
                former.set(proxy::GONE);
            }
        }
        let (judge, own) = (Arc::clone(&self.judge), name.clone());
        let links: Vec<_> = (0..self.hosts.len()).filter_map(|host| self.links.lock().unwrap().get(&(host, name.clone())).cloned()).collect();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let words: Vec<_> = line.split(' ').collect();
                if let [what, at, id, remaining, port] = words[..] {
                    let mut judge = judge.lock().unwrap();
                    let port = port.parse().unwrap_or(0);
                    let host = judge.ports.get(&port).copied();
                    let step = Step { worker: own.clone(), what: what.to_owned(), at: at.parse().unwrap_or(0), id: id.to_owned(), remaining: remaining.parse().ok(), host, port };
                    judge.steps.push(step);
                }
            }
            links.iter().filter(|link| link.state() == proxy::OPEN).for_each(|link| link.set(proxy::CLOSED));
        });
        let state = Arc::new(AtomicU8::new(READY));
        let (store, beating, own, born) = (self.store.clone(), Arc::clone(&state), name.clone(), u128::from(now()));
        let listed = if self.is_direct { address.to_string() } else { format!("@{own}@") };
        thread::spawn(move || {
            for sequence in 0.. {
                let text = entry(service, &listed, zone, slots, sequence, born);
                match beating.load(Ordering::SeqCst) {
                    READY => store.put("keyed.servers", &own, &text),
                    DRAINING => store.put("keyed.servers", &own, &text.replace("\"ready\"", "\"draining\"")),
                    _ => break,
                }
                for _ in 0..12 {
                    if beating.load(Ordering::SeqCst) == READY {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
                if beating.load(Ordering::SeqCst) == DRAINING {
                    thread::sleep(Duration::from_millis(300));
                }
            }
            thread::sleep(Duration::from_millis(2_400));
            if !store.lists("keyed.servers", &own, &format!("\"born\":{born}")) {
                return;
            }
            store.put("keyed.servers", &own, "");
        });
        self.line(&format!("worker {name} of {service} starts at {address}"));
        let input = child.stdin.take().expect("a pipe");
        self.workers.lock().unwrap().push(Worker { name, service, zone, port: address.port(), child, input, state });
    }

    /// Asks for readiness once a second; two misses take a host out of the rotation.
    fn balance(&self) {
        let mut misses = vec![0; self.hosts.len()];
        while !self.stopped.load(Ordering::SeqCst) {
            for (host, missed) in misses.iter_mut().enumerate() {
                let address = self.hosts[host].lock().unwrap().readiness;
                let ready = review_standins::client::probe(address) == Some(200);
                *missed = if ready { 0 } else { *missed + 1 };
                self.rotation[host].store(*missed < 2, Ordering::SeqCst);
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    fn run_client(&self, client: u64, mut rng: Rng, until: Instant) {
        let mut kept: Option<(usize, TcpStream, Instant)> = None;
        let mut number = 0;
        let repeats = setting("SOAK_REPEATS", 0) == 1;
        while Instant::now() < until {
            let kind = rng.pick(&self.requests);
            let deadline = Instant::now() + Duration::from_millis(kind.remaining);
            let mut is_repeat = false;
            // One retry, as on the sheets.
            for attempt in 0..2 {
                number += u64::from(!is_repeat);
                let id = format!("{client:x}-{number:x}");
                let left = deadline.saturating_duration_since(Instant::now());
                if left < Duration::from_millis(50) {
                    break;
                }
                let open = kept.take().filter(|(_, _, used)| (attempt == 0 || is_repeat) && used.elapsed() < Duration::from_secs(12) && rng.chance(0.8));
                let is_kept = open.is_some();
                let (host, stream) = match open {
                    Some((host, stream, _)) => (host, stream),
                    None => {
                        let ready: Vec<_> = (0..self.hosts.len()).filter(|host| self.rotation[*host].load(Ordering::SeqCst)).collect();
                        let all: Vec<_> = (0..self.hosts.len()).collect();
                        let host = *rng.pick(if ready.is_empty() { &all } else { &ready });
                        let address = self.hosts[host].lock().unwrap().clients;
                        match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                            Ok(stream) => (host, stream),
                            Err(_) => {
                                thread::sleep(Duration::from_millis(30));
                                continue;
                            }
                        }
                    }
                };
                let sent = now();
                let part = self.draw_part(kind, &id, &mut rng);
                let (end, retry_after) = exchange(&stream, &mut rng, kind, &id, part.as_deref(), left);
                let whole = matches!(end, End::Status(_) | End::Wrong(..));
                let keeps = whole && retry_after.is_some();
                let attempt = Attempt {
                    id,
                    service: kind.service,
                    repeatable: kind.repeatable,
                    max_attempts: kind.max_attempts,
                    host,
                    kept: is_kept,
                    sent,
                    remaining: left.as_millis() as Millis,
                    ended: now(),
                    end: end.clone(),
                };
                self.judge.lock().unwrap().attempts.push(attempt);
                if keeps {
                    kept = Some((host, stream, Instant::now()));
                }
                let again = match end {
                    End::Status(429 | 503 | 408 | 421) => true,
                    End::Status(500..) | End::Broken(_) => kind.repeatable,
                    _ => false,
                };
                if !again {
                    break;
                }
                is_repeat = repeats && matches!(end, End::Status(429 | 503));
                if is_repeat {
                    thread::sleep(Duration::from_millis(rng.range(0, 20)));
                    continue;
                }
                thread::sleep(retry_after.unwrap_or_default().min(left / 3));
            }
            thread::sleep(Duration::from_millis(rng.range(10, 80)));
        }
    }

    fn report(&self, seed: u64, folder: &std::path::Path) -> i32 {
        let judge = self.judge.lock().unwrap();
        let bounds = Bounds { ratio: 0.2, floor: f64::from(self.site.retry_floor), window: 10_000, stability: 3_000 };
        let (broken, figures) = judge.verdict(&bounds);
        let mut text = String::new();
        for (rule, cases) in &broken {
            text += &format!("{rule}: {} cases\n", cases.len());
            for case in cases {
                text += &format!("    {case}\n");
            }
        }
        let _ = fs::write(folder.join("verdict.txt"), &text);
        let rules: Vec<_> = broken.iter().map(|(rule, cases)| format!("{rule} {}", cases.len())).collect();
        println!("seed {seed}: {} attempts, {}; broken: {rules:?}", judge.attempts.len(), figures.join(", "));
        i32::from(broken.keys().any(|rule| !rule.contains("information")))
    }
}
