//! Keeps segments that crash engines away from the engines, together with the other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use kernel::catalogue::Identity;
use kernel::clock::Instant;
use kernel::place::LoadId;
use kernel::quarantine::{self, Crash, Entry, Evidence, Probe, Verdict};
use kernel::segment::Segment;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant as Deadline, timeout_at};
use wire::evidence;
use wire::placement::Item;

use crate::body::Body;
use crate::clock::Clock;
use crate::headers::error_response;
use crate::observe;

/// Path of the admin listener that lists the quarantined segments, and below which each of them can
/// be cleared.
pub(crate) const PATH: &str = "/quarantine";

/// Time for which snapshots repeat evidence. Four snapshots may be lost in a row.
const REPEATED: Duration = Duration::from_secs(2);
/// Time after which a host that has heard no other one serves without their evidence.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The decision on a request, with which it is checked again before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    verdict: Verdict,
    at: Instant,
}

/// Segments that crash engines, as known to this host.
#[derive(Debug)]
pub struct Quarantine {
    clock: Clock,
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

impl Quarantine {
    /// Creates an empty quarantine. With `synced`, the host does not wait for the evidence of other
    /// hosts before it serves.
    #[must_use]
    pub fn new(clock: Clock, synced: bool) -> Self {
        Self {
            clock,
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

    /// Decides whether a request with these segments may be sent.
    ///
    /// # Errors
    ///
    /// Returns the time after which the client may retry, if the request is refused.
    pub async fn admit(&self, id: &str, segments: &[Segment]) -> Result<Admission, Duration> {
        if !segments.is_empty() {
            self.wait_until_synced().await;
        }
        let now = self.clock.now();
        let (verdict, evidence) = self.table.lock().admit(segments, now);
        match verdict {
            Verdict::Admitted => {}
            Verdict::Probe => {
                observe::count_quarantine("probe");
                log::info!("event=quarantine_probe request={id}");
                self.share(evidence);
            }
            Verdict::Refused(rest) => return Err(rest),
        }
        Ok(Admission { verdict, at: now })
    }

    /// Checks an admitted request again.
    ///
    /// # Errors
    ///
    /// Returns the time after which the client may retry, if the request must not be sent any more.
    pub fn recheck(&self, segments: &[Segment], admission: Admission) -> Result<(), Duration> {
        let now = self.clock.now();
        let table = self.table.lock();
        let refused = table.recheck(segments, admission.verdict, admission.at, now);
        refused.map_or(Ok(()), Err)
    }

    /// Waits until an admitted request must not be sent any more. Returns the time after which the
    /// client may retry.
    pub async fn wait_until_refused(&self, segments: &[Segment], admission: Admission) -> Duration {
        loop {
            let changed = self.changed.notified();
            if let Err(rest) = self.recheck(segments, admission) {
                return rest;
            }
            changed.await;
        }
    }

    /// Logs and counts that a request is refused, with the evidence.
    pub fn log_refusal(&self, id: &str, segments: &[Segment]) {
        observe::count_quarantine("refused");
        let now = self.clock.now();
        let table = self.table.lock();
        let held = table.quarantined();
        for (segment, entry) in held.filter(|(segment, _)| segments.contains(segment)) {
            log::info!(
                "event=quarantined request={id} segment={segment} engines={} age_ms={} probe_in_ms={}",
                entry.engines,
                now.since(entry.first_crash).as_millis(),
                entry.probe_due.since(now).as_millis()
            );
        }
    }

    /// Records that an engine crashed soon after it began an answer.
    pub fn record_crash(&self, crash: Crash) {
        observe::count_quarantine("crash");
        let now = self.clock.now();
        self.change(|table| table.record_crash(crash, now).into_iter().collect());
    }

    /// Records a complete answer that began at `began`.
    pub fn record_completion(&self, segments: &[Segment], began: Instant) {
        let now = self.clock.now();
        self.change(|table| table.record_completion(segments, began, now));
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

    fn log_changes(&self, before: &BTreeMap<Segment, Entry>, table: &quarantine::Quarantine) {
        let now = self.clock.now();
        let after: BTreeMap<_, _> = table.quarantined().collect();
        for (segment, entry) in &after {
            if before.get(segment) != Some(entry) {
                log::warn!(
                    "event=segment_quarantined segment={segment} engines={} age_ms={} probe_in_ms={}",
                    entry.engines,
                    now.since(entry.first_crash).as_millis(),
                    entry.probe_due.since(now).as_millis()
                );
            }
        }
        for segment in before.keys().filter(|segment| !after.contains_key(segment)) {
            log::warn!("event=segment_released segment={segment}");
        }
        if before.len() != after.len() {
            observe::set_gauge("filbertstage_quarantined_segments", after.len() as u64);
        }
    }

    fn share(&self, evidence: Vec<Evidence>) {
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

    /// Serves an operator's request to list the quarantined segments, or to clear one of them.
    pub(crate) fn respond<B>(&self, request: &Request<B>) -> Response<Body> {
        let named = request.uri().path().strip_prefix(PATH);
        let named = named.unwrap_or_default().trim_matches('/');
        match (request.method(), named) {
            (&Method::GET, "") => Response::new(Body::whole(self.list())),
            (&Method::DELETE, id) if !id.is_empty() => self.clear(Segment::from_id(id)),
            _ => error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                None,
                "GET /quarantine lists the segments, DELETE /quarantine/SEGMENT clears one",
            ),
        }
    }

    fn list(&self) -> String {
        let now = self.clock.now();
        let table = self.table.lock();
        let segments = table.quarantined().map(|(segment, entry)| {
            json!({
                "segment": segment.to_string(),
                "engines": entry.engines,
                "age_ms": millis(now.since(entry.first_crash)),
                "probe_in_ms": millis(entry.probe_due.since(now)),
            })
        });
        let segments: Vec<_> = segments.collect();
        format!("{}\n", json!({ "segments": segments }))
    }

    fn clear(&self, segment: Segment) -> Response<Body> {
        let mut known = false;
        self.change(|table| {
            let cleared = table.clear(segment);
            known = !cleared.is_empty();
            cleared
        });
        if known {
            log::warn!("event=segment_cleared segment={segment} source=operator");
            Response::new(Body::whole(self.list()))
        } else {
            let reason = "no crash counts against this segment: list them with GET /quarantine";
            error_response(StatusCode::NOT_FOUND, None, reason)
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn encode(evidence: &Evidence, now: Instant) -> Item {
    let run = |id: LoadId| evidence::Run {
        holder: id.holder,
        sequence: id.sequence,
    };
    Item::Evidence(match evidence {
        Evidence::Crash(crash) => evidence::Evidence::Crash {
            run: run(crash.run),
            engine: crash.engine.0,
            began_ms: millis(now.since(crash.began)),
            ended_ms: millis(now.since(crash.ended)),
            segments: crash.segments.iter().map(|segment| segment.0).collect(),
        },
        Evidence::Cleared(id, segment) => evidence::Evidence::Cleared {
            run: run(*id),
            segment: segment.0,
        },
        Evidence::Probe(segment, probe) => evidence::Evidence::Probe {
            segment: segment.0,
            number: probe.number,
            age_ms: millis(now.since(probe.at)),
        },
    })
}

fn decode(evidence: &evidence::Evidence, now: Instant) -> Evidence {
    let id = |run: &evidence::Run| LoadId {
        holder: run.holder,
        sequence: run.sequence,
    };
    let ago = |millis: u32| now.saturating_sub(Duration::from_millis(millis.into()));
    match evidence {
        evidence::Evidence::Crash {
            run,
            engine,
            began_ms,
            ended_ms,
            segments,
        } => Evidence::Crash(Crash {
            run: id(run),
            engine: Identity(*engine),
            began: ago(*began_ms),
            ended: ago(*ended_ms),
            segments: segments.iter().copied().map(Segment).collect(),
        }),
        evidence::Evidence::Cleared { run, segment } => {
            Evidence::Cleared(id(run), Segment(*segment))
        }
        evidence::Evidence::Probe {
            segment,
            number,
            age_ms,
        } => Evidence::Probe(
            Segment(*segment),
            Probe {
                number: *number,
                at: ago(*age_ms),
            },
        ),
    }
}
