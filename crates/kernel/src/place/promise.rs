//! Keeps the times at which refused clients were told to return.

use std::time::Duration;

use crate::clock::Instant;

/// Time after a promised time at which the client counts as gone.
const EXPIRY: Duration = Duration::from_secs(1);
/// Maximum number of promises that are kept. The times of further ones are not spread.
const MAX_PROMISES: usize = 4_096;

/// A time given to a refused client.
#[derive(Clone, Copy, Debug)]
struct Promise {
    at: Instant,
    work_ms: f64,
}

/// The promised times of one service at this host. Promises reserve no engine, but count as work
/// ahead of later promises.
#[derive(Clone, Debug, Default)]
pub struct Book {
    promises: Vec<Promise>,
    /// Time until which promised work fills the engines.
    filled_until: Option<Instant>,
}

impl Book {
    /// Promises a time not before `earliest` at which there is room for `work_ms`, on engines that
    /// do `rate` milliseconds of work per millisecond for this host.
    ///
    /// The promise is kept only if the client returns before `deadline`.
    pub fn promise(
        &mut self,
        work_ms: f64,
        rate: f64,
        earliest: Instant,
        deadline: Instant,
        now: Instant,
    ) -> Instant {
        self.promises.retain(|promise| promise.at + EXPIRY > now);
        if self.promises.is_empty() {
            self.filled_until = None;
        }
        let at = self
            .filled_until
            .map_or(earliest, |until| until.max(earliest));
        if at < deadline && self.promises.len() < MAX_PROMISES {
            self.promises.push(Promise { at, work_ms });
            self.filled_until =
                Some(at + super::speed::duration_from_ms(work_ms / rate.max(0.001)));
        }
        at
    }

    /// Takes back the promise that a returning client with `work_ms` was given; returns whether
    /// there was one for about this time.
    pub fn redeem(&mut self, work_ms: f64, now: Instant) -> bool {
        let due = |promise: &Promise| promise.at <= now + EXPIRY && promise.at + EXPIRY > now;
        let alike = |promise: &Promise| (promise.work_ms - work_ms).abs() <= work_ms * 0.01;
        let found = self
            .promises
            .iter()
            .position(|promise| due(promise) && alike(promise));
        found
            .map(|index| self.promises.swap_remove(index))
            .is_some()
    }

    /// Returns the promised work, in milliseconds of engine time.
    #[must_use]
    pub fn work_ms(&self, now: Instant) -> f64 {
        let open = self.promises.iter();
        let open = open.filter(|promise| promise.at + EXPIRY > now);
        open.map(|promise| promise.work_ms).sum()
    }
}
