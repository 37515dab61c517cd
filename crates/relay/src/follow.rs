//! Keeps configurations, endpoints and hosts in step with the platform's store.

mod cursor;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::catalogue::{Configuration, Entry};
use kernel::clock::Instant;
use kernel::fleet::{self, Fleet};
use kernel::name::Endpoint;
use kernel::position::{Position, Reading, Report};
use kernel::read::{self, BACKOFF_LONGEST, Watch};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::placement::Topic as Shared;

use crate::adapter::{Batch, Progress, Record, Store, Topic};
use crate::clock::Clock;
use crate::cold::Tracker;
use crate::evacuation::{Evacuations, Outcome};
use crate::hosts::Hosts;
use crate::observe;
use crate::placer::Placer;
use crate::registry::Registry;
use crate::report;
use crate::settings::Admission;
use cursor::Cursor;

/// Number of hosts of a failure domain that wait at the store for new configurations. The others
/// learn of them from these.
const POLLING_HOSTS: usize = 2;
/// Part of the apply limit after which a host that has heard of no read of the configurations reads
/// them itself. With the additional wait of its rank and the read, it stays within the limit.
const CONFIRMATION_SHARE: f64 = 0.6;
/// Number of reads of the endpoints' entries within the drain limit. Two reads must fit. The
/// fraction leaves time for the reads themselves.
const READS_PER_DRAIN: f64 = 2.35;
/// Times between the first reads of the hosts' announcements. They are shorter than
/// [`fleet::READ_INTERVAL`], because hosts that start together may be announced only after the
/// first read.
const HOSTS_FIRST_INTERVALS: [Duration; 3] = [
    Duration::from_millis(600),
    Duration::from_millis(1_500),
    Duration::from_secs(3),
];
/// Time after which a version that another host has should have arrived here too.
const VERSION_GRACE: Duration = Duration::from_millis(250);

/// Follows the topics of one store, one task for each topic.
pub(crate) struct Follower {
    pub store: Arc<dyn Store>,
    pub registry: Arc<Registry>,
    pub placer: Arc<Placer>,
    pub hosts: Arc<Hosts>,
    pub cold: Arc<Tracker>,
    pub clock: Clock,
    /// Time within which a configuration must be in force after its publication.
    pub apply_limit: Duration,
    /// Time within which requests to an endpoint must stop after it starts to drain.
    pub drain_limit: Duration,
    /// Order of the waiting streams.
    pub admission: Admission,
    /// Time between two writes of an endpoint's entry, which is the shortest outage in which
    /// entries may have expired.
    pub heartbeat: Duration,
    /// The hosts that share the retry budget.
    pub fleet: Arc<Mutex<Fleet>>,
    /// Wakes the task that announces this host when the store may have lost its announcement.
    pub restored: Notify,
    /// Wakes the task that follows configurations when another host has a newer one.
    pub peer_version: Arc<PeerVersion>,
    /// The evacuated failure domains.
    pub evacuations: Arc<Evacuations>,
}

/// The newest configuration version that other hosts have in force.
#[derive(Default)]
pub struct PeerVersion {
    newest: AtomicU64,
    raised: Notify,
}

impl PeerVersion {
    /// Records a version that another host has in force.
    pub fn raise(&self, version: u64) {
        if self.newest.fetch_max(version, Ordering::Relaxed) < version {
            self.raised.notify_one();
        }
    }

    /// Returns when this host still lacks another host's version after [`VERSION_GRACE`].
    async fn wait_until_behind(&self, registry: &Registry) {
        loop {
            self.raised.notified().await;
            sleep(VERSION_GRACE).await;
            if self.is_ahead(registry) {
                return;
            }
        }
    }

    /// Whether another host has a newer version than this one.
    fn is_ahead(&self, registry: &Registry) -> bool {
        registry.version() < self.newest.load(Ordering::Relaxed)
    }
}

impl Follower {
    /// Applies published configurations. Never returns.
    ///
    /// The first hosts of the failure domain wait at the store for new ones. The others read when
    /// they hear of a change, or have heard of no read for some time.
    pub async fn follow_configurations(self: Arc<Self>) {
        let interval = self.apply_limit.mul_f64(CONFIRMATION_SHARE);
        let mut cursor = Cursor::new(Topic::Configuration, Shared::Configuration, interval);
        loop {
            let began = self.clock.now();
            let is_known = cursor.position.next().is_some();
            let read = tokio::select! {
                read = self.next_configurations(&mut cursor) => read,
                () = self.peer_version.wait_until_behind(&self.registry), if is_known => {
                    // The connection of the pending read may be broken. Start a new read.
                    self.store.close_idle();
                    cursor.is_behind = true;
                    continue;
                }
            };
            if let Some((batch, reading)) = read {
                let (outcome, others) = self.evacuations.apply_batch(batch, reading, began);
                match outcome {
                    Outcome::Unchanged => {}
                    Outcome::Changed => self.hosts.publish(self.evacuations.extension()),
                    Outcome::Unrelated => cursor.position.reset(),
                }
                for record in others {
                    self.handle_configuration(record);
                }
                // Changes that do not bring another host's version were read at a wrong position.
                let was_behind = std::mem::take(&mut cursor.is_behind);
                let still_behind = was_behind && self.peer_version.is_ahead(&self.registry);
                if still_behind && reading == Reading::Changes {
                    cursor.position.reset();
                }
            }
        }
    }

