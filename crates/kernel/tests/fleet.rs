//! Tests that the hosts' shares of a limit never exceed it together, in every order of starts,
//! kills, cuts and restores in a small fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertstage_kernel::fleet::{Announcement, Fleet, LEASE, READ_INTERVAL, STARTING_USES, Start};
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::retry::{Division, Share, Window};
use proptest::prelude::*;

const HOSTS: usize = 3;
const LIMIT: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Step of the simulated time; half of the time between two reads.
const STEP: Duration = Duration::from_secs(5);
/// Steps for which a use counts in the window.
const WINDOW_STEPS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The host is killed, and started again if it is down.
    Kill,
    /// The host loses its path to the store, or gets it back.
    CutStore,
    /// The host loses its paths to the other hosts, or gets them back.
    CutPeers,
    /// The host is replaced by one with another name.
    Replace,
    /// The store returns from the copy of three steps ago.
    RestoreStore,
}

const FAULTS: [Fault; 5] = [
    Fault::Kill,
    Fault::CutStore,
    Fault::CutPeers,
    Fault::Replace,
    Fault::RestoreStore,
];

type Announcements = BTreeMap<Host, Announcement>;

#[derive(Clone)]
struct Machine {
    name: Host,
    fleet: Option<Fleet>,
    incarnation: u64,
    store: bool,
    peers: bool,
    last_read: Option<Instant>,
    /// Allowance in the last steps, newest last, over all incarnations.
    allowances: Vec<f64>,
}

struct Simulation {
    machines: Vec<Machine>,
    store: Announcements,
    copies: Vec<Announcements>,
    now: Instant,
    incarnations: u64,
}

impl Simulation {
    fn new() -> Self {
        let machine = |index: usize| Machine {
            name: Host::from(format!("edge-{index}")),
            fleet: None,
            incarnation: 0,
            store: true,
            peers: true,
            last_read: None,
            allowances: Vec::new(),
        };
        let mut simulation = Self {
            machines: (0..HOSTS).map(machine).collect(),
            store: Announcements::new(),
            copies: Vec::new(),
            now: Instant::from_millis(1_000_000),
            incarnations: 0,
        };
        for index in 0..HOSTS {
            simulation.start(index);
        }
        simulation
    }

    fn start(&mut self, index: usize) {
        self.incarnations += 1;
        let machine = &mut self.machines[index];
        machine.incarnation = self.incarnations;
        machine.last_read = None;
        let start = if self.incarnations > HOSTS as u64 {
            Start::Later
        } else {
            Start::First
        };
        machine.fleet = Some(Fleet::new(
            machine.name.clone(),
            machine.incarnation,
            WINDOW,
            start,
            self.now,
        ));
    }

    fn inject(&mut self, index: usize, fault: Fault) {
        let machine = &mut self.machines[index];
        match fault {
            Fault::Kill if machine.fleet.is_none() => self.start(index),
            Fault::Kill => machine.fleet = None,
            Fault::CutStore => machine.store = !machine.store,
            Fault::CutPeers => machine.peers = !machine.peers,
            Fault::Replace => {
                machine.name = Host::from(format!("new-{}", self.incarnations));
                self.start(index);
            }
            Fault::RestoreStore => {
                let oldest = self.copies.len().saturating_sub(3);
                if let Some(copy) = self.copies.get(oldest) {
                    self.store = copy.clone();
                }
                for machine in &mut self.machines {
                    if let Some(fleet) = &mut machine.fleet {
                        fleet.record_restored();
                    }
                }
            }
        }
    }

    fn announce(machine: &mut Machine, store: &mut Announcements, now: Instant) {
        if let Some(fleet) = &mut machine.fleet {
            store.insert(machine.name.clone(), fleet.next_announcement());
            fleet.record_renewed(now, now);
        }
    }

    fn follow_store(&mut self, index: usize) {
        let (now, machine) = (self.now, &mut self.machines[index]);
        let Some(fleet) = &machine.fleet else {
            return;
        };
        if !machine.store {
            return;
        }
        if fleet.renewal_due(now) {
            Self::announce(machine, &mut self.store, now);
        }
        let due = machine
            .last_read
            .is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if !due {
            return;
        }
        machine.last_read = Some(now);
        let announcements: Vec<_> = self.store.values().cloned().collect();
        let Some(fleet) = &mut machine.fleet else {
            return;
        };
        if !fleet.record_read(&announcements, now, now) {
            Self::announce(machine, &mut self.store, now);
        }
    }

    fn exchange_datagrams(&mut self) {
        let senders: Vec<_> = self
            .machines
            .iter()
            .filter(|machine| machine.peers && machine.fleet.is_some())
            .map(|machine| (machine.name.clone(), machine.incarnation))
            .collect();
        for machine in self.machines.iter_mut().filter(|machine| machine.peers) {
            let Some(fleet) = &mut machine.fleet else {
                continue;
            };
            for (name, incarnation) in &senders {
                fleet.record_heard(name, *incarnation, self.now);
            }
        }
    }

