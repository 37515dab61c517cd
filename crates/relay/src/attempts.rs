//! Counts what a request may still be sent to.

use std::time::Duration;

use http::{Response, StatusCode};
use kernel::catalogue::{Identity, Route};
use kernel::name::Service;

use crate::body::Body;
use crate::budget::Budgets;
use crate::headers::error_response;

/// Most sends that endpoints rejected without running the request.
const MAX_REJECTIONS: u32 = 4;

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// Nothing can run it now; the client may come back after this time.
    Refused(Duration),
    /// Its time has passed.
    Expired,
    /// No further send is allowed.
    Exhausted,
}

impl GiveUp {
    /// The reason as it stands in logs and answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused(_) => "no endpoint can take the request now: come back later",
            Self::Expired => "the request's time has passed",
            Self::Exhausted => "every allowed attempt failed",
        }
    }
}

/// The sends of one request.
#[derive(Debug)]
pub struct Attempts {
    repeatable: bool,
    runs_left: u32,
    rejections_left: u32,
    sent: u32,
    maybe_ran: bool,
    excluded: Vec<Identity>,
}

impl Attempts {
    /// What the route allows.
    #[must_use]
    pub fn new(route: &Route) -> Self {
        Self {
            repeatable: route.repeatable(),
            runs_left: route.attempts.max(1),
            rejections_left: MAX_REJECTIONS,
            sent: 0,
            maybe_ran: false,
            excluded: Vec::new(),
        }
    }

    /// Endpoints that are not tried again.
    #[must_use]
    pub fn excluded(&self) -> &[Identity] {
        &self.excluded
    }

    /// Number of sends so far.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the rules of the route allow one more send; says nothing of the budget.
    #[must_use]
    pub const fn allowed(&self) -> bool {
        self.runs_left > 0 && self.rejections_left > 0 && (self.repeatable || !self.maybe_ran)
    }

    /// Whether another send would be allowed if the present one may have run: its silence is no
    /// reason to end the last one.
    #[must_use]
    pub const fn allowed_after_run(&self) -> bool {
        self.repeatable && self.runs_left > 1 && self.rejections_left > 0
    }

    /// Takes one more send; a repeat draws on the budget.
    pub fn try_start(&mut self, budgets: &Budgets, service: &Service) -> bool {
        if !self.allowed() || (self.sent > 0 && !budgets.withdraw(service)) {
            return false;
        }
        self.sent += 1;
        true
    }

    /// Notes that the endpoint did not run the request, or cannot be sent it.
    pub fn record_rejected(&mut self, endpoint: Identity) {
        self.rejections_left = self.rejections_left.saturating_sub(1);
        self.excluded.push(endpoint);
    }

    /// Notes that nothing left this host, so the send did not count.
    pub fn record_unsent(&mut self, endpoint: Identity) {
        self.sent = self.sent.saturating_sub(1);
        self.record_rejected(endpoint);
    }

    /// Allows no further send: the budget for repeats is used up.
    pub const fn exhaust(&mut self) {
        self.runs_left = 0;
    }

    /// Notes that the endpoint ran the request, or may have.
    pub fn record_run(&mut self, endpoint: Identity) {
        self.maybe_ran = true;
        self.runs_left = self.runs_left.saturating_sub(1);
        self.excluded.push(endpoint);
    }

    /// The final answer of a request that is given up: it promises that the request has not run
    /// and will not run only where that is certain.
    #[must_use]
    pub fn final_response(&self, give_up: GiveUp) -> Response<Body> {
        /// For requests that found no sound endpoint.
        const RETRY_AFTER: Duration = Duration::from_millis(300);
        let reason = give_up.as_str();
        match (self.maybe_ran, give_up) {
            (true, GiveUp::Expired) => error_response(StatusCode::GATEWAY_TIMEOUT, None, reason),
            (true, _) => error_response(StatusCode::BAD_GATEWAY, None, reason),
            (false, GiveUp::Refused(retry_after)) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after), reason)
            }
            (false, _) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER), reason)
            }
        }
    }
}
