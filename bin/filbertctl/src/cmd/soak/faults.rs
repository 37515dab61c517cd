//! Injects random faults into engines, nodes, the service and the platform, and removes them again.

use std::io;
use std::time::Duration;

use fakes::{engine, log, service};
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::callers::LoadBalancer;
use super::tally::Tally;
use crate::fleet::{Fleet, Member};

/// Minimum number of nodes that stay running.
const MIN_RUNNING_NODES: usize = 2;

/// A fault that lasts until it is removed.
///
/// The trace prints the variants with `{:?}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// The node with this index was killed.
    NodeDead(usize),
    /// The node with this index is cut off from the platform.
    NodeCut(usize),
    /// The links between one failure domain and the others are cut, in one or both directions.
    Roads,
    /// The platform's log has a fault: it is down, slow, loses acknowledgements or repeats appends.
    Log,
    /// The service is slow and may also lose its responses.
    Service,
}

/// Injects faults and removes each lasting one at its end time.
#[derive(Default)]
pub struct Injector {
    outages: Vec<(Instant, Outage)>,
}

impl Injector {
    /// Injects one random fault and records it in `tally`.
    ///
    /// Injects none if it would kill one of the last `MIN_RUNNING_NODES` nodes or cut off a node
    /// that is already dead.
    pub fn inject(
        &mut self,
        fleet: &mut Fleet,
        balancer: &LoadBalancer,
        tally: &Tally,
        rng: &mut SmallRng,
    ) {
        let ends_at = Instant::now() + Duration::from_millis(rng.random_range(300..3_000));
        match rng.random_range(0..15) {
            0..6 => inject_engine_fault(fleet, tally, rng),
            6 | 7 => self.kill_node(fleet, balancer, tally, rng, ends_at),
            8 => self.cut_node(fleet, tally, rng, ends_at),
            9..11 => self.inject_log_fault(fleet, tally, rng, ends_at),
            11 | 12 => self.inject_service_fault(fleet, tally, rng, ends_at),
            _ => self.cut_domain(fleet, tally, rng, ends_at),
        }
    }

    fn kill_node(
        &mut self,
        fleet: &mut Fleet,
        balancer: &LoadBalancer,
        tally: &Tally,
        rng: &mut SmallRng,
        ends_at: Instant,
    ) {
        let running: Vec<_> = (0..fleet.nodes.len())
            .filter(|index| fleet.nodes[*index].is_some())
            .collect();
        if running.len() <= MIN_RUNNING_NODES {
            return;
        }
        let index = running[rng.random_range(0..running.len())];
        tally.record_fault("node_killed", &fleet.settings[index].host);
        tally.record_death();
        let address = fleet.nodes[index].as_ref().map(Member::caller_address);
        fleet.kill(index);
        balancer.remove(address);
        fleet.publish_hosts();
        self.outages.push((ends_at, Outage::NodeDead(index)));
    }

    fn cut_node(&mut self, fleet: &Fleet, tally: &Tally, rng: &mut SmallRng, ends_at: Instant) {
        let index = rng.random_range(0..fleet.nodes.len());
        if let Some(member) = &fleet.nodes[index] {
            tally.record_fault("node_cut_from_platform", member.host());
            member.platform_partition.set(true);
            self.outages.push((ends_at, Outage::NodeCut(index)));
        }
    }

    /// Partitions one failure domain from the others, in one direction or in both.
    fn cut_domain(&mut self, fleet: &Fleet, tally: &Tally, rng: &mut SmallRng, ends_at: Instant) {
        let domains = &fleet.plan.domains;
        let alone = &domains[rng.random_range(0..domains.len())].name;
        let direction = rng.random_range(0..3);
        let kind = if direction == 2 {
            "domain_cut"
        } else {
            "domain_cut_one_way"
        };
        tally.record_fault(kind, alone);
        for other in domains.iter().filter(|domain| domain.name != *alone) {
            if direction != 0 {
                fleet.links.set_cut(alone, &other.name, true);
            }
            if direction != 1 {
                fleet.links.set_cut(&other.name, alone, true);
            }
        }
        self.outages.push((ends_at, Outage::Roads));
    }