    /// Advances by one step and returns the uses that all hosts together were allowed within the
    /// window.
    fn step(&mut self) -> f64 {
        for index in 0..HOSTS {
            self.follow_store(index);
        }
        self.exchange_datagrams();
        let mut total = 0.0;
        for machine in &mut self.machines {
            let allowance = match &machine.fleet {
                Some(fleet) => fleet.allowance(LIMIT, self.now),
                None => 0.0,
            };
            machine.allowances.push(allowance);
            let first = machine.allowances.len().saturating_sub(WINDOW_STEPS);
            let recent = &machine.allowances[first..];
            total += recent.iter().copied().fold(0.0, f64::max);
        }
        self.copies.push(self.store.clone());
        self.now = self.now + STEP;
        total
    }
}

/// Uses that all hosts may make together within the window.
const BOUND: f64 = LIMIT + 1e-9;

#[test]
fn hosts_that_start_together_soon_use_the_whole_limit() {
    let mut simulation = Simulation::new();
    let mut total = 0.0;
    for _ in 0..7 {
        total = simulation.step();
    }
    let expected = LIMIT - STARTING_USES * 3.0;
    assert!((total - expected).abs() < 1e-6, "{total}");
}

#[test]
fn a_host_without_the_store_has_no_share() {
    let mut simulation = Simulation::new();
    for _ in 0..5 {
        simulation.step();
    }
    simulation.inject(0, Fault::CutStore);
    for _ in 0..6 {
        simulation.step();
    }
    let fleet = simulation.machines[0].fleet.as_ref().expect("running");
    assert_eq!(fleet.sharers(simulation.now), None);
}

/// The shares of the others rise only after the lease of a host that is gone.
#[test]
fn a_host_that_is_gone_is_counted_until_its_lease_ends() {
    let mut simulation = Simulation::new();
    for _ in 0..7 {
        simulation.step();
    }
    simulation.inject(0, Fault::Kill);
    let sharers = |simulation: &Simulation| {
        let fleet = simulation.machines[1].fleet.as_ref().expect("running");
        fleet.sharers(simulation.now)
    };
    let left_at = simulation.now;
    while simulation.now.since(left_at) < LEASE {
        simulation.step();
        assert_eq!(sharers(&simulation), Some(3));
    }
    for _ in 0..5 {
        simulation.step();
    }
    assert_eq!(sharers(&simulation), Some(2));
}

/// Every pair of faults at every pair of steps.
#[test]
fn shares_never_exceed_the_limit_with_any_two_faults() {
    const STEPS: usize = 26;
    let choices = || (0..HOSTS).flat_map(|host| FAULTS.map(|fault| (host, fault)));
    for first_at in 0..STEPS {
        for second_at in first_at..STEPS {
            for first in choices() {
                for second in choices() {
                    let mut simulation = Simulation::new();
                    for step in 0..STEPS {
                        if step == first_at {
                            simulation.inject(first.0, first.1);
                        }
                        if step == second_at {
                            simulation.inject(second.0, second.1);
                        }
                        let total = simulation.step();
                        assert!(
                            total <= BOUND,
                            "{total} at {step}: {first:?} at {first_at}, {second:?} at {second_at}"
                        );
                    }
                }
            }
        }
    }
}

proptest! {
    /// Any faults at any steps.
    #[test]
    fn shares_never_exceed_the_limit(
        faults in proptest::collection::vec((0..60_usize, 0..HOSTS, 0..FAULTS.len()), 0..16)
    ) {
        let mut simulation = Simulation::new();
        for step in 0..70 {
            for (at, host, fault) in &faults {
                if *at == step {
                    simulation.inject(*host, FAULTS[*fault]);
                }
            }
            let total = simulation.step();
            prop_assert!(total <= BOUND, "{total} at {step}");
        }
    }

    /// In no window does a host make more retries than the ratio of the requests in it and its share of
    /// the floor allow.
    #[test]
    fn a_window_allows_no_more_retries_than_its_limit(
        steps in proptest::collection::vec((0..900_u64, any::<bool>()), 1..400)
    ) {
        const RATIO: f64 = 0.2;
        const DIVISION: Division = Division { saved: 1.0, floor: 2.0 };
        let mut budget = Share::new(RATIO, WINDOW);
        let mut now = Instant::from_millis(1_000_000);
        let mut requests = Vec::new();
        let mut retries: Vec<Instant> = Vec::new();
        for (millis, retry) in steps {
            now = now + Duration::from_millis(millis);
            if !retry {
                budget.deposit(DIVISION);
                requests.push(now);
            } else if budget.withdraw(DIVISION, now) {
                retries.push(now);
                let recent = |times: &[Instant]| {
                    times.iter().filter(|at| now.since(**at) < WINDOW).count()
                };
                let allowed = f64::from(u32::try_from(recent(&requests)).expect("few")) * RATIO;
                let made = f64::from(u32::try_from(recent(&retries)).expect("few"));
                let floor = DIVISION.saved + DIVISION.floor;
                prop_assert!(made <= allowed + floor, "{made} retries, {allowed} + {floor}");
            }
        }
    }
}

#[test]
fn uses_are_allowed_again_when_earlier_ones_leave_the_window() {
    let mut window = Window::new(WINDOW);
    let start = Instant::from_millis(1_000_000);
    assert!(window.withdraw(1.0, start));
    assert!(!window.withdraw(1.0, start + Duration::from_secs(9)));
    assert!(window.withdraw(1.0, start + Duration::from_secs(12)));
}
