//! The append-only log: offsets, retention, a rate, outages and lost acknowledgements.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;
use provider::{Batch, Error, Record};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Records returned by one read.
const BATCH: usize = 512;

/// Faults of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Nothing is read or appended.
    pub down: bool,
    /// Every n-th append takes effect without an answer; 0 for none.
    pub lose_ack_every: u64,
    /// Every n-th append takes effect twice; 0 for none.
    pub repeat_every: u64,
    /// Every call takes this much longer.
    pub delay: Duration,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Record>,
}

struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    appends: u64,
    allowance: f64,
    filled: Instant,
}

/// An in-memory log.
#[derive(Clone)]
pub struct Log {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
    started: Instant,
    retention: usize,
    rate: f64,
}

impl Log {
    /// A log that keeps `retention` records of each stream and takes `rate` appends a second.
    #[must_use]
    pub fn new(retention: usize, rate: f64) -> Self {
        let started = Instant::now();
        let state = State {
            streams: BTreeMap::new(),
            faults: Faults::default(),
            appends: 0,
            allowance: rate,
            filled: started,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            appended: Arc::new(Notify::new()),
            started,
            retention,
            rate,
        }
    }

    /// Sets the faults from now on.
    pub fn inject(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.lock().faults
    }

    /// Number of accepted appends.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.state.lock().appends
    }

    fn write(&self, stream: &str, data: &str) -> Result<u64, Error> {
        let mut state = self.state.lock();
        if state.faults.down {
            return Err(Error::Rejected("the log is down".to_owned()));
        }
        state.take_allowance(self.rate)?;
        state.appends += 1;
        let logged_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let repeat = every(state.appends, state.faults.repeat_every);
        let lose = every(state.appends, state.faults.lose_ack_every);
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.push(logged_ms, data, self.retention);
        if repeat {
            stream.push(logged_ms, data, self.retention);
        }
        drop(state);
        self.appended.notify_waiters();
        if lose {
            return Err(Error::Uncertain("the acknowledgement was lost".to_owned()));
        }
        Ok(offset)
    }

    fn batch(&self, stream: &str, from: u64) -> Result<Batch, Error> {
        let state = self.state.lock();
        if state.faults.down {
            return Err(Error::Rejected("the log is down".to_owned()));
        }
        Ok(state
            .streams
            .get(stream)
            .map_or_else(Batch::default, |stream| stream.batch(from)))
    }

    async fn delay(&self) {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

impl State {
    fn take_allowance(&mut self, rate: f64) -> Result<(), Error> {
        let earned = self.filled.elapsed().as_secs_f64() * rate;
        self.filled = Instant::now();
        self.allowance = (self.allowance + earned).min(rate);
        if self.allowance < 1.0 {
            return Err(Error::Rejected("too many appends a second".to_owned()));
        }
        self.allowance -= 1.0;
        Ok(())
    }
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, logged_ms: u64, data: &str, retention: usize) -> u64 {
        let offset = self.end();
        self.records.push_back(Record {
            offset,
            logged_ms,
            data: data.to_owned(),
        });
        while self.records.len() > retention {
            self.records.pop_front();
            self.first += 1;
        }
        offset
    }

    fn batch(&self, from: u64) -> Batch {
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        Batch {
            first: self.first,
            end: self.end(),
            records: self
                .records
                .iter()
                .skip(skipped)
                .take(BATCH)
                .cloned()
                .collect(),
        }
    }
}

fn every(count: u64, interval: u64) -> bool {
    interval > 0 && count.is_multiple_of(interval)
}

#[async_trait]
impl provider::Log for Log {
    async fn append(&self, stream: &str, record: &str) -> Result<u64, Error> {
        self.delay().await;
        self.write(stream, record)
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        self.delay().await;
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let batch = self.batch(stream, from)?;
            if !batch.records.is_empty() || from < batch.first {
                return Ok(batch);
            }
            if tokio::time::timeout_at(deadline, appended).await.is_err() {
                return self.batch(stream, from);
            }
        }
    }
}
