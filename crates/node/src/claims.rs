//! Writes the claims stream: records wait a moment and are appended together.

use std::sync::Arc;
use std::time::Duration;

use kernel::claim::Record;
use parking_lot::Mutex;
use platform::Error;
use tokio::sync::{Notify, oneshot};

use crate::shared::Shared;

/// The stream's name on the log.
pub(crate) const STREAM: &str = "claims";
/// How long a record waits for others.
const BATCH_WINDOW: Duration = Duration::from_millis(5);
/// Most records in one append.
const MAX_BATCH_RECORDS: usize = 256;
/// Wait before a record that must be written is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How an append ended, as far as the appender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The record stands on the log, or may stand there: read back.
    MaybeWritten,
    /// The log refused it.
    Rejected,
}

struct Entry {
    record: Record,
    /// Told once; a record without a reply is written again until the log takes it.
    reply: Option<oneshot::Sender<AppendOutcome>>,
}

/// Records that wait to be appended.
#[derive(Default)]
pub(crate) struct Outbox {
    entries: Mutex<Vec<Entry>>,
    added: Notify,
}

impl Outbox {
    /// Appends a claim once and tells how that ended.
    pub fn append_once(&self, record: Record) -> oneshot::Receiver<AppendOutcome> {
        let (reply, outcome) = oneshot::channel();
        self.push(record, Some(reply));
        outcome
    }

    /// Appends a record until the log has taken it. Repeating it is harmless.
    pub fn append_with_retry(&self, record: Record) {
        self.push(record, None);
    }

    fn push(&self, record: Record, reply: Option<oneshot::Sender<AppendOutcome>>) {
        self.entries.lock().push(Entry { record, reply });
        self.added.notify_one();
    }

    /// Records that wait.
    pub fn len(&self) -> usize {
        self.entries.lock().len()
    }

    fn take_batch(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock();
        let count = entries.len().min(MAX_BATCH_RECORDS);
        entries.drain(..count).collect()
    }
}

/// Appends what waits in the outbox, until the task is dropped.
pub(crate) async fn run(shared: Arc<Shared>, outbox: Arc<Outbox>) {
    loop {
        if outbox.len() == 0 {
            outbox.added.notified().await;
            tokio::time::sleep(BATCH_WINDOW).await;
        }
        let batch = outbox.take_batch();
        if batch.is_empty() {
            continue;
        }
        let records: Vec<_> = batch.iter().map(|entry| &entry.record).collect();
        let Ok(text) = serde_json::to_string(&records) else {
            continue;
        };
        let result = shared.outside.log.append(STREAM, &text).await;
        let failed = result.is_err();
        finish_batch(&outbox, batch, &result);
        if failed {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

fn finish_batch(outbox: &Outbox, batch: Vec<Entry>, result: &Result<u64, Error>) {
    let outcome = match result {
        Err(Error::Rejected(_)) => AppendOutcome::Rejected,
        Ok(_) | Err(Error::Uncertain(_)) => AppendOutcome::MaybeWritten,
    };
    let mut retries = Vec::new();
    for entry in batch {
        match entry.reply {
            // A reply that has given up has settled the claim in another way.
            Some(reply) => drop(reply.send(outcome)),
            None if result.is_err() => retries.push(entry),
            None => {}
        }
    }
    outbox.entries.lock().splice(..0, retries);
}
