//! Writes the claims stream: records wait a moment and are appended together.

use std::sync::Arc;
use std::time::Duration;

use kernel::claim::Record;
use parking_lot::Mutex;
use provider::Error;
use tokio::sync::{Notify, oneshot};

use crate::shared::Shared;

/// The stream's name on the log.
pub(crate) const STREAM: &str = "claims";
/// How long a record waits for others.
const GATHER: Duration = Duration::from_millis(5);
/// Most records in one append.
const BATCH: usize = 256;
/// Wait before a record that must be written is tried again.
const RETRY: Duration = Duration::from_millis(250);

/// How an append ended, as far as the appender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// The record stands on the log, or may stand there: read back.
    Perhaps,
    /// The log refused it.
    No,
}

struct Entry {
    record: Record,
    /// Told once; a record without a listener is written again until the log takes it.
    listener: Option<oneshot::Sender<Written>>,
}

/// Records that wait to be appended.
#[derive(Default)]
pub(crate) struct Outbox {
    entries: Mutex<Vec<Entry>>,
    added: Notify,
}

impl Outbox {
    /// Appends a claim once and tells how that ended.
    pub fn claim(&self, record: Record) -> oneshot::Receiver<Written> {
        let (listener, written) = oneshot::channel();
        self.push(record, Some(listener));
        written
    }

    /// Appends a record until the log has taken it. Repeating it is harmless.
    pub fn settle(&self, record: Record) {
        self.push(record, None);
    }

    fn push(&self, record: Record, listener: Option<oneshot::Sender<Written>>) {
        self.entries.lock().push(Entry { record, listener });
        self.added.notify_one();
    }

    /// Records that wait.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    fn take(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock();
        let count = entries.len().min(BATCH);
        entries.drain(..count).collect()
    }
}

/// Appends what waits in the outbox, until the task is dropped.
pub(crate) async fn run(shared: Arc<Shared>, outbox: Arc<Outbox>) {
    loop {
        if outbox.len() == 0 {
            outbox.added.notified().await;
            tokio::time::sleep(GATHER).await;
        }
        let batch = outbox.take();
        if batch.is_empty() {
            continue;
        }
        let records: Vec<_> = batch.iter().map(|entry| &entry.record).collect();
        let Ok(text) = serde_json::to_string(&records) else {
            continue;
        };
        let written = shared.outside.log.append(STREAM, &text).await;
        let failed = written.is_err();
        settle(&outbox, batch, &written);
        if failed {
            tokio::time::sleep(RETRY).await;
        }
    }
}

fn settle(outbox: &Outbox, batch: Vec<Entry>, written: &Result<u64, Error>) {
    let verdict = match written {
        Err(Error::Rejected(_)) => Written::No,
        Ok(_) | Err(Error::Uncertain(_)) => Written::Perhaps,
    };
    let mut again = Vec::new();
    for entry in batch {
        match entry.listener {
            // A listener that has given up has settled the claim in another way.
            Some(listener) => drop(listener.send(verdict)),
            None if written.is_err() => again.push(entry),
            None => {}
        }
    }
    outbox.entries.lock().splice(..0, again);
}
