//! `filbertctl cost`: measures the overhead of a node compared with direct calls to an engine.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use endpoint::{Client, Engine, EngineRequest, Event};
use hdrhistogram::Histogram;
use kernel::request::{Attempt, Id, Incarnation};
use serde::Serialize;
use tokio::task::JoinSet;

use super::arguments::{Arguments, Error};
use super::units::{micros, quantile_ms};
use super::{EXIT_FAILED, runtime};
use crate::caller::{self, End, Request};
use crate::fleet::{self, MODEL};
use crate::scenario;

pub const HELP: &str = "\
Measures the overhead of a node that runs in another process with stand-ins as its endpoints: the
time that it adds to the first token over a direct call to the engine, the requests per second that
it serves on one core, and its resident memory when idle and with many open streams.

  filbertctl stand-ins --settings node.json --scale 100 &      (prints the engine's address)
  filbertstage --settings node.json > node.log &               (the shell prints the process ID)
  filbertctl cost --node 127.0.0.1:8080 --engine ADDRESS --pid PID

Usage: filbertctl cost --node ADDRESS --engine ADDRESS --pid PID [OPTIONS]

Options:
      --node ADDRESS    Address and port of the node
      --engine ADDRESS  Address and port of the engine
      --pid PID         Process ID of the node
      --requests N      Number of requests that measure the added time, directly and through the
                        node each [default: 1000]
      --seconds S       Duration of the rate measurement, in seconds [default: 5]
      --streams N       Measure only the memory, with N open streams; with 0, measure the added
                        time and the rate [default: 0]
      --json            Print JSON
      --log LEVEL       Log level: off, error, warn, info, debug or trace [default: off]

Many streams stay open only on slow engines: for --streams, run the stand-ins with --scale 1.

Exit codes: 0 success, 1 an answer was not complete and correct, 2 usage error,
            3 the node, the engine or the process is unavailable
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
const REQUEST_TIMEOUT: Duration = Duration::from_mins(2);
/// Number of concurrent callers in the rate measurement.
const CONCURRENT_CALLERS: u64 = 64;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The measured values. Pairs are the 50th and 99th percentile.
#[derive(Debug, Default, Serialize)]
struct Report {
    /// Time to the first token of a call directly to the engine.
    direct_first_token_ms: (f64, f64),
    /// Time to the first token of a call through the node.
    through_first_token_ms: (f64, f64),
    /// Difference of the two percentiles above, through the node minus directly.
    added_ms: (f64, f64),
    requests_per_second_per_core: f64,
    /// CPU time of the node during the rate measurement.
    core_seconds: f64,
    /// Complete and correct answers in the rate measurement.
    requests: u64,
    /// Resident memory of the node before the measurement.
    idle_bytes: u64,
    /// Number of open streams, or 0 if not all opened in time or none were measured.
    streams: usize,
    /// Resident memory of the node with all streams open.
    streams_bytes: u64,
    /// Answers that were not complete and correct.
    not_whole: u64,
}

/// Parsed options of the command.
struct Setup {
    node: SocketAddr,
    engine: SocketAddr,
    pid: u32,
    requests: u64,
    duration: Duration,
    streams: usize,
}

pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let setup = Setup {
        node: arguments.required("node")?,
        engine: arguments.required("engine")?,
        pid: arguments.required("pid")?,
        requests: arguments.value("requests")?.unwrap_or(1_000),
        duration: Duration::from_secs(arguments.value("seconds")?.unwrap_or(5)),
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
        idle_bytes: resident_bytes(setup.pid)?,
        ..Report::default()
    };
    if setup.streams > 0 {
        measure_streams(setup, &mut report).await?;
        return Ok(report);
    }
    measure_added_latency(setup, &mut report).await?;
    measure_rate(setup, &mut report).await?;
    Ok(report)
}

/// Measures the times to the first token directly at the engine and through the node, in turn.
async fn measure_added_latency(setup: &Setup, report: &mut Report) -> Result<(), Error> {
    let Some(Client::Engine(engine)) =
        endpoint::find("engine").map(|kind| (kind.connect)(setup.engine))
    else {
        return Err(Error::Unavailable(
            "no client for engines is registered".to_owned(),
        ));
    };
    let histogram =
        || Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are constant");
    let (mut direct, mut through) = (histogram(), histogram());
    for number in 0..setup.requests {
        let prompt = scenario::prompt(200, number);
        let time = time_to_first_token(engine.as_ref(), number, &prompt).await?;
        direct.saturating_record(micros(time));
        let prompt = scenario::prompt(200, 1_000_000 + number);
        let reply = send_prompt(setup.node, &prompt).await;
        report.not_whole += u64::from(reply.end != End::Whole);
        through.saturating_record(micros(reply.first_token.unwrap_or(REQUEST_TIMEOUT)));
    }
    let p50_and_p99 =
        |histogram: &Histogram<u64>| (quantile_ms(histogram, 0.5), quantile_ms(histogram, 0.99));
    report.direct_first_token_ms = p50_and_p99(&direct);
    report.through_first_token_ms = p50_and_p99(&through);
    report.added_ms = (
        report.through_first_token_ms.0 - report.direct_first_token_ms.0,
        report.through_first_token_ms.1 - report.direct_first_token_ms.1,
    );
    Ok(())
}

