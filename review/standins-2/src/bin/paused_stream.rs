//! Clients pause while they read a stream of events, and the host is stopped with SIGTERM.
//!
//! Arguments: repository, folder of the case. With `TROUBLE=0` the clients read without a pause.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use standins_2::client::connect_small;
use standins_2::host::{Host, Machine};
use standins_2::record::Record;
use standins_2::store::Store;
use standins_2::worker::{Answer, Worker};

const CLIENTS: usize = 6;
/// Most pieces, and most bytes of a piece, of a route-ask in the site file. A pass of an engine takes
/// 57 steps of 0.85 ms.
const ANSWER: Answer = Answer {
    events: 79,
    event_bytes: 510,
    pause: Duration::from_millis(48),
};
/// Receive buffer of a client, in bytes.
const BUFFER: i32 = 4_096;
/// Events after which a client pauses, and for how long.
const READ: usize = 5;
const PAUSE: Duration = Duration::from_millis(3_500);
/// The deadline of the clients, which is the time-out of the route.
const DEADLINE: Duration = Duration::from_secs(10);
/// Last sixth of `graceS`, in which a worker may still be at work.
const LAST_SIXTH: Duration = Duration::from_millis(6_667);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"route-ask","host":"site.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":250,"gapTargetMs":250,"priority":1,"service":"planner-llm","maxAttempts":2,"anonymousAccess":false,"sessionAffinity":true,"streamResumption":true}],"services":[{"name":"planner-llm","healthCheckPath":"/health","connectionLimit":558,"protocol":"h1","transportSecurity":false,"engine":{"slots":12,"kvCacheTokens":315000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":57,"models":[{"name":"m"}],"step_ms":0.85,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":177000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":13229,"answer":1541},"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"riders","apiKeys":["key-1"],"priority":1}]}"#;

/// What a client has got.
struct Got {
    events: usize,
    whole: bool,
    end: String,
    sent: Instant,
    ended: Instant,
}

fn main() -> ExitCode {
    standins_2::run("paused_stream", play)
}

fn play(root: &Path, logs: &Path, trouble: bool, record: &mut Record) -> u8 {
    let store = Store::default();
    let door = store.open_door();
    store.put("keyed.op", "config", CONFIGURATION);
    let zones = ["doto-a", "doto-b", "doto-c"];
    let engines = zones.map(|zone| {
        Worker::start_engine(&store, &format!("i-{zone}"), "planner-llm", zone, ANSWER)
    });
    let machine = Machine {
        name: "edge-doto-a-1",
        zone: "doto-a",
        ip: "127.0.0.48",
        store: door.address,
    };
    let bounds = [
        ("bounds.retryBudgetFloor", "194"),
        ("bounds.configurationApplyMs", "3000"),
        ("bounds.drainMs", "3000"),
    ];
    let Some(mut host) = Host::launch(root, logs, &machine, &bounds) else {
        record.line("the host did not become ready");
        return 2;
    };
    thread::sleep(Duration::from_secs(5));
    let address = host.clients;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| thread::spawn(move || read_stream(address, index, trouble)))
        .collect();
    record.line(&format!("{CLIENTS} clients have sent a stream each"));
    thread::sleep(Duration::from_millis(150));
    host.signal("TERM");
    let stopped = Instant::now();
    record.line("SIGTERM is sent to the host");
    let mut lost = 0;
    for (index, client) in clients.into_iter().enumerate() {
        let got = match client.join() {
            Ok(Ok(got)) => got,
            Ok(Err(error)) => {
                record.line(&format!("client {index} could not send: {error}"));
                return 2;
            }
            Err(_) => return 2,
        };
        let ran = engines.iter().any(|engine| {
            engine
                .runs
                .lock()
                .unwrap()
                .iter()
                .any(|run| run.attempt == format!("attempt-{index}"))
        });
        let after = got.ended.saturating_duration_since(stopped);
        record.line(&format!(
            "client {index}: {} of {} events, {}, {:.2} s after SIGTERM; passed on to a worker: {ran}",
            got.events,
            ANSWER.events,
            got.end,
            after.as_secs_f64()
        ));
        let excused = got.ended.duration_since(got.sent) >= DEADLINE || after >= LAST_SIXTH;
        lost += usize::from(!got.whole && ran && !excused);
    }
    let until = Instant::now() + Duration::from_secs(9);
    while host.ended().is_none() && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "the host ended {:.2} s after SIGTERM",
        stopped.elapsed().as_secs_f64()
    ));
    for line in std::fs::read_to_string(&host.log)
        .unwrap_or_default()
        .lines()
        .filter(|line| line.contains("drain"))
    {
        record.line(&format!("log: {line}"));
    }
    record.line(&format!(
        "{lost} of {CLIENTS} streams ended without a complete answer"
    ));
    u8::from(lost > 0)
}

/// Sends a request and reads its stream, with a pause after some events.
fn read_stream(address: SocketAddr, index: usize, pauses: bool) -> std::io::Result<Got> {
    let mut stream = connect_small(address, BUFFER)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let request = format!(
        "POST /ask/{index} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: attempt-{index}\r\nX-Model: m\r\nX-Token-Counts: 4960,4503\r\nX-Prompt-Prefix-Hash: 0a:40,{index}b:4920\r\nX-Remaining-Milliseconds: 10000\r\nAuthorization: Bearer key-1\r\nContent-Length: 8\r\n\r\nquestion"
    );
    stream.write_all(request.as_bytes())?;
    let sent = Instant::now();
    // A small buffer, so that what is not read stays in the socket.
    let mut reader = BufReader::with_capacity(512, stream);
    let (mut events, mut whole, mut paused) = (0, false, !pauses);
    let end = loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => break "the connection ended".to_owned(),
            Ok(_) if line == "0\r\n" => {
                whole = events == ANSWER.events;
                break "the last chunk has come".to_owned();
            }
            Ok(_) => events += usize::from(line.starts_with("id: ")),
            Err(error) => break error.to_string(),
        }
        if events == READ && !paused {
            paused = true;
            thread::sleep(PAUSE);
        }
    };
    Ok(Got {
        events,
        whole,
        end,
        sent,
        ended: Instant::now(),
    })
}
