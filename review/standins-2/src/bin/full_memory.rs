//! A trial, no case: a stream is read while the memory for bodies is full. It takes more clients at one host than
//! the sheets have.
//!
//! Arguments: repository, folder for the record. `TROUBLE=0` leaves out the clients that fill the memory.

use std::collections::BTreeSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use standins_2::host::{Host, Machine};
use standins_2::http;
use standins_2::record::Record;
use standins_2::store::Store;

/// The smallest machines of the sheets.
const MEMORY_MB: usize = 160;
/// The host keeps a third of its memory for bodies, and a quarter of that for bodies of up to 64 KiB.
const BODIES: usize = MEMORY_MB * 1_000_000 / 3;
const SMALL: usize = 64 * 1_024;
const LARGE: usize = 4_000_000;
const EVENTS: usize = 60;
/// Events that the engine sends at once, as after a pause, and the first of them.
const AT_ONCE: usize = 12;
const FIRST_AT_ONCE: usize = 21;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"look","host":"site.example","pathPrefix":"/look/","kind":"non_idempotent","timeoutMs":10000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1},{"name":"ask","host":"site.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1000,"gapTargetMs":250,"priority":1,"service":"llm","maxAttempts":2,"streamResumption":true}],"services":[{"name":"desk","connectionLimit":1000},{"name":"llm","connectionLimit":588,"engine":{"slots":12,"kvCacheTokens":344250,"stride":38,"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"delays":[],"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;

fn main() -> ExitCode {
    standins_2::run("full_memory", play)
}

fn play(root: &Path, logs: &Path, trouble: bool, record: &mut Record) -> u8 {
    let store = Store::default();
    let door = store.open_door();
    store.put("keyed.op", "config", CONFIGURATION);
    for number in 1..=3 {
        start_worker(&store, &format!("i-desk-{number}"), "desk", never_answer);
        start_worker(&store, &format!("i-llm-{number}"), "llm", send_events);
    }
    let machine = Machine {
        name: "edge-birgi-1",
        zone: "birgi",
        ip: "127.0.0.49",
        store: door.address,
    };
    let memory = MEMORY_MB.to_string();
    let Some(host) = Host::launch(root, logs, &machine, &[("limits.memoryMb", &memory)]) else {
        record.line("the host did not become ready");
        return 2;
    };
    let mut held = Vec::new();
    if trouble {
        let mut left = BODIES;
        let mut sizes = Vec::new();
        while left >= LARGE + BODIES / 4 {
            sizes.push(LARGE);
            left -= LARGE;
        }
        while left > SMALL {
            sizes.push(SMALL);
            left -= SMALL;
        }
        sizes.extend([15, 14, 13, 12, 11, 11, 10].map(|power| 1 << power));
        for size in sizes {
            let Ok(stream) = post(host.clients, "/look/1", held.len(), &vec![b'.'; size]) else {
                record.line("a client could not send its request");
                return 2;
            };
            held.push(stream);
        }
        record.line(&format!("{} clients wait for their answers", held.len()));
        // The last ones, for which there is no room, are refused in this time.
        thread::sleep(Duration::from_secs(1));
    }
    let answer = match post(host.clients, "/ask/1", usize::MAX, b"question").and_then(read) {
        Ok(answer) => answer,
        Err(error) => {
            record.line(&format!("the stream has no end: {error}"));
            return u8::from(trouble) * 2;
        }
    };
    let text = String::from_utf8_lossy(&answer.body);
    let got: BTreeSet<usize> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    let missing: Vec<_> = (1..=EVENTS).filter(|id| !got.contains(id)).collect();
    let (status, count) = (answer.status(), got.len());
    record.line(&format!(
        "status {status}, a whole answer with {count} of {EVENTS} events, without {missing:?}"
    ));
    let log = std::fs::read_to_string(&host.log).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("request=stream")) {
        record.line(&format!("log: {line}"));
    }
    u8::from(status == 200 && !missing.is_empty())
}

/// Sends a request; the one with the largest number is the stream.
fn post(host: SocketAddr, path: &str, number: usize, body: &[u8]) -> io::Result<TcpStream> {
    let id = match number {
        usize::MAX => "stream".to_owned(),
        _ => format!("body-{number}"),
    };
    let mut stream = TcpStream::connect(host)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 1000,2000\r\nX-Prompt-Prefix-Hash: 0a:40,0b:960\r\nX-Remaining-Milliseconds: 10000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    Ok(stream)
}

/// Reads a response to the end of its body; the end of the connection is none.
fn read(stream: TcpStream) -> io::Result<http::Message> {
    let response = http::read(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn start_worker(store: &Store, name: &str, service: &str, serve: fn(TcpStream) -> io::Result<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"birgi\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1764000000000}}"
    );
    store.put("keyed.servers", name, &entry);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
}

fn never_answer(stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while http::read(&mut reader)?.is_some() {}
    Ok(())
}

fn send_events(mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read(&mut reader)? {
        let id = request.header("x-attempt-id").unwrap_or("-");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let last = request.header("last-event-id");
        let mut next = last.and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
        while next <= EVENTS {
            let count = if next == FIRST_AT_ONCE { AT_ONCE } else { 1 };
            let numbers = next..next + count;
            let events = numbers.map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(490)));
            let events: String = events.collect();
            stream.write_all(format!("{:x}\r\n{events}\r\n", events.len()).as_bytes())?;
            next += count;
            thread::sleep(Duration::from_millis(30));
        }
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
