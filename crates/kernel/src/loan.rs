//! Counts the attempts of one request, which several hosts may make.
//!
//! The host that has read the request from the client keeps the account. It lends attempts to another
//! host that serves the request in its place, and gets back what that host reports as unused. Whatever
//! is not reported counts as used: a host that fell silent may have sent the request, or may be about
//! to.

/// Maximum number of attempts of one request that end without running it.
pub const MAX_REJECTIONS: u32 = 4;

/// Attempts that a host lends to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Maximum number of times that the request may run.
    pub runs: u32,
    /// Maximum number of attempts that endpoints may reject.
    pub rejections: u32,
    /// Whether the lender has no runs left. If it has, the borrower does better to give up an endpoint
    /// that does not respond than to wait for it until the deadline.
    pub is_last: bool,
}

impl Loan {
    /// The loan of a request whose sender states none. Its sender may have used all attempts of the
    /// route but the one that this request is.
    pub const UNSTATED: Self = Self {
        runs: 1,
        rejections: MAX_REJECTIONS,
        is_last: true,
    };
}

/// What a borrower has used until it responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of times that the request has run, may have run, or is running.
    pub runs: u32,
    /// Number of attempts that endpoints rejected.
    pub rejections: u32,
}

impl Report {
    /// Number of times that the request has arrived at an endpoint.
    #[must_use]
    pub const fn arrivals(self) -> u32 {
        self.runs.saturating_add(self.rejections)
    }
}

/// The attempts that are left of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Account {
    limit: Loan,
    used: Report,
    /// Attempts of this host that did not run the request, including those that were not sent.
    failures_left: u32,
}

impl Account {
    /// Opens the account of a request that may run `runs` times, and at least once.
    #[must_use]
    pub fn new(runs: u32) -> Self {
        Self::borrowed(Loan {
            runs: runs.max(1),
            rejections: MAX_REJECTIONS,
            is_last: true,
        })
    }

    /// Opens the account of a request for which another host has lent attempts.
    #[must_use]
    pub const fn borrowed(loan: Loan) -> Self {
        Self {
            limit: loan,
            used: Report {
                runs: 0,
                rejections: 0,
            },
            failures_left: MAX_REJECTIONS,
        }
    }

    /// Number of times that the request may still run.
    #[must_use]
    pub const fn runs_left(&self) -> u32 {
        self.limit.runs.saturating_sub(self.used.runs)
    }

    const fn rejections_left(&self) -> u32 {
        self.limit.rejections.saturating_sub(self.used.rejections)
    }

    /// Whether this host may make another attempt.
    #[must_use]
    pub const fn allows_attempt(&self) -> bool {
        self.allows_loan() && self.failures_left > 0
    }

    /// Whether another host may make an attempt.
    #[must_use]
    pub const fn allows_loan(&self) -> bool {
        self.runs_left() > 0 && self.rejections_left() > 0
    }

    /// Whether this host or its lender may make another attempt after the current one has run.
    #[must_use]
    pub const fn allows_repeat(&self) -> bool {
        let left = self.runs_left() > 1 || !self.limit.is_last;
        left && self.rejections_left() > 0 && self.failures_left > 0
    }

    /// Whether nothing has been used or lent yet.
    #[must_use]
    pub const fn is_untouched(&self) -> bool {
        self.used.arrivals() == 0
    }

    /// Records that the request has run, or may have run.
    pub const fn record_run(&mut self) {
        self.used.runs = self.used.runs.saturating_add(1);
    }

    /// Records that an endpoint rejected the request.
    pub const fn record_rejected(&mut self) {
        self.used.rejections = self.used.rejections.saturating_add(1);
        self.record_unsent();
    }

    /// Records that nothing was sent.
    pub const fn record_unsent(&mut self) {
        self.failures_left = self.failures_left.saturating_sub(1);
    }

    /// Disallows further attempts.
    pub const fn close(&mut self) {
        self.limit.runs = self.used.runs;
    }

    /// Lends attempts to another host, which count as used from then on. Of several, one is kept in case
    /// the host is lost.
    pub fn lend(&mut self) -> Loan {
        let lent = |left: u32| left.min(left.saturating_sub(1).max(1));
        let loan = Loan {
            runs: lent(self.runs_left()),
            rejections: lent(self.rejections_left()),
            is_last: self.runs_left() <= 1 && self.limit.is_last,
        };
        self.used.runs += loan.runs;
        self.used.rejections += loan.rejections;
        loan
    }

    /// Takes back what the borrower reports as unused.
    pub fn settle(&mut self, loan: Loan, report: Report) {
        let runs = loan.runs.saturating_sub(report.runs);
        let rejections = loan.rejections.saturating_sub(report.rejections);
        self.used.runs = self.used.runs.saturating_sub(runs);
        self.used.rejections = self.used.rejections.saturating_sub(rejections);
    }

    /// Returns what has been used. Loans that are not settled are included.
    #[must_use]
    pub const fn report(&self) -> Report {
        self.used
    }
}
