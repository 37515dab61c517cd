//! Follows the platform's store: configurations, endpoints and hosts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::catalogue::Configuration;
use kernel::clock::Instant;
use kernel::name::Endpoint;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::border::{Error, Fact, Reading, Store, Topic};
use crate::clock::Clock;
use crate::hosts::Hosts;
use crate::known::Known;
use crate::observe;
use crate::placer::Placer;

/// Time beyond the bound of a configuration for which a question waits at the store: a connection
/// that went silent is noticed after it.
const CONFIGURATION_SLACK: Duration = Duration::from_millis(500);
/// Readings of the endpoints' entries in the time in which an endpoint that leaves must get nothing
/// more: two, and time for the readings themselves.
const READINGS: f64 = 2.35;
/// Time between two readings of the hosts; a new host also greets the others by itself.
const HOSTS_PERIOD: Duration = Duration::from_secs(10);
/// Times between the first readings of the hosts, which start together.
const HOSTS_FIRST: [Duration; 3] = [
    Duration::from_millis(600),
    Duration::from_millis(1_500),
    Duration::from_secs(3),
];
/// Longest wait for an answer of the store beyond the time that it was asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a version that another host has should have come here too.
const BEHIND_GRACE: Duration = Duration::from_millis(250);
/// Wait after the first failed call; doubles up to [`BACKOFF_LONGEST`].
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Longest wait between two calls while the store fails.
const BACKOFF_LONGEST: Duration = Duration::from_millis(600);
/// Outage from which on entries may have lapsed: the interval between two writes of an endpoint.
const LAPSING_OUTAGE: Duration = Duration::from_millis(1_200);

/// Follows the topics of one store.
pub(crate) struct Follower {
    pub store: Arc<dyn Store>,
    pub known: Arc<Known>,
    pub placer: Arc<Placer>,
    pub hosts: Arc<Hosts>,
    pub clock: Clock,
    /// Time within which a configuration must be in force.
    pub apply: Duration,
    /// Time within which an endpoint that leaves must get nothing more.
    pub drain: Duration,
    /// Tells the follower of configurations that another host has a newer one.
    pub behind: Arc<Behind>,
}

/// The newest version that other hosts have in force.
#[derive(Default)]
pub struct Behind {
    heard: AtomicU64,
    woken: Notify,
}

impl Behind {
    /// Notes the version of another host.
    pub fn hear(&self, version: u64) {
        if self.heard.fetch_max(version, Ordering::Relaxed) < version {
            self.woken.notify_one();
        }
    }

