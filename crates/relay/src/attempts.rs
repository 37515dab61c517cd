//! Limits the attempts of one request and builds its final error response.

use std::time::Duration;

use http::{Response, StatusCode};
use kernel::catalogue::{Identity, Route};
use kernel::name::Service;

use crate::body::Body;
use crate::budget::Budgets;
use crate::headers::error_response;

/// Maximum number of attempts of one request that end without running it.
const MAX_REJECTIONS: u32 = 4;

/// Reason why a request is given up without a response from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// No endpoint can run the request now; the client may retry after this time.
    Refused(Duration),
    /// The request or a segment of its prompt is quarantined; the client may retry after this time.
    Quarantined(Duration),
    /// All endpoints of the service are in evacuated failure domains; the client may retry after this
    /// time.
    Evacuated(Duration),
    /// The deadline of the request has passed.
    Expired,
    /// This host reaches no endpoint, and no other host serves its requests.
    CutOff,
    /// No further attempt is allowed, or no endpoint is left to try.
    Exhausted,
}

impl GiveUp {
    /// Returns the reason as it appears in logs, metrics and error responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused(_) => "no endpoint can take the request now: come back later",
            Self::Quarantined(_) => {
                "endpoints crashed on this request or a part of this prompt: change it, or come back later"
            }
            Self::Evacuated(_) => "all endpoints of the service are evacuated: come back later",
            Self::Expired => "the request's time has passed",
            Self::CutOff => "no endpoint can be reached: come back shortly",
            Self::Exhausted => "every allowed attempt failed",
        }
    }
}

/// Tracks the attempts of one request and the endpoints excluded from further attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeatable: bool,
    runs_left: u32,
    rejections_left: u32,
    sent: u32,
    maybe_ran: bool,
    /// Whether the request has been added to a retry budget.
    counted: bool,
    excluded: Vec<Identity>,
}

impl Attempts {
    /// Creates a tracker with the limits of `route`.
    #[must_use]
    pub fn new(route: &Route) -> Self {
        Self {
            repeatable: route.repeatable(),
            runs_left: route.attempts.max(1),
            rejections_left: MAX_REJECTIONS,
            sent: 0,
            maybe_ran: false,
            counted: true,
            excluded: Vec::new(),
        }
    }

    /// Creates a tracker for a request that no retry budget has counted yet.
    #[must_use]
    pub fn uncounted(route: &Route) -> Self {
        Self {
            counted: false,
            ..Self::new(route)
        }
    }

    /// Whether a retry budget has counted the request.
    #[must_use]
    pub const fn is_counted(&self) -> bool {
        self.counted
    }

    /// Records that another host has read the request and counted it in its retry budget.
    pub const fn record_counted(&mut self) {
        self.counted = true;
    }

    /// Endpoints that are not tried again.
    #[must_use]
    pub fn excluded(&self) -> &[Identity] {
        &self.excluded
    }

    /// Number of attempts sent so far.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Number of endpoints on which the route still allows the request to run.
    #[must_use]
    pub const fn runs_left(&self) -> u32 {
        self.runs_left
    }

    /// Whether the route allows another attempt. The retry budget is not checked.
    #[must_use]
    pub const fn allowed(&self) -> bool {
        self.runs_left > 0 && self.rejections_left > 0 && (self.repeatable || !self.maybe_ran)
    }

    /// Whether another attempt would be allowed if the current one may have run.
    ///
    /// If not, the current attempt is the last one and may take until the request's deadline.
    #[must_use]
    pub const fn allowed_after_run(&self) -> bool {
        self.repeatable && self.runs_left > 1 && self.rejections_left > 0
    }

    /// Starts another attempt if it is allowed, and returns whether it may be sent.
    ///
    /// Once an attempt was sent, each further one draws on the retry budget of `service`.
    pub fn try_start(&mut self, budgets: &Budgets, service: &Service) -> bool {
        if !self.allowed() || (self.sent > 0 && !budgets.withdraw(service)) {
            return false;
        }
        self.sent += 1;
        true
    }

    /// Records that the endpoint did not run the request or cannot receive it, and excludes it.
    pub fn record_rejected(&mut self, endpoint: Identity) {
        self.rejections_left = self.rejections_left.saturating_sub(1);
        self.excluded.push(endpoint);
    }

    /// Excludes endpoints from further attempts.
    pub fn exclude(&mut self, endpoints: impl IntoIterator<Item = Identity>) {
        self.excluded.extend(endpoints);
    }

    /// Records that nothing was sent to the endpoint, and excludes it. Unlike a rejected attempt,
    /// this one does not count as sent.
    pub fn record_unsent(&mut self, endpoint: Identity) {
        self.sent = self.sent.saturating_sub(1);
        self.record_rejected(endpoint);
    }

    /// Whether another host may run the request.
    #[must_use]
    pub const fn may_run_elsewhere(&self) -> bool {
        self.repeatable || !self.maybe_ran
    }

    /// Whether the request may run more than once.
    #[must_use]
    pub const fn may_repeat(&self) -> bool {
        self.repeatable
    }

    /// Whether the request may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.maybe_ran
    }

    /// Records that another host may have run the request.
    pub const fn record_detour(&mut self) {
        self.maybe_ran = true;
        self.sent += 1;
    }

    /// Disallows further attempts.
    pub const fn exhaust(&mut self) {
        self.runs_left = 0;
    }

    /// Records that the endpoint ran the request or may have run it, and excludes it.
    pub fn record_run(&mut self, endpoint: Identity) {
        self.maybe_ran = true;
        self.runs_left = self.runs_left.saturating_sub(1);
        self.excluded.push(endpoint);
    }

    /// Builds the final response of a request that is given up.
    ///
    /// Status 503 guarantees that the request has not run and will not run. If it may have run, the
    /// status is 504 after the deadline and 502 otherwise.
    #[must_use]
    pub fn final_response(&self, give_up: GiveUp) -> Response<Body> {
        /// Retry delay for requests that found no healthy endpoint.
        const RETRY_AFTER: Duration = Duration::from_millis(300);
        let reason = give_up.as_str();
        match (self.maybe_ran, give_up) {
            (true, GiveUp::Expired) => error_response(StatusCode::GATEWAY_TIMEOUT, None, reason),
            (true, _) => error_response(StatusCode::BAD_GATEWAY, None, reason),
            (
                false,
                GiveUp::Refused(retry_after)
                | GiveUp::Quarantined(retry_after)
                | GiveUp::Evacuated(retry_after),
            ) => error_response(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after), reason),
            (false, _) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER), reason)
            }
        }
    }
}
