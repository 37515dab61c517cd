//! A worker of the soak, as a process of its own.
//!
//! Arguments: its identifier, its port (0 for any), its slots and the seed of its faults. It prints its
//! address, then a line for each request: `arrives`, `runs`, `rejects`, `copies` or `answers`, with the time of day
//! in milliseconds, the attempt's identifier, the time that the caller states and the caller's port. A line `fault NAME SHARE` on
//! standard input sets the share of the requests that a fault affects.

use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_standins::caller::EVENTS;
use review_standins::parts::{self, AFTER_EVENT, AFTER_HEAD, BEFORE_HEAD, CLOSED_FIRST};
use review_standins::http::{read_body, read_head, Message};
use review_standins::rng::Rng;
use review_standins::socket;
use review_standins::worker::{stream_event, unframed_body};

/// The writing half of a connection, held for as long as one answer takes.
type Writer = Arc<Mutex<TcpStream>>;

struct Worker {
    name: String,
    slots: usize,
    busy: AtomicUsize,
    rng: Mutex<Rng>,
    shares: Mutex<HashMap<String, f64>>,
    /// The requests whose refusal is written twice.
    copied: Mutex<HashSet<String>>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| arguments[index].parse::<u64>().expect("a number");
    let port = u16::try_from(number(1)).expect("a port");
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the port is free");
    let worker = Arc::new(Worker {
        name: arguments[0].clone(),
        slots: number(2) as usize,
        busy: AtomicUsize::new(0),
        rng: Mutex::new(Rng::new(number(3))),
        shares: Mutex::default(),
        copied: Mutex::default(),
    });
    say(&listener.local_addr().expect("an address").to_string());
    let controlled = Arc::clone(&worker);
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let mut words = line.split(' ').skip(1);
            if let (Some(name), Some(Ok(share))) = (words.next(), words.next().map(str::parse)) {
                controlled.shares.lock().unwrap().insert(name.to_owned(), share);
            }
        }
        // The soak is gone.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        thread::spawn(move || worker.serve(&stream));
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn note(what: &str, id: &str, remaining: &str, stream: &TcpStream) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let port = stream.peer_addr().map_or(0, |address| address.port());
    say(&format!("{what} {now} {id} {remaining} {port}"));
}

fn lock(writer: &Writer) -> MutexGuard<'_, TcpStream> {
    writer.lock().unwrap()
}

impl Worker {
    fn has(&self, fault: &str) -> bool {
        let share = self.shares.lock().unwrap().get(fault).copied().unwrap_or(0.0);
        share > 0.0 && self.rng.lock().unwrap().chance(share)
    }

    fn range(&self, low: u64, high: u64) -> u64 {
        self.rng.lock().unwrap().range(low, high)
    }

