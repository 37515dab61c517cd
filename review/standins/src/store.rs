//! A stand-in for the platform's store: a log with keyed topics of one partition.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_request, Message};

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

#[derive(Default)]
struct Inner {
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

/// Rewrites a record for the host that reads it.
pub type Rewrite = Arc<dyn Fn(&[u8]) -> Vec<u8> + Send + Sync>;

/// The store answers.
pub const UP: u8 = 0;
/// The store refuses each call.
pub const REFUSES: u8 = 1;
/// The store carries out each call and does not answer.
pub const MUTE: u8 = 2;
/// The store answers late.
pub const SLOW: u8 = 3;

/// The store. It loses nothing that it has acknowledged.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
    pub address: SocketAddr,
    rewrite: Rewrite,
    state: Arc<AtomicU8>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        Self::listen(Arc::default(), Arc::new(<[u8]>::to_vec))
    }

    /// Starts another address of the store, at which records are read as `rewrite` returns them.
    pub fn view(&self, rewrite: Rewrite) -> Self {
        Self::listen(Arc::clone(&self.inner), rewrite)
    }

    /// Sets how the store behaves at this address.
    pub fn set(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
    }

    fn listen(inner: Arc<Inner>, rewrite: Rewrite) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { inner, address, rewrite, state: Arc::default() };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Appends a record to a keyed topic. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key, value.as_bytes());
    }

    /// Whether the newest record of a key contains `text`.
    pub fn lists(&self, topic: &str, key: &str, text: &str) -> bool {
        let topics = self.inner.topics.lock().unwrap();
        let newest = topics.get(topic).and_then(|topic| topic.newest.get(key));
        newest.is_some_and(|(_, value)| String::from_utf8_lossy(value).contains(text))
    }

    fn append(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let mut topics = self.inner.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        topic.records.push((key.to_owned(), value.to_vec()));
        if value.is_empty() {
            topic.newest.remove(key);
        } else {
            topic.newest.insert(key.to_owned(), (offset, value.to_vec()));
        }
        self.inner.appended.notify_all();
        offset
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = match self.state.load(Ordering::SeqCst) {
                REFUSES => (503, Vec::new()),
                MUTE => {
                    self.respond(&request);
                    continue;
                }
                state => {
                    if state == SLOW {
                        thread::sleep(Duration::from_millis(1_500));
                    }
                    self.respond(&request)
                }
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let path = request.target().split('?').next().unwrap_or("");
        let topic = request.query("topic").unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/-/log-newest") => (200, self.newest(&topic)),
            ("GET", "/-/log-read") => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                (200, self.read(&topic, from, wait))
            }
            ("POST", "/-/log-append") => {
                let mut body = request.body.as_slice();
                let mut first = None;
                while body.len() >= 5 {
                    let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
                    let record = &body[4..4 + length];
                    let key_length = record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
                    let offset = self.append(&topic, &key, &record[1 + key_length..]);
                    first.get_or_insert(offset);
                    body = &body[4 + length..];
                }
                let first = first.unwrap_or(0);
                (200, format!("{{\"offset\":{first},\"endOffset\":{}}}", first + 1).into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.inner.topics.lock().unwrap();
        let Some(topic) = topics.get(topic) else {
            return br#"{"items":[],"hasMore":false,"endOffset":0}"#.to_vec();
        };
        let items: Vec<_> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(&(self.rewrite)(value)))
            })
            .collect();
        let end = topic.records.len();
        format!("{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{end}}}", items.join(",")).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.inner.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, |topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.inner.appended.wait_timeout(topics, left).unwrap().0;
        }
        let none = Topic::default();
        let topic = topics.get(topic).unwrap_or(&none);
        let mut body = Vec::new();
        body.extend_from_slice(&(topic.records.len() as u64).to_be_bytes());
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in topic.records.iter().skip(from) {
            let value = (self.rewrite)(value);
            let length = (1 + key.len() + value.len()) as u32;
            body.extend_from_slice(&length.to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(&value);
        }
        body
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(group >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
