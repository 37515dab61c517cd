//! SIGTERM reaches a host while all engines are busy, and long prompts wait at the host.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::http::{read_body, read_head, Message};
use review_standins::node::{Node, KITANORI, SIGTERM};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::{stream_event, Worker};

/// Routes and engines as the sheet of the site has them.
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"route-ask","host":"site.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":250,"gapTargetMs":250,"priority":1,"service":"planner-llm","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":true,"streamResumption":true},{"name":"winter-bulletin","host":"site.example","pathPrefix":"/bulletin/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":8000,"gapTargetMs":1000,"priority":1,"service":"planner-llm","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":true,"streamResumption":true}],"services":[{"name":"planner-llm","healthCheckPath":"/health","connectionLimit":558,"protocol":"h1","transportSecurity":false,"engine":{"slots":12,"kvCacheTokens":315000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":57,"models":[{"name":"m"}],"step_ms":0.85,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":177000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":13229,"answer":1541},"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"riders","apiKeys":["key-1"],"priority":1}]}"#;
const ENGINES: usize = 3;
const SLOTS: usize = 12;
/// Events of a short prompt's answer, one every 50 ms.
const ANSWER_EVENTS: usize = 190;
/// Body of a long prompt, which its client sends within a second.
const PROMPT_BYTES: usize = 900_000;
const PIECES: usize = 20;
const LONG_PROMPTS: usize = 8;
/// The bound lossSlackMs, and the end of the planned work: 1 s after graceS.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const PLANNED: Duration = Duration::from_secs(9);

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
    let at_workers = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&at_workers);
    let run = Arc::new(move |worker: &Worker, request: &Message, writer: &mut TcpStream| {
        let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
        counted.fetch_add(usize::from(id.starts_with("long-")), Ordering::SeqCst);
        let left = request.header("x-remaining-milliseconds").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(10_000));
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {}.{ANSWER_EVENTS}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", worker.name);
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=ANSWER_EVENTS {
            let event = stream_event(&id, number);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if Instant::now() > until || writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    });
    let _engines: Vec<_> = (0..ENGINES)
        .map(|index| Worker::start(&store, &record, &format!("i-{index}"), "planner-llm", KITANORI.zones[index], 12, run.clone()))
        .collect();
    let Some(node) = Node::launch(root, folder, "edge-1", &KITANORI, "doto-a", store.address) else {
        record.line("the host does not become ready");
        return 2;
    };
    // Short prompts take all slots of all engines for about ten seconds.
    let mut short = Vec::new();
    for index in 0..ENGINES * SLOTS {
        let (record, address) = (record.clone(), node.clients);
        short.push(thread::spawn(move || {
            let id = format!("short-{index}");
            let answer = ask(&record, address, &id, "ask", 5_000, 10_000, 1);
            record.line(&format!("client of {id}: {answer:?}"));
        }));
        thread::sleep(Duration::from_millis(15));
    }
    thread::sleep(Duration::from_millis(300));
    if trouble {
        record.line("SIGTERM to edge-1");
        node.signal(SIGTERM);
    }
    let began = Instant::now();
    thread::sleep(Duration::from_millis(2_050));
    let clients: Vec<_> = (0..LONG_PROMPTS)
        .map(|index| {
            let (record, address) = (record.clone(), node.clients);
            let client = thread::spawn(move || {
                let id = format!("long-{index}");
                let answer = ask(&record, address, &id, "bulletin", 220_000, 15_000, PIECES);
                record.line(&format!("client of {id}, {:.3} s after the time of SIGTERM: {answer:?}", began.elapsed().as_secs_f64()));
                answer
            });
            thread::sleep(Duration::from_millis(60));
            client
        })
        .collect();
    let (mut answered, mut lost) = (0, 0);
    for client in clients {
        match client.join() {
            Ok(Answer::Whole(status)) if status != 0 => answered += 1,
            // No worker has the request (see below), and its deadline is far.
            Ok(Answer::Cut(after)) if after > LOSS_SLACK && began.elapsed() < PLANNED => lost += 1,
            _ => {}
        }
    }
    for client in short {
        let _ = client.join();
    }
    let at_workers = at_workers.load(Ordering::SeqCst);
    record.line(&format!("long prompts: {answered} answered, {lost} sent whole and closed without an answer over 200 ms later; {at_workers} were passed on to a worker"));
    if answered + lost == 0 {
        return 2;
    }
    // A worker that is still at work near the end of the grace time would be an excuse.
    i32::from(lost > at_workers)
}

#[derive(Debug)]
enum Answer {
    /// A whole answer with this status.
    Whole(u16),
    /// The connection ended without a whole answer, this long after the last byte of the request.
    Cut(Duration),
    /// No whole answer came within the client's time.
    Late,
    /// The request was not sent whole.
    Unsent,
}

fn ask(record: &Record, address: SocketAddr, id: &str, route: &str, tokens: u64, left_ms: u64, pieces: usize) -> Answer {
    let length = if pieces > 1 { PROMPT_BYTES } else { 20_000 };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::Unsent;
    };
    // Events of 57 tokens: those of a short prompt take the engine 9.5 s, those of a long one are 16.
    let answer = if route == "ask" { ANSWER_EVENTS * 57 } else { 16 * 57 };
    let head = format!("POST /{route}/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: {tokens},{answer}\r\nX-Prompt-Prefix-Hash: 0a:40,{}:{}\r\nX-Remaining-Milliseconds: {left_ms}\r\nAuthorization: Bearer key-1\r\nContent-Length: {length}\r\n\r\n", hex(id), tokens - 40);
    record.line(&format!("client sends {id}"));
    if stream.write_all(head.as_bytes()).is_err() {
        return Answer::Unsent;
    }
    for _ in 0..pieces {
        if stream.write_all(&vec![b'p'; length / pieces]).is_err() {
            return Answer::Unsent;
        }
        if pieces > 1 {
            thread::sleep(Duration::from_millis(50));
        }
    }
    if pieces > 1 {
        record.line(&format!("client has sent {id} whole"));
    }
    let sent = Instant::now();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(left_ms)));
    let mut reader = BufReader::new(stream);
    let answer = read_head(&mut reader).and_then(|head| {
        let mut head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        read_body(&mut reader, &mut head)?;
        Ok(head.status())
    });
    match answer {
        Ok(status) => Answer::Whole(status),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Answer::Late,
        Err(_) => Answer::Cut(sent.elapsed()),
    }
}

fn hex(text: &str) -> String {
    text.bytes().map(|byte| format!("{byte:02x}")).collect()
}
