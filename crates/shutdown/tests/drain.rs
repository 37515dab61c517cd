//! When each stage of a shutdown begins and ends, with simulated time.

use std::sync::Arc;
use std::time::Duration;

use filbertstage_shutdown::{Schedule, Shutdown, Stage, Work};
use rstest::rstest;
use tokio::time::{Instant, sleep};

const SCHEDULE: Schedule = Schedule {
    notice: Duration::from_millis(200),
    closing: Duration::from_secs(1),
    ending: Duration::from_millis(1_500),
    last_responses: Duration::from_millis(500),
};

/// Work that is idle and finished at given times.
struct Timed {
    started: Instant,
    idle: Duration,
    finished: Duration,
}

impl Work for Timed {
    fn is_idle(&self) -> bool {
        self.started.elapsed() >= self.idle
    }

    fn is_finished(&self) -> bool {
        self.started.elapsed() >= self.finished
    }
}

/// Rounds to the interval in which the work is polled.
fn rounded(time: Duration) -> u128 {
    time.as_millis() / 100 * 100
}

/// Guards against a process that exits while it owes responses, or stays when it owes none.
#[rstest]
#[case::idle(0, 0, 200, true)]
#[case::requests_end_in_the_drain(600, 600, 600, true)]
#[case::responses_are_written_late(300, 1_200, 1_200, true)]
#[case::requests_are_ended(1_700, 1_700, 1_700, false)]
#[case::requests_never_end(60_000, 60_000, 2_000, false)]
#[tokio::test(start_paused = true)]
async fn exits_when_nothing_is_owed(
    #[case] idle: u64,
    #[case] finished: u64,
    #[case] exit: u128,
    #[case] is_complete: bool,
) {
    let started = Instant::now();
    let work = Timed {
        started,
        idle: Duration::from_millis(idle),
        finished: Duration::from_millis(finished),
    };
    let drained = Shutdown::default().run(&SCHEDULE, &work).await;
    assert_eq!((drained, rounded(started.elapsed())), (is_complete, exit));
}

/// Guards against stages that begin early or late for the requests that act on them.
#[tokio::test(start_paused = true)]
async fn enters_each_stage_in_time() {
    let shutdown = Arc::new(Shutdown::default());
    let started = Instant::now();
    let never = Duration::from_mins(1);
    let work = Timed {
        started,
        idle: never,
        finished: never,
    };
    let entered = |stage| {
        let shutdown = Arc::clone(&shutdown);
        async move {
            shutdown.wait_until(stage).await;
            rounded(started.elapsed())
        }
    };
    let (_, draining, closing, ending) = tokio::join!(
        shutdown.run(&SCHEDULE, &work),
        entered(Stage::Draining),
        entered(Stage::Closing),
        entered(Stage::Ending),
    );
    assert_eq!((draining, closing, ending), (0, 1_000, 1_500));
}

/// Guards against a second signal that is ignored, or that leaves no time for the last responses.
#[tokio::test(start_paused = true)]
async fn a_second_signal_ends_the_wait() {
    let shutdown = Shutdown::default();
    let started = Instant::now();
    let never = Duration::from_mins(1);
    let work = Timed {
        started,
        idle: never,
        finished: never,
    };
    let second = async {
        sleep(Duration::from_millis(300)).await;
        shutdown.enter(Stage::Ending);
        shutdown.enter(Stage::Closing);
    };
    let (is_complete, ()) = tokio::join!(shutdown.run(&SCHEDULE, &work), second);
    assert_eq!((is_complete, rounded(started.elapsed())), (false, 800));
    assert!(shutdown.has_reached(Stage::Ending));
}