    async fn next_configurations(&self, cursor: &mut Cursor) -> Option<(Batch, Reading)> {
        // While the store fails, reports of other hosts may bring the version.
        if cursor.is_behind && cursor.failing_since.is_none() {
            return self.read(cursor, Duration::ZERO).await;
        }
        let rank = self.hosts.rank(cursor.topic);
        if rank >= POLLING_HOSTS {
            return self.next_read(cursor, None).await;
        }
        let wait = if cursor.failing_since.is_some() {
            // A read that is sent while the store cannot be reached is given up soon, so that the
            // next one finds the store again.
            Duration::ZERO
        } else if self.hosts.domain_size() > POLLING_HOSTS {
            // Other hosts of the domain depend on frequent confirmations.
            self.apply_limit / 2
        } else {
            read::longest_wait(self.apply_limit)
        };
        self.read(cursor, wait).await
    }

    /// Reads the store when it is this host's turn, or returns the records that another host has
    /// reported. Returns `None` at `until` and after a failure.
    async fn next_read(
        &self,
        cursor: &mut Cursor,
        until: Option<Instant>,
    ) -> Option<(Batch, Reading)> {
        if cursor.position.next().is_some() {
            let now = self.clock.now();
            let due_at = cursor.turn.due_at(self.hosts.rank(cursor.topic));
            let due_at = due_at.unwrap_or(now);
            let wait_until = until.map_or(due_at, |until| until.min(due_at));
            let reported = timeout(wait_until.since(now), self.next_report(cursor)).await;
            match reported {
                Ok(Some(batch)) => return Some((batch, Reading::Changes)),
                Err(_) if wait_until < due_at => return None,
                Ok(None) | Err(_) => {}
            }
        }
        self.read(cursor, Duration::ZERO).await
    }

    /// Waits for a report of another host that confirms the position or moves past it. Returns
    /// `None` if records are missing.
    async fn next_report(&self, cursor: &mut Cursor) -> Option<Batch> {
        loop {
            let (arrived, report) = self.hosts.inboxes().of(cursor.shared).take().await;
            let position = &mut cursor.position;
            let first = match position.compare(report.era, report.from, report.next) {
                Report::Outdated => continue,
                Report::Gap => return None,
                Report::Current(first) => first,
            };
            let records = report::records(&report, first)?;
            position.move_to(report.next);
            let age = Duration::from_millis(report.age_ms.into());
            cursor.turn.confirm(arrived.saturating_sub(age));
            cursor.failing_since = None;
            observe::count_store_call(cursor.topic.as_str(), "reported");
            return Some(Batch {
                records,
                next: report.next,
                era: report.era,
            });
        }
    }

    fn handle_configuration(&self, record: Record) {
        match record {
            Record::Configuration(configuration) => self.apply_configuration(*configuration),
            Record::Unreadable { key, reason } => log_skipped(Topic::Configuration, &key, &reason),
            _ => {}
        }
    }

    fn apply_configuration(&self, configuration: Configuration) {
        let (version, routes) = (configuration.version, configuration.route_count());
        if !self.registry.update(configuration) {
            return;
        }
        log::info!("event=configuration version={version} routes={routes}");
        if let Some(current) = self.registry.configuration() {
            let services = current.services.iter();
            let engines = services.filter_map(|(name, entry)| Some((name, entry.engine.as_ref()?)));
            self.placer.set_services(engines);
            self.placer.set_policies(&current, &self.admission);
        }
        self.hosts.publish(self.cold.observe_unknown());
        self.refresh_engines();
    }

    /// Applies changes of the endpoints' entries. Never returns.
    pub async fn follow_endpoints(self: Arc<Self>) {
        let interval = self.drain_limit.div_f64(READS_PER_DRAIN);
        let mut cursor = Cursor::new(Topic::Endpoints, Shared::Endpoints, interval);
        loop {
            let failing_since = cursor.failing_since;
            let expiry = self
                .registry
                .with_directory(|directory| directory.next_expiry());
            let read = self.next_read(&mut cursor, expiry).await;
            let now = self.clock.now();
            let expired = expiry.is_some_and(|expiry| expiry <= now);
            let mut changed = false;
            if let Some((batch, reading)) = read {
                if failing_since.is_some_and(|since| now.since(since) >= self.heartbeat) {
                    self.registry
                        .with_directory(|directory| directory.store_recovered(now));
                }
                changed = reading != Reading::Changes || !batch.records.is_empty();
                self.apply_endpoints(batch, reading, now);
            }
            if expired || changed {
                self.drop_expired();
            }
        }
    }

