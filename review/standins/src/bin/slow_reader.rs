//! SIGTERM reaches a host while a client reads an answer slowly.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::client::connect_small;
use review_standins::http::read_head;
use review_standins::node::{Node, KITANORI, SIGTERM};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Worker;

const ANSWER: usize = 6_000_000;
/// What the client reads at a time, and its pause after that: about 1 MB a second.
const PIECE: usize = 54_000;
const PAUSE: Duration = Duration::from_millis(50);
/// Receive buffer of the client, in bytes.
const BUFFER: i32 = 65_536;
const CLIENTS: usize = 6;
/// The end of the planned work after the start of the requests, which is before their deadline of 10 s.
const LIMIT: Duration = Duration::from_millis(9_500);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"seat-hold","host":"site.example","pathPrefix":"/hold/","kind":"non_idempotent","timeoutMs":10000,"targetLatencyMs":300,"priority":2,"service":"fare-desk","maxAttempts":2,"anonymousAccess":false}],"services":[{"name":"fare-desk","healthCheckPath":"/health","connectionLimit":100,"protocol":"h1","transportSecurity":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"club","apiKeys":["key-1"],"priority":1}]}"#;

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

fn play(root: &PathBuf, case: &PathBuf, folder: &PathBuf, trouble: bool) -> i32 {
    let record = Record::create(case);
    let store = Store::start();
    store.put("keyed.op", "config", CONFIGURATION);
    let given = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&given);
    let run = Arc::new(move |worker: &Worker, request: &review_standins::http::Message, writer: &mut std::net::TcpStream| {
        thread::sleep(Duration::from_millis(30));
        let body: Vec<u8> = (0..ANSWER).map(|index| b'a' + (index % 23) as u8).collect();
        let whole = [worker.head(request, ANSWER).as_bytes(), &body].concat();
        let sent = writer.write_all(&whole).is_ok();
        counted.fetch_add(usize::from(sent), Ordering::SeqCst);
        let id = request.header("x-attempt-id").unwrap_or("-");
        worker.record.line(&format!("worker {} has answered {id} with {ANSWER} bytes: {sent}", worker.name));
        sent
    });
    let _workers: Vec<_> = KITANORI
        .zones
        .iter()
        .enumerate()
        .map(|(index, zone)| Worker::start(&store, &record, &format!("i-{index}"), "fare-desk", zone, 6, run.clone()))
        .collect();
    let Some(node) = Node::launch(root, folder, "edge-1", &KITANORI, "doto-a", store.address) else {
        record.line("the host does not become ready");
        return 2;
    };
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, address) = (record.clone(), node.clients);
            thread::spawn(move || read_slowly(&record, address, index, began))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record.line("SIGTERM to edge-1");
        node.signal(SIGTERM);
    }
    let mut broken = 0;
    for client in clients {
        match client.join() {
            Ok(Some(true)) => {}
            Ok(Some(false)) => broken += 1,
            Ok(None) | Err(_) => return 2,
        }
    }
    // The rule excuses what a worker has not given whole.
    if given.load(Ordering::SeqCst) < CLIENTS {
        record.line("a worker could not give its whole answer");
        return 2;
    }
    record.line(&format!("{broken} of {CLIENTS} answers that a worker gave whole were cut off at the client"));
    i32::from(broken > 0)
}

/// Returns whether the whole answer arrived, or `None` if the request wasn't served at all.
fn read_slowly(record: &Record, address: std::net::SocketAddr, index: usize, began: Instant) -> Option<bool> {
    let mut stream = connect_small(address, BUFFER).ok()?;
    let id = format!("attempt-{index}");
    let request = format!("POST /hold/{index} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Milliseconds: 10000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nseat");
    stream.write_all(request.as_bytes()).ok()?;
    record.line(&format!("client sends {id}"));
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut reader = BufReader::with_capacity(PIECE, stream);
    let head = read_head(&mut reader).ok()??;
    record.line(&format!("client gets the head of {id}: {}", head.first));
    if head.status() != 200 {
        return None;
    }
    let (mut got, mut piece) = (0, vec![0; PIECE]);
    let mut late = false;
    let end = loop {
        if got == ANSWER {
            break "whole".to_owned();
        }
        match reader.read(&mut piece) {
            Ok(0) => break "the connection ended".to_owned(),
            Ok(length) => got += length,
            Err(error) => {
                late = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                break error.to_string();
            }
        }
        thread::sleep(PAUSE);
    };
    let took = began.elapsed().as_millis();
    record.line(&format!("client has {got} of {ANSWER} bytes of {id} after {took} ms: {end}"));
    // What ends at the deadline, or after the planned work (1 s after graceS), is excused.
    let excused = late || began.elapsed() >= LIMIT;
    Some(got == ANSWER || excused)
}
