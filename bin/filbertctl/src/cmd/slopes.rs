//! `filbertctl slopes`: measures the kernel's state machines at growing sizes.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::process::ExitCode;
use std::time::{Duration, Instant as StdInstant};

use kernel::claim::{Answer, Claim, Record, Registry};
use kernel::fold::{Fold, change_record};
use kernel::journal::Journal;
use kernel::lists::{Change, Plan};
use kernel::membership::{Entry, INTERVAL, Table};
use kernel::prelude::*;
use kernel::request::{Attempt, Id, Incarnation};
use kernel::schedule::{Job, Pool, Report, Settings, Summary};
use kernel::share::{Cost, Limiter, Share};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use serde_json::json;
use wire::{Heartbeat, datagram};

use super::arguments::{Arguments, Error};

pub const HELP: &str = "\
Measures the kernel's state machines at growing sizes in one process: CPU time, memory and bytes per
unit of work. docs/CAPACITY.md is calculated from these values.

Usage: filbertctl slopes [OPTIONS]

Options:
      --json       Print JSON
      --log LEVEL  Log level: off, error, warn, info, debug or trace [default: off]

Exit codes: 0 success, 2 usage error
";
pub const FLAGS: &[&str] = &[];

/// One measured value, with its unit and the size at which it was measured.
#[derive(Debug, Serialize)]
struct Measurement {
    #[serde(rename = "role")]
    component: &'static str,
    size: u64,
    unit: &'static str,
    value: f64,
}

