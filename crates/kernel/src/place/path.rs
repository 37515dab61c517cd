//! Estimates the paths from this host to the failure domains, from the host's own traffic.
//!
//! The round trip is learned from the time to open a connection. A lost packet on a stream with few
//! bytes per event is repeated only after a retransmission time, so it shows as one late event.
//! Without samples, the price of a domain is that of its prior.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalogue::Delay;
use crate::clock::Instant;
use crate::name::{Domain, Host, rendezvous};

/// Price of an engine in another failure domain without samples, in milliseconds: traffic to it is
/// billed and has a longer path.
const REMOTE_DOMAIN_MS: f64 = 15.0;
/// Minimum retransmission time of TCP in milliseconds.
const RETRANSMISSION_MS: f64 = 200.0;
/// Time beyond the predicted pass, or the predicted first event, from which an event is late. It is
/// below the retransmission time because predicted passes are inexact.
pub const LATE: Duration = Duration::from_millis(180);
/// Minimum share of the allowed pause from which a round trip is noticeable. A shorter one is
/// within the error of the predictions.
const NOTICEABLE_SHARE: f64 = 0.02;
/// Minimum noticeable round trip in milliseconds. Links within a region are mostly below 3 ms.
const MIN_NOTICEABLE_MS: f64 = 4.0;
/// Time in which the weight of a sample falls to 1/e.
const AGING: Duration = Duration::from_mins(2);
/// Number of recent openings at which the measured round trip weighs as much as the prior.
const PRIOR_OPENINGS: f64 = 4.0;
/// Share of its difference from the estimate by which a sample moves it.
const GAIN: f64 = 0.2;
/// Maximum step of an estimated time per sample, in milliseconds.
const MAX_STEP_MS: f64 = 3.0;
/// Number of recent events at which their share of late ones weighs as much as the prior.
const PRIOR_EVENTS: f64 = 2_000.0;
/// Share of late events at which a path counts as lossless. Engines are late now and then, and one
/// late event must not change the choices.
const TOLERATED_LATE: f64 = 0.000_5;
/// Prior share of late events of a domain whose published round trip is noticeable. A host with few
/// streams sees too few late events to learn the share before it matters.
const PRIOR_LATE: f64 = 0.001_5;
/// Price of an answer that is certainly late, in milliseconds. If 2 in 100 answers from another
/// domain are late, another engine of the own domain is used instead, which has the same price.
const LATE_ANSWER_MS: f64 = 5_000.0;
/// Maximum price of late events in milliseconds. It is below the price of mixing streams on one
/// engine, so that a lossy path takes no engines from long prompts.
const MAX_LATE_MS: f64 = 300.0;
/// Maximum relative difference of the learned price between hosts, so that hosts with the same
/// view do not all move at the same load.
const HOST_SPREAD: f64 = 0.15;

/// Properties of a stream that determine what a path costs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Number of events of the answer.
    pub events: f64,
    /// Maximum pause between events that meets the objective.
    pub pause: Duration,
    /// Predicted pass of the engine in milliseconds.
    pub pass_ms: f64,
}

/// What the path to an engine costs one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Price {
    /// Time by which the path delays the first event, in milliseconds.
    pub delay_ms: f64,
    /// Price of the path, in milliseconds of delay.
    pub cost_ms: f64,
}

/// Estimates of one path as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Round trip beyond that within the own domain, in milliseconds.
    pub extra_ms: f64,
    /// Mean deviation of the time to open a connection, in milliseconds.
    pub spread_ms: f64,
    /// Expected time to open a connection, in milliseconds.
    pub opening_ms: f64,
    /// Probability that one event is late.
    pub late: f64,
}

/// Samples of one failure domain. The weights refer to `aged_at`.
#[derive(Clone, Debug, Default)]
struct Samples {
    opening_ms: f64,
    spread_ms: f64,
    openings: f64,
    late: f64,
    events: f64,
    aged_at: Instant,
}

impl Samples {
    fn age(&mut self, now: Instant) {
        let kept = kept(self.aged_at, now);
        self.openings *= kept;
        self.late *= kept;
        self.events *= kept;
        self.aged_at = self.aged_at.max(now);
    }

    /// Returns the weight of the measured times against the prior, from 0 to 1.
    fn confidence(&self, now: Instant) -> f64 {
        let openings = self.openings * kept(self.aged_at, now);
        openings / (openings + PRIOR_OPENINGS)
    }
}