    fn inject_log_fault(
        &mut self,
        fleet: &Fleet,
        tally: &Tally,
        rng: &mut SmallRng,
        ends_at: Instant,
    ) {
        let mut faults = log::Faults::default();
        let kind = match rng.random_range(0..4) {
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
        tally.record_fault(kind, "");
        fleet.platform.log.inject(faults);
        self.outages.push((ends_at, Outage::Log));
    }

    fn inject_service_fault(
        &mut self,
        fleet: &Fleet,
        tally: &Tally,
        rng: &mut SmallRng,
        ends_at: Instant,
    ) {
        let lose_responses = rng.random_bool(0.5);
        let kind = if lose_responses {
            "service_silent"
        } else {
            "service_slow"
        };
        tally.record_fault(kind, "");
        fleet.service.inject(service::Faults {
            lose_responses,
            delay: Duration::from_millis(700),
        });
        self.outages.push((ends_at, Outage::Service));
    }

    /// Removes the faults that end at or before `now`.
    ///
    /// # Errors
    ///
    /// The I/O error, if a killed node cannot be started again.
    pub async fn recover(
        &mut self,
        fleet: &mut Fleet,
        balancer: &LoadBalancer,
        tally: &Tally,
        now: Instant,
    ) -> io::Result<()> {
        let due: Vec<_> = self
            .outages
            .iter()
            .filter(|(ends_at, _)| *ends_at <= now)
            .map(|(_, outage)| *outage)
            .collect();
        self.outages.retain(|(ends_at, _)| *ends_at > now);
        for outage in due {
            end_outage(fleet, balancer, outage).await?;
            tally.trace(format!("recovered {outage:?}"));
        }
        Ok(())
    }

    /// Removes all faults.
    ///
    /// # Errors
    ///
    /// The I/O error, if a killed node cannot be started again.
    pub async fn recover_all(
        &mut self,
        fleet: &mut Fleet,
        balancer: &LoadBalancer,
        tally: &Tally,
    ) -> io::Result<()> {
        const FAR_FUTURE: Duration = Duration::from_hours(1);
        self.recover(fleet, balancer, tally, Instant::now() + FAR_FUTURE)
            .await
    }
}

async fn end_outage(fleet: &mut Fleet, balancer: &LoadBalancer, outage: Outage) -> io::Result<()> {
    match outage {
        Outage::NodeDead(index) => {
            fleet.start_node(index).await?;
            fleet.publish_hosts();
            wait_ready(fleet, index).await;
            balancer.set(fleet);
        }
        Outage::NodeCut(index) => {
            if let Some(member) = &fleet.nodes[index] {
                member.platform_partition.set(false);
            }
        }
        Outage::Roads => fleet.links.heal(),
        Outage::Log => fleet.platform.log.inject(log::Faults::default()),
        Outage::Service => fleet.service.inject(service::Faults::default()),
    }
    Ok(())
}

/// Waits up to `READY_TIMEOUT` until a restarted node is ready, as the platform's load balancer
/// does.
async fn wait_ready(fleet: &Fleet, index: usize) {
    const READY_TIMEOUT: Duration = Duration::from_secs(3);
    let ready = async {
        while !fleet.nodes[index].as_ref().is_some_and(Member::ready) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    // After a timeout, the node refuses requests with `not_run`, which is no failure of the run.
    let _ = tokio::time::timeout(READY_TIMEOUT, ready).await;
}

fn inject_engine_fault(fleet: &Fleet, tally: &Tally, rng: &mut SmallRng) {
    let engine = &fleet.engines[rng.random_range(0..fleet.engines.len())];
    let duration = Duration::from_millis(rng.random_range(200..2_500));
    let (kind, fault) = match rng.random_range(0..8) {
        0 => ("engine_died", engine::Fault::Crash(duration)),
        1 => ("engine_connections_cut", engine::Fault::DropConnections),
        2 => ("engine_connections_silent", engine::Fault::HangStreams),
        3 => ("engine_end_marker_cut", engine::Fault::OmitEndMarker),
        4 => ("engine_stalled", engine::Fault::Stall(duration)),
        5 => (
            "engine_arrivals_late",
            engine::Fault::DelayRequests(duration),
        ),
        6 => ("engine_cache_events_lost", engine::Fault::LoseCacheEvents),
        _ => (
            "engine_free_answers_lost",
            engine::Fault::LoseFreeResponses(duration),
        ),
    };
    tally.record_fault(kind, &engine.name);
    engine.engine.inject(&engine.server, fault);
}