// Every command has this signature.
#[allow(clippy::unnecessary_wraps)]
pub fn run(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let mut measurements = Vec::new();
    for nodes in [5, 13, 32, 64, 128] {
        measurements.extend(measure_heartbeats(nodes));
    }
    for waiting in [10, 1_000, 5_000] {
        measurements.extend(measure_pool(60, waiting));
    }
    for engines in [8, 60, 480] {
        measurements.extend(measure_pool(engines, 100));
    }
    for workspaces in [10, 100, 490, 2_000] {
        measurements.extend(measure_lists(workspaces));
    }
    for keys in [1_000, 10_000, 100_000] {
        measurements.extend(measure_claims(keys));
    }
    measurements.extend(measure_limits(490));
    measurements.extend(measure_journal());
    measurements.push(measure_report_size());
    if arguments.flag("json") {
        println!(
            "{}",
            serde_json::to_string(&measurements).unwrap_or_default()
        );
    } else {
        for measurement in &measurements {
            println!(
                "{:<22} {:>8} {:>14.2} {}",
                measurement.component, measurement.size, measurement.value, measurement.unit
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the bytes that the process has allocated.
fn allocated_bytes() -> usize {
    // If the statistics cannot be read, the table shows zero bytes.
    let _ = tikv_jemalloc_ctl::epoch::advance();
    tikv_jemalloc_ctl::stats::allocated::read().unwrap_or(0)
}

/// Returns the bytes that `make` allocates and keeps, and the value that it returns.
#[allow(clippy::cast_precision_loss)]
fn measure_allocation<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = allocated_bytes();
    let value = make();
    (allocated_bytes().saturating_sub(before) as f64, value)
}

/// Returns the mean time of `count` runs of `work`, in microseconds.
#[allow(clippy::cast_precision_loss)]
fn mean_micros(count: u64, mut work: impl FnMut(u64)) -> f64 {
    let started = StdInstant::now();
    for index in 0..count {
        work(index);
    }
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn member(number: u64) -> Entry {
    Entry {
        host: Host::from(format!("entry-host-{number:04}")),
        domain: Domain::from(format!("domain-{}", number % 3)),
        address: format!("10.1.{}.{}:8081", number / 256, number % 256),
        incarnation: Incarnation(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        counter: 345_600,
        leaving: false,
    }
}

/// Measures the heartbeats in a fleet of `nodes` nodes: bytes per second, CPU time and memory.
#[allow(clippy::cast_precision_loss)]
fn measure_heartbeats(nodes: u64) -> Vec<Measurement> {
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::from_millis(1_000);
    let (kept_bytes, mut table) = measure_allocation(|| {
        let mut table = Table::new(member(0));
        let entries: Vec<_> = (1..nodes).map(member).collect();
        table.apply(
            now,
            &kernel::membership::Update {
                entries,
                beats: Vec::new(),
            },
        );
        table
    });
    let pools: Vec<_> = (0..8).map(pool_entry).collect();
    let (mut bytes, mut sent) = (0, 0);
    let rounds = 400;
    let time_us = mean_micros(rounds, |index| {
        let (update, targets) = table.next_update(now, &mut rng);
        let pools = if index % 2 == 0 {
            pools.clone()
        } else {
            Vec::new()
        };
        let datagram = datagram::encode(b"key", &Heartbeat { update, pools }).unwrap_or_default();
        sent += targets.len();
        bytes += datagram.len() * targets.len();
        black_box(datagram::decode::<wire::Heartbeat>(b"key", &datagram).is_ok());
    });
    let seconds = INTERVAL.as_secs_f64() * rounds as f64;
    let measurement = |unit, value| Measurement {
        component: "heartbeats",
        size: nodes,
        unit,
        value,
    };
    vec![
        measurement("bytes sent a second", bytes as f64 / seconds),
        measurement("datagrams sent a second", sent as f64 / seconds),
        measurement("us to make and read one", time_us),
        measurement("bytes kept", kept_bytes),
    ]
}

fn pool_entry(number: u64) -> wire::Pool {
    wire::Pool {
        domain: Domain::from("domain-1"),
        model: Model::from(format!("model-{number}")),
        host: Host::from("entry-host-0001"),
        counter: 345_600,
        summary: Summary {
            short_wait: Duration::from_millis(12),
            long_wait: Duration::from_secs(7),
            engines: 60,
            idle: 12,
            waiting: 40,
        },
    }
}

fn report(number: u64) -> Report {
    Report {
        endpoint: Endpoint::from(format!("engine-{number:04}")),
        model: Some(Model::from("model-1")),
        version: "1".to_owned(),
        adapters: Vec::new(),
        prefill_rate: 9_000.0,
        token_seconds: 0.02,
        kv_total: 400_000,
        kv_used: 0,
        most_running: 64,
        leaving: false,
    }
}

fn job(sequence: u64, tokens: u64) -> Job {
    Job {
        attempt: Attempt {
            request: Id {
                incarnation: Incarnation(1),
                sequence,
            },
            number: 1,
        },
        workspace: Workspace::from(format!("workspace-{}", sequence % 490)),
        model: Model::from("model-1"),
        prompt_tokens: tokens,
        answer_tokens: 250,
        prefix: vec![sequence; usize::try_from(tokens / 1_024).unwrap_or(0)],
        remaining: Duration::from_hours(1),
        waited: Duration::ZERO,
        deferred: false,
        avoid: Vec::new(),
    }
}

/// Measures a pool with `engines` engines and `waiting` jobs in its queue: time of one request, and
/// memory.
#[allow(clippy::cast_precision_loss)]
fn measure_pool(engines: u64, waiting: u64) -> Vec<Measurement> {
    const PROMPT_TOKENS: u64 = 13_000;
    let now = Instant::from_millis(1_000);
    let (kept_bytes, mut pool) = measure_allocation(|| {
        let mut pool = Pool::new(Settings::default());
        for number in 0..engines {
            pool.report(now, report(number));
        }
        for sequence in 0..waiting {
            // The pool does not change if the prediction refuses the job.
            let _ = pool.enqueue(now, job(sequence, PROMPT_TOKENS));
        }
        pool
    });
    let mut at = now;
    let time_us = mean_micros(200, |index| {
        at = at + Duration::from_millis(2);
        let _ = pool.enqueue(at, job(1_000_000 + index, 1_000));
        for grant in pool.assign(at) {
            pool.record_first_token(at, grant.attempt);
            pool.end(at, grant.attempt);
        }
    });
    let component = if waiting == 100 {
        "pool, by engines"
    } else {
        "pool, by waiting"
    };
    let size = if waiting == 100 { engines } else { waiting };
    vec![
        Measurement {
            component,
            size,
            unit: "us for one request",
            value: time_us,
        },
        Measurement {
            component,
            size,
            unit: "bytes kept",
            value: kept_bytes,
        },
    ]
}

fn plan_json(number: u64) -> serde_json::Value {
    json!({
        "workspace": format!("workspace-{number}"),
        "key_hashes": [format!("{number:064x}")],
        "models": ["model-1", "model-2"],
        "services": ["trail-desk"],
    })
}

fn encode_change(id: &str, base: u64, edit: &serde_json::Value) -> Option<String> {
    let change: Change =
        serde_json::from_value(json!({ "id": id, "base": base, "edit": edit })).ok()?;
    Some(change_record(&change))
}

/// Measures the lists of `workspaces` workspaces: time and size of one change, and memory.
#[allow(clippy::cast_precision_loss)]
fn measure_lists(workspaces: u64) -> Vec<Measurement> {
    let plans: Vec<_> = (0..workspaces).map(plan_json).collect();
    let mut fold = Fold::new(b"key");
    let first = encode_change(
        "first",
        0,
        &json!({ "replace_plans": { "workspaces": plans } }),
    )
    .unwrap_or_default();
    let (kept_bytes, ()) = measure_allocation(|| {
        fold.apply(0, &first);
    });
    let changes = 50;
    let records: Vec<_> = (0..changes)
        .filter_map(|number| {
            let edit = json!({ "put_plans": { "workspaces": [plan_json(number % workspaces)] } });
            encode_change(&format!("c{number}"), number + 1, &edit)
        })
        .collect();
    let bytes = records.iter().map(String::len).sum::<usize>() as f64 / changes as f64;
    let time_us = mean_micros(changes, |number| {
        let record = &records[usize::try_from(number).unwrap_or(0)];
        fold.apply(number + 1, record);
        black_box(kernel::lists::Table::new(
            &fold.state().plans,
            &fold.state().usage,
        ));
    });
    let measurement = |unit, value| Measurement {
        component: "lists, by workspaces",
        size: workspaces,
        unit,
        value,
    };
    vec![
        measurement("us for one change", time_us),
        measurement("bytes of a change", bytes),
        measurement("bytes kept", kept_bytes),
    ]
}

/// Measures `keys` claims with their outcomes: time, bytes on the log and memory per key.
#[allow(clippy::cast_precision_loss)]
fn measure_claims(keys: u64) -> Vec<Measurement> {
    let now = Instant::from_millis(1_000);
    let mut registry = Registry::new(Duration::from_hours(1));
    let mut time_us = 0.0;
    let mut bytes = 0;
    let (kept_bytes, ()) = measure_allocation(|| {
        time_us = mean_micros(keys, |number| {
            let records = claim_records(number);
            bytes += records.len();
            registry.apply(now, number, 0, &records);
        });
    });
    let measurement = |unit, value| Measurement {
        component: "claims, by keys",
        size: keys,
        unit,
        value,
    };
    vec![
        measurement("us for a claim and its outcome", time_us),
        measurement("bytes on the log", bytes as f64 / keys as f64),
        measurement("bytes kept for a key", kept_bytes / keys as f64),
    ]
}

fn claim_records(number: u64) -> String {
    let attempt = Attempt {
        request: Id {
            incarnation: Incarnation(1),
            sequence: number,
        },
        number: 1,
    };
    let key = format!("workspace-1/trail-desk/book/{number:032x}");
    let claim = Record::Claim(Claim {
        key: key.clone(),
        body: format!("{number:064x}"),
        attempt,
        time_limit_ms: 60_000,
    });
    let answer = Answer {
        status: 200,
        body: "{\"booked\": true, \"slot\": 12}".to_owned(),
    };
    let outcome = Record::Outcome {
        key,
        attempt,
        answer,
    };
    serde_json::to_string(&[claim, outcome]).unwrap_or_default()
}

/// Measures the plan limits of `workspaces` workspaces: time to acquire and release, and memory.
#[allow(clippy::cast_precision_loss)]
fn measure_limits(workspaces: u64) -> Vec<Measurement> {
    let plans: BTreeMap<_, _> = (0..workspaces)
        .filter_map(|number| {
            let plan: Plan = serde_json::from_value(plan_json(number)).ok()?;
            Some((Workspace::from(plan.workspace.as_str()), plan))
        })
        .collect();
    let now = Instant::from_millis(1_000);
    let mut time_us = 0.0;
    let (kept_bytes, limiter) = measure_allocation(|| {
        let mut limiter = Limiter::new(Share {
            index: 0,
            nodes: 410,
        });
        let entries: Vec<_> = plans.iter().collect();
        time_us = mean_micros(100_000, |index| {
            let (workspace, plan) = entries[usize::try_from(index).unwrap_or(0) % entries.len()];
            let _ = black_box(limiter.acquire(now, workspace, plan, Cost { tokens: 100 }));
            limiter.release(workspace);
        });
        limiter
    });
    black_box(limiter.share());
    let measurement = |unit, value| Measurement {
        component: "limits, by workspaces",
        size: workspaces,
        unit,
        value,
    };
    vec![
        measurement("us to take and release", time_us),
        measurement("bytes kept", kept_bytes),
    ]
}

/// Measures a full journal: time of one record and memory.
fn measure_journal() -> Vec<Measurement> {
    let now = Instant::from_millis(1_000);
    let mut time_us = 0.0;
    let (kept_bytes, journal) = measure_allocation(|| {
        let mut journal = Journal::default();
        time_us = mean_micros(30_000, |index| {
            let id = Id {
                incarnation: Incarnation(1),
                sequence: index / 5,
            };
            journal.record(
                now,
                id,
                "granted",
                "number=1 endpoint=engine-0001 waited_ms=0 predicted_ms=26 priority=1796345590907"
                    .to_owned(),
            );
        });
        journal
    });
    black_box(
        journal
            .entries(Id {
                incarnation: Incarnation(1),
                sequence: 1,
            })
            .len(),
    );
    let measurement = |unit, value| Measurement {
        component: "journal, full",
        size: 4_096,
        unit,
        value,
    };
    vec![
        measurement("us for a decision", time_us),
        measurement("bytes kept", kept_bytes),
    ]
}

/// Measures the bytes of one poll of an engine: its report and about 250 bytes of HTTP headers.
#[allow(clippy::cast_precision_loss)]
fn measure_report_size() -> Measurement {
    const HTTP_HEADERS_BYTES: usize = 250;
    let report = serde_json::to_vec(&report(1)).unwrap_or_default();
    Measurement {
        component: "watch, one engine",
        size: 1,
        unit: "bytes of one look",
        value: (report.len() + HTTP_HEADERS_BYTES) as f64,
    }
}
