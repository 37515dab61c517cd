//! Heartbeats: dead nodes are detected in time, and live nodes are not marked dead.

use std::time::Duration;

use filbertstage_kernel::membership::{Entry, INTERVAL, Liveness, Table, Update};
use filbertstage_kernel::prelude::*;
use filbertstage_kernel::request::Incarnation;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn entry(number: usize, incarnation: u64) -> Entry {
    Entry {
        host: Host::from(format!("h{number:03}")),
        domain: Domain::from(format!("d{}", number % 3)),
        address: String::new(),
        incarnation: Incarnation(incarnation),
        counter: 0,
        leaving: false,
    }
}

/// An update with `entries` and no counters.
fn update_with(entries: &[Entry]) -> Update {
    Update {
        entries: entries.to_vec(),
        beats: Vec::new(),
    }
}

/// Nodes that exchange heartbeats, some of which are lost.
struct Network {
    nodes: Vec<Table>,
    paused_until: Vec<Instant>,
    loss: f64,
    random: SmallRng,
    now: Instant,
}

impl Network {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut nodes: Vec<_> = (0..count)
            .map(|number| Table::new(entry(number, number as u64 + 1)))
            .collect();
        let all: Vec<_> = (0..count)
            .map(|number| entry(number, number as u64 + 1))
            .collect();
        for node in &mut nodes {
            node.apply(Instant::from_millis(1), &update_with(&all));
        }
        Self {
            nodes,
            paused_until: vec![Instant::default(); count],
            loss,
            random: SmallRng::seed_from_u64(seed),
            now: Instant::from_millis(1),
        }
    }

    fn step(&mut self) {
        self.now = self.now + INTERVAL;
        for index in 0..self.nodes.len() {
            if self.paused_until[index] > self.now {
                continue;
            }
            let (update, targets) = self.nodes[index].next_update(self.now, &mut self.random);
            for target in targets {
                let receiver = target.host.as_str()[1..]
                    .parse::<usize>()
                    .expect("a number");
                if !self.random.random_bool(self.loss) && self.paused_until[receiver] <= self.now {
                    self.nodes[receiver].apply(self.now, &update);
                }
            }
        }
    }

    fn live_at(&self, index: usize) -> usize {
        self.nodes[index].live(self.now).len()
    }
}

#[rstest]
#[case::small(5)]
#[case::large(39)]
fn no_live_node_is_marked_dead_in_ten_minutes_of_loss(#[case] count: usize) {
    let mut network = Network::new(count, 0.2, 7);
    let steps = Duration::from_mins(10).as_millis() / INTERVAL.as_millis();
    let mut false_deaths = 0;
    for _ in 0..steps {
        network.step();
        false_deaths += (0..count)
            .filter(|index| network.live_at(*index) != count)
            .count();
    }
    assert_eq!(false_deaths, 0);
}

#[test]
fn a_node_paused_for_nearly_two_seconds_stays_live() {
    let mut network = Network::new(5, 0.0, 7);
    for round in 0..20 {
        network.paused_until[round % 5] = network.now + Duration::from_millis(1_900);
        for _ in 0..20 {
            network.step();
            for index in (0..5).filter(|index| *index != round % 5) {
                assert_eq!(network.live_at(index), 5);
            }
        }
    }
}

#[rstest]
fn a_dead_node_is_detected_by_all_within_three_seconds(#[values(5, 39)] count: usize) {
    let mut network = Network::new(count, 0.05, 3);
    for _ in 0..40 {
        network.step();
    }
    let died = network.now;
    network.paused_until[1] = died + Duration::from_secs(1_000);
    while network.now.since(died) < Duration::from_secs(3) {
        network.step();
    }
    for index in (0..count).filter(|index| *index != 1) {
        assert_eq!(network.live_at(index), count - 1, "seen from node {index}");
    }
}

#[test]
fn a_restarted_node_replaces_its_former_incarnation_permanently() {
    let now = Instant::from_millis(1_000);
    let mut table = Table::new(entry(0, 1));
    let mut old = entry(1, 10);
    old.counter = 500;
    table.apply(now, &update_with(&[old.clone()]));
    table.apply(now, &update_with(&[entry(1, 11)]));
    old.counter = 501;
    table.apply(now, &update_with(&[old]));
    let seen: Vec<_> = table
        .live(now)
        .iter()
        .map(|entry| entry.incarnation.0)
        .collect();
    assert_eq!(
        seen,
        [1, 11],
        "a late heartbeat of the old incarnation changes nothing"
    );
    let later = now + Duration::from_secs(7);
    assert_eq!(
        table.liveness(later, Incarnation(10)),
        Liveness::Dead(Duration::from_secs(7))
    );
    assert_eq!(table.liveness(later, Incarnation(1)), Liveness::Live);
}

#[test]
fn an_incarnation_without_an_entry_is_unknown_from_the_first_query() {
    let now = Instant::from_millis(1_000);
    let mut table = Table::new(entry(0, 1));
    assert_eq!(
        table.liveness(now, Incarnation(9)),
        Liveness::Unknown(Duration::ZERO)
    );
    let later = now + Duration::from_secs(4);
    assert_eq!(
        table.liveness(later, Incarnation(9)),
        Liveness::Unknown(Duration::from_secs(4))
    );
    table.apply(later, &update_with(&[entry(2, 9)]));
    assert_eq!(table.liveness(later, Incarnation(9)), Liveness::Live);
}

#[test]
fn all_nodes_of_a_domain_agree_on_the_owner_of_a_key() {
    let mut network = Network::new(9, 0.0, 1);
    for _ in 0..8 {
        network.step();
    }
    for key in ["pool/a", "pool/b", "sweep/e1"] {
        let owners: Vec<_> = [0, 3, 6]
            .iter()
            .map(|index| network.nodes[*index].owner(network.now, key).host.clone())
            .collect();
        assert!(
            owners.windows(2).all(|pair| pair[0] == pair[1]),
            "{key}: {owners:?}"
        );
    }
}
