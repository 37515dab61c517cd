//! Random faults of engines, nodes, the service and the platform, and recovery from them.

use std::io;
use std::time::Duration;

use fakes::{engine, log, service};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::callers::Roster;
use super::tally::Tally;
use crate::fleet::{Fleet, Member};

/// Fewest nodes that are left running.
const NODES_LEFT: usize = 2;

/// A fault that lasts until it is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lasting {
    NodeDead(usize),
    NodeCut(usize),
    Roads,
    Log,
    Service,
}

/// Injects faults and remembers when to take them back.
#[derive(Default)]
pub struct Injector {
    lasting: Vec<(Instant, Lasting)>,
}

impl Injector {
    /// Injects one random fault.
    pub fn inject(
        &mut self,
        fleet: &mut Fleet,
        roster: &Roster,
        tally: &Tally,
        random: &mut SmallRng,
    ) {
        let until = Instant::now() + Duration::from_millis(random.random_range(300..3_000));
        match random.random_range(0..15) {
            0..6 => engine_fault(fleet, tally, random),
            6 | 7 => self.kill_node(fleet, roster, tally, random, until),
            8 => self.cut_node(fleet, tally, random, until),
            9..11 => self.log_fault(fleet, tally, random, until),
            11 | 12 => self.service_fault(fleet, tally, random, until),
            _ => self.cut_domain(fleet, tally, random, until),
        }
    }

    fn kill_node(
        &mut self,
        fleet: &mut Fleet,
        roster: &Roster,
        tally: &Tally,
        random: &mut SmallRng,
        until: Instant,
    ) {
        let running: Vec<_> = (0..fleet.nodes.len())
            .filter(|index| fleet.nodes[*index].is_some())
            .collect();
        if running.len() <= NODES_LEFT {
            return;
        }
        let index = running[random.random_range(0..running.len())];
        tally.fault("node_killed", &fleet.settings[index].host);
        tally.death();
        let address = fleet.nodes[index].as_ref().map(Member::callers);
        fleet.kill(index);
        roster.remove(address);
        fleet.list_hosts();
        self.lasting.push((until, Lasting::NodeDead(index)));
    }

    fn cut_node(&mut self, fleet: &Fleet, tally: &Tally, random: &mut SmallRng, until: Instant) {
        let index = random.random_range(0..fleet.nodes.len());
        if let Some(member) = &fleet.nodes[index] {
            tally.fault("node_cut_from_platform", member.host());
            member.cut.set(true);
            self.lasting.push((until, Lasting::NodeCut(index)));
        }
    }

    /// Cuts a failure domain off from the others, in one direction or in both.
    fn cut_domain(&mut self, fleet: &Fleet, tally: &Tally, random: &mut SmallRng, until: Instant) {
        let domains = &fleet.plan.domains;
        let alone = &domains[random.random_range(0..domains.len())].name;
        let direction = random.random_range(0..3);
        let kind = if direction == 2 {
            "domain_cut"
        } else {
            "domain_cut_one_way"
        };
        tally.fault(kind, alone);
        for other in domains.iter().filter(|domain| domain.name != *alone) {
            if direction != 0 {
                fleet.roads.cut(alone, &other.name, true);
            }
            if direction != 1 {
                fleet.roads.cut(&other.name, alone, true);
            }
        }
        self.lasting.push((until, Lasting::Roads));
    }

    fn log_fault(&mut self, fleet: &Fleet, tally: &Tally, random: &mut SmallRng, until: Instant) {
        let mut faults = log::Faults::default();
        let kind = match random.random_range(0..4) {
            0 => {
                faults.down = true;
                "log_down"
            }
            1 => {
                faults.lose_ack_every = 2;
                "log_loses_acknowledgements"
            }
            2 => {
                faults.duplicate_every = 2;
                "log_repeats_appends"
            }
            _ => {
                faults.delay = Duration::from_millis(400);
                "log_slow"
            }
        };
        tally.fault(kind, "");
        fleet.platform.log.inject(faults);
        self.lasting.push((until, Lasting::Log));
    }

    fn service_fault(
        &mut self,
        fleet: &Fleet,
        tally: &Tally,
        random: &mut SmallRng,
        until: Instant,
    ) {
        let lose_responses = random.random_bool(0.5);
        let kind = if lose_responses {
            "service_silent"
        } else {
            "service_slow"
        };
        tally.fault(kind, "");
        fleet.service.inject(service::Faults {
            lose_responses,
            delay: Duration::from_millis(700),
        });
        self.lasting.push((until, Lasting::Service));
    }

    /// Takes back the faults whose time is up.
    pub async fn recover(
        &mut self,
        fleet: &mut Fleet,
        roster: &Roster,
        tally: &Tally,
        now: Instant,
    ) -> io::Result<()> {
        let due: Vec<_> = self
            .lasting
            .iter()
            .filter(|(until, _)| *until <= now)
            .map(|(_, what)| *what)
            .collect();
        self.lasting.retain(|(until, _)| *until > now);
        for what in due {
            take_back(fleet, roster, what).await?;
            tally.note(format!("recovered {what:?}"));
        }
        Ok(())
    }

    /// Takes back all faults.
    pub async fn recover_all(
        &mut self,
        fleet: &mut Fleet,
        roster: &Roster,
        tally: &Tally,
    ) -> io::Result<()> {
        const FAR: Duration = Duration::from_hours(1);
        self.recover(fleet, roster, tally, Instant::now() + FAR)
            .await
    }
}

async fn take_back(fleet: &mut Fleet, roster: &Roster, what: Lasting) -> io::Result<()> {
    match what {
        Lasting::NodeDead(index) => {
            fleet.start_node(index).await?;
            fleet.list_hosts();
            wait_ready(fleet, index).await;
            roster.set(fleet);
        }
        Lasting::NodeCut(index) => {
            if let Some(member) = &fleet.nodes[index] {
                member.cut.set(false);
            }
        }
        Lasting::Roads => fleet.roads.heal(),
        Lasting::Log => fleet.platform.log.inject(log::Faults::default()),
        Lasting::Service => fleet.service.inject(service::Faults::default()),
    }
    Ok(())
}

/// Waits a moment for a restarted node, as the platform's balancer does.
async fn wait_ready(fleet: &Fleet, index: usize) {
    const LONGEST: Duration = Duration::from_secs(3);
    let ready = async {
        while !fleet.nodes[index].as_ref().is_some_and(Member::ready) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    // A node that is not ready refuses its callers with not_run.
    let _ = tokio::time::timeout(LONGEST, ready).await;
}

fn engine_fault(fleet: &Fleet, tally: &Tally, random: &mut SmallRng) {
    let member = &fleet.engines[random.random_range(0..fleet.engines.len())];
    let time = Duration::from_millis(random.random_range(200..2_500));
    let (kind, fault) = match random.random_range(0..8) {
        0 => ("engine_died", engine::Fault::Crash(time)),
        1 => ("engine_connections_cut", engine::Fault::DropConnections),
        2 => ("engine_connections_silent", engine::Fault::HangStreams),
        3 => ("engine_end_marker_cut", engine::Fault::OmitEndMarker),
        4 => ("engine_stalled", engine::Fault::Stall(time)),
        5 => ("engine_arrivals_late", engine::Fault::DelayRequests(time)),
        6 => ("engine_cache_events_lost", engine::Fault::LoseCacheEvents),
        _ => (
            "engine_free_answers_lost",
            engine::Fault::LoseFreeResponses(time),
        ),
    };
    tally.fault(kind, &member.name);
    member.engine.inject(&member.server, fault);
}
