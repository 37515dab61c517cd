//! A stand-in for a worker. It registers itself in the store and writes there every 1.2 s.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_request, Message};
use crate::record::Record;
use crate::store::Store;

/// What a worker does with a request that it runs: it writes the answer, and returns whether the
/// connection stays open.
pub type Run = Arc<dyn Fn(&Worker, &Message, &mut TcpStream) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub state: Arc<Mutex<String>>,
    pub record: Record,
    born: u128,
    run: Run,
}

impl Worker {
    /// Starts a worker on a free port and registers it.
    pub fn start(store: &Store, record: &Record, name: &str, service: &str, zone: &str, slots: u32, run: Run) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let worker = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address,
            state: Arc::new(Mutex::new("ready".to_owned())),
            record: record.clone(),
            born,
            run,
        };
        let server = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 0.. {
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
                    beating.service, beating.address, beating.zone, beating.slots, beating.state.lock().unwrap(), beating.born
                );
                store.put("keyed.servers", &beating.name, &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        worker
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if request.target() == "/health" {
                let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.name);
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if request.header("x-expected-instance").is_some_and(|name| name != self.name) {
                let head = format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.name);
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
            self.record.line(&format!("worker {} runs {id}", self.name));
            if !(self.run)(self, &request, &mut writer) {
                return;
            }
        }
    }

    /// The head of an answer with a length, with the signature of this worker.
    pub fn head(&self, request: &Message, length: usize) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: {}.{length}\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n\r\n",
            request.header("x-attempt-id").unwrap_or(""),
            self.name
        )
    }
}

/// The 800 bytes that answer the attempt `id`.
pub fn unframed_body(id: &str) -> Vec<u8> {
    let mut body = Vec::new();
    while body.len() < 800 {
        body.extend_from_slice(format!("{id} part {:03};", body.len()).as_bytes());
    }
    body.truncate(800);
    body
}

/// The entry that a worker writes into the store.
pub fn entry(service: &str, address: &str, zone: &str, slots: u32, sequence: u64, born: u128) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{born}}}"
    )
}

/// Number of events of a stream.
pub const EVENTS: usize = 35;

/// One event of the stream that answers the attempt `id`.
pub fn stream_event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} tokens {number}\n\n")
}
