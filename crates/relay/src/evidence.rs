//! Translates evidence about suspects to what hosts send each other, and back.

use std::time::Duration;

use kernel::catalogue::Identity;
use kernel::clock::Instant;
use kernel::fingerprint::Fingerprint;
use kernel::place::LoadId;
use kernel::quarantine::{Crash, Evidence, Probe, Suspect};
use kernel::segment::Segment;
use wire::evidence;
use wire::placement::Item;

/// Returns a time in milliseconds, as it is sent and shown.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Translates evidence to an item of a frame.
pub(crate) fn encode(evidence: &Evidence, now: Instant) -> Item {
    Item::Evidence(match evidence {
        Evidence::Crash(crash) => encode_crash(crash, now),
        Evidence::Cleared(id, Suspect::Segment(segment)) => evidence::Evidence::Cleared {
            run: encode_run(*id),
            segment: segment.0,
        },
        Evidence::Cleared(id, Suspect::Request(request)) => evidence::Evidence::RequestCleared {
            run: encode_run(*id),
            request: request.0,
        },
        Evidence::Probe(Suspect::Segment(segment), probe) => evidence::Evidence::Probe {
            segment: segment.0,
            number: probe.number,
            age_ms: millis(now.since(probe.at)),
        },
        Evidence::Probe(Suspect::Request(request), probe) => evidence::Evidence::RequestProbe {
            request: request.0,
            number: probe.number,
            age_ms: millis(now.since(probe.at)),
        },
    })
}

/// A crash counts against the segments of a prompt, or against one request.
fn encode_crash(crash: &Crash, now: Instant) -> evidence::Evidence {
    let run = encode_run(crash.run);
    let began_ms = millis(now.since(crash.began));
    let ended_ms = millis(now.since(crash.ended));
    if let [Suspect::Request(request)] = crash.suspects[..] {
        return evidence::Evidence::RequestCrash {
            run,
            endpoint: crash.endpoint.0,
            began_ms,
            ended_ms,
            request: request.0,
        };
    }
    let segments = crash.suspects.iter().filter_map(|suspect| match suspect {
        Suspect::Segment(segment) => Some(segment.0),
        Suspect::Request(_) => None,
    });
    evidence::Evidence::Crash {
        run,
        engine: crash.endpoint.0,
        began_ms,
        ended_ms,
        segments: segments.collect(),
    }
}

const fn encode_run(id: LoadId) -> evidence::Run {
    evidence::Run {
        holder: id.holder,
        sequence: id.sequence,
    }
}

/// Translates evidence that another host sent, and which arrived at `now`.
pub(crate) fn decode(evidence: &evidence::Evidence, now: Instant) -> Evidence {
    let ago = |millis: u32| now.saturating_sub(Duration::from_millis(millis.into()));
    let probe = |number: u32, age_ms: u32| Probe {
        number,
        at: ago(age_ms),
    };
    match evidence {
        evidence::Evidence::Crash {
            run,
            engine,
            began_ms,
            ended_ms,
            segments,
        } => Evidence::Crash(Crash {
            run: decode_run(run),
            endpoint: Identity(*engine),
            began: ago(*began_ms),
            ended: ago(*ended_ms),
            suspects: segments.iter().map(|id| decode_segment(*id)).collect(),
        }),
        evidence::Evidence::RequestCrash {
            run,
            endpoint,
            began_ms,
            ended_ms,
            request,
        } => Evidence::Crash(Crash {
            run: decode_run(run),
            endpoint: Identity(*endpoint),
            began: ago(*began_ms),
            ended: ago(*ended_ms),
            suspects: vec![decode_request(*request)],
        }),
        evidence::Evidence::Cleared { run, segment } => {
            Evidence::Cleared(decode_run(run), decode_segment(*segment))
        }
        evidence::Evidence::RequestCleared { run, request } => {
            Evidence::Cleared(decode_run(run), decode_request(*request))
        }
        evidence::Evidence::Probe {
            segment,
            number,
            age_ms,
        } => Evidence::Probe(decode_segment(*segment), probe(*number, *age_ms)),
        evidence::Evidence::RequestProbe {
            request,
            number,
            age_ms,
        } => Evidence::Probe(decode_request(*request), probe(*number, *age_ms)),
    }
}

const fn decode_run(run: &evidence::Run) -> LoadId {
    LoadId {
        holder: run.holder,
        sequence: run.sequence,
    }
}

const fn decode_segment(id: u64) -> Suspect {
    Suspect::Segment(Segment(id))
}

const fn decode_request(request: u128) -> Suspect {
    Suspect::Request(Fingerprint(request))
}
