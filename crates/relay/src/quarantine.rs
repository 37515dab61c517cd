//! Keeps requests that crash endpoints away from the endpoints, together with the other hosts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use kernel::catalogue::Identity;
use kernel::clock::Instant;
use kernel::place::LoadId;
use kernel::quarantine::{self, Crash, Entry, Evidence, Suspect, Verdict};
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant as Deadline, timeout, timeout_at};
use wire::evidence;
use wire::placement::Item;

use crate::body::Body;
use crate::clock::Clock;
use crate::evidence::{decode, encode, millis};
use crate::headers::error_response;
use crate::observe;

/// Path of the admin listener that lists the quarantined suspects, and below which each of them can
/// be cleared.
pub(crate) const PATH: &str = "/quarantine";

/// Time for which snapshots repeat evidence. Four snapshots may be lost in a row.
const REPEATED: Duration = Duration::from_secs(2);
/// Time after which a host that has heard no other one serves without their evidence.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The decision on a request, with which it is checked again before it is sent.
///
/// A request that may test its suspects does not do so before it is sent: it may be given up until
/// then, and the other hosts, once told of a test, cannot be told otherwise.
#[derive(Debug)]
pub struct Admission {
    verdict: Verdict,
    at: Instant,
    /// Time since which the request is the one that tests its suspects.
    testing_since: Mutex<Option<Instant>>,
}

/// Requests that crash endpoints, as known to this host.
#[derive(Debug)]
pub struct Quarantine {
    clock: Clock,
    holder: u64,
    /// Number of crashed runs that were given an identifier here.
    crashes: AtomicU32,
    table: Mutex<quarantine::Quarantine>,
    /// Evidence of this host that is not sent yet.
    unsent: Mutex<Vec<Evidence>>,
    /// Evidence of this host, and until when snapshots repeat it.
    repeated: Mutex<Vec<(Evidence, Instant)>>,
    /// Wakes the task that sends evidence to the other hosts.
    pub updated: Notify,
    /// Wakes waiting requests, which may have become refused.
    changed: Notify,
    synced: watch::Sender<bool>,
    sync_deadline: Deadline,
}

impl Admission {
    /// Whether the request may be sent once only, to test what is quarantined.
    #[must_use]
    pub fn is_probe(&self) -> bool {
        self.verdict == Verdict::Probe
    }
}

impl Quarantine {
    /// Creates an empty quarantine of the host with the incarnation `holder`. With `synced`, the host does not wait for the evidence of other
    /// hosts before it serves.
    #[must_use]
    pub fn new(clock: Clock, holder: u64, synced: bool) -> Self {
        Self {
            clock,
            holder,
            crashes: AtomicU32::new(0),
            table: Mutex::default(),
            unsent: Mutex::default(),
            repeated: Mutex::default(),
            updated: Notify::new(),
            changed: Notify::new(),
            synced: watch::Sender::new(synced),
            sync_deadline: Deadline::now() + SYNC_TIMEOUT,
        }
    }