    fn pause(&self, low: u64, high: u64) {
        thread::sleep(Duration::from_millis(self.range(low, high)));
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        if self.has("unread") {
            // Closed with unread bytes, which resets the connection.
            self.pause(0, 30);
            return;
        }
        let Ok(writer) = stream.try_clone().map(|writer| Arc::new(Mutex::new(writer))) else { return };
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        loop {
            let idle = if self.has("idle") { self.range(1, 120) } else { 5_000 };
            let _ = stream.set_read_timeout(Some(Duration::from_millis(idle)));
            let mut first = [0];
            if !matches!(stream.peek(&mut first), Ok(1)) {
                return;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let Ok(Some(mut request)) = read_head(&mut reader) else { return };
            let is_long = request.header("content-length").is_some_and(|length| length.len() > 4);
            if is_long && self.has("early") {
                // Refused before its body is read.
                let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
                note("arrives", &id, request.header("x-remaining-milliseconds").unwrap_or("-"), stream);
                note("rejects", &id, "-", stream);
                let refusal = format!("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                let is_copied = self.has("copy");
                if !self.refuse(&id, refusal, is_copied, &writer) || read_body(&mut reader, &mut request).is_err() {
                    return;
                }
                continue;
            }
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            if !self.respond(&request, stream, &writer) {
                return;
            }
        }
    }

    /// Writes a refusal, and later its copy if `is_copied`, whatever the connection then carries; returns whether the
    /// connection stays open.
    fn refuse(&self, id: &str, text: String, is_copied: bool, writer: &Writer) -> bool {
        if lock(writer).write_all(text.as_bytes()).is_err() {
            return false;
        }
        if is_copied {
            self.copied.lock().unwrap().insert(id.to_owned());
            let late = Duration::from_millis(self.range(0, 100));
            let (writer, id) = (Arc::downgrade(writer), id.to_owned());
            thread::spawn(move || {
                thread::sleep(late);
                // The connection may have been closed meanwhile.
                let Some(writer) = writer.upgrade() else { return };
                let mut writer = lock(&writer);
                note("copies", &id, "-", &writer);
                let _ = writer.write_all(text.as_bytes());
            });
        }
        true
    }

    fn is_copied(&self, id: &str) -> bool {
        self.copied.lock().unwrap().contains(id)
    }

    /// Answers one request; returns whether the connection stays open.
    fn respond(&self, request: &Message, stream: &TcpStream, writer: &Writer) -> bool {
        let plain = |status: &str, body: &str, more: &str| {
            format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len())
        };
        let send = |writer: &Writer, text: String| lock(writer).write_all(text.as_bytes()).is_ok();
        match request.target() {
            "/health" => return send(writer, plain("200 OK", "", &format!("X-Instance-Id: {}\r\n", self.name))),
            "/-/report" => {
                let busy = self.busy.load(Ordering::SeqCst);
                let body = format!("{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":2,\"queuedRequests\":0,\"activeRequests\":{busy},\"kvCacheUsed\":{},\"kvCacheTotal\":450000,\"handles\":0,\"pace\":1.0,\"tickets\":[]}}", busy * 6_000);
                return send(writer, plain("200 OK", &body, "Content-Type: application/json\r\n"));
            }
            "/-/order" if self.has("order") => {
                // Carried out late, and answered or not.
                self.pause(300, 3_000);
                return self.range(0, 1) == 0 && send(writer, plain("200 OK", "{\"free\":200000}", "Content-Type: application/json\r\n"));
            }
            "/-/order" => return send(writer, plain("200 OK", "{\"free\":200000}", "Content-Type: application/json\r\n")),
            _ => {}
        }
        // A request that no client sent is named by its target.
        let id = request.header("x-attempt-id").unwrap_or(request.target()).to_owned();
        let remaining = request.header("x-remaining-milliseconds").unwrap_or("-").to_owned();
        note("arrives", &id, &remaining, stream);
        let echo = format!("X-Attempt-Id: {id}\r\n");
        let named = format!("{echo}X-Not-Executed: 1\r\n");
        if request.header("x-expected-instance").is_some_and(|name| name != self.name) {
            note("rejects", &id, &remaining, stream);
            return self.refuse(&id, plain("421 Misdirected Request", "", &named), self.has("copy"), writer);
        }
        if self.has("unnamed") {
            note("rejects", &id, &remaining, stream);
            return send(writer, plain("400 Bad Request", "", "X-Not-Executed: 1\r\n"));
        }
        let helper = request.header("x-helpers").and_then(|list| list.split(['/', ',']).next());
        if let Some(helper) = helper.filter(|_| self.has("helper")) {
            note("rejects", &id, &remaining, stream);
            let refusal = plain("503 Service Unavailable", "", &format!("{named}At-Server: {helper}\r\n"));
            return self.refuse(&id, refusal, self.has("copy"), writer);
        }
        // The same request runs when it comes again.
        if self.has("copy") && !self.is_copied(&id) {
            note("rejects", &id, &remaining, stream);
            let status = if self.range(0, 3) == 0 { "421 Misdirected Request" } else { "503 Service Unavailable" };
            return self.refuse(&id, plain(status, "", &named), true, writer);
        }
        if self.busy.load(Ordering::SeqCst) >= self.slots || self.has("full") {
            note("rejects", &id, &remaining, stream);
            let kept = send(writer, plain("503 Service Unavailable", "", &named));
            if kept && self.has("again") {
                // The refusal is written once more, without the attempt.
                self.pause(0, 40);
                return send(writer, plain("503 Service Unavailable", "", "X-Not-Executed: 1\r\n"));
            }
            return kept;
        }
        self.busy.fetch_add(1, Ordering::SeqCst);
        note("runs", &id, &remaining, stream);
        let kept = self.run(request, &id, &echo, stream, writer);
        self.busy.fetch_sub(1, Ordering::SeqCst);
        kept
    }

    fn run(&self, request: &Message, id: &str, echo: &str, stream: &TcpStream, writer: &Writer) -> bool {
        let deadline = request.header("x-remaining-milliseconds").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(2_500));
        if self.has("hang") {
            thread::sleep(until.saturating_duration_since(Instant::now()));
            return false;
        }
        self.pause(5, 25);
        if self.is_copied(id) {
            // The copy comes before the answer or after it.
            self.pause(0, 80);
        }
        if self.has("slow") {
            self.pause(300, 1_800);
        }
        if self.has("lost") {
            if self.range(0, 1) == 0 {
                socket::reset_on_close(stream);
            }
            return false;
        }
        let moment = request.header("x-prompt-prefix-hash").and_then(parts::moment);
        let signed = format!("{echo}X-Response-Signature: {}.{id}\r\n", self.name);
        if self.has("failed") {
            let text = format!("HTTP/1.1 500 Internal Server Error\r\n{signed}Content-Length: 4\r\n\r\nfail");
            return lock(writer).write_all(text.as_bytes()).is_ok();
        }
        if request.target().starts_with("/ask") || request.target().starts_with("/tell") {
            let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            return self.stream(id, &signed, after, moment, stream, writer);
        }
        let body = unframed_body(id);
        let unframed = self.has("unframed");
        let length = if unframed { "Connection: close\r\n".to_owned() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("HTTP/1.1 200 OK\r\n{signed}Content-Type: application/octet-stream\r\n{length}\r\n");
        let whole = [head.as_bytes(), &body].concat();
        if self.has("head") || (!unframed && self.has("half")) {
            // An answer without a length that is cut inside its body looks whole.
            let cut = if unframed || self.range(0, 1) == 0 { head.len() } else { whole.len() };
            let cut = self.range(1, cut as u64 - 1) as usize;
            let _ = lock(writer).write_all(&whole[..cut]);
            self.pause(0, 5);
            if self.range(0, 2) == 0 {
                socket::reset_on_close(stream);
            }
            return false;
        }
        if lock(writer).write_all(&whole).is_err() || unframed {
            return false;
        }
        note("answers", id, "-", stream);
        if self.has("extra") {
            self.pause(0, 40);
            let text = match self.range(0, 2) {
                0 => whole,
                1 => format!("HTTP/1.1 503 Service Unavailable\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").into_bytes(),
                _ => b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec(),
            };
            return lock(writer).write_all(&text).is_ok();
        }
        true
    }

    /// Streams the events after `after`; returns whether the connection stays open.
    fn stream(&self, id: &str, signed: &str, after: usize, moment: Option<&str>, stream: &TcpStream, writer: &Writer) -> bool {
        let breaks = self.has("half").then(|| self.range(0, EVENTS as u64) as usize);
        let silent = self.has("silent").then(|| self.range(0, EVENTS as u64) as usize);
        let head = format!("HTTP/1.1 200 OK\r\n{signed}X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        let crash_at = |now: &str| {
            if moment == Some(now) {
                note("crashes", id, "-", stream);
                std::process::abort();
            }
        };
        crash_at(BEFORE_HEAD);
        let mut writer = lock(writer);
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        crash_at(AFTER_HEAD);
        if moment == Some(CLOSED_FIRST) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            self.pause(40, 200);
        }
        crash_at(CLOSED_FIRST);
        for number in after + 1..=EVENTS {
            let event = stream_event(id, number);
            if breaks == Some(number) {
                let _ = writer.write_all(format!("{:x}\r\n{}", event.len(), &event[..event.len() / 2]).as_bytes());
                socket::reset_on_close(stream);
                return false;
            }
            if silent == Some(number) {
                thread::sleep(Duration::from_secs(4));
            }
            if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
            crash_at(AFTER_EVENT);
            self.pause(10, 30);
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}
