//! The platform's store: keyed topics with one partition.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<Vec<u8>>>,
}

impl Topics {
    fn of(&self, topic: &str) -> &[Vec<u8>] {
        self.records.get(topic).map_or(&[], Vec::as_slice)
    }
}

/// One machine's way to the store.
pub struct Door {
    pub address: SocketAddr,
    /// Whether calls get no response. Their connections return nothing further.
    silent: AtomicBool,
    /// Whether `silent` begins with the next call that waits for configurations.
    silent_at_wait: AtomicBool,
    silent_since: Mutex<Option<Instant>>,
    /// Number of times at which the open connections went silent.
    silences: AtomicUsize,
}

impl Door {
    /// Responds to no call from the next one on that waits for configurations; returns when that came.
    pub fn silence_at_next_wait(&self, limit: Duration) -> Option<Instant> {
        self.silent_at_wait.store(true, Ordering::SeqCst);
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(since) = *self.silent_since.lock().unwrap() {
                return Some(since);
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// Makes the connections that are open now return nothing further.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Responds to new calls again.
    pub fn answer_again(&self) {
        self.silent_at_wait.store(false, Ordering::SeqCst);
        self.silent.store(false, Ordering::SeqCst);
    }

    /// Whether a call that arrives now gets no response.
    fn loses(&self, call: &Message) -> bool {
        let waits = call.query("topic") == Some("keyed.op")
            && call.query("waitMs").is_some_and(|wait| wait != "0");
        if waits && self.silent_at_wait.swap(false, Ordering::SeqCst) {
            self.silent.store(true, Ordering::SeqCst);
            *self.silent_since.lock().unwrap() = Some(Instant::now());
        }
        self.silent.load(Ordering::SeqCst)
    }
}

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Opens a way to the store for one machine.
    pub fn open_door(&self) -> Arc<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let door = Arc::new(Door {
            address: listener.local_addr().expect("an address"),
            silent: AtomicBool::new(false),
            silent_at_wait: AtomicBool::new(false),
            silent_since: Mutex::default(),
            silences: AtomicUsize::new(0),
        });
        let (store, used) = (self.clone(), Arc::clone(&door));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, used) = (store.clone(), Arc::clone(&used));
                thread::spawn(move || store.serve(stream, &used));
            }
        });
        door
    }

    /// Writes a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, record);
    }

    fn append(&self, topic: &str, record: Vec<u8>) -> usize {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let records = topics.records.entry(topic.to_owned()).or_default();
        records.push(record);
        let end = records.len();
        changed.notify_all();
        end
    }

    fn serve(&self, mut stream: TcpStream, door: &Door) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let silences = door.silences.load(Ordering::SeqCst);
        let is_silent = || {
            door.silent.load(Ordering::SeqCst) || door.silences.load(Ordering::SeqCst) != silences
        };
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = http::read(&mut reader)? {
            let lost = door.loses(&call) || is_silent();
            let response = if lost { None } else { Some(self.answer(&call)) };
            let Some((status, kind, body)) = response.filter(|_| !is_silent()) else {
                // The connection stays open and returns nothing further.
                let mut rest = [0; 1_024];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            };
            let headers = format!("Content-Type: {kind}\r\n");
            http::respond(&mut stream, status, &headers, &body)?;
        }
        Ok(())
    }

    fn answer(&self, call: &Message) -> (&'static str, &'static str, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default();
        let path = call.second().split('?').next().unwrap_or_default();
        match path {
            "/-/log-read" => ("200 OK", "application/octet-stream", self.read(topic, call)),
            "/-/log-newest" => (
                "200 OK",
                "application/json",
                self.newest(topic).into_bytes(),
            ),
            "/-/log-append" => {
                let mut body = &call.body[..];
                let mut end = 0;
                while body.len() >= 4 {
                    let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
                    end = self.append(topic, body[4..4 + length].to_vec());
                    body = &body[4 + length..];
                }
                let text = format!(
                    "{{\"offset\":{},\"endOffset\":{end}}}",
                    end.saturating_sub(1)
                );
                ("200 OK", "application/json", text.into_bytes())
            }
            _ => ("404 Not Found", "application/json", b"{}".to_vec()),
        }
    }

    fn read(&self, topic: &str, call: &Message) -> Vec<u8> {
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        while topics.of(topic).len() <= from {
            let now = Instant::now();
            if now >= until {
                break;
            }
            topics = changed.wait_timeout(topics, until - now).unwrap().0;
        }
        let records = topics.of(topic);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        body
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.of(topic);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (value, offset));
        }
        newest.retain(|_, (value, _)| !value.is_empty());
        let items = newest.iter().map(|(key, (value, offset))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        });
        let items: Vec<_> = items.collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{}}}",
            items.join(","),
            records.len()
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= part.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
