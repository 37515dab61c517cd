//! The open connections to the store go silent for good, while new ones work. A key is taken away then.
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

/// `stabilityWindowMs`
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

fn main() -> ExitCode {
    standins_2::run("silent_connections", play)
}

fn play(root: &Path, logs: &Path, trouble: bool, record: &mut Record) -> u8 {
    let store = Store::default();
    let doors = [store.open_door(), store.open_door()];
    store.put(
        "keyed.op",
        "config",
        &configuration(1, 1_200, &["key-one", "key-two"]),
    );
    let worker = Worker::start(&store, "i-desk-1", "desk", "cannock");
    let machine = |name, zone, ip, store| Machine {
        name,
        zone,
        ip,
        store,
    };
    let launch =
        |name, zone, ip, store| Host::launch(root, logs, &machine(name, zone, ip, store), &[]);
    let (Some(a), Some(b)) = (
        launch("edge-cannock-1", "cannock", "127.0.0.46", doors[0].address),
        launch(
            "edge-sherwood-1",
            "sherwood",
            "127.0.0.47",
            doors[1].address,
        ),
    ) else {
        record.line("a host did not become ready");
        return 2;
    };
    sleep(Duration::from_secs(8));
    store.put(
        "keyed.op",
        "config",
        &configuration(2, 1_300, &["key-one", "key-two"]),
    );
    record.line("the store acknowledged version 2, which changes a time-out");
    sleep(Duration::from_millis(50));
    let began = Instant::now();
    if trouble {
        for door in &doors {
            door.silence_open_connections();
        }
        record.line("the open connections to the store go silent; new ones work");
    }
    sleep(Duration::from_millis(300));
    store.put("keyed.op", "config", &configuration(3, 1_300, &["key-one"]));
    record.line("the store acknowledged version 3, which takes key-two away");
    sleep(
        (began + STABILITY_WINDOW + Duration::from_millis(20))
            .saturating_duration_since(Instant::now()),
    );
    record.line("the hosts are in touch");
    let mut broken = 0;
    for count in 0..100 {
        for host in [&a, &b] {
            let attempt = format!("attempt-{}-{count}", host.name);
            let answer = client::send(host.clients, "/log/pass", &attempt, "key-two", 2_500);
            let ran = worker
                .runs
                .lock()
                .unwrap()
                .iter()
                .any(|run| run.attempt == attempt);
            broken += usize::from(ran);
            if ran || count == 99 {
                record.line(&format!(
                    "sent {attempt}: status {}, ran {ran}",
                    answer.map_or(0, |answer| answer.status())
                ));
            }
        }
        sleep(Duration::from_millis(10));
    }
    record.line(&format!(
        "with the key that was taken away, {broken} requests ran"
    ));
    u8::from(broken > 0)
}
