//! Accounts of attempts that are lent between hosts, without a network.

use filbertstage_kernel::loan::{Account, Loan, MAX_REJECTIONS, Report};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Requests of each random run.
const REQUESTS: u64 = 20_000;
/// Hosts that a request asks at most.
const HOSTS: u32 = 4;

/// Attempts that were really made.
#[derive(Debug, Default)]
struct Truth {
    runs: u32,
    rejections: u32,
}

/// Makes attempts on one host until none is allowed or an endpoint completes the request; returns
/// whether one has.
fn attempt(account: &mut Account, truth: &mut Truth, completes: f64, rng: &mut SmallRng) -> bool {
    while account.allows_attempt() {
        match rng.random_range(0..4) {
            0 => {
                truth.rejections += 1;
                account.record_rejected();
            }
            1 => account.record_unsent(),
            _ => {
                truth.runs += 1;
                if rng.random_bool(completes) {
                    return true;
                }
                account.record_run();
            }
        }
    }
    false
}

/// Serves one request of a host that is cut off at some time; hosts that it asks are lost, freeze and go
/// on later, or respond. Returns what was really done.
fn serve(runs: u32, lost: f64, completes: f64, rng: &mut SmallRng) -> Truth {
    let mut truth = Truth::default();
    let mut account = Account::new(runs);
    if rng.random_bool(0.3) && attempt(&mut account, &mut truth, completes, rng) {
        return truth;
    }
    for _ in 0..HOSTS {
        if !account.allows_loan() {
            break;
        }
        let loan = account.lend();
        let mut borrower = Account::borrowed(loan);
        let is_served = attempt(&mut borrower, &mut truth, completes, rng);
        if rng.random_bool(lost) {
            // Its response is lost, or it used the loan after the lender had given it up.
            continue;
        }
        account.settle(loan, borrower.report());
        if is_served {
            break;
        }
    }
    truth
}

/// Guards against more runs or rejected attempts than a request is allowed, whatever becomes of the hosts
/// that make them (BUDGET).
#[rstest]
#[case::hosts_respond(0.0)]
#[case::some_are_lost(0.2)]
#[case::most_are_lost(0.8)]
fn no_request_exceeds_its_attempts(#[case] lost: f64) {
    for seed in 0..REQUESTS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let runs = rng.random_range(1..=4);
        let truth = serve(runs, lost, 0.3, &mut rng);
        assert!(truth.runs <= runs, "seed {seed}: {truth:?}, {runs} allowed");
        assert!(truth.rejections <= MAX_REJECTIONS, "seed {seed}: {truth:?}");
    }
}

/// Guards against attempts that are lost although every host responds: a request whose endpoints fail is
/// tried as often as its route allows.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn all_attempts_are_used_if_hosts_respond(#[case] runs: u32) {
    let mut account = Account::new(runs);
    let mut made = 0;
    while account.allows_loan() {
        let loan = account.lend();
        assert_eq!(account.runs_left() == 0, loan.is_last);
        let report = Report {
            runs: 1,
            ..Report::default()
        };
        account.settle(loan, report);
        made += 1;
    }
    assert_eq!(made, runs);
}

/// Guards against a request that fails with the first host that is lost, although its route allows
/// another run.
#[test]
fn a_run_is_kept_for_another_host() {
    let mut account = Account::new(3);
    let loan = account.lend();
    assert_eq!((loan.runs, loan.is_last), (2, false));
    assert!(Account::borrowed(loan).allows_repeat());
    // The host is lost.
    assert!(account.allows_loan());
    let last = account.lend();
    assert!(Account::borrowed(last).allows_attempt());
    assert_eq!((last.runs, last.is_last), (1, true));
    assert!(!Account::borrowed(last).allows_repeat());
    assert!(!account.allows_loan());
}

/// Guards against a host of an earlier build, which states no loan and asks two hosts, and against a
/// report of more than was lent.
#[test]
fn what_is_unstated_is_taken_for_the_least() {
    let mut borrower = Account::borrowed(Loan::UNSTATED);
    borrower.record_run();
    assert!(!borrower.allows_attempt());
    let mut account = Account::new(2);
    let loan = account.lend();
    let report = Report {
        runs: u32::MAX,
        rejections: u32::MAX,
    };
    account.settle(loan, report);
    assert_eq!(account.runs_left(), 1);
}
