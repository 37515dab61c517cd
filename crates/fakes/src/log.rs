//! A fake append-only log with limited retention and append rate, outages and lost
//! acknowledgements.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;
use provider::{Batch, Error, Record};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of records that one read returns.
const MAX_BATCH_RECORDS: usize = 512;

/// Faults of a log. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Rejects every read and append.
    pub down: bool,
    /// Every n-th append stores its record but fails with [`Error::Uncertain`]; 0 for none.
    pub lose_ack_every: u64,
    /// Every n-th append stores its record twice; 0 for none.
    pub duplicate_every: u64,
    /// Delay of every read and append.
    pub delay: Duration,
}

#[derive(Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<Record>,
}

struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    appends: u64,
    available_appends: f64,
    filled_at: Instant,
}

/// An in-memory log of named streams.
#[derive(Clone)]
pub struct Log {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
    started: Instant,
    retention_records: usize,
    appends_per_second: f64,
}

impl Log {
    /// Creates a log that retains `retention_records` records of each stream and accepts
    /// `appends_per_second` appends a second over all streams, with bursts of up to one second's
    /// appends.
    #[must_use]
    pub fn new(retention_records: usize, appends_per_second: f64) -> Self {
        let started = Instant::now();
        let state = State {
            streams: BTreeMap::new(),
            faults: Faults::default(),
            appends: 0,
            available_appends: appends_per_second,
            filled_at: started,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            appended: Arc::new(Notify::new()),
            started,
            retention_records,
            appends_per_second,
        }
    }

    /// Replaces the faults. They apply to all later calls.
    pub fn inject(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.lock().faults
    }

    /// Returns the number of accepted appends.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.state.lock().appends
    }

    fn append_record(&self, stream: &str, data: &str) -> Result<u64, Error> {
        let mut state = self.state.lock();
        if state.faults.down {
            return Err(Error::Rejected("the log is down".to_owned()));
        }
        state.acquire_append(self.appends_per_second)?;
        state.appends += 1;
        let logged_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let duplicate = is_nth(state.appends, state.faults.duplicate_every);
        let lose_ack = is_nth(state.appends, state.faults.lose_ack_every);
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.push(logged_ms, data, self.retention_records);
        if duplicate {
            stream.push(logged_ms, data, self.retention_records);
        }
        drop(state);
        self.appended.notify_waiters();
        if lose_ack {
            return Err(Error::Uncertain("the acknowledgement was lost".to_owned()));
        }
        Ok(offset)
    }

    fn read_batch(&self, stream: &str, from: u64) -> Result<Batch, Error> {
        let state = self.state.lock();
        if state.faults.down {
            return Err(Error::Rejected("the log is down".to_owned()));
        }
        Ok(state
            .streams
            .get(stream)
            .map_or_else(Batch::default, |stream| stream.read_batch(from)))
    }

    async fn apply_delay(&self) {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

impl State {
    fn acquire_append(&mut self, appends_per_second: f64) -> Result<(), Error> {
        let earned = self.filled_at.elapsed().as_secs_f64() * appends_per_second;
        self.filled_at = Instant::now();
        self.available_appends = (self.available_appends + earned).min(appends_per_second);
        if self.available_appends < 1.0 {
            return Err(Error::Rejected("append rate limit exceeded".to_owned()));
        }
        self.available_appends -= 1.0;
        Ok(())
    }
}

impl Stream {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn push(&mut self, logged_ms: u64, data: &str, retention_records: usize) -> u64 {
        let offset = self.end_offset();
        self.records.push_back(Record {
            offset,
            logged_ms,
            data: data.to_owned(),
        });
        while self.records.len() > retention_records {
            self.records.pop_front();
            self.first_offset += 1;
        }
        offset
    }

    fn read_batch(&self, from: u64) -> Batch {
        let skipped = usize::try_from(from.saturating_sub(self.first_offset)).unwrap_or(usize::MAX);
        Batch {
            first: self.first_offset,
            end: self.end_offset(),
            records: self
                .records
                .iter()
                .skip(skipped)
                .take(MAX_BATCH_RECORDS)
                .cloned()
                .collect(),
        }
    }
}

fn is_nth(count: u64, interval: u64) -> bool {
    interval > 0 && count.is_multiple_of(interval)
}

#[async_trait]
impl provider::Log for Log {
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error> {
        self.apply_delay().await;
        self.append_record(stream, record)
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        self.apply_delay().await;
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let batch = self.read_batch(stream, from)?;
            if !batch.records.is_empty() || from < batch.first {
                return Ok(batch);
            }
            if tokio::time::timeout_at(deadline, appended).await.is_err() {
                return self.read_batch(stream, from);
            }
        }
    }
}