    /// Drops entries that expired and were not renewed, and uses the current ones from now on.
    fn drop_expired(&self) {
        let now = self.clock.now();
        for name in self
            .registry
            .with_directory(|directory| directory.expire(now))
        {
            log::info!("event=endpoint_gone endpoint={name} reason=\"did not come back\"");
        }
        self.refresh_engines();
    }

    fn apply_endpoints(&self, batch: Batch, reading: Reading, now: Instant) {
        let mut entries = Vec::new();
        for record in batch.records {
            match record {
                Record::Endpoint(entry) if reading == Reading::Changes => {
                    self.put_endpoint(entry, now);
                }
                Record::Endpoint(entry) => entries.push(entry),
                Record::EndpointRemoved(name) => self.remove_endpoint(&name, now),
                Record::Unreadable { key, reason } => log_skipped(Topic::Endpoints, &key, &reason),
                _ => {}
            }
        }
        if reading == Reading::Changes {
            return;
        }
        log::info!(
            "event=endpoints known={} reading={reading:?}",
            entries.len()
        );
        self.hosts.publish(self.cold.observe(entries.iter(), true));
        self.registry.with_directory(|directory| match reading {
            Reading::Restored => directory.restore(entries, now),
            _ => directory.replace(entries, now),
        });
    }

    fn put_endpoint(&self, entry: Entry, now: Instant) {
        self.hosts
            .publish(self.cold.observe([&entry].into_iter(), false));
        let (name, state) = (entry.name.clone(), entry.state);
        if self
            .registry
            .with_directory(|directory| directory.put(entry, now))
        {
            log::info!("event=endpoint endpoint={name} state={state:?}");
        }
    }

    fn remove_endpoint(&self, name: &Endpoint, now: Instant) {
        if self.registry.remove(name, now) {
            log::info!("event=endpoint_gone endpoint={name} reason=\"removed\"");
        }
    }

    fn refresh_engines(&self) {
        self.placer.refresh_engines(&self.registry);
    }

    /// Announces this host and reads the announcements of the others. Never returns.
    pub async fn follow_hosts(self: Arc<Self>) {
        let mut first = HOSTS_FIRST_INTERVALS.into_iter();
        let mut position = Position::default();
        loop {
            if self.fleet.lock().renewal_due(self.clock.now()) {
                self.announce().await;
            }
            let listed = self.read_hosts(&mut position).await;
            if listed == Some(false) {
                log::warn!("event=announcement_lost host={}", self.hosts.own());
                self.announce().await;
            }
            let mut interval = first.next().unwrap_or(fleet::READ_INTERVAL);
            if self.fleet.lock().renewal_due(self.clock.now()) {
                interval = interval.min(BACKOFF_LONGEST);
            }
            tokio::select! {
                () = sleep(interval) => {}
                () = self.restored.notified() => {}
            }
        }
    }

    /// Reads the announcements; returns whether this host's own is among them, or `None` if the
    /// read failed.
    async fn read_hosts(&self, position: &mut Position) -> Option<bool> {
        let sent_at = self.clock.now();
        let progress = Progress::default();
        let mut watch = Watch::changes(sent_at, Duration::ZERO);
        let newest = self.store.read_newest(Topic::Hosts, &progress);
        let batch = self.watch(newest, &progress, &mut watch).await.ok()?;
        position.reset();
        if position.advance(batch.era, batch.next) == Reading::Restored {
            self.fleet.lock().record_restored();
        }
        let mut announcements = Vec::new();
        for record in batch.records {
            if let Record::Host(announcement, location) = record {
                self.hosts
                    .handle_announcement(&announcement.host, &location);
                announcements.push(announcement);
            }
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        Some(fleet.record_read(&announcements, sent_at, now))
    }

    /// Writes this host's announcement or renews it. Until this succeeds, the host has no share of
    /// the retry budget, and the other hosts may learn of it only from its datagrams.
    async fn announce(&self) {
        let announcement = self.fleet.lock().next_announcement();
        let sent_at = self.clock.now();
        let announce = self.store.announce(&announcement, self.hosts.location());
        let mut watch = Watch::changes(sent_at, Duration::ZERO);
        match self.watch(announce, &Progress::default(), &mut watch).await {
            Ok(()) => self.fleet.lock().record_renewed(sent_at, self.clock.now()),
            Err(error) => log::warn!("event=not_announced error=\"{error}\""),
        }
    }
}

fn log_skipped(topic: Topic, key: &str, reason: &str) {
    log::warn!(
        "event=record_skipped topic={} key={key:?} reason=\"{reason}\"",
        topic.as_str()
    );
}
