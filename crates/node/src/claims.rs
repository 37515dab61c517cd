//! Appends records to the claims stream of the log, in batches.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use kernel::claim::Record;
use parking_lot::Mutex;
use provider::Error;
use tokio::sync::{Notify, oneshot};

use crate::shared::Shared;

/// Name of the claims stream on the log.
pub(crate) const STREAM: &str = "claims";
/// Time for which the first record of a batch waits for more records.
const BATCH_WINDOW: Duration = Duration::from_millis(5);
/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 256;
/// Delay after a failed append.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Outcome of an append, as far as this node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The record is or may be on the log; only reading it back tells.
    MaybeWritten,
    /// The log rejected the record.
    Rejected,
}

/// A record that waits to be appended.
struct Entry {
    record: Record,
    /// Sender for the outcome of a single append. A record without one is appended again until the
    /// log accepts it.
    reply: Option<oneshot::Sender<AppendOutcome>>,
}

/// Queue of the records that wait to be appended.
#[derive(Default)]
pub(crate) struct Outbox {
    entries: Mutex<Vec<Entry>>,
    /// Number of entries in the batch that is being appended.
    appending: AtomicUsize,
    added: Notify,
}

impl Outbox {
    /// Queues a record for a single append; the outcome arrives on the returned channel.
    pub fn append_once(&self, record: Record) -> oneshot::Receiver<AppendOutcome> {
        let (reply, outcome) = oneshot::channel();
        self.push(record, Some(reply));
        outcome
    }

    /// Queues a record that is appended again until the log accepts it.
    ///
    /// The record may end up on the log more than once, so it must be idempotent.
    pub fn append_with_retry(&self, record: Record) {
        self.push(record, None);
    }

    fn push(&self, record: Record, reply: Option<oneshot::Sender<AppendOutcome>>) {
        self.entries.lock().push(Entry { record, reply });
        self.added.notify_one();
    }

    /// Whether no record waits to be appended or is being appended.
    pub fn is_empty(&self) -> bool {
        let entries = self.entries.lock();
        entries.is_empty() && self.appending.load(Ordering::SeqCst) == 0
    }

    fn has_waiting(&self) -> bool {
        !self.entries.lock().is_empty()
    }

    /// Removes the oldest records, up to the size of a batch.
    fn take_batch(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock();
        let count = entries.len().min(MAX_BATCH_RECORDS);
        self.appending.store(count, Ordering::SeqCst);
        entries.drain(..count).collect()
    }
}

/// Appends the records of the outbox. Never returns.
pub(crate) async fn run(shared: Arc<Shared>, outbox: Arc<Outbox>) {
    loop {
        if !outbox.has_waiting() {
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
        let result = shared.dependencies.log.append(STREAM, &text).await;
        let failed = result.is_err();
        finish_batch(&outbox, batch, &result);
        if failed {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reports the result of an append, and puts the records to retry back at the front of the outbox.
fn finish_batch(outbox: &Outbox, batch: Vec<Entry>, result: &Result<u64, Error>) {
    let outcome = match result {
        Err(Error::Rejected(_)) => AppendOutcome::Rejected,
        Ok(_) | Err(Error::Uncertain(_)) => AppendOutcome::MaybeWritten,
    };
    let mut retries = Vec::new();
    for entry in batch {
        match entry.reply {
            // The send fails if the receiver timed out; the caller then abandons its claim.
            Some(reply) => drop(reply.send(outcome)),
            None if result.is_err() => retries.push(entry),
            None => {}
        }
    }
    let mut entries = outbox.entries.lock();
    entries.splice(..0, retries);
    outbox.appending.store(0, Ordering::SeqCst);
}
