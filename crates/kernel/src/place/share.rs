//! Keeps how often the requests of each priority, workspace and size are served.

use std::collections::HashMap;

use super::plan::Request;
use crate::clock::Instant;
use crate::name::Workspace;

/// Seconds after which a result counts for `1/e` of a new one.
const AGE_S: f64 = 10.0;
/// Number of results, aged, from which a share is used.
const MIN_RESULTS: f64 = 4.0;
/// Size relative to the mean of its kind from which a request counts as large.
const LARGE: f64 = 1.8;
/// Share of large requests relative to that of their kind at which they get more weight. The
/// largest must be served at least half as often; the rest is a margin.
const LARGE_TARGET: f64 = 0.8;
/// Like `LARGE_TARGET`, for a workspace relative to all.
const WORKSPACE_TARGET: f64 = 0.75;
/// Lead of the more urgent over less urgent ones below which they get more weight.
const RANK_LEAD: f64 = 0.02;
/// Steepness of the weight: a share that is 0.1 too low doubles it about three times.
const STEEPNESS: f64 = 20.0;
/// Maximum exponent of the weight.
const MAX_EXPONENT: f64 = 7.0;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Group {
    All,
    Priority(u32),
    Workspace(Workspace),
    Kind(String),
    Large(String),
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: f64,
    served: f64,
}

impl Tally {
    fn share(&self) -> Option<f64> {
        (self.asked >= MIN_RESULTS).then(|| (self.served / self.asked).min(1.0))
    }
}

/// Aged counts of served and refused requests of one service at this host.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    tallies: HashMap<Group, Tally>,
    aged_at: Option<Instant>,
}

impl Shares {
    /// Records that a request was started or refused.
    pub fn record(&mut self, request: &Request, relative: f64, served: bool, now: Instant) {
        self.age(now);
        let origin = &request.origin;
        let mut groups = vec![
            Group::All,
            Group::Priority(request.priority),
            Group::Kind(origin.kind.clone()),
        ];
        if relative >= LARGE {
            groups.push(Group::Large(origin.kind.clone()));
        }
        if let Some(workspace) = &origin.workspace {
            groups.push(Group::Workspace(workspace.clone()));
        }
        // A client that returns was counted when it was sent away.
        let asked = if origin.prior_wait.is_zero() {
            1.0
        } else {
            0.0
        };
        for group in groups {
            let tally = self.tallies.entry(group).or_default();
            tally.asked += asked;
            tally.served += f64::from(u8::from(served));
        }
    }

    fn age(&mut self, now: Instant) {
        let aged_at = *self.aged_at.get_or_insert(now);
        let elapsed = now.since(aged_at).as_secs_f64();
        if elapsed < 0.1 {
            return;
        }
        let factor = (-elapsed / AGE_S).exp();
        for tally in self.tallies.values_mut() {
            tally.asked *= factor;
            tally.served *= factor;
        }
        self.tallies.retain(|_, tally| tally.asked > 0.01);
        self.aged_at = Some(now);
    }

    fn share(&self, group: &Group) -> Option<f64> {
        self.tallies.get(group)?.share()
    }

    /// Returns the factor on the value of a request whose priority, workspace or size is served
    /// less often than it should be; at least 1.
    #[must_use]
    pub fn factor(&self, request: &Request, relative: f64) -> f64 {
        let origin = &request.origin;
        let mut missing = 0.0;
        let mut lacks = |group: &Group, target: Option<f64>| {
            if let (Some(own), Some(target)) = (self.share(group), target) {
                missing += (target - own).max(0.0);
            }
        };
        let less_urgent = self
            .tallies
            .iter()
            .filter_map(|(group, tally)| match group {
                Group::Priority(other) if *other > request.priority => tally.share(),
                _ => None,
            });
        let best = less_urgent.reduce(f64::max).map(|share| share + RANK_LEAD);
        lacks(&Group::Priority(request.priority), best);
        if let Some(workspace) = &origin.workspace {
            let all = self.share(&Group::All);
            let group = Group::Workspace(workspace.clone());
            lacks(&group, all.map(|share| share * WORKSPACE_TARGET));
        }
        if relative >= LARGE {
            let whole = self.share(&Group::Kind(origin.kind.clone()));
            let group = Group::Large(origin.kind.clone());
            lacks(&group, whole.map(|share| share * LARGE_TARGET));
        }
        (missing * STEEPNESS).min(MAX_EXPONENT).exp()
    }
}