    /// Whether the host has the evidence of another host, or need not wait for it any more.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        *self.synced.borrow() || Deadline::now() >= self.sync_deadline
    }

    /// Records that all the evidence of another host has arrived.
    pub fn record_synced(&self) {
        self.synced.send_replace(true);
    }

    /// Waits until [`Quarantine::is_synced`].
    async fn wait_until_synced(&self) {
        if self.is_synced() {
            return;
        }
        let mut synced = self.synced.subscribe();
        // Time out or not, the request is decided on now.
        let _ = timeout_at(self.sync_deadline, synced.wait_for(|synced| *synced)).await;
    }

    /// Decides whether a request with these suspects may be sent. `hold` is the time between two runs
    /// of a request on which one endpoint crashed; the request waits for it until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the time after which the client may retry, if the request is refused.
    pub async fn admit(
        &self,
        id: &str,
        suspects: &[Suspect],
        hold: Duration,
        deadline: Instant,
    ) -> Result<Admission, Duration> {
        self.wait_until_synced().await;
        loop {
            let changed = self.changed.notified();
            let now = self.clock.now();
            let verdict = {
                let mut table = self.table.lock();
                let verdict = table.assess(suspects, hold, now);
                if verdict == Verdict::Probe {
                    verdict
                } else {
                    let (verdict, evidence) = table.admit(suspects, hold, now);
                    drop(table);
                    self.share(evidence);
                    verdict
                }
            };
            match verdict {
                Verdict::Admitted | Verdict::Probe => {}
                Verdict::Held(wait) if now + wait < deadline => {
                    observe::count_quarantine("held");
                    log::info!(
                        "event=quarantine_hold request={id} hold_ms={}",
                        wait.as_millis()
                    );
                    // Evidence may end the time earlier, or refuse the request.
                    let _ = timeout(wait, changed).await;
                    continue;
                }
                Verdict::Held(wait) | Verdict::Refused(wait) => return Err(wait),
            }
            return Ok(Admission {
                verdict,
                at: now,
                testing_since: Mutex::default(),
            });
        }
    }

    /// Takes the test of the suspects for a request that is about to be sent, if it was admitted to
    /// test them. Returns whether it may be sent.
    ///
    /// Of several requests that were admitted, the first one that is sent tests them.
    #[must_use]
    pub fn begin(&self, id: &str, suspects: &[Suspect], admission: &Admission) -> bool {
        if !admission.is_probe() {
            return true;
        }
        let mut testing_since = admission.testing_since.lock();
        if testing_since.is_some() {
            return true;
        }
        let now = self.clock.now();
        // It has waited for the time between two runs before.
        let hold = Duration::ZERO;
        let (verdict, evidence) = self.table.lock().admit(suspects, hold, now);
        self.share(evidence);
        let allowed = matches!(verdict, Verdict::Admitted | Verdict::Probe);
        if allowed {
            *testing_since = Some(now);
            observe::count_quarantine("probe");
            log::info!("event=quarantine_probe request={id}");
            self.changed.notify_waiters();
        }
        allowed
    }

    /// Checks an admitted request again.
    ///
    /// # Errors
    ///
    /// Returns the time after which the client may retry, if the request must not be sent any more.
    pub fn recheck(&self, suspects: &[Suspect], admission: &Admission) -> Result<(), Duration> {
        let now = self.clock.now();
        let testing_since = *admission.testing_since.lock();
        let table = self.table.lock();
        if admission.is_probe() && testing_since.is_none() {
            return match table.assess(suspects, Duration::ZERO, now) {
                Verdict::Refused(wait) => Err(wait),
                Verdict::Admitted | Verdict::Probe | Verdict::Held(_) => Ok(()),
            };
        }
        let since = testing_since.unwrap_or(admission.at);
        let refused = table.recheck(suspects, admission.verdict, since, now);
        refused.map_or(Ok(()), Err)
    }

    /// Waits until an admitted request must not be sent any more. Returns the time after which the
    /// client may retry.
    pub async fn wait_until_refused(
        &self,
        suspects: &[Suspect],
        admission: &Admission,
    ) -> Duration {
        loop {
            let changed = self.changed.notified();
            if let Err(rest) = self.recheck(suspects, admission) {
                return rest;
            }
            changed.await;
        }
    }

    /// Logs and counts that a request is refused, with the evidence.
    pub fn log_refusal(&self, id: &str, suspects: &[Suspect]) {
        observe::count_quarantine("refused");
        let now = self.clock.now();
        let table = self.table.lock();
        let held = table.quarantined();
        for (suspect, entry) in held.filter(|(suspect, _)| suspects.contains(suspect)) {
            log::info!(
                "event=quarantined request={id} {}",
                describe(suspect, &entry, now)
            );
        }
    }

    /// Returns an identifier for a crashed run that has no placement.
    pub fn next_run(&self) -> LoadId {
        let count = self.crashes.fetch_add(1, Ordering::Relaxed);
        LoadId {
            holder: self.holder,
            // Placements count upwards from zero.
            sequence: u32::MAX - count,
        }
    }

    /// Records that an endpoint crashed soon after it began the run `run`.
    pub fn record_crash(&self, run: LoadId, suspects: Vec<Suspect>, crashed: &Crashed) {
        observe::count_quarantine("crash");
        let now = self.clock.now();
        let crash = Crash {
            run,
            endpoint: crashed.endpoint,
            began: crashed.began,
            ended: crashed.ended,
            suspects,
        };
        self.change(|table| table.record_crash(crash, now).into_iter().collect());
    }

    /// Records a completed run that began at `began`.
    pub fn record_completion(&self, suspects: &[Suspect], began: Instant) {
        let now = self.clock.now();
        self.change(|table| table.record_completion(suspects, began, now));
    }

    /// Changes the table, shares the evidence that results, and wakes waiting requests.
    fn change(&self, change: impl FnOnce(&mut quarantine::Quarantine) -> Vec<Evidence>) {
        let evidence = {
            let mut table = self.table.lock();
            let before: BTreeMap<_, _> = table.quarantined().collect();
            let evidence = change(&mut table);
            self.log_changes(&before, &table);
            evidence
        };
        if !evidence.is_empty() {
            self.changed.notify_waiters();
            self.share(evidence);
        }
    }

    fn log_changes(&self, before: &BTreeMap<Suspect, Entry>, table: &quarantine::Quarantine) {
        let now = self.clock.now();
        let after: BTreeMap<_, _> = table.quarantined().collect();
        if *before == after {
            return;
        }
        for (suspect, entry) in &after {
            if before.get(suspect) != Some(entry) {
                let text = describe(*suspect, entry, now);
                log::warn!("event=suspect_quarantined {text}");
            }
        }
        for suspect in before.keys().filter(|suspect| !after.contains_key(suspect)) {
            log::warn!("event=suspect_released suspect={suspect}");
        }
        let requests = after.keys().filter(|suspect| suspect.is_request()).count();
        let segments = after.len() - requests;
        observe::set_gauge("filbertstage_quarantined_requests", requests as u64);
        observe::set_gauge("filbertstage_quarantined_segments", segments as u64);
    }

    fn share(&self, evidence: Vec<Evidence>) {
        if evidence.is_empty() {
            return;
        }
        let until = self.clock.now() + REPEATED;
        let repeated = evidence.iter().cloned().map(|evidence| (evidence, until));
        self.repeated.lock().extend(repeated);
        self.unsent.lock().extend(evidence);
        self.updated.notify_one();
    }

    /// Applies evidence of another host.
    pub fn apply(&self, evidence: &evidence::Evidence) {
        let now = self.clock.now();
        let evidence = decode(evidence, now);
        let mut table = self.table.lock();
        let before: BTreeMap<_, _> = table.quarantined().collect();
        if table.apply(evidence, now) {
            self.log_changes(&before, &table);
            drop(table);
            self.changed.notify_waiters();
        }
    }

    /// Returns the evidence of this host since the last call.
    pub fn take_updates(&self) -> Vec<Item> {
        let now = self.clock.now();
        let unsent = std::mem::take(&mut *self.unsent.lock());
        unsent
            .iter()
            .map(|evidence| encode(evidence, now))
            .collect()
    }

    /// Returns the recent evidence of this host, which is sent more than once.
    pub fn repeated(&self) -> Vec<Item> {
        let now = self.clock.now();
        let mut repeated = self.repeated.lock();
        repeated.retain(|(_, until)| *until > now);
        let repeated = repeated.iter();
        repeated
            .map(|(evidence, _)| encode(evidence, now))
            .collect()
    }

    /// Returns all evidence, for a host that may lack some of it.
    pub fn all(&self) -> Vec<Item> {
        let now = self.clock.now();
        let evidence = self.table.lock().evidence();
        evidence
            .iter()
            .map(|evidence| encode(evidence, now))
            .collect()
    }

    /// Serves an operator's request to list the quarantined suspects, or to clear one of them.
    pub(crate) fn respond<B>(&self, request: &Request<B>) -> Response<Body> {
        let named = request.uri().path().strip_prefix(PATH);
        let named = named.unwrap_or_default().trim_matches('/');
        match (request.method(), named) {
            (&Method::GET, "") => Response::new(Body::whole(self.list())),
            (&Method::DELETE, id) if !id.is_empty() => self.clear(Suspect::from_id(id)),
            _ => error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                None,
                "GET /quarantine lists segments and requests, DELETE /quarantine/ID clears one",
            ),
        }
    }

    fn list(&self) -> String {
        let now = self.clock.now();
        let table = self.table.lock();
        let (mut requests, mut segments) = (Vec::new(), Vec::new());
        for (suspect, entry) in table.quarantined() {
            let (list, name) = if suspect.is_request() {
                (&mut requests, "request")
            } else {
                (&mut segments, "segment")
            };
            list.push(json!({
                name: suspect.to_string(),
                "endpoints": entry.endpoints,
                "age_ms": millis(now.since(entry.first_crash)),
                "probe_in_ms": entry.probe_due.map(|due| millis(due.since(now))),
            }));
        }
        format!(
            "{}\n",
            json!({ "requests": requests, "segments": segments })
        )
    }

    fn clear(&self, suspect: Suspect) -> Response<Body> {
        let mut known = false;
        self.change(|table| {
            let cleared = table.clear(suspect);
            known = !cleared.is_empty();
            cleared
        });
        if known {
            log::warn!("event=suspect_cleared suspect={suspect} source=operator");
            Response::new(Body::whole(self.list()))
        } else {
            let reason =
                "no crash counts against this segment or request: list them with GET /quarantine";
            error_response(StatusCode::NOT_FOUND, None, reason)
        }
    }
}

/// A crash, as this host has seen it.
#[derive(Clone, Copy, Debug)]
pub struct Crashed {
    /// The endpoint that crashed.
    pub endpoint: Identity,
    /// Time at which the run began.
    pub began: Instant,
    /// Time at which the crash was noticed.
    pub ended: Instant,
}

/// Describes why a suspect is quarantined, for a log line.
fn describe(suspect: Suspect, entry: &Entry, now: Instant) -> String {
    let kind = if suspect.is_request() {
        "request"
    } else {
        "segment"
    };
    let age = now.since(entry.first_crash).as_millis();
    let probe = entry.probe_due.map_or_else(
        || "-".to_owned(),
        |due| due.since(now).as_millis().to_string(),
    );
    format!(
        "kind={kind} suspect={suspect} endpoints={} age_ms={age} probe_in_ms={probe}",
        entry.endpoints
    )
}
