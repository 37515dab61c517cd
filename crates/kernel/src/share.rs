//! Plan limits across all nodes: each node owns a share of every limit and lends unused capacity.
//!
//! The shares of a limit sum to at most the limit: a lender lowers its own share before it answers,
//! and counts the loan until after the borrower has stopped using it. The worst-case overshoot is
//! stated in docs/operators/limits.md.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::lists::Plan;
use crate::name::Workspace;
use crate::outcome::Refusal;

/// Time for which a borrower may use a loan.
pub const LOAN_DURATION: Duration = Duration::from_secs(10);
/// Extra time before the lender uses lent capacity again.
const LOAN_MARGIN: Duration = Duration::from_secs(2);
/// Bucket capacity, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// Fraction of the free concurrency, or of the rate, that one loan takes.
const LENT_FRACTION: f64 = 0.5;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// The share of every limit that a node owns, not counting loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The node's index among all nodes, starting at 0.
    pub index: u32,
    /// The number of nodes.
    pub nodes: u32,
}

impl Share {
    /// The share of a single node: the whole limit.
    pub const WHOLE: Self = Self { index: 0, nodes: 1 };

    fn of(self, limit: f64) -> f64 {
        limit / f64::from(self.nodes.max(1))
    }

    /// Returns the share of an integer limit; the shares of all nodes sum to exactly `limit`.
    fn of_count(self, limit: u32) -> u32 {
        let nodes = self.nodes.max(1);
        limit / nodes + u32::from(self.index < limit % nodes)
    }
}

/// A plan limit that can be lent between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Limit {
    /// Requests per second.
    Rate,
    /// Concurrent requests.
    Concurrency,
    /// Token rate: tokens per minute in the plan, tokens per second in loans.
    Tokens,
}

/// An amount of a limit that was lent or borrowed, until it expires.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Loan {
    limit: Limit,
    amount: f64,
    expires_at: Instant,
}

/// A token bucket. Its level is negative after a request that was larger than the bucket.
#[derive(Debug)]
struct Bucket {
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    fn fill(&mut self, now: Instant, rate: f64, capacity: f64) {
        let earned = now.since(self.filled_at).as_secs_f64() * rate;
        self.level = (self.level + earned).min(capacity);
        self.filled_at = self.filled_at.max(now);
    }
}

/// The consumption and the loans of one workspace at this node.
#[derive(Debug)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    running: u32,
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
}

/// What a request consumes of its workspace's limits, in addition to one request of the rate and of
/// the concurrency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    /// Prompt and answer tokens of the request.
    pub tokens: u64,
}

/// The rate and concurrency limiter of one node, with an account for each workspace.
#[derive(Debug)]
pub struct Limiter {
    share: Share,
    accounts: BTreeMap<Workspace, Account>,
}

