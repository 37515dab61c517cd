//! A worker whose answers have no length is killed in the middle of an answer.
//!
//! The third argument is `call` or `stream`: the kind of the requests.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::client::exchange;
use review_standins::node::{Node, CHARNWOOD};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::{entry, stream_event, unframed_body, EVENTS};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"trail-status","host":"site.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"trail-desk","maxAttempts":2,"anonymousAccess":false}],"services":[{"name":"trail-desk","healthCheckPath":"/health","connectionLimit":100,"protocol":"h1","transportSecurity":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"club","apiKeys":["key-1"],"priority":1}]}"#;
/// The same with a route of event streams that may not be resumed, on engines like those of the site.
const STREAMS: &str = r#"{"version":1,"routes":[{"name":"quick-ask","host":"site.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"gapTargetMs":200,"priority":1,"service":"report-writer","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":true,"streamResumption":false}],"services":[{"name":"report-writer","healthCheckPath":"/health","connectionLimit":364,"protocol":"h1","transportSecurity":false,"engine":{"slots":16,"kvCacheTokens":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":13229,"answer":1541},"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"club","apiKeys":["key-1"],"priority":1}]}"#;
const WORKERS: usize = 7;
const CLIENTS: usize = 6;
const LENGTH: Duration = Duration::from_secs(6);

struct Process {
    child: Arc<Mutex<Child>>,
    /// Whether the process beats in the store.
    alive: Arc<AtomicBool>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.alive.store(false, Ordering::SeqCst);
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let root = arguments.next().expect("the repository");
    let case = arguments.next().expect("the folder of the case");
    let streams = arguments.next().is_some_and(|kind| kind.as_os_str() == "stream");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let code = play(&root, &case, &folder, streams, trouble);
    let _ = std::fs::remove_dir_all(&folder);
    exit(code);
}

fn play(root: &Path, case: &Path, folder: &Path, streams: bool, trouble: bool) -> i32 {
    let record = Record::create(case);
    let store = Store::start();
    store.put("keyed.op", "config", if streams { STREAMS } else { CONFIGURATION });
    let service = if streams { "report-writer" } else { "trail-desk" };
    // The worker that is killed, once it is in the middle of an answer and this is set.
    let armed = Arc::new(AtomicBool::new(false));
    let mut processes = Vec::new();
    for index in 0..WORKERS {
        match start_worker(&store, &record, &format!("i-{index}"), service, CHARNWOOD.zones[index % 3], &armed) {
            Some(process) => processes.push(process),
            None => return 2,
        }
    }
    let code = match Node::launch(root, folder, "edge-1", &CHARNWOOD, "charnwood", store.address) {
        Some(node) => run_clients(&record, &node, &armed, streams, trouble),
        None => {
            record.line("the host does not become ready");
            2
        }
    };
    code
}

fn start_worker(store: &Store, record: &Record, name: &str, service: &'static str, zone: &str, armed: &Arc<AtomicBool>) -> Option<Process> {
    let program = std::env::current_exe().ok()?.with_file_name("unframed_worker");
    let mut child = Command::new(program).arg(name).stdin(Stdio::null()).stdout(Stdio::piped()).spawn().ok()?;
    let mut lines = BufReader::new(child.stdout.take()?).lines();
    let address = lines.next()?.ok()?;
    let process = Process { child: Arc::new(Mutex::new(child)), alive: Arc::new(AtomicBool::new(true)) };
    let (child, alive, armed) = (Arc::clone(&process.child), Arc::clone(&process.alive), Arc::clone(armed));
    let (record, own) = (record.clone(), name.to_owned());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if (line.starts_with("half ") || line.starts_with("event 12 ")) && armed.swap(false, Ordering::SeqCst) {
                let _ = child.lock().unwrap().kill();
                alive.store(false, Ordering::SeqCst);
                record.line(&format!("worker {own}: {line}; SIGKILL to {own}"));
            } else {
                record.line(&format!("worker {own}: {line}"));
            }
        }
    });
    let (store, alive, name, zone) = (store.clone(), Arc::clone(&process.alive), name.to_owned(), zone.to_owned());
    thread::spawn(move || {
        let mut sequence = 0;
        while alive.load(Ordering::SeqCst) {
            store.put("keyed.servers", &name, &entry(service, &address, &zone, if service == "trail-desk" { 6 } else { 16 }, sequence, 1_700_000_000_000));
            sequence += 1;
            thread::sleep(Duration::from_millis(1_200));
        }
        // The store removes the entry after three silent intervals.
        thread::sleep(Duration::from_millis(2_400));
        store.put("keyed.servers", &name, "");
    });
    Some(process)
}

fn run_clients(record: &Record, node: &Node, armed: &Arc<AtomicBool>, streams: bool, trouble: bool) -> i32 {
    let began = Instant::now();
    let (whole, other) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let wrong = Arc::new(Mutex::new(BTreeSet::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, address) = (record.clone(), node.clients);
            let (whole, other, wrong) = (Arc::clone(&whole), Arc::clone(&other), Arc::clone(&wrong));
            thread::spawn(move || {
                for number in 0.. {
                    if began.elapsed() >= LENGTH {
                        return;
                    }
                    let id = format!("attempt-{client}-{number}");
                    let (request, expected) = if streams {
                        let events: String = (1..=EVENTS).map(|number| stream_event(&id, number)).collect();
                        let request = format!("POST /ask/{client} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 5000,1610\r\nX-Prompt-Prefix-Hash: 0a:40,{client:x}{number:x}:4960\r\nX-Remaining-Milliseconds: 10000\r\nAuthorization: Bearer key-1\r\nContent-Length: 8\r\n\r\nquestion");
                        (request, events.into_bytes())
                    } else {
                        let request = format!("GET /status/{client} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Milliseconds: 2500\r\nAuthorization: Bearer key-1\r\n\r\n");
                        (request, unframed_body(&id))
                    };
                    record.line(&format!("client sends {id}"));
                    match exchange(address, request.as_bytes(), Duration::from_millis(10_000)) {
                        Ok(answer) if answer.status() == 200 && answer.body == expected => {
                            whole.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("client gets 200 for {id}, whole"));
                        }
                        Ok(answer) if answer.status() == 200 => {
                            record.line(&format!(
                                "client gets 200 for {id}, signature {:?}, Content-Length {:?}, Transfer-Encoding {:?}, complete in HTTP, but only {} of {} bytes of the worker's body",
                                answer.header("x-response-signature"),
                                answer.header("content-length"),
                                answer.header("transfer-encoding"),
                                answer.body.len(),
                                expected.len()
                            ));
                            wrong.lock().unwrap().insert(id);
                        }
                        Ok(answer) => {
                            other.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("client gets {} for {id}", answer.status()));
                        }
                        Err(error) => {
                            other.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("client gets no whole answer for {id}: {error}"));
                        }
                    }
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    armed.store(trouble, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let wrong = wrong.lock().unwrap();
    record.line(&format!(
        "{} whole answers, {} others, {} truncated answers that look complete: {wrong:?}",
        whole.load(Ordering::SeqCst),
        other.load(Ordering::SeqCst),
        wrong.len()
    ));
    if whole.load(Ordering::SeqCst) == 0 {
        return 2;
    }
    i32::from(!wrong.is_empty())
}
