//! Moves a process from stage to stage.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{Shutdown, Stage};

/// Interval of checking whether the work has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Times of the stages, from the start of the shutdown unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Minimum time in [`Stage::Draining`], in which load balancers notice that the process is not
    /// ready.
    pub notice: Duration,
    /// Latest start of [`Stage::Closing`].
    pub closing: Duration,
    /// Latest start of [`Stage::Ending`].
    pub ending: Duration,
    /// Maximum time in [`Stage::Ending`].
    pub last_responses: Duration,
}

/// What a process has to finish before it exits.
pub trait Work {
    /// Whether no request waits or runs.
    fn is_idle(&self) -> bool;

    /// Whether the process is idle and all responses are written.
    fn is_finished(&self) -> bool;
}

impl Shutdown {
    /// Goes through the stages and returns when the work is finished, or its time is up.
    ///
    /// Returns whether all requests ended by themselves.
    pub async fn run(&self, schedule: &Schedule, work: &impl Work) -> bool {
        let started = Instant::now();
        self.enter(Stage::Draining);
        let draining = async {
            sleep(schedule.notice).await;
            let idle = poll(|| work.is_idle());
            let _ = timeout_at(started + schedule.closing, idle).await;
            self.enter(Stage::Closing);
            poll(|| work.is_finished()).await;
        };
        let is_complete = tokio::select! {
            drained = timeout_at(started + schedule.ending, draining) => drained.is_ok(),
            () = self.wait_until(Stage::Ending) => work.is_idle(),
        };
        if !work.is_finished() {
            self.enter(Stage::Ending);
            // The process exits whether or not all responses are written.
            let _ = timeout(schedule.last_responses, poll(|| work.is_finished())).await;
        }
        is_complete
    }
}

/// Returns once `condition` holds.
async fn poll(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(POLL_INTERVAL).await;
    }
}
