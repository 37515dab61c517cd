//! Limits the attempts of one request and builds its final error response.

use std::time::Duration;

use http::{Response, StatusCode};
use kernel::catalogue::{Identity, Route};
use kernel::loan::{Account, Loan, Report};
use kernel::name::Service;

use crate::body::Body;
use crate::budget::{Budgets, Draw};
use crate::headers::error_response;

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
    /// This host shuts down.
    ShuttingDown,
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
            Self::ShuttingDown => "this host is shutting down: send the request to another one",
            Self::Exhausted => "every allowed attempt failed",
        }
    }
}

/// Tracks the attempts of one request and the endpoints excluded from further attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeatable: bool,
    account: Account,
    /// Number of attempts sent so far, by this host and by those that it lent attempts to.
    sent: u32,
    maybe_ran: bool,
    excluded: Vec<Identity>,
    /// Endpoints that ran the request or may have run it.
    ran: Vec<Identity>,
}

impl Attempts {
    /// Creates a tracker with the limits of `route`, or with what another host lent.
    #[must_use]
    pub fn new(route: &Route, loan: Option<Loan>) -> Self {
        let account = loan.map_or_else(
            || Account::new(route.attempts),
            |loan| {
                Account::borrowed(Loan {
                    runs: loan.runs.min(route.attempts.max(1)),
                    ..loan
                })
            },
        );
        Self {
            repeatable: route.repeatable(),
            account,
            sent: 0,
            maybe_ran: false,
            excluded: Vec::new(),
            ran: Vec::new(),
        }
    }

    /// Endpoints that are not tried again.
    #[must_use]
    pub fn excluded(&self) -> &[Identity] {
        &self.excluded
    }

    /// Whether an attempt of this host has failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        !self.excluded.is_empty()
    }

    /// Number of attempts sent so far.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether nothing of the request has been sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        self.sent == 0 && !self.maybe_ran
    }

    /// Number of times that the request may still run.
    #[must_use]
    pub const fn runs_left(&self) -> u32 {
        self.account.runs_left()
    }

    /// Whether this host may make another attempt. The retry budget is not checked.
    #[must_use]
    pub const fn allowed(&self) -> bool {
        self.account.allows_attempt() && self.may_run_again()
    }

    /// Whether another attempt would be allowed if the current one may have run.
    ///
    /// If not, the current attempt is the last one and may take until the request's deadline.
    #[must_use]
    pub const fn allowed_after_run(&self) -> bool {
        self.repeatable && self.account.allows_repeat()
    }

    /// Starts another attempt if it is allowed; returns what its send draws on the retry budget of
    /// `service`.
    ///
    /// Once an attempt was sent, each further one is a retry. The identifier `request` is for logs.
    pub fn try_start<'a>(
        &mut self,
        budgets: &'a Budgets,
        service: &'a Service,
        request: &'a str,
    ) -> Option<Draw<'a>> {
        if !self.allowed() {
            return None;
        }
        let draw = self.prepare_send(budgets, service, request)?;
        self.sent += 1;
        Some(draw)
    }

    /// Returns what the next send, by this host or by another one, draws on the retry budget; `None`
    /// if nothing is left of it.
    #[must_use]
    pub fn prepare_send<'a>(
        &self,
        budgets: &'a Budgets,
        service: &'a Service,
        request: &'a str,
    ) -> Option<Draw<'a>> {
        if self.sent == 0 {
            return Some(budgets.free(service, request));
        }
        budgets.prepare(service, request)
    }

    /// Records that the endpoint did not run the request, and excludes it.
    pub fn record_rejected(&mut self, endpoint: Identity) {
        self.account.record_rejected();
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
        self.record_unusable(endpoint);
    }

    /// Records that the endpoint cannot receive the request, before an attempt started, and excludes
    /// it.
    pub fn record_unusable(&mut self, endpoint: Identity) {
        self.account.record_unsent();
        self.excluded.push(endpoint);
    }

    /// Records that the endpoint ran the request or may have run it, and excludes it. An endpoint that
    /// fails again in the same run counts once.
    pub fn record_run(&mut self, endpoint: Identity) {
        self.maybe_ran = true;
        if !self.ran.contains(&endpoint) {
            self.account.record_run();
            self.ran.push(endpoint);
            self.excluded.push(endpoint);
        }
    }

    /// Whether another host may make an attempt. The retry budget is not checked.
    #[must_use]
    pub const fn may_lend(&self) -> bool {
        self.account.allows_loan() && self.may_run_again()
    }

    /// Whether another host may serve the request although it keeps to no loan, but to the limits of
    /// the route.
    #[must_use]
    pub const fn is_untouched(&self) -> bool {
        self.account.is_untouched()
    }

    /// Lends attempts to another host.
    pub fn lend(&mut self) -> Loan {
        self.account.lend()
    }

    /// Takes back what another host did not use, according to the report in its response. If it does
    /// not report, everything counts as used.
    pub fn settle(&mut self, loan: Loan, report: Option<Report>) {
        let Some(report) = report else {
            self.maybe_ran = true;
            self.sent += 1;
            return self.exhaust();
        };
        self.maybe_ran |= report.runs > 0;
        self.sent += report.arrivals();
        self.account.settle(loan, report);
    }

    /// Records that another host did not respond. It may have used the whole loan, and no more than
    /// that if it `keeps_loans`.
    pub const fn record_lost(&mut self, keeps_loans: bool) {
        self.maybe_ran = true;
        self.sent += 1;
        if !keeps_loans {
            self.exhaust();
        }
    }

    /// Returns what has been used, for the host that lent the attempts.
    #[must_use]
    pub const fn report(&self) -> Report {
        self.account.report()
    }

    const fn may_run_again(&self) -> bool {
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

    /// Records that the request is given up while an attempt may be under way.
    pub const fn record_interrupted(&mut self) {
        self.maybe_ran = true;
    }

    /// Disallows further attempts.
    pub const fn exhaust(&mut self) {
        self.account.close();
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
            (false, GiveUp::ShuttingDown) => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(shutdown::RETRY_AFTER),
                reason,
            ),
            (false, _) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER), reason)
            }
        }
    }
}
