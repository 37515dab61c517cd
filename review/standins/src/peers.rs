//! Links between hosts, by TCP and UDP, which can be cut.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::proxy::{self, Proxy};
use crate::rng::Rng;

/// A link from one host to another: the address at which the first one reaches the second.
struct Link {
    target: SocketAddr,
    connections: Proxy,
    datagrams: UdpSocket,
}

/// The links between all hosts, by sender and receiver.
pub struct Peers {
    links: HashMap<(usize, usize), Link>,
}

impl Peers {
    /// Opens a link in both directions between any two of the hosts at `addresses`.
    pub fn start(addresses: &[SocketAddr], seed: u64) -> Arc<Self> {
        let mut links = HashMap::new();
        for from in 0..addresses.len() {
            for (to, target) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                links.insert((from, to), Link::open(*target));
            }
        }
        let peers = Arc::new(Self { links });
        for pair in peers.links.keys().copied() {
            let (peers, rng) = (Arc::clone(&peers), Mutex::new(Rng::new(seed * 64 + (pair.0 * 8 + pair.1) as u64)));
            thread::spawn(move || peers.relay_datagrams(pair, &rng));
        }
        peers
    }

    /// Rewrites the addresses of other hosts in a record that the host `reader` reads.
    pub fn rewrite(&self, reader: usize, text: String) -> String {
        let links = self.links.iter().filter(|((from, _), _)| *from == reader);
        links.fold(text, |text, (_, link)| text.replace(&link.target.to_string(), &link.connections.address.to_string()))
    }

    /// Sets the state of the links of a host, in both directions or only from it.
    pub fn set(&self, host: usize, both: bool, state: u8) {
        for ((from, to), link) in &self.links {
            if *from == host || (both && *to == host) {
                link.connections.set(state);
            }
        }
    }

    /// Passes datagrams on as from the address at which the receiver reaches the sender. A link in the
    /// state [`proxy::RESET`] loses and repeats some.
    fn relay_datagrams(&self, (from, to): (usize, usize), rng: &Mutex<Rng>) {
        let (link, back) = (&self.links[&(from, to)], &self.links[&(to, from)]);
        let mut buffer = [0; 65_536];
        while let Ok((length, _)) = link.datagrams.recv_from(&mut buffer) {
            let chance = |share| rng.lock().unwrap().chance(share);
            let copies = match link.connections.state() {
                proxy::OPEN => 1,
                proxy::RESET if chance(0.5) => 0,
                proxy::RESET => 2,
                _ => 0,
            };
            for _ in 0..copies {
                let _ = back.datagrams.send_to(&buffer[..length], link.target);
            }
        }
    }
}

impl Link {
    fn open(target: SocketAddr) -> Self {
        loop {
            let connections = Proxy::start(target, Arc::new(|_| {}));
            if let Ok(datagrams) = UdpSocket::bind(connections.address) {
                return Self { target, connections, datagrams };
            }
            connections.set(proxy::GONE);
        }
    }
}
