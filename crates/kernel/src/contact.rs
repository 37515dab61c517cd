//! The other hosts that exchange placements with this one, and when each was last heard.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::clock::Instant;
use crate::name::{Domain, Host};

/// Silence after which the placements of a host are dropped. By then, three snapshots in a row are
/// missing.
const TIMEOUT: Duration = Duration::from_millis(1_800);
/// Silence after which a host gets only every [`PROBE_EVERY`]th snapshot, so that hosts find each
/// other again after a partition of any length.
const EXPIRY: Duration = Duration::from_secs(30);
/// Number of snapshots of which one is sent to a host that has been silent for long.
const PROBE_EVERY: u32 = 10;

#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    /// Failure domain, as announced; `None` before the announcement was read.
    domain: Option<Domain>,
    /// Incarnation of the host; `None` before its first datagram and after a timeout.
    holder: Option<u64>,
    last_seen: Instant,
}

/// What a datagram of a host says about its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The incarnation is the same as before.
    Known,
    /// The host was not heard before, or not for some time.
    New,
    /// The host has restarted; the placements of the given incarnation have ended.
    Restarted(u64),
}

/// The other hosts.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    hosts: BTreeMap<Host, Contact>,
}

impl Contacts {
    /// Adds an announced host, or replaces a known one whose address has changed; returns whether
    /// it did.
    pub fn announce(
        &mut self,
        host: &Host,
        address: SocketAddr,
        domain: &Domain,
        now: Instant,
    ) -> bool {
        let known = self.hosts.get_mut(host);
        if let Some(contact) = known.filter(|contact| contact.address == address) {
            contact.domain = Some(domain.clone());
            return false;
        }
        let contact = Contact {
            address,
            domain: Some(domain.clone()),
            holder: None,
            last_seen: now,
        };
        self.hosts.insert(host.clone(), contact);
        true
    }

    /// Records a datagram of the incarnation `holder` of a host.
    pub fn hear(&mut self, host: &Host, holder: u64, address: SocketAddr, now: Instant) -> Heard {
        let domain = self
            .hosts
            .get(host)
            .and_then(|contact| contact.domain.clone());
        let contact = Contact {
            address,
            domain,
            holder: Some(holder),
            last_seen: now,
        };
        let previous = self.hosts.insert(host.clone(), contact);
        match previous.and_then(|contact| contact.holder) {
            Some(previous) if previous == holder => Heard::Known,
            Some(previous) => Heard::Restarted(previous),
            None => Heard::New,
        }
    }

    /// Returns the hosts that have become silent, with their incarnations. Each is returned once.
    pub fn take_silent(&mut self, now: Instant) -> Vec<(Host, u64)> {
        let silent = self
            .hosts
            .iter_mut()
            .filter(|(_, contact)| now.since(contact.last_seen) > TIMEOUT);
        silent
            .filter_map(|(host, contact)| Some((host.clone(), contact.holder.take()?)))
            .collect()
    }

    /// Returns the hosts of `domain` that were heard recently, with their addresses.
    pub fn live_in(
        &self,
        domain: &Domain,
        now: Instant,
    ) -> impl Iterator<Item = (&Host, SocketAddr)> {
        let live = self.hosts.iter().filter(move |(_, contact)| {
            contact.holder.is_some()
                && contact.domain.as_ref() == Some(domain)
                && now.since(contact.last_seen) <= TIMEOUT
        });
        live.map(|(host, contact)| (host, contact.address))
    }

    /// Returns the failure domain of a host, if its announcement was read.
    #[must_use]
    pub fn domain(&self, host: &Host) -> Option<&Domain> {
        self.hosts.get(host)?.domain.as_ref()
    }

    /// Returns the hosts that were heard recently, with their incarnations and failure domains.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&Host, u64, Option<&Domain>)> {
        let hosts = self.hosts.iter();
        let recent = hosts.filter(move |(_, contact)| now.since(contact.last_seen) <= TIMEOUT);
        recent.filter_map(|(host, contact)| Some((host, contact.holder?, contact.domain.as_ref())))
    }

    /// Whether an announced host has this IP address.
    #[must_use]
    pub fn has_address(&self, address: IpAddr) -> bool {
        let mut announced = self.hosts.values().filter(|host| host.domain.is_some());
        announced.any(|host| host.address.ip().to_canonical() == address.to_canonical())
    }

    /// Returns the address of a host.
    #[must_use]
    pub fn address(&self, host: &Host) -> Option<SocketAddr> {
        self.hosts.get(host).map(|contact| contact.address)
    }

    /// Returns the addresses to which an update is sent.
    pub fn update_targets(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let contacts = self.hosts.values();
        contacts
            .filter(move |contact| now.since(contact.last_seen) < EXPIRY)
            .map(|contact| contact.address)
    }

    /// Returns the addresses to which the snapshot with this number is sent.
    #[must_use]
    pub fn snapshot_targets(&self, number: u32, now: Instant) -> Vec<SocketAddr> {
        if number.is_multiple_of(PROBE_EVERY) {
            return self.hosts.values().map(|contact| contact.address).collect();
        }
        self.update_targets(now).collect()
    }
}
