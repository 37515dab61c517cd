//! `filbertctl cost`: what a node adds to calling an engine directly.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use endpoint::{Client, Engine, Event, Start};
use hdrhistogram::Histogram;
use kernel::request::{Attempt, Id, Incarnation};
use serde::Serialize;
use tokio::task::JoinSet;

use super::arguments::{Arguments, Error};
use super::figures::{micros, millis};
use super::{EXIT_FAILED, runtime};
use crate::caller::{self, End, Request};
use crate::fleet::{self, MODEL};
use crate::scenario;

pub const HELP: &str = "\
Measures the cost of a node that runs as a process of its own before stand-ins: the first token time
that it adds to calling the engine directly, the requests a second that it serves on one core, and
its resident memory when idle and with many open streams.

  filbertctl stand-ins --settings node.json --scale 100 &      (prints the engine's address)
  filbertstage --settings node.json &                          (prints nothing; note its process id)
  filbertctl cost --node 127.0.0.1:8080 --engine ADDRESS --pid PID

Usage: filbertctl cost --node ADDRESS --engine ADDRESS --pid PID [OPTIONS]

Options:
      --node ADDRESS    Address and port of the node
      --engine ADDRESS  Address and port of the engine
      --pid PID         Process id of the node
      --requests N      Requests for the added time, each way [default: 1000]
      --seconds S       Time to measure the rate for [default: 5]
      --streams N       Open streams; 0 leaves that part out [default: 0]
      --json            Print JSON
      --log LEVEL       Show logs of this level

Open streams need slow engines: run the stand-ins with --scale 1 for that part.

Exit codes: 0 measured, 1 an answer was not whole, 2 usage, 3 not reachable
";
pub const FLAGS: &[&str] = &[
    "node=",
    "engine=",
    "pid=",
    "requests=",
    "seconds=",
    "streams=",
];

/// Time limit of each request.
const LIMIT: Duration = Duration::from_mins(2);
/// Callers at once while the rate is measured.
const CALLERS: u64 = 64;
/// Clock ticks a second in the system's process statistics.
const TICKS_PER_SECOND: f64 = 100.0;

/// What was measured.
#[derive(Debug, Default, Serialize)]
struct Report {
    direct_first_token_ms: (f64, f64),
    through_first_token_ms: (f64, f64),
    added_ms: (f64, f64),
    requests_per_second_per_core: f64,
    core_seconds: f64,
    requests: u64,
    idle_bytes: u64,
    streams: usize,
    streams_bytes: u64,
    not_whole: u64,
}

struct Setup {
    node: SocketAddr,
    engine: SocketAddr,
    pid: u32,
    requests: u64,
    time: Duration,
    streams: usize,
}

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let setup = Setup {
        node: arguments.required("node")?,
        engine: arguments.required("engine")?,
        pid: arguments.required("pid")?,
        requests: arguments.value("requests")?.unwrap_or(1_000),
        time: Duration::from_secs(arguments.value("seconds")?.unwrap_or(5)),
        streams: arguments.value("streams")?.unwrap_or(0),
    };
    let report = runtime()?.block_on(measure(&setup))?;
    if arguments.flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        show(&report);
    }
    Ok(if report.not_whole == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    })
}

async fn measure(setup: &Setup) -> Result<Report, Error> {
    let mut report = Report {
        idle_bytes: resident(setup.pid)?,
        ..Report::default()
    };
    if setup.streams > 0 {
        open_streams(setup, &mut report).await?;
        return Ok(report);
    }
    added(setup, &mut report).await?;
    rate(setup, &mut report).await?;
    Ok(report)
}

/// First token times, through the node and directly, in turn.
async fn added(setup: &Setup, report: &mut Report) -> Result<(), Error> {
    let Some(Client::Engine(engine)) =
        endpoint::find("engine").map(|kind| (kind.connect)(setup.engine))
    else {
        return Err(Error::Unusable("no engine client".to_owned()));
    };
    let histogram =
        || Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are constant");
    let (mut direct, mut through) = (histogram(), histogram());
    for number in 0..setup.requests {
        let prompt = scenario::prompt(200, number);
        let time = first_token(engine.as_ref(), number, &prompt).await?;
        direct.saturating_record(micros(time));
        let prompt = scenario::prompt(200, 1_000_000 + number);
        let seen = ask(setup.node, &prompt).await;
        report.not_whole += u64::from(seen.end != End::Whole);
        through.saturating_record(micros(seen.first_token.unwrap_or(LIMIT)));
    }
    let pair = |histogram: &Histogram<u64>| (millis(histogram, 0.5), millis(histogram, 0.99));
    report.direct_first_token_ms = pair(&direct);
    report.through_first_token_ms = pair(&through);
    report.added_ms = (
        report.through_first_token_ms.0 - report.direct_first_token_ms.0,
        report.through_first_token_ms.1 - report.direct_first_token_ms.1,
    );
    Ok(())
}

async fn ask(node: SocketAddr, prompt: &str) -> caller::Reply {
    let key = fleet::workspace_key(0);
    let ask = Request::new(&key, prompt, 8, LIMIT);
    caller::complete(node, ask).await
}

