//! A fake of the platform's log, which is the store of the relay: keyed topics with one partition
//! each, long polling, outages and the return from an older copy.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use adapter::names;
use async_trait::async_trait;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{HeaderValue, Response, StatusCode};
use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use relay::body::Body;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

use super::http1::{Handler, Request, json_response};
use crate::server::query_param;

/// Key and value of a record. An empty value deletes the key.
type Record = (String, Bytes);

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Record>,
    /// Offset of the first record that reads still return.
    first_offset: usize,
}

/// The content of a log at one moment.
pub struct Copy(HashMap<String, Topic>);

/// A fake log.
#[derive(Default)]
pub struct Log {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Notify,
    down: AtomicBool,
    /// Whether calls that arrive get no response.
    silent: AtomicBool,
    /// Whether reads of the newest records get no response.
    newest_silent: AtomicBool,
    /// Time over which each page of the newest records is sent, in parts.
    newest_duration: Mutex<Duration>,
    /// Number of the next connection on which a call arrives for the first time.
    next_connection: AtomicUsize,
    /// Number of the first connection that was not silenced.
    first_audible: AtomicUsize,
    era: AtomicU64,
    /// Time that each read of the newest records takes.
    newest_delay: Mutex<Duration>,
    /// Maximum number of records in a page of the newest ones; zero for no maximum.
    page_items: AtomicUsize,
    /// Replaces the header with the era on every response, so that a test can send malformed ones.
    era_header: Mutex<Option<HeaderValue>>,
}

impl Log {
    /// Appends `value` as JSON under `key`. A null value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let value = if value.is_null() {
            Bytes::new()
        } else {
            Bytes::from(value.to_string())
        };
        self.put_bytes(topic, key, value);
    }

    /// Appends any bytes under `key`, so that a test can write malformed records.
    pub fn put_bytes(&self, topic: &str, key: &str, value: Bytes) {
        let mut topics = self.topics.lock();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value));
        drop(topics);
        self.appended.notify_waiters();
    }

    /// Sets whether the log rejects every request with status 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Sets whether calls get no response. A call that arrives or waits meanwhile gets none afterwards
    /// either.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Sets whether reads of the newest records get no response, as [`Log::set_silent`] does for all calls.
    pub fn silence_newest(&self, silent: bool) {
        self.newest_silent.store(silent, Ordering::SeqCst);
    }

    /// Sends each page of the newest records in parts, over `time`.
    pub fn send_newest_over(&self, time: Duration) {
        *self.newest_duration.lock() = time;
    }

    /// Makes the open connections return nothing further, without closing them. New ones work.
    pub fn silence_connections(&self) {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.first_audible.store(next, Ordering::SeqCst);
    }

    /// Whether a connection returns nothing further.
    fn is_silenced(&self, connection: usize) -> bool {
        connection < self.first_audible.load(Ordering::SeqCst)
    }

    /// Copies the content of the log.
    #[must_use]
    pub fn copy(&self) -> Copy {
        Copy(self.topics.lock().clone())
    }

    /// Replaces the content by that of an earlier `copy` and starts the next era. Everything that
    /// was acknowledged since then is lost, and its offsets are assigned again.
    pub fn restore(&self, copy: &Copy) {
        self.topics.lock().clone_from(&copy.0);
        self.era.fetch_add(1, Ordering::SeqCst);
        self.appended.notify_waiters();
    }

    /// Sends `value` as the era on every response, instead of the era of the content.
    pub fn set_era_header(&self, value: Option<HeaderValue>) {
        *self.era_header.lock() = value;
    }

    /// Delays each read of the newest records by `time`, as when many hosts read them at once.
    pub fn delay_newest(&self, time: Duration) {
        *self.newest_delay.lock() = time;
    }

    /// Sets the maximum number of records in a page of the newest ones.
    pub fn set_page_items(&self, items: usize) {
        self.page_items.store(items, Ordering::SeqCst);
    }

    /// Returns the newest value of `key` in a topic, or `None` if the topic does not have the key.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Bytes> {
        let topics = self.topics.lock();
        let mut records = topics.get(topic)?.records.iter().rev();
        let (_, value) = records.find(|(other, _)| other == key)?;
        (!value.is_empty()).then(|| value.clone())
    }

    /// Makes the current records of a topic unreadable by offset. The newest record of each key
    /// stays available.
    pub fn truncate(&self, topic: &str) {
        if let Some(topic) = self.topics.lock().get_mut(topic) {
            topic.first_offset = topic.records.len();
        }
    }

    fn append(&self, topic: &str, mut body: Bytes) -> Option<Value> {
        let offset = self.end_offset(topic);
        while body.has_remaining() {
            let length = body.try_get_u32().ok()? as usize;
            let mut record = (body.len() >= length).then(|| body.split_to(length))?;
            let key_length = record.try_get_u8().map(usize::from).ok()?;
            let key = (record.len() >= key_length).then(|| record.split_to(key_length))?;
            self.put_bytes(topic, std::str::from_utf8(&key).ok()?, record);
        }
        Some(json!({ "offset": offset, "endOffset": self.end_offset(topic) }))
    }

    fn end_offset(&self, topic: &str) -> usize {
        let topics = self.topics.lock();
        topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    /// Returns the page of the newest records whose keys come after `after`.
    fn read_newest(&self, topic: &str, after: Option<&str>) -> Value {
        let topics = self.topics.lock();
        let mut newest: BTreeMap<&str, &Bytes> = BTreeMap::new();
        let records = topics.get(topic).map(|topic| &topic.records);
        for (key, value) in records.into_iter().flatten() {
            newest.insert(key, value);
        }
        newest.retain(|_, value| !value.is_empty());
        newest.retain(|key, _| after.is_none_or(|after| *key > after));
        let most = match self.page_items.load(Ordering::SeqCst) {
            0 => newest.len(),
            most => most,
        };
        let has_more = newest.len() > most;
        let items: Vec<_> = newest
            .into_iter()
            .take(most)
            .map(|(key, value)| json!({ "key": key, "value": BASE64_STANDARD.encode(value) }))
            .collect();
        let end = topics.get(topic).map_or(0, |topic| topic.records.len());
        json!({ "items": items, "hasMore": has_more, "endOffset": end })
    }

    /// Returns the records from offset `from`, or `None` if the log no longer has that offset or
    /// does not have it yet.
    fn read(&self, topic: &str, from: usize) -> Option<Vec<Record>> {
        let topics = self.topics.lock();
        let Some(topic) = topics.get(topic) else {
            return (from == 0).then(Vec::new);
        };
        let records = topic.records.get(from..);
        records
            .filter(|_| from >= topic.first_offset)
            .map(<[Record]>::to_vec)
    }

    async fn long_poll(&self, topic: &str, from: usize, wait: Duration) -> Response<Body> {
        let appended = self.appended.notified();
        let mut records = self.read(topic, from);
        if records.as_ref().is_some_and(Vec::is_empty) {
            // After a timeout, the response holds the records that exist by then, if any.
            let _ = timeout(wait, appended).await;
            records = self.read(topic, from);
        }
        let Some(records) = records else {
            return json_response(
                StatusCode::GONE,
                &json!({ "firstOffset": self.end_offset(topic) }),
            );
        };
        let mut body = BytesMut::new();
        body.put_u64((from + records.len()) as u64);
        body.put_u64(0);
        for (key, value) in &records {
            body.put_u32(u32::try_from(1 + key.len() + value.len()).unwrap_or(u32::MAX));
            body.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
            body.put_slice(key.as_bytes());
            body.put_slice(value);
        }
        Response::new(Body::whole(body.freeze()))
    }
}