impl Limiter {
    /// Creates a limiter for a node that owns `share` of every limit.
    #[must_use]
    pub const fn new(share: Share) -> Self {
        Self {
            share,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets the node's share after the set of nodes changed.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Returns the share of every limit that the node owns.
    #[must_use]
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Returns the number of running requests of `workspace` at this node.
    #[must_use]
    pub fn running(&self, workspace: &Workspace) -> u32 {
        self.accounts
            .get(workspace)
            .map_or(0, |account| account.running)
    }

    fn account(&mut self, now: Instant, workspace: &Workspace, plan: &Plan) -> &mut Account {
        let share = self.share;
        let account = self
            .accounts
            .entry(workspace.clone())
            .or_insert_with(|| Account::full(now, share, plan));
        account.expire(now);
        account
    }

    /// Charges `cost` to all limits of `workspace`, or to none of them.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached and a [`Refusal::Limited`] with the time to wait before a
    /// retry.
    pub fn acquire(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        plan: &Plan,
        cost: Cost,
    ) -> Result<(), (Limit, Refusal)> {
        let share = self.share;
        let account = self.account(now, workspace, plan);
        account.acquire(now, share, plan, cost)
    }

    /// Ends one running request of `workspace`, which frees its concurrency.
    pub fn release(&mut self, workspace: &Workspace) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Lends unused capacity of `limit` and returns the amount, or zero if there is none.
    pub fn lend(&mut self, now: Instant, workspace: &Workspace, plan: &Plan, limit: Limit) -> f64 {
        let share = self.share;
        let account = self.account(now, workspace, plan);
        let amount = account.lendable(now, share, plan, limit);
        if amount > 0.0 {
            account.lent.push(Loan {
                limit,
                amount,
                expires_at: now + LOAN_DURATION + LOAN_MARGIN,
            });
        }
        amount
    }

    /// Adds the `amount` of `limit` that a peer lent in answer to a request sent at `requested_at`.
    ///
    /// The loan expires [`LOAN_DURATION`] after `requested_at`, before the lender uses the amount
    /// again.
    pub fn borrow(
        &mut self,
        requested_at: Instant,
        now: Instant,
        workspace: &Workspace,
        plan: &Plan,
        (limit, amount): (Limit, f64),
    ) {
        let account = self.account(now, workspace, plan);
        account.borrowed.push(Loan {
            limit,
            amount,
            expires_at: requested_at + LOAN_DURATION,
        });
    }
}

impl Account {
    fn full(now: Instant, share: Share, plan: &Plan) -> Self {
        let bucket = |level: f64| Bucket {
            level,
            filled_at: now,
        };
        Self {
            requests: bucket(share.of(plan.requests_per_second) * BURST_SECONDS),
            tokens: bucket(share.of(token_rate(plan)) * BURST_SECONDS),
            running: 0,
            lent: Vec::new(),
            borrowed: Vec::new(),
        }
    }

    fn expire(&mut self, now: Instant) {
        self.lent.retain(|loan| loan.expires_at > now);
        self.borrowed.retain(|loan| loan.expires_at > now);
    }

    fn net_borrowed(&self, limit: Limit) -> f64 {
        let sum = |loans: &[Loan]| -> f64 {
            let matching = loans.iter().filter(|loan| loan.limit == limit);
            matching.map(|loan| loan.amount).sum()
        };
        sum(&self.borrowed) - sum(&self.lent)
    }

    fn allowance(&self, share: Share, plan: &Plan, limit: Limit) -> f64 {
        let own = match limit {
            Limit::Rate => share.of(plan.requests_per_second),
            Limit::Tokens => share.of(token_rate(plan)),
            Limit::Concurrency => f64::from(share.of_count(plan.concurrency.get())),
        };
        (own + self.net_borrowed(limit)).max(0.0)
    }

    fn fill(&mut self, now: Instant, share: Share, plan: &Plan) {
        let rate = self.allowance(share, plan, Limit::Rate);
        self.requests
            .fill(now, rate, (rate * BURST_SECONDS).max(1.0));
        let rate = self.allowance(share, plan, Limit::Tokens);
        self.tokens.fill(now, rate, rate * BURST_SECONDS);
    }

    #[allow(clippy::cast_precision_loss)]
    fn acquire(
        &mut self,
        now: Instant,
        share: Share,
        plan: &Plan,
        cost: Cost,
    ) -> Result<(), (Limit, Refusal)> {
        self.fill(now, share, plan);
        let concurrency = self.allowance(share, plan, Limit::Concurrency);
        if f64::from(self.running) + 1.0 > concurrency {
            let after = Duration::from_secs(1);
            return Err(limited(Limit::Concurrency, after));
        }
        if self.requests.level < 1.0 {
            let rate = self.allowance(share, plan, Limit::Rate);
            return Err(limited(
                Limit::Rate,
                refill_time(1.0 - self.requests.level, rate),
            ));
        }
        // A request larger than the bucket needs a full bucket and leaves a negative level.
        let rate = self.allowance(share, plan, Limit::Tokens);
        let required = (cost.tokens as f64).min(rate * BURST_SECONDS);
        if self.tokens.level < required {
            return Err(limited(
                Limit::Tokens,
                refill_time(required - self.tokens.level, rate),
            ));
        }
        self.requests.level -= 1.0;
        self.tokens.level -= cost.tokens as f64;
        self.running += 1;
        Ok(())
    }

    fn lendable(&mut self, now: Instant, share: Share, plan: &Plan, limit: Limit) -> f64 {
        self.fill(now, share, plan);
        let allowance = self.allowance(share, plan, limit);
        match limit {
            Limit::Concurrency => {
                ((allowance - f64::from(self.running)).max(0.0) * LENT_FRACTION).ceil()
            }
            Limit::Rate if self.requests.level >= allowance * BURST_SECONDS * LENT_FRACTION => {
                allowance * LENT_FRACTION
            }
            Limit::Tokens if self.tokens.level >= allowance * BURST_SECONDS * LENT_FRACTION => {
                allowance * LENT_FRACTION
            }
            _ => 0.0,
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn token_rate(plan: &Plan) -> f64 {
    plan.tokens_per_minute.get() as f64 / SECONDS_PER_MINUTE
}

fn refill_time(missing: f64, rate: f64) -> Duration {
    const MAX_WAIT_SECONDS: f64 = 60.0;
    Duration::from_secs_f64((missing / rate.max(f64::EPSILON)).clamp(0.0, MAX_WAIT_SECONDS))
}

fn limited(limit: Limit, after: Duration) -> (Limit, Refusal) {
    let what = match limit {
        Limit::Rate => "the plan's requests_per_second",
        Limit::Concurrency => "the plan's concurrency",
        Limit::Tokens => "the plan's tokens_per_minute",
    };
    (limit, Refusal::Limited(what.to_owned(), after))
}
