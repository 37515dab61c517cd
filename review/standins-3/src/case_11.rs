//! Clients leave while their requests wait for an engine. Are later requests served?

use std::env;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{self, Request};
use crate::record::Record;
use crate::site::Site;

const DIGEST: Request = Request {
    path: "/digest/2f",
    tokens: Some((45_000, 966)),
    deadline: Duration::from_secs(10),
};
const ASK: Request = Request {
    path: "/ask/2f",
    tokens: Some((5_000, 1_610)),
    deadline: Duration::from_secs(10),
};
const STATUS: Request = Request {
    path: "/status/2f",
    tokens: None,
    deadline: Duration::from_millis(2_500),
};

/// Length of the window in which not quite half of the users of digests leave.
const WINDOW: Duration = Duration::from_secs(5);
/// Users that come at once at the start of the window, and leave. Another 25 come later in it and stay.
const USERS: u32 = 24;
/// Time from the start of the window to the first user that stays.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time after which users leave: less than half of their objective of 1.5 s.
const PATIENCE: Duration = Duration::from_millis(600);
/// Length of the traffic after the window.
const AFTER: Duration = Duration::from_secs(50);
/// Time between two digests whose clients stay. The engines can read twice as many.
const DIGEST_INTERVAL: Duration = Duration::from_millis(140);
/// Time between two quick questions.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two questions for the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// Requests of one kind whose clients stay.
#[derive(Default)]
struct Tally {
    asked: u32,
    served: u32,
}

/// Kinds of requests: the names, and the first letters of the attempts' identifiers.
const KINDS: [(&str, char); 3] = [
    ("season-digest", 'd'),
    ("quick-ask", 'q'),
    ("trail-status", 's'),
];

/// What the clients share.
struct Clients {
    record: Arc<Record>,
    next: AtomicU32,
    tallies: [Mutex<Tally>; 3],
}

impl Clients {
    fn id(&self, kind: char) -> String {
        format!("{kind}{:06x}", self.next.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends a request, in a thread of its own, and counts how it ends.
    fn ask(self: &Arc<Self>, address: SocketAddr, request: &Request) -> JoinHandle<()> {
        let (clients, request) = (Arc::clone(self), request.clone());
        thread::spawn(move || {
            let kind = if request.path == DIGEST.path {
                0
            } else {
                2 - usize::from(request.path == ASK.path)
            };
            let (name, letter) = KINDS[kind];
            let (served, attempts) = client::ask(address, &request, &clients.id(letter));
            let outcome = if served { "served" } else { "not served" };
            clients
                .record
                .note(&format!("client of {address}: {name} {outcome}:{attempts}"));
            let mut tally = clients.tallies[kind].lock().unwrap();
            tally.asked += 1;
            tally.served += u32::from(served);
        })
    }

    /// Clients of one program come at once. The program ends after `patience`, if it leaves.
    fn come(self: &Arc<Self>, address: SocketAddr, patience: Duration, leaves: bool) {
        if !leaves {
            let staying: Vec<_> = (0..USERS).map(|_| self.ask(address, &DIGEST)).collect();
            for client in staying {
                let _ = client.join();
            }
            return;
        }
        let first = self.next.fetch_add(USERS, Ordering::SeqCst);
        let program = env::current_exe().and_then(|program| {
            let arguments = [
                address.to_string(),
                first.to_string(),
                patience.as_millis().to_string(),
            ];
            Command::new(program).arg("leave").args(arguments).status()
        });
        self.record
            .note(&format!("{USERS} clients have left {address}: {program:?}"));
    }
}

/// Sends requests over many connections, and ends.
pub fn leave(arguments: &[String]) -> io::Result<()> {
    let [address, first, patience] = arguments else {
        return Err(io::Error::other("leave ADDRESS FIRST MS"));
    };
    let address = address.parse().map_err(io::Error::other)?;
    let first: u32 = first.parse().map_err(io::Error::other)?;
    let patience = Duration::from_millis(patience.parse().map_err(io::Error::other)?);
    let requests = first..first + USERS;
    let open: Vec<_> = requests
        .map(|id| client::send(address, &DIGEST, &format!("e{id:06x}"), DIGEST.deadline))
        .collect();
    thread::sleep(patience);
    drop(open);
    Ok(())
}

/// Plays the case; returns whether the rule held.
pub fn play(root: &Path, record: &Arc<Record>, with_trouble: bool) -> io::Result<bool> {
    let site = Site::start(root, record, 3, 4, 3)?;
    // The clients are in the zone of the first host.
    let address = site.hosts[0].clients;
    let clients = Arc::new(Clients {
        record: Arc::clone(record),
        next: AtomicU32::new(1),
        tallies: Default::default(),
    });
    let began = Instant::now();
    let coming = Arc::clone(&clients);
    let mut asked = vec![thread::spawn(move || {
        coming.come(address, PATIENCE, with_trouble)
    })];
    let mut due = [
        (DIGEST, PAUSE, DIGEST_INTERVAL),
        (ASK, PAUSE, ASK_INTERVAL),
        (STATUS, Duration::ZERO, STATUS_INTERVAL),
    ];
    while began.elapsed() < WINDOW + AFTER {
        for (request, at, interval) in &mut due {
            if began.elapsed() >= *at {
                asked.push(clients.ask(address, request));
                *at += *interval;
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
    let share = |served: u32, asked: u32| f64::from(served) / f64::from(asked.max(1));
    let (mut shares, mut served, mut asked) = (Vec::new(), 0, 0);
    for ((name, _), tally) in KINDS.iter().zip(&clients.tallies) {
        let tally = tally.lock().unwrap();
        record.note(&format!(
            "{name}: {} of {} served",
            tally.served, tally.asked
        ));
        shares.push(share(tally.served, tally.asked));
        served += tally.served;
        asked += tally.asked;
    }
    // Starved: a kind of request is served less than a quarter as often as all requests.
    let all = share(served, asked);
    Ok(shares.iter().all(|share| *share >= all / 4.0))
}