/// The first token time of a stream that is opened at the engine directly.
async fn first_token(engine: &dyn Engine, number: u64, prompt: &str) -> Result<Duration, Error> {
    let broken = |error: endpoint::Error| Error::Unusable(format!("the engine: {error}"));
    let start = Start {
        attempt: Attempt {
            request: Id {
                incarnation: Incarnation(7),
                sequence: number,
            },
            number: 1,
        },
        holder: Incarnation(7),
        model: MODEL,
        adapter: None,
        prompt,
        context: None,
        delivered: 0,
        answer_tokens: 8,
        priority: 0,
        chunk_tokens: 512,
        trace: "",
    };
    let started = Instant::now();
    let mut stream = engine.open(start, LIMIT).await.map_err(broken)?;
    let mut first = None;
    loop {
        match stream.next(LIMIT).await.map_err(broken)? {
            Event::Progress => {}
            Event::Token { .. } => {
                first.get_or_insert_with(|| started.elapsed());
            }
            Event::End(_) => return Ok(first.unwrap_or_else(|| started.elapsed())),
        }
    }
}

/// Requests that the node serves for each second of its own processor time.
#[allow(clippy::cast_precision_loss)]
async fn rate(setup: &Setup, report: &mut Report) -> Result<(), Error> {
    let before = core_seconds(setup.pid)?;
    let end = Instant::now() + setup.time;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let node = setup.node;
        callers.spawn(async move {
            let (mut whole, mut not_whole) = (0, 0);
            while Instant::now() < end {
                let prompt = scenario::prompt(200, (caller + 2) * 10_000_000 + whole);
                let seen = ask(node, &prompt).await;
                whole += u64::from(seen.end == End::Whole);
                not_whole += u64::from(seen.end != End::Whole);
            }
            (whole, not_whole)
        });
    }
    while let Some(ended) = callers.join_next().await {
        let (whole, not_whole) = ended.unwrap_or_default();
        report.requests += whole;
        report.not_whole += not_whole;
    }
    report.core_seconds = core_seconds(setup.pid)? - before;
    report.requests_per_second_per_core = report.requests as f64 / report.core_seconds;
    Ok(())
}

/// Resident memory while all streams are open.
async fn open_streams(setup: &Setup, report: &mut Report) -> Result<(), Error> {
    let mut callers = JoinSet::new();
    let (opened, mut news) = tokio::sync::mpsc::unbounded_channel();
    for prompt in long_answers().take(setup.streams) {
        let (node, opened) = (setup.node, opened.clone());
        callers.spawn(async move {
            let key = fleet::workspace_key(0);
            let ask = Request::new(&key, &prompt, 64, LIMIT);
            let mut first = |tokens: usize| {
                if tokens == 1 {
                    // The measuring side keeps the other end until all have ended.
                    let _ = opened.send(());
                }
            };
            caller::complete_with(node, ask, &mut first).await.end
        });
    }
    let all_open = async {
        for _ in 0..setup.streams {
            news.recv().await;
        }
    };
    let open = tokio::time::timeout(LIMIT, all_open).await;
    report.streams_bytes = resident(setup.pid)?;
    report.streams = if open.is_ok() { setup.streams } else { 0 };
    while let Some(ended) = callers.join_next().await {
        report.not_whole += u64::from(ended.ok() != Some(End::Whole));
    }
    Ok(())
}

/// Short prompts with long answers, whose streams stay open while others start.
fn long_answers() -> impl Iterator<Item = String> {
    const PROMPT_TOKENS: u64 = 16;
    const ANSWER_TOKENS: u64 = 50;
    let prompts = (0..).map(|seed| scenario::prompt(PROMPT_TOKENS, seed));
    prompts.filter(|prompt| {
        fakes::text::length(fakes::text::digest(prompt), u64::MAX) >= ANSWER_TOKENS
    })
}

fn read(pid: u32, name: &str) -> Result<String, Error> {
    let path = format!("/proc/{pid}/{name}");
    std::fs::read_to_string(&path)
        .map_err(|error| Error::Unusable(format!("{path}: {error}: check --pid")))
}

/// Resident memory of a process, in bytes.
fn resident(pid: u32) -> Result<u64, Error> {
    const BYTES_PER_KIB: u64 = 1_024;
    let status = read(pid, "status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    Ok(kib.unwrap_or(0) * BYTES_PER_KIB)
}

/// Processor time of a process, in seconds of one core.
fn core_seconds(pid: u32) -> Result<f64, Error> {
    // After the command in parentheses, user and system time are fields 12 and 13.
    const USER: usize = 11;
    let stat = read(pid, "stat")?;
    let fields = stat
        .rsplit_once(')')
        .map(|(_, fields)| fields)
        .unwrap_or_default();
    let ticks = fields
        .split_whitespace()
        .skip(USER)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    Ok(ticks.sum::<f64>() / TICKS_PER_SECOND)
}

fn show(report: &Report) {
    if report.streams > 0 {
        println!(
            "resident memory: {} bytes idle, {} bytes with {} open streams",
            report.idle_bytes, report.streams_bytes, report.streams
        );
    } else {
        println!(
            "first token, p50 and p99 in ms: directly {:?}, through the node {:?}, added {:?}",
            report.direct_first_token_ms, report.through_first_token_ms, report.added_ms
        );
        println!(
            "{:.0} requests a second on one core ({} requests in {:.2} core seconds)",
            report.requests_per_second_per_core, report.requests, report.core_seconds
        );
        println!(
            "resident memory when it started: {} bytes",
            report.idle_bytes
        );
    }
    println!("{} answers were not whole", report.not_whole);
}
