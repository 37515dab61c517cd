//! A stand-in of the platform's store: a log with keyed topics.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Head};

type Records = Vec<(String, Vec<u8>)>;

/// The topics, each with one partition.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Records>>,
    appended: Condvar,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let serving = Arc::clone(&store);
        let address = http::listen("127.0.0.1", move |connection, head, body| {
            serving.serve(connection, head, &body)
        })?;
        Ok((store, address))
    }

    /// Appends a record.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.appended.notify_all();
    }

    fn serve(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> io::Result<()> {
        let topic = head.query("topic").unwrap_or_default();
        let path = head.word(1).split('?').next().unwrap_or_default();
        match path {
            "/-/log-append" => {
                let (offset, end) = self.append(topic, body);
                let text = format!("{{\"offset\":{offset},\"endOffset\":{end}}}");
                connection.respond(
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    text.as_bytes(),
                )
            }
            "/-/log-read" => {
                let number = |name| {
                    head.query(name)
                        .and_then(|text| text.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let from = usize::try_from(number("from")).unwrap_or(0);
                let bytes = self.read(topic, from, Duration::from_millis(number("waitMs")));
                connection.respond(
                    "200 OK",
                    "Content-Type: application/octet-stream\r\n",
                    &bytes,
                )
            }
            "/-/log-newest" => {
                let text = self.newest(topic);
                connection.respond(
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    text.as_bytes(),
                )
            }
            _ => connection.respond("404 Not Found", "", b""),
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while body.len() > 4 {
            let (length, rest) = body.split_at(4);
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let (record, rest) = rest.split_at(length);
            let (key, value) = record[1..].split_at(record[0].into());
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = rest;
        }
        self.appended.notify_all();
        (offset, records.len())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
        let none = Records::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let length = u32::try_from(1 + key.len() + value.len()).unwrap();
            bytes.extend(length.to_be_bytes());
            bytes.push(u8::try_from(key.len()).unwrap());
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        bytes
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let none = Records::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<_> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
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
    for group in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |number, index| {
            number << 8 | u32::from(group.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                digit.into()
            } else {
                '='
            });
        }
    }
    text
}
