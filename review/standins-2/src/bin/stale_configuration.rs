//! The store gives one machine no response for some seconds, and serves the other machine and the operator.
//! A key is taken away meanwhile, and one is added.
//!
//! Arguments: repository, folder of the case. `TROUBLE=0` leaves the disruption out.

use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use standins_2::client;
use standins_2::configuration;
use standins_2::host::{Host, Machine};
use standins_2::record::Record;
use standins_2::store::Store;
use standins_2::worker::Worker;

/// How long the store gives the machine no response.
const SILENCE: Duration = Duration::from_secs(6);
/// `stabilityWindowMs`
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// `configurationApplyMs`
const APPLY: Duration = Duration::from_millis(2_000);
/// Time in which requests are sent once the machine is in touch.
const ASKED: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    standins_2::run("stale_configuration", play)
}

fn play(root: &Path, logs: &Path, trouble: bool, record: &mut Record) -> u8 {
    let store = Store::default();
    let (first, second) = (store.open_door(), store.open_door());
    store.put(
        "keyed.op",
        "config",
        &configuration(1, 1_200, &["key-one", "key-two"]),
    );
    let workers = [
        Worker::start(&store, "i-desk-1", "desk", "cannock"),
        Worker::start(&store, "i-desk-2", "desk", "sherwood"),
    ];
    let machine = |name, zone, ip, store| Machine {
        name,
        zone,
        ip,
        store,
    };
    let launch =
        |name, zone, ip, store| Host::launch(root, logs, &machine(name, zone, ip, store), &[]);
    let (Some(a), Some(b)) = (
        launch("edge-cannock-1", "cannock", "127.0.0.41", first.address),
        launch("edge-sherwood-1", "sherwood", "127.0.0.42", second.address),
    ) else {
        record.line("a host did not become ready");
        return 2;
    };
    // The hosts read each other's announcements within this time.
    sleep(Duration::from_secs(8));
    let mut count = 0;
    let mut ask = |record: &mut Record, host: &Host, key: &str| {
        count += 1;
        let attempt = format!("attempt-{count}");
        let answer = client::send(host.clients, "/log/pass", &attempt, key, 2_500);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let ran = workers.iter().any(|worker| {
            worker
                .runs
                .lock()
                .unwrap()
                .iter()
                .any(|run| run.attempt == attempt)
        });
        let outcome = if ran { "ran" } else { "did not run" };
        record.line(&format!(
            "sent {attempt} to {} with {key}: status {status}, {outcome}",
            host.name
        ));
        (status, ran)
    };
    for host in [&a, &b] {
        for key in ["key-one", "key-two"] {
            if ask(record, host, key) != (200, true) {
                record.line("the deployment does not serve");
                return 2;
            }
        }
    }
    let began = if trouble {
        let Some(began) = first.silence_at_next_wait(Duration::from_secs(10)) else {
            record.line("the host did not wait for configurations at the store");
            return 2;
        };
        record.line(&format!(
            "the store gives {} no response from now on, and serves {}",
            a.name, b.name
        ));
        began
    } else {
        Instant::now()
    };
    sleep(Duration::from_millis(300));
    store.put(
        "keyed.op",
        "config",
        &configuration(2, 1_200, &["key-one", "key-three"]),
    );
    let acknowledged = Instant::now();
    record.line("the store acknowledged version 2, which takes key-two away and adds key-three");
    sleep(Duration::from_secs(2));
    ask(record, &b, "key-two");
    ask(record, &b, "key-three");
    sleep((began + SILENCE).saturating_duration_since(Instant::now()));
    first.answer_again();
    let answers = Instant::now();
    if trouble {
        record.line(&format!("the store responds to {} again", a.name));
    }
    let in_touch = (answers + STABILITY_WINDOW).max(acknowledged + APPLY);
    // A margin, so that no request counts that was sent at the bound.
    sleep((in_touch + Duration::from_millis(100)).saturating_duration_since(Instant::now()));
    record.line(&format!("{} is in touch", a.name));
    let until = Instant::now() + ASKED;
    let (mut broken, mut refused) = (0, 0);
    while Instant::now() < until {
        let (_, ran) = ask(record, &a, "key-two");
        broken += usize::from(ran);
        let (status, _) = ask(record, &a, "key-three");
        refused += usize::from(status == 401);
        sleep(Duration::from_millis(200));
    }
    let (status, _) = ask(record, &a, "key-one");
    for host in [&a, &b] {
        let log = std::fs::read_to_string(&host.log).unwrap_or_default();
        for line in log.lines().filter(|line| {
            line.contains("event=configuration ") || line.contains("topic=configuration")
        }) {
            record.line(&format!("log of {}: {line}", host.name));
        }
    }
    if status != 200 {
        record.line("the deployment does not serve at the end");
        return 2;
    }
    record.line(&format!(
        "{broken} requests ran with the key that was taken away, and {refused} with the new key were refused with 401"
    ));
    u8::from(broken + refused > 0)
}
