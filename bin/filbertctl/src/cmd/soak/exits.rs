//! Stops nodes in series while callers go on, some at once, some in a hurry, some with new settings.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use tokio::time::{Instant, sleep};

use super::callers::LoadBalancer;
use super::tally::Tally;
use crate::fleet::{Fleet, Member};

/// Time until the load balancer notices that a node is not ready.
const NOTICE: Duration = Duration::from_millis(100);

/// Drains nodes, up to two at once, and starts new ones in their place, for `duration`.
pub async fn run(
    fleet: &mut Fleet,
    balancer: &LoadBalancer,
    tally: &Tally,
    rng: &mut SmallRng,
    duration: Duration,
) -> std::io::Result<()> {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(100..800))).await;
        let count = rng.random_range(1..=2);
        let leaving = sample(rng, fleet.nodes.len(), count).into_vec();
        let mut exits = Vec::new();
        for index in &leaving {
            let drain = Duration::from_millis(rng.random_range(300..2_500));
            let second = rng.random_bool(0.3).then(|| drain.mul_f64(rng.random()));
            let member = fleet.nodes[*index].take();
            exits.extend(member.map(|member| exit(member, balancer, tally, drain, second)));
        }
        join_all(exits).await;
        for index in leaving {
            fleet.settings[index].host.push_str("-new");
            fleet.start_node(index).await?;
        }
        fleet.publish_hosts();
        fleet.wait_ready().await?;
        balancer.set(fleet);
    }
    Ok(())
}

/// Drains a node for up to `drain`, with a second signal after the time `second`.
async fn exit(
    member: Member,
    balancer: &LoadBalancer,
    tally: &Tally,
    drain: Duration,
    second: Option<Duration>,
) {
    let address = member.caller_address();
    tally.trace(format!(
        "{address} drains for {drain:?}, second signal after {second:?}"
    ));
    member.set_drain_time(drain);
    let node = Arc::clone(member.node());
    let deregister = async {
        sleep(NOTICE).await;
        balancer.remove(Some(address));
    };
    let hasten = async {
        if let Some(second) = second {
            sleep(NOTICE + second).await;
            node.hasten();
        }
    };
    let (complete, (), ()) = tokio::join!(member.drain(), deregister, hasten);
    tally.trace(format!("{address} exited, complete: {complete}"));
}