    /// Returns when this host has lacked a version of another one for a while.
    async fn lagging(&self, known: &Known) {
        loop {
            self.woken.notified().await;
            sleep(BEHIND_GRACE).await;
            if known.version() < self.heard.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

/// Where one topic is read next, and since when it cannot be read.
struct Cursor {
    topic: Topic,
    next: Option<u64>,
    failing_since: Option<Instant>,
    backoff: Duration,
}

impl Cursor {
    const fn new(topic: Topic) -> Self {
        Self {
            topic,
            next: None,
            failing_since: None,
            backoff: BACKOFF_FIRST,
        }
    }
}

impl Follower {
    /// Keeps the configuration up to date.
    pub async fn configurations(self: Arc<Self>) {
        let mut cursor = Cursor::new(Topic::Configuration);
        loop {
            let read = tokio::select! {
                read = self.read(&mut cursor, self.apply + CONFIGURATION_SLACK) => read,
                () = self.behind.lagging(&self.known) => {
                    // The connection on which changes are waited for may have gone silent.
                    cursor.next = None;
                    continue;
                }
            };
            for fact in read.map(|(reading, _)| reading.facts).unwrap_or_default() {
                self.take_configuration(fact);
            }
        }
    }

    fn take_configuration(&self, fact: Fact) {
        match fact {
            Fact::Configuration(configuration) => self.apply(*configuration),
            Fact::Unreadable { key, reason } => unreadable(Topic::Configuration, &key, &reason),
            _ => {}
        }
    }

    fn apply(&self, configuration: Configuration) {
        let (version, routes) = (configuration.version, configuration.routes());
        if !self.known.offer(configuration) {
            return;
        }
        log::info!("event=configuration version={version} routes={routes}");
        if let Some(current) = self.known.configuration() {
            let services = current.services.iter();
            let engines = services.filter_map(|(name, entry)| Some((name, entry.engine.as_ref()?)));
            self.placer.set_services(engines);
        }
        self.refresh_engines();
    }

    /// Keeps the endpoints up to date.
    pub async fn endpoints(self: Arc<Self>) {
        let mut cursor = Cursor::new(Topic::Endpoints);
        loop {
            let whole = cursor.next.is_none();
            let failing_since = cursor.failing_since;
            if let Some((reading, _)) = self.read(&mut cursor, Duration::ZERO).await {
                let now = self.clock.now();
                if failing_since.is_some_and(|since| now.since(since) >= LAPSING_OUTAGE) {
                    self.known
                        .directory(|directory| directory.store_recovered(now));
                }
                self.take_endpoints(reading, whole, now);
            }
            self.expire();
            if cursor.failing_since.is_none() {
                self.rest().await;
            }
        }
    }

    /// Drops entries that lapsed and did not come back.
    fn expire(&self) {
        let now = self.clock.now();
        for name in self.known.directory(|directory| directory.expire(now)) {
            log::info!("event=endpoint_gone endpoint={name} reason=\"did not come back\"");
        }
        self.refresh_engines();
    }

    /// Waits until the entries are read again, and drops those that lapse meanwhile in time.
    async fn rest(&self) {
        let until = self.clock.now() + self.drain.div_f64(READINGS);
        loop {
            let expiry = self.known.directory(|directory| directory.next_expiry());
            let next = expiry.map_or(until, |expiry| expiry.min(until));
            sleep(next.since(self.clock.now())).await;
            if next == until {
                return;
            }
            self.expire();
        }
    }

    fn take_endpoints(&self, reading: Reading, whole: bool, now: Instant) {
        let mut entries = Vec::new();
        for fact in reading.facts {
            match fact {
                Fact::Endpoint(entry) if whole => entries.push(entry),
                Fact::Endpoint(entry) => {
                    let (name, state) = (entry.name.clone(), entry.state);
                    if self.known.directory(|directory| directory.put(entry)) {
                        log::info!("event=endpoint endpoint={name} state={state:?}");
                    }
                }
                Fact::EndpointRemoved(name) => self.remove(&name, now),
                Fact::Unreadable { key, reason } => unreadable(Topic::Endpoints, &key, &reason),
                _ => {}
            }
        }
        if whole {
            log::info!("event=endpoints known={}", entries.len());
            let replace = |directory: &mut kernel::catalogue::Directory| {
                directory.replace(entries, now);
            };
            self.known.directory(replace);
        }
    }

    fn remove(&self, name: &Endpoint, now: Instant) {
        if self.known.remove(name, now) {
            log::info!("event=endpoint_gone endpoint={name} reason=\"removed\"");
        }
    }

    fn refresh_engines(&self) {
        for service in self.placer.services() {
            let entries = self.known.ready(&service);
            self.placer.set_engines(&service, &entries);
        }
        self.placer.pump();
    }

    /// Announces this host and learns of the others.
    pub async fn hosts(self: Arc<Self>) {
        while let Err(error) = self.announce().await {
            log::warn!("event=not_announced error=\"{error}\"");
            sleep(BACKOFF_LONGEST).await;
        }
        let mut first = HOSTS_FIRST.into_iter();
        loop {
            let newest = timeout(ANSWER_TIMEOUT, self.store.newest(Topic::Hosts)).await;
            if let Ok(Ok(reading)) = newest {
                for fact in reading.facts {
                    if let Fact::Host(host, address) = fact {
                        self.hosts.announced(&host, address);
                    }
                }
            }
            sleep(first.next().unwrap_or(HOSTS_PERIOD)).await;
        }
    }

    async fn announce(&self) -> Result<(), Error> {
        let announce = self.store.announce(self.hosts.own(), self.hosts.address());
        let announced = timeout(ANSWER_TIMEOUT, announce).await;
        announced.unwrap_or_else(|_| Err(Error::Uncertain("no answer in time".to_owned())))
    }

    /// Reads what is new, or the newest of each key where the position is unknown.
    async fn read(&self, cursor: &mut Cursor, wait: Duration) -> Option<(Reading, bool)> {
        let whole = cursor.next.is_none();
        let call = async {
            match cursor.next {
                None => self.store.newest(cursor.topic).await,
                Some(from) => self.store.changes(cursor.topic, from, wait).await,
            }
        };
        let limit = if whole {
            ANSWER_TIMEOUT * 2
        } else {
            wait + ANSWER_TIMEOUT
        };
        let read = timeout(limit, call).await;
        let read = read.unwrap_or_else(|_| Err(Error::Uncertain("no answer in time".to_owned())));
        match read {
            Ok(reading) => {
                observe::store_call(cursor.topic.as_str(), "read");
                cursor.next = Some(reading.next);
                cursor.backoff = BACKOFF_FIRST;
                if cursor.failing_since.take().is_some() {
                    log::info!("event=store_regained topic={}", cursor.topic.as_str());
                }
                Some((reading, whole))
            }
            Err(Error::Truncated) => {
                log::info!("event=truncated topic={}", cursor.topic.as_str());
                cursor.next = None;
                None
            }
            Err(error) => {
                observe::store_call(cursor.topic.as_str(), "failed");
                if cursor.failing_since.is_none() {
                    let topic = cursor.topic.as_str();
                    log::warn!("event=store_lost topic={topic} error=\"{error}\"");
                    cursor.failing_since = Some(self.clock.now());
                }
                sleep(cursor.backoff).await;
                cursor.backoff = (cursor.backoff * 2).min(BACKOFF_LONGEST);
                None
            }
        }
    }
}

fn unreadable(topic: Topic, key: &str, reason: &str) {
    log::warn!(
        "event=record_skipped topic={} key={key:?} reason=\"{reason}\"",
        topic.as_str()
    );
}
