//! Many users send the largest bodies that the limits allow, and the platform kills a process that
//! exceeds its memory.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standins::http::{read_body, read_head, Message};
use review_standins::node::{Node, Site, SIGKILL, SMA};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::{stream_event, Worker, EVENTS};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"revision-buzon","host":"site.example","pathPrefix":"/buzon/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":3000,"gapTargetMs":1000,"priority":1,"service":"modelo-legal","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":true,"streamResumption":true}],"services":[{"name":"modelo-legal","healthCheckPath":"/health","connectionLimit":354,"protocol":"h1","transportSecurity":false,"engine":{"slots":16,"kvCacheTokens":315000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":51,"models":[{"name":"m"}],"step_ms":0.85,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":177000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":13229,"answer":1541},"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"club","apiKeys":["key-1"],"priority":1}]}"#;
/// Two hosts of the sheet: memory in MB, and the clients of their zones. The other host of qro-norte is
/// killed before each round, so all clients of that zone come to the first one.
const HOSTS: [(&str, &str, u64, usize); 2] = [("edge-qro-norte-1", "qro-norte", 260, 34), ("edge-qro-oriente-1", "qro-oriente", 260, 36)];
/// The site, whose settings have the memory of the hosts.
const SITE: Site = Site { memory_mb: Some(260), ..SMA };
const NEIGHBOUR: &str = "edge-qro-norte-2";
/// Time between two requests of a zone without the disruption.
const CALM: Duration = Duration::from_millis(400);
const BODY: usize = 4_194_304;
/// What each client sends at a time, and its pause after that: all of them stay within the link.
const PIECE: usize = 65_536;
const PAUSE: Duration = Duration::from_millis(25);
const ROUNDS: usize = 3;

struct Host {
    node: Mutex<Node>,
    address: SocketAddr,
    name: &'static str,
    ends: AtomicUsize,
    peak_mb: AtomicUsize,
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let root = arguments.next().expect("the repository");
    let case = arguments.next().expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = play(&root, &case, &folder, trouble);
    let _ = std::fs::remove_dir_all(&folder);
    exit(code);
}

fn play(root: &Path, case: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(case);
    let store = Store::start();
    store.put("keyed.op", "config", CONFIGURATION);
    let run = Arc::new(|worker: &Worker, request: &Message, writer: &mut TcpStream| {
        let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
        thread::sleep(Duration::from_millis(1_000));
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {}.{EVENTS}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", worker.name);
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            let event = stream_event(&id, number);
            if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
            thread::sleep(Duration::from_millis(40));
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    });
    let _engines: Vec<_> = (0..16)
        .map(|index| Worker::start(&store, &record, &format!("i-{index}"), "modelo-legal", SMA.zones[index % 3], 16, run.clone()))
        .collect();
    let mut hosts = Vec::new();
    for (name, zone, ..) in HOSTS {
        let Some(node) = Node::launch(root, folder, name, &SITE, zone, store.address) else {
            record.line("a host does not become ready");
            return 2;
        };
        let address = node.clients;
        hosts.push(Arc::new(Host { node: Mutex::new(node), address, name, ends: AtomicUsize::new(0), peak_mb: AtomicUsize::new(0) }));
    }
    let Some(mut neighbour) = Node::launch(root, folder, NEIGHBOUR, &SITE, "qro-norte", store.address) else {
        return 2;
    };
    let done = Arc::new(AtomicBool::new(false));
    let platforms: Vec<_> = hosts
        .iter()
        .zip(HOSTS)
        .map(|(host, (.., memory_mb, _))| {
            let (host, record, done) = (Arc::clone(host), record.clone(), Arc::clone(&done));
            thread::spawn(move || run_platform(&host, &record, &done, memory_mb))
        })
        .collect();
    let answered = Arc::new(AtomicUsize::new(0));
    for round in 0..ROUNDS {
        record.line(&format!("round {round}"));
        if trouble {
            record.line(&format!("SIGKILL to {NEIGHBOUR}"));
            neighbour.kill();
            // The platform takes it out of rotation after two misses.
            thread::sleep(Duration::from_millis(2_200));
        }
        let mut clients = Vec::new();
        for (host, (.., count)) in hosts.iter().zip(HOSTS) {
            for index in 0..count {
                let (host, record, answered) = (Arc::clone(host), record.clone(), Arc::clone(&answered));
                // Without the disruption, half of the clients of qro-norte are at its other host.
                let address = if !trouble && host.name == HOSTS[0].0 && index % 2 == 1 { neighbour.clients } else { host.address };
                clients.push(thread::spawn(move || {
                    if !trouble {
                        thread::sleep(CALM * index as u32);
                    }
                    let id = format!("attempt-{}-{round}-{index}", host.name);
                    let answer = ask(address, &id);
                    answered.fetch_add(usize::from(answer.is_ok()), Ordering::SeqCst);
                    record.line(&format!("client of {id}: {answer:?}"));
                }));
            }
        }
        if trouble {
            thread::sleep(Duration::from_millis(1_300));
            neighbour.start();
            record.line(&format!("{NEIGHBOUR} starts again"));
        }
        for client in clients {
            let _ = client.join();
        }
        // The hosts are back, and are ready.
        thread::sleep(Duration::from_secs(4));
    }
    done.store(true, Ordering::SeqCst);
    for platform in platforms {
        let _ = platform.join();
    }
    let mut broken = 0;
    for host in &hosts {
        let ends = host.ends.load(Ordering::SeqCst);
        broken += usize::from(ends >= 3);
        record.line(&format!("{}: ended {ends} times, peak {} MB", host.name, host.peak_mb.load(Ordering::SeqCst)));
    }
    record.line(&format!("{} requests answered; hosts whose process ended three times: {broken}", answered.load(Ordering::SeqCst)));
    if answered.load(Ordering::SeqCst) == 0 && !trouble {
        return 2;
    }
    i32::from(broken >= 2)
}

/// Kills the process when it exceeds its memory, and starts it again after a short delay.
fn run_platform(host: &Host, record: &Record, done: &AtomicBool, memory_mb: u64) {
    let mut pid = host.node.lock().unwrap().pid();
    while !done.load(Ordering::SeqCst) {
        let resident = resident_mb(pid);
        host.peak_mb.fetch_max(resident as usize, Ordering::SeqCst);
        if resident > memory_mb {
            let mut node = host.node.lock().unwrap();
            node.signal(SIGKILL);
            node.kill();
            host.ends.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("{} holds {resident} MB, more than {memory_mb}: the platform kills it", host.name));
            thread::sleep(Duration::from_millis(500));
            node.start();
            pid = node.pid();
            record.line(&format!("{} starts again", host.name));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn resident_mb(pid: i32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

fn ask(address: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let part: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
    let head = format!("POST /buzon/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 154000,1785\r\nX-Prompt-Prefix-Hash: 0a:40,{part}:153960\r\nX-Remaining-Milliseconds: 15000\r\nAuthorization: Bearer key-1\r\nContent-Length: {BODY}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for _ in 0..BODY / PIECE {
        stream.write_all(&[b'p'; PIECE])?;
        thread::sleep(PAUSE);
    }
    let mut reader = BufReader::new(stream);
    let mut head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut head)?;
    Ok(head.status())
}