impl Log {
    async fn respond(&self, request: Request) -> Response<Body> {
        if self.down.load(Ordering::SeqCst) {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let topic: String = query_param(&request.uri, "topic").unwrap_or_default();
        let from = query_param(&request.uri, "from").unwrap_or(0);
        let wait =
            query_param(&request.uri, "waitMs").map_or(Duration::ZERO, Duration::from_millis);
        match request.uri.path() {
            names::LOG_APPEND_PATH => match self.append(&topic, request.body) {
                Some(appended) => json_response(StatusCode::OK, &appended),
                None => json_response(StatusCode::BAD_REQUEST, &json!({})),
            },
            names::LOG_READ_PATH => self.long_poll(&topic, from, wait).await,
            names::LOG_NEWEST_PATH => {
                let delay = *self.newest_delay.lock();
                sleep(delay).await;
                let after: Option<String> = query_param(&request.uri, "after");
                let after =
                    after.map(|after| percent_decode_str(&after).decode_utf8_lossy().into_owned());
                let page = self.read_newest(&topic, after.as_deref());
                let duration = *self.newest_duration.lock();
                if duration.is_zero() {
                    return json_response(StatusCode::OK, &page);
                }
                send_slowly(page.to_string().into(), duration)
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }
}

/// Number of parts of a response that is sent slowly.
const PARTS: u32 = 20;

/// Builds a response whose body is sent in equal parts over `duration`.
fn send_slowly(body: Bytes, duration: Duration) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let size = body.len().div_ceil(PARTS as usize).max(1);
        for part in body.chunks(size) {
            sleep(duration / PARTS).await;
            let part = Bytes::copy_from_slice(part);
            if sender.send(Ok(part)).await.is_err() {
                return;
            }
        }
    });
    Response::new(Body::Events(receiver))
}

#[async_trait]
impl Handler for Log {
    async fn handle(self: Arc<Self>, request: Request) -> Option<Response<Body>> {
        let connection = request.connection;
        self.next_connection
            .fetch_max(connection + 1, Ordering::SeqCst);
        let is_newest = request.uri.path() == names::LOG_NEWEST_PATH;
        let is_silent = || {
            self.silent.load(Ordering::SeqCst)
                || is_newest && self.newest_silent.load(Ordering::SeqCst)
        };
        let is_lost = is_silent();
        let mut response = self.respond(request).await;
        if is_lost || is_silent() || self.is_silenced(connection) {
            std::future::pending::<()>().await;
        }
        let era = self.era.load(Ordering::SeqCst) + 1;
        let set = self.era_header.lock().clone();
        let value = set.unwrap_or_else(|| HeaderValue::from(era));
        response.headers_mut().insert("store-era", value);
        Some(response)
    }
}