/// Sends a prompt to the node.
async fn send_prompt(node: SocketAddr, prompt: &str) -> caller::Reply {
    let key = fleet::workspace_key(0);
    let request = Request::new(&key, prompt, 8, REQUEST_TIMEOUT);
    caller::complete(node, request).await
}

/// Opens a stream directly at the engine and returns the time to its first token.
async fn time_to_first_token(
    engine: &dyn Engine,
    number: u64,
    prompt: &str,
) -> Result<Duration, Error> {
    let engine_error = |error: endpoint::Error| {
        Error::Unavailable(format!(
            "the call to the engine failed: {error}: check --engine"
        ))
    };
    let request = EngineRequest {
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
    let mut stream = engine
        .open(request, REQUEST_TIMEOUT)
        .await
        .map_err(engine_error)?;
    let mut first = None;
    loop {
        match stream.next(REQUEST_TIMEOUT).await.map_err(engine_error)? {
            Event::Progress => {}
            Event::Token { .. } => {
                first.get_or_insert_with(|| started.elapsed());
            }
            Event::End(_) => return Ok(first.unwrap_or_else(|| started.elapsed())),
        }
    }
}

/// Measures the requests that the node serves per second of its CPU time.
#[allow(clippy::cast_precision_loss)]
async fn measure_rate(setup: &Setup, report: &mut Report) -> Result<(), Error> {
    let before = core_seconds(setup.pid)?;
    let end = Instant::now() + setup.duration;
    let mut callers = JoinSet::new();
    for caller in 0..CONCURRENT_CALLERS {
        let node = setup.node;
        callers.spawn(async move {
            let (mut whole, mut not_whole) = (0, 0);
            while Instant::now() < end {
                let prompt = scenario::prompt(200, (caller + 2) * 10_000_000 + whole);
                let reply = send_prompt(node, &prompt).await;
                whole += u64::from(reply.end == End::Whole);
                not_whole += u64::from(reply.end != End::Whole);
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

/// Measures the resident memory of the node while all streams are open.
async fn measure_streams(setup: &Setup, report: &mut Report) -> Result<(), Error> {
    let mut callers = JoinSet::new();
    let (opened_tx, mut opened_rx) = tokio::sync::mpsc::unbounded_channel();
    for prompt in prompts_with_long_answers().take(setup.streams) {
        let (node, opened_tx) = (setup.node, opened_tx.clone());
        callers.spawn(async move {
            let key = fleet::workspace_key(0);
            let request = Request::new(&key, &prompt, 64, REQUEST_TIMEOUT);
            let mut on_token = |tokens: usize| {
                if tokens == 1 {
                    // The receiver lives until all streams have ended, so this does not fail.
                    let _ = opened_tx.send(());
                }
            };
            caller::complete_with(node, request, &mut on_token)
                .await
                .end
        });
    }
    let all_open = async {
        for _ in 0..setup.streams {
            opened_rx.recv().await;
        }
    };
    let open = tokio::time::timeout(REQUEST_TIMEOUT, all_open).await;
    report.streams_bytes = resident_bytes(setup.pid)?;
    report.streams = if open.is_ok() { setup.streams } else { 0 };
    while let Some(ended) = callers.join_next().await {
        report.not_whole += u64::from(ended.ok() != Some(End::Whole));
    }
    Ok(())
}

/// Generates short prompts with long answers, whose streams stay open while others start.
fn prompts_with_long_answers() -> impl Iterator<Item = String> {
    const PROMPT_TOKENS: u64 = 16;
    const MIN_ANSWER_TOKENS: u64 = 50;
    let prompts = (0..).map(|seed| scenario::prompt(PROMPT_TOKENS, seed));
    prompts.filter(|prompt| {
        fakes::text::length(fakes::text::digest(prompt), u64::MAX) >= MIN_ANSWER_TOKENS
    })
}

/// Reads a file of a process in `/proc`.
fn read_proc(pid: u32, name: &str) -> Result<String, Error> {
    let path = format!("/proc/{pid}/{name}");
    std::fs::read_to_string(&path)
        .map_err(|error| Error::Unavailable(format!("{path}: {error}: check --pid")))
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> Result<u64, Error> {
    const BYTES_PER_KIB: u64 = 1_024;
    let status = read_proc(pid, "status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    Ok(kib.unwrap_or(0) * BYTES_PER_KIB)
}

/// Returns the CPU time of a process, in seconds of one core.
fn core_seconds(pid: u32) -> Result<f64, Error> {
    // The user and system time are the 12th and 13th field after the command in parentheses.
    const UTIME_INDEX: usize = 11;
    let stat = read_proc(pid, "stat")?;
    let fields = stat
        .rsplit_once(')')
        .map(|(_, fields)| fields)
        .unwrap_or_default();
    let ticks = fields
        .split_whitespace()
        .skip(UTIME_INDEX)
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
        println!("resident memory at the start: {} bytes", report.idle_bytes);
    }
    println!("{} answers were not complete and correct", report.not_whole);
}
