//! Clients pause for a few seconds in reading an answer.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::client::connect_small;
use review_standins::http::{read_body, read_head, Message};
use review_standins::node::{Node, KITANORI};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Worker;

const ANSWER: usize = 4_000_000;
const PAUSE: Duration = Duration::from_secs(4);
/// Receive buffer of the client, in bytes.
const BUFFER: i32 = 65_536;
const CLIENTS: usize = 6;

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

fn play(root: &Path, case: &Path, folder: &Path, trouble: bool) -> i32 {
    let record = Record::create(case);
    let store = Store::start();
    store.put("keyed.op", "config", CONFIGURATION);
    let run = Arc::new(|worker: &Worker, request: &Message, writer: &mut TcpStream| {
        thread::sleep(Duration::from_millis(30));
        let size = if request.target().ends_with("/small") { 800 } else { ANSWER };
        let whole = [worker.head(request, size).as_bytes(), &vec![b'x'; size]].concat();
        let sent = writer.write_all(&whole).is_ok();
        let id = request.header("x-attempt-id").unwrap_or("-");
        worker.record.line(&format!("worker {} has answered {id} with {size} bytes: {sent}", worker.name));
        sent
    });
    let zones = KITANORI.zones.iter().enumerate();
    let _workers: Vec<_> = zones
        .map(|(index, zone)| Worker::start(&store, &record, &format!("i-{index}"), "fare-desk", zone, 6, run.clone()))
        .collect();
    let Some(node) = Node::launch(root, folder, "edge-1", &KITANORI, "doto-a", store.address) else {
        record.line("the host does not become ready");
        return 2;
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, address) = (record.clone(), node.clients);
            thread::spawn(move || run_client(&record, address, index, trouble))
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        match client.join() {
            Ok(Some(true)) => {}
            Ok(Some(false)) => lost += 1,
            Ok(None) | Err(_) => return 2,
        }
    }
    record.line(&format!("{lost} of {CLIENTS} answers that a worker gave whole were cut off at the client"));
    // The rule allows three.
    i32::from(lost > 3)
}

/// Returns whether the whole answer to the second request on the connection arrived, or `None` if it
/// wasn't served at all.
fn run_client(record: &Record, address: SocketAddr, index: usize, pauses: bool) -> Option<bool> {
    let mut stream = connect_small(address, BUFFER).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut reader = BufReader::with_capacity(16_384, stream.try_clone().ok()?);
    let send = |stream: &mut TcpStream, kind: &str| {
        let id = format!("attempt-{index}-{kind}");
        record.line(&format!("client sends {id}"));
        let request = format!("POST /hold/{index}/{kind} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Remaining-Milliseconds: 10000\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nseat");
        stream.write_all(request.as_bytes()).ok()
    };
    send(&mut stream, "small")?;
    let mut first = read_head(&mut reader).ok()??;
    read_body(&mut reader, &mut first).ok()?;
    send(&mut stream, "large")?;
    let head = read_head(&mut reader).ok()??;
    record.line(&format!("client gets the head of attempt-{index}-large: {}", head.first));
    if first.status() != 200 || head.status() != 200 {
        return None;
    }
    let (mut got, mut piece) = (0, vec![0; 16_384]);
    let mut paused = !pauses;
    let end = loop {
        if got == ANSWER {
            break "whole".to_owned();
        }
        if got >= 100_000 && !paused {
            paused = true;
            record.line(&format!("client {index} pauses after {got} bytes"));
            thread::sleep(PAUSE);
        }
        match reader.read(&mut piece) {
            Ok(0) => break "the connection ended".to_owned(),
            Ok(length) => got += length,
            Err(error) => break error.to_string(),
        }
    };
    record.line(&format!("client has {got} of {ANSWER} bytes of attempt-{index}-large: {end}"));
    Some(got == ANSWER)
}