/// Returns the share of a sample's weight that is left.
fn kept(since: Instant, now: Instant) -> f64 {
    (-now.since(since).as_secs_f64() / AGING.as_secs_f64()).exp()
}

/// Returns the step by which a sample moves an estimated time.
fn step(sample: f64, estimate: f64) -> f64 {
    ((sample - estimate) * GAIN).clamp(-MAX_STEP_MS, MAX_STEP_MS)
}

/// Paths from one host to all failure domains.
#[derive(Clone, Debug)]
pub struct Paths {
    domain: Domain,
    /// Factor of learned prices on this host.
    factor: f64,
    samples: HashMap<Domain, Samples>,
    /// Published round trips beyond that within the own domain, in milliseconds.
    published: HashMap<Domain, f64>,
}

impl Paths {
    /// Creates the paths of `host` in `domain` without samples.
    #[must_use]
    pub fn new(domain: Domain, host: &Host) -> Self {
        /// Number of different factors of hosts.
        const STEPS: u32 = 1_000;
        let hash = rendezvous(domain.as_str(), host.as_str()) % u64::from(STEPS);
        let position = f64::from(u32::try_from(hash).unwrap_or(0)) / f64::from(STEPS);
        Self {
            domain,
            factor: 1.0 + (position * 2.0 - 1.0) * HOST_SPREAD,
            samples: HashMap::new(),
            published: HashMap::new(),
        }
    }

