//! Stand-ins of the workers: model engines and plain ones.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Head};
use crate::record::Record;
use crate::store::Store;

/// Requests that an engine runs at once, as at the site.
pub const ENGINE_SLOTS: usize = 16;
/// Requests that a plain worker runs at once, as at the site.
pub const DESK_SLOTS: usize = 6;
/// Time between two writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time of a pass of 46 steps, in which each running request gets one event.
const PASS: Duration = Duration::from_micros(42_550);
/// Tokens of one event.
const EVENT_TOKENS: u64 = 46;

#[derive(Default)]
struct State {
    running: usize,
    /// End of the reading that was accepted so far.
    reads_until: Option<Instant>,
    sequence: u64,
}

/// A worker.
pub struct Worker {
    name: String,
    is_engine: bool,
    record: Arc<Record>,
    state: Mutex<State>,
}

/// Where a worker registers.
pub struct Registration<'a> {
    pub store: &'a Arc<Store>,
    pub service: &'a str,
    pub zone: &'a str,
}

/// Milliseconds in which an engine reads this many tokens, by the figures that the operator publishes.
fn prefill_ms(tokens: f64) -> f64 {
    tokens / 256.0 + 0.0917 * tokens * tokens / 2.0 / 1e6
}

struct Running<'a>(&'a Worker);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().running -= 1;
    }
}

impl Worker {
    /// Starts a worker that writes its entry to the store from now on.
    pub fn start(
        name: &str,
        is_engine: bool,
        at: &Registration<'_>,
        record: &Arc<Record>,
    ) -> io::Result<SocketAddr> {
        let worker = Arc::new(Self {
            name: name.to_owned(),
            is_engine,
            record: Arc::clone(record),
            state: Mutex::default(),
        });
        let serving = Arc::clone(&worker);
        let address = http::listen("127.0.0.1", move |connection, head, body| {
            serving.serve(connection, head, &body)
        })?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis());
        let slots = if is_engine { ENGINE_SLOTS } else { DESK_SLOTS };
        let (store, service, zone) = (
            Arc::clone(at.store),
            at.service.to_owned(),
            at.zone.to_owned(),
        );
        let name = name.to_owned();
        thread::spawn(move || {
            for sequence in 0.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
                );
                store.put("keyed.servers", &name, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(address)
    }

    fn serve(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> io::Result<()> {
        if head.word(1) == "/-/order" {
            self.state.lock().unwrap().sequence += 1;
            return connection.respond(
                "200 OK",
                "Content-Type: application/json\r\n",
                b"{\"free\":400000}",
            );
        }
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if head
            .get("x-expected-instance")
            .is_some_and(|expected| expected != self.name)
        {
            let fields = format!("X-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\n", self.name);
            return connection.respond("421 Misdirected Request", &fields, b"");
        }
        let slots = if self.is_engine {
            ENGINE_SLOTS
        } else {
            DESK_SLOTS
        };
        let running = {
            let mut state = self.state.lock().unwrap();
            let has_room = state.running < slots;
            state.running += usize::from(has_room);
            has_room.then(|| Running(self))
        };
        if running.is_none() {
            self.record
                .note(&format!("{} rejects {id}: full", self.name));
            let fields = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
            return connection.respond("503 Service Unavailable", &fields, b"");
        }
        let ended = if self.is_engine {
            self.stream(connection, head, &id)
        } else {
            self.call(connection, &id, body)
        };
        if ended.is_err() {
            self.record.note(&format!(
                "{} drops {id}: its connection was closed",
                self.name
            ));
        }
        ended
    }

    fn fields(&self, id: &str) -> String {
        format!(
            "X-Attempt-Id: {id}\r\nX-Response-Signature: {}.{id}\r\n",
            self.name
        )
    }

    fn call(&self, connection: &mut Connection, id: &str, _body: &[u8]) -> io::Result<()> {
        self.record.note(&format!("{} runs {id}", self.name));
        connection.wait(Instant::now() + Duration::from_millis(30))?;
        connection.respond("200 OK", &self.fields(id), &[b'a'; 800])
    }

    /// Reads the prompt and sends an event each pass. The request begins to run with the first event.
    fn stream(&self, connection: &mut Connection, head: &Head, id: &str) -> io::Result<()> {
        let counts = head.get("x-token-counts").unwrap_or("0,46");
        let (prompt, answer) = counts.split_once(',').unwrap_or((counts, "46"));
        let prompt: f64 = prompt.parse().unwrap_or(0.0);
        let answer: u64 = answer.parse().unwrap_or(EVENT_TOKENS);
        let helpers = head
            .get("x-helpers")
            .map_or(0, |list| list.split(',').count());
        let parts = f64::from(u32::try_from(helpers).unwrap_or(0) + 1);
        let read_at = {
            let mut state = self.state.lock().unwrap();
            let begins = state
                .reads_until
                .unwrap_or_else(Instant::now)
                .max(Instant::now());
            let ends = begins + Duration::from_secs_f64(prefill_ms(prompt) / parts / 1_000.0);
            state.reads_until = Some(ends);
            ends
        };
        self.record
            .note(&format!("{} reads {id}, {helpers} helpers", self.name));
        connection.wait(read_at + PASS)?;
        self.record.note(&format!("{} runs {id}", self.name));
        let fields = self.fields(id);
        connection.send(
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{fields}\r\n")
                .as_bytes(),
        )?;
        for event in 1..=answer.div_ceil(EVENT_TOKENS) {
            connection.send_chunk(format!("id: {event}\ndata: {event}\n\n").as_bytes())?;
            connection.wait(Instant::now() + PASS)?;
        }
        connection.send_chunk(b"")
    }
}
