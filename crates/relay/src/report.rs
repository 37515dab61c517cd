//! Reads of the store that hosts of one failure domain make for each other.

use std::collections::VecDeque;
use std::time::Duration;

use kernel::catalogue::{Entry, State};
use kernel::clock::Instant;
use kernel::name::{Domain, Endpoint, Service};
use parking_lot::Mutex;
use tokio::sync::Notify;
use wire::placement::{self as wire_form, Change, Read};

use crate::adapter::{Batch, Record};

/// Maximum number of records in a report, so that it fits into one packet. The others read a longer
/// batch from the store.
const MAX_CHANGES: usize = 8;
/// Maximum number of reports that wait to be applied. The newest ones matter.
const MAX_WAITING: usize = 64;

/// Reports of one topic that have arrived from other hosts, with the time of arrival.
#[derive(Debug, Default)]
pub struct Inbox {
    reports: Mutex<VecDeque<(Instant, Read)>>,
    arrived: Notify,
}

impl Inbox {
    /// Adds a report that arrives now.
    pub fn push(&self, report: Read, now: Instant) {
        let mut reports = self.reports.lock();
        if reports.len() == MAX_WAITING {
            reports.pop_front();
        }
        reports.push_back((now, report));
        self.arrived.notify_one();
    }

    /// Waits for a report and returns the oldest one with the time of its arrival. Nothing is lost
    /// if the wait is cancelled.
    pub async fn take(&self) -> (Instant, Read) {
        loop {
            if let Some(report) = self.reports.lock().pop_front() {
                return report;
            }
            self.arrived.notified().await;
        }
    }
}

/// The reports of all topics that hosts read for each other.
#[derive(Debug, Default)]
pub struct Inboxes {
    configuration: Inbox,
    endpoints: Inbox,
}

impl Inboxes {
    /// Returns the inbox of a topic.
    #[must_use]
    pub const fn of(&self, topic: wire_form::Topic) -> &Inbox {
        match topic {
            wire_form::Topic::Configuration => &self.configuration,
            wire_form::Topic::Endpoints => &self.endpoints,
        }
    }

    /// Adds a report that arrives now to the inbox of its topic.
    pub fn push(&self, report: Read, now: Instant) {
        self.of(report.topic).push(report, now);
    }
}

/// Builds the report of a read of changes from position `from`. `age` is the time for which the
/// state may have changed since.
#[must_use]
pub fn build(topic: wire_form::Topic, from: u64, batch: &Batch, age: Duration) -> Read {
    let short = batch.records.len() <= MAX_CHANGES;
    let changes = if topic == wire_form::Topic::Endpoints && short {
        batch.records.iter().map(to_change).collect()
    } else {
        Vec::new()
    };
    Read {
        topic,
        era: batch.era,
        from,
        next: batch.next,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        changes,
    }
}

/// Returns the records of a report from index `first` on, or `None` if it does not have them.
#[must_use]
pub fn records(report: &Read, first: usize) -> Option<Vec<Record>> {
    let length = report.next.checked_sub(report.from)?;
    if first as u64 == length {
        return Some(Vec::new());
    }
    if report.changes.len() as u64 != length {
        return None;
    }
    let changes = report.changes.get(first..)?;
    Some(changes.iter().map(to_record).collect())
}

fn to_change(record: &Record) -> Change {
    match record {
        Record::Endpoint(entry) => Change::Put(wire_form::Endpoint {
            name: entry.name.as_str().to_owned(),
            started_ms: entry.started_ms,
            service: entry.service.as_str().to_owned(),
            address: entry.address,
            domain: entry.domain.as_str().to_owned(),
            slots: entry.slots,
            draining: entry.state == State::Draining,
        }),
        Record::EndpointRemoved(name) => Change::Removed(name.as_str().to_owned()),
        _ => Change::Unreadable,
    }
}

fn to_record(change: &Change) -> Record {
    match change {
        Change::Put(entry) => Record::Endpoint(Entry {
            name: Endpoint::from(entry.name.as_str()),
            started_ms: entry.started_ms,
            service: Service::from(entry.service.as_str()),
            address: entry.address,
            domain: Domain::from(entry.domain.as_str()),
            slots: entry.slots,
            state: if entry.draining {
                State::Draining
            } else {
                State::Ready
            },
            // Sent as an extension, because this format has no field for it.
            cold: None,
        }),
        Change::Removed(name) => Record::EndpointRemoved(Endpoint::from(name.as_str())),
        Change::Unreadable => Record::Unreadable {
            key: String::new(),
            reason: "another host could not decode it".to_owned(),
        },
    }
}