    /// Replaces the published delays. If several are published for the same direction, the highest
    /// is used.
    pub fn set_delays<'a>(&mut self, delays: impl Iterator<Item = &'a Delay>) {
        let mut one_way: HashMap<(&Domain, &Domain), f64> = HashMap::new();
        for delay in delays {
            let highest = one_way.entry((&delay.from, &delay.to)).or_default();
            *highest = highest.max(delay.delay_ms);
        }
        let round_trip = |domain: &Domain| {
            let there = one_way.get(&(&self.domain, domain)).copied();
            let back = one_way.get(&(domain, &self.domain)).copied();
            there.or(back).unwrap_or(0.0) + back.or(there).unwrap_or(0.0)
        };
        let own = round_trip(&self.domain);
        let domains = one_way.keys().flat_map(|(from, to)| [*from, *to]);
        self.published = domains
            .map(|domain| (domain.clone(), (round_trip(domain) - own).max(0.0)))
            .collect();
    }

    /// Records the time in which a connection to an endpoint of `domain` was opened.
    pub fn record_opening(&mut self, domain: &Domain, time: Duration, now: Instant) {
        let prior = self.published_ms(domain);
        let samples = self.samples.entry(domain.clone()).or_insert(Samples {
            opening_ms: prior,
            aged_at: now,
            ..Samples::default()
        });
        samples.age(now);
        let millis = time.as_secs_f64() * 1_000.0;
        let deviation = (millis - samples.opening_ms).abs();
        samples.opening_ms += step(millis, samples.opening_ms);
        samples.spread_ms += step(deviation, samples.spread_ms);
        samples.openings += 1.0;
    }

    /// Records the events of one stream from `domain`, and whether any of them was late.
    ///
    /// Several late events of one stream count once, since they often have the same cause.
    pub fn record_events(&mut self, domain: &Domain, events: u64, late: bool, now: Instant) {
        /// Maximum number of events of one stream that count.
        const MAX_EVENTS: u32 = 1_000;
        let prior = self.published_ms(domain);
        let samples = self.samples.entry(domain.clone()).or_insert(Samples {
            opening_ms: prior,
            aged_at: now,
            ..Samples::default()
        });
        samples.age(now);
        samples.events += f64::from(u32::try_from(events).unwrap_or(MAX_EVENTS).min(MAX_EVENTS));
        samples.late += f64::from(u8::from(late));
    }

    /// Returns what the path to an engine in `domain` costs a stream.
    #[must_use]
    pub fn price(&self, domain: &Domain, stream: &Stream, now: Instant) -> Price {
        let pause_ms = stream.pause.as_secs_f64() * 1_000.0;
        let noticeable_ms = (pause_ms * NOTICEABLE_SHARE).max(MIN_NOTICEABLE_MS);
        let extra_ms = self.extra_ms(domain, now);
        let delay_ms = if extra_ms >= noticeable_ms {
            extra_ms
        } else {
            0.0
        };
        let prior = if self.published_ms(domain) >= noticeable_ms {
            PRIOR_LATE
        } else {
            0.0
        };
        let late = (self.late(domain, prior, now) - TOLERATED_LATE).max(0.0);
        let one_loss = if pause_ms < RETRANSMISSION_MS + stream.pass_ms {
            late
        } else {
            // The answer is late only if the repeated packet is lost too.
            late * late
        };
        let answer_late = 1.0 - (1.0 - one_loss).powf(stream.events.max(0.0));
        let late_ms = (answer_late * LATE_ANSWER_MS).min(MAX_LATE_MS);
        let base_ms = if *domain == self.domain {
            0.0
        } else {
            // The constant includes a longer path.
            REMOTE_DOMAIN_MS.max(delay_ms)
        };
        Price {
            delay_ms,
            cost_ms: base_ms + late_ms * self.factor,
        }
    }

    /// Returns the price of the path for a call, relative to that of another domain without
    /// samples.
    #[must_use]
    pub fn relative_call_price(&self, domain: &Domain, now: Instant) -> f64 {
        /// A call has a request and a response, and is late after a lost packet of either.
        const CALL: Stream = Stream {
            events: 2.0,
            pause: Duration::from_millis(200),
            pass_ms: 0.1,
        };
        self.price(domain, &CALL, now).cost_ms / REMOTE_DOMAIN_MS
    }

    /// Returns the price of opening a connection to an endpoint in `domain`, in milliseconds.
    ///
    /// While no path has a noticeable round trip, it only decides between engines with equal cost.
    #[must_use]
    pub fn opening_price_ms(&self, domain: &Domain, now: Instant) -> f64 {
        /// Below every other difference in the cost of engines.
        const TIE_MS: f64 = 0.01;
        let mut domains = self.domains();
        if !domains.any(|other| self.extra_ms(other, now) >= MIN_NOTICEABLE_MS) {
            return TIE_MS;
        }
        let estimate = self.estimate(domain, now);
        TIE_MS.max(estimate.opening_ms + estimate.spread_ms)
    }

    /// Returns the estimates of the path to `domain`.
    #[must_use]
    pub fn estimate(&self, domain: &Domain, now: Instant) -> Estimate {
        let prior = self.published_ms(domain);
        let (opening_ms, spread_ms) = self.samples.get(domain).map_or((prior, 0.0), |samples| {
            let confidence = samples.confidence(now);
            (
                prior + (samples.opening_ms - prior) * confidence,
                samples.spread_ms * confidence,
            )
        });
        let prior_late = if prior >= MIN_NOTICEABLE_MS {
            PRIOR_LATE
        } else {
            0.0
        };
        Estimate {
            extra_ms: self.extra_ms(domain, now),
            spread_ms,
            opening_ms,
            late: self.late(domain, prior_late, now),
        }
    }

    /// Returns the domains with samples or published delays.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        let unsampled = self.published.keys();
        let unsampled = unsampled.filter(|domain| !self.samples.contains_key(*domain));
        self.samples.keys().chain(unsampled)
    }

    fn published_ms(&self, domain: &Domain) -> f64 {
        self.published.get(domain).copied().unwrap_or(0.0)
    }

    /// Returns the round trip beyond that within the own domain, in milliseconds. It is measured
    /// only as far as both domains have samples.
    fn extra_ms(&self, domain: &Domain, now: Instant) -> f64 {
        let prior = self.published_ms(domain);
        let (Some(there), Some(own)) = (self.samples.get(domain), self.samples.get(&self.domain))
        else {
            return prior;
        };
        let confidence = there.confidence(now).min(own.confidence(now));
        let measured = (there.opening_ms - own.opening_ms).max(0.0);
        prior + (measured - prior) * confidence
    }

    /// Returns the probability that one event is late.
    fn late(&self, domain: &Domain, prior: f64, now: Instant) -> f64 {
        let Some(samples) = self.samples.get(domain) else {
            return prior;
        };
        let kept = kept(samples.aged_at, now);
        (samples.late * kept + prior * PRIOR_EVENTS) / (samples.events * kept + PRIOR_EVENTS)
    }
}
