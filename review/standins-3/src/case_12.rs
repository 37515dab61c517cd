//! Entries of another writer lie among those of the workers. Is the traffic served?

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::record::Record;
use crate::site::{Site, ZONES};

const DIGEST: Request = Request {
    path: "/digest/2f",
    tokens: Some((45_000, 966)),
    deadline: Duration::from_secs(10),
};
const STATUS: Request = Request {
    path: "/status/2f",
    tokens: None,
    deadline: Duration::from_millis(2_500),
};
/// Time that is left to a client that comes late: less than the work of 30 ms takes.
const LATE: Duration = Duration::from_millis(15);

/// Number of entries of another writer, in the zones of the deployment.
const STRAYS: usize = 36;
/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(75);
/// Times between two requests at a host, by kind.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1_000);
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
const LATE_INTERVAL: Duration = Duration::from_millis(500);

/// What the clients share.
struct Clients {
    record: Arc<Record>,
    next: AtomicU32,
    /// Requests that were asked and served, without those of late clients.
    tally: Mutex<(u32, u32)>,
}

impl Clients {
    fn id(&self, kind: char) -> String {
        format!("{kind}{:06x}", self.next.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends a request, in a thread of its own, and counts how it ends.
    fn ask(self: &Arc<Self>, address: SocketAddr, request: &Request) -> JoinHandle<()> {
        let (clients, request) = (Arc::clone(self), request.clone());
        thread::spawn(move || {
            let kind = if request.tokens.is_some() { 'd' } else { 's' };
            let (served, attempts) = client::ask(address, &request, &clients.id(kind));
            let outcome = if served { "served" } else { "not served" };
            clients
                .record
                .note(&format!("client of {address}: {outcome}:{attempts}"));
            let mut tally = clients.tally.lock().unwrap();
            tally.0 += 1;
            tally.1 += u32::from(served);
        })
    }

    /// Sends a request whose client has almost no time left. It is not owed.
    fn ask_late(self: &Arc<Self>, address: SocketAddr) -> JoinHandle<()> {
        let clients = Arc::clone(self);
        thread::spawn(move || {
            let id = clients.id('l');
            let until = Instant::now() + Duration::from_secs(1);
            let seen = client::send(address, &STATUS, &id, LATE)
                .and_then(|mut connection| client::receive(&mut connection, until));
            clients
                .record
                .note(&format!("late client of {address}: {id} {seen:?}"));
        })
    }
}

/// Plays the case; returns whether the rule held.
pub fn play(root: &Path, record: &Arc<Record>, with_trouble: bool) -> io::Result<bool> {
    let site = Site::start(root, record, 3, 4, 3)?;
    if with_trouble {
        // Nothing listens at these addresses.
        for number in 1..=STRAYS {
            let zone = ZONES[number % ZONES.len()];
            let entry = format!(
                "{{\"service\":\"archive-bot\",\"address\":\"127.0.1.{number}:1\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"sequence\":1,\"born\":1765000000000}}"
            );
            site.store
                .put("keyed.servers", &format!("x-{number}"), &entry);
        }
        record.note(&format!(
            "{STRAYS} entries of a service that the configuration does not name"
        ));
    }
    let clients = Arc::new(Clients {
        record: Arc::clone(record),
        next: AtomicU32::new(1),
        tally: Mutex::default(),
    });
    let began = Instant::now();
    let mut asked: Vec<JoinHandle<()>> = Vec::new();
    let mut due = [Duration::ZERO; 3];
    while began.elapsed() < LENGTH {
        let intervals = [DIGEST_INTERVAL, STATUS_INTERVAL, LATE_INTERVAL];
        for (kind, (at, interval)) in due.iter_mut().zip(intervals).enumerate() {
            if began.elapsed() < *at {
                continue;
            }
            *at += interval;
            for host in &site.hosts {
                asked.push(match kind {
                    0 => clients.ask(host.clients, &DIGEST),
                    1 => clients.ask(host.clients, &STATUS),
                    _ => clients.ask_late(host.clients),
                });
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    for client in asked {
        let _ = client.join();
    }
    site.note_ready(record);
    if let Some(folder) = std::env::var_os("KEEP_LOGS") {
        site.keep_logs(Path::new(&folder));
    }
    let (asked, served) = *clients.tally.lock().unwrap();
    record.note(&format!("{served} of {asked} served"));
    // Gate: refused and failed requests are at most 60% of those owed.
    Ok(f64::from(asked - served) <= 0.6 * f64::from(asked))
}
