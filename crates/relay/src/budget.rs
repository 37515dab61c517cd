//! This host's share of the retry budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use kernel::clock::Instant;
use kernel::fleet::Fleet;
use kernel::name::Service;
use kernel::retry::{Division, Share};
use parking_lot::Mutex;

use crate::clock::Clock;
use crate::observe;
use crate::settings::Retry;

/// A retry budget for each service.
///
/// Each host has a part, so that all hosts together stay within the operator's limit even when they
/// cannot reach each other.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    floor: f64,
    window: Duration,
    clock: Clock,
    fleet: Arc<Mutex<Fleet>>,
    services: Mutex<HashMap<Service, Share>>,
}

impl Budgets {
    /// Creates budgets with the limits in `retry`, which the hosts of `fleet` share.
    #[must_use]
    pub fn new(retry: &Retry, fleet: Arc<Mutex<Fleet>>, clock: Clock) -> Self {
        Self {
            ratio: retry.ratio,
            floor: retry.floor,
            window: retry.window(),
            clock,
            fleet,
            services: Mutex::default(),
        }
    }

    /// Calls `change` with the budget of a service.
    fn update<T>(&self, service: &Service, change: impl FnOnce(&mut Share) -> T) -> T {
        let mut services = self.services.lock();
        if let Some(budget) = services.get_mut(service) {
            return change(budget);
        }
        let budget = services
            .entry(service.clone())
            .or_insert_with(|| Share::new(self.ratio, self.window));
        change(budget)
    }

    fn division(&self, now: Instant) -> Division {
        Division::new(&self.fleet.lock(), self.floor, now)
    }

    /// Credits the budget of a service for a client's request.
    pub fn deposit(&self, service: &Service) {
        let division = self.division(self.clock.now());
        self.update(service, |budget| budget.deposit(division));
    }

    /// Returns the retry of a request, to be withdrawn when it is sent; `None` if none is left.
    ///
    /// The identifier `request` is for logs.
    #[must_use]
    pub fn prepare<'a>(&'a self, service: &'a Service, request: &'a str) -> Option<Draw<'a>> {
        let now = self.clock.now();
        let division = self.division(now);
        let draw = Draw {
            budgets: self,
            service,
            request,
            state: Mutex::new(State::Prepared),
            is_sent: AtomicBool::new(false),
        };
        if !self.update(service, |budget| budget.has_left(division, now)) {
            draw.log("withheld", division);
            return None;
        }
        Some(draw)
    }

    /// Returns what the first send of a request withdraws: nothing.
    #[must_use]
    pub const fn free<'a>(&'a self, service: &'a Service, request: &'a str) -> Draw<'a> {
        Draw {
            budgets: self,
            service,
            request,
            state: Mutex::new(State::Free),
            is_sent: AtomicBool::new(false),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The send is not a retry, and withdraws nothing.
    Free,
    /// Nothing is withdrawn yet.
    Prepared,
    /// One retry is withdrawn.
    Withdrawn,
}

/// What one send draws on the retry budget of its service.
///
/// It is withdrawn when the send has a connection: opening one takes a while and may fail, and retries
/// count when they arrive. If it is dropped before a part of the request may have been sent, it returns
/// the retry to the budget.
#[derive(Debug)]
pub struct Draw<'a> {
    budgets: &'a Budgets,
    service: &'a Service,
    request: &'a str,
    state: Mutex<State>,
    is_sent: AtomicBool,
}

impl Drop for Draw<'_> {
    fn drop(&mut self) {
        if !*self.is_sent.get_mut() {
            self.refund();
        }
    }
}

impl Draw<'_> {
    /// Withdraws the retry unless that has been done; returns whether it may be sent.
    pub fn take(&self) -> bool {
        let mut state = self.state.lock();
        if *state != State::Prepared {
            return true;
        }
        let now = self.budgets.clock.now();
        let division = self.budgets.division(now);
        let withdraw = |budget: &mut Share| budget.withdraw(division, now);
        let allowed = self.budgets.update(self.service, withdraw);
        if allowed {
            *state = State::Withdrawn;
        }
        self.log(if allowed { "allowed" } else { "withheld" }, division);
        allowed
    }

    /// Returns the flag that is set while a part of the request may have been sent. See
    /// [`Dialer::send_if`].
    ///
    /// [`Dialer::send_if`]: crate::transport::Dialer::send_if
    #[must_use]
    pub const fn sent_flag(&self) -> &AtomicBool {
        &self.is_sent
    }

    /// Returns the retry to the budget if it was withdrawn, because nothing was sent.
    pub fn refund(&self) {
        let mut state = self.state.lock();
        if *state == State::Withdrawn {
            *state = State::Prepared;
            self.budgets.update(self.service, Share::refund);
            observe::count_retry(self.service, "refunded");
        }
    }

    fn log(&self, outcome: &'static str, division: Division) {
        observe::count_retry(self.service, outcome);
        log::info!(
            "event=retry request={} service={} outcome={outcome} saved={:.1} floor={:.1}",
            self.request,
            self.service,
            division.saved,
            division.floor
        );
    }
}
