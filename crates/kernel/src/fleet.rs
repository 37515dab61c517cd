//! Divides a limit among the hosts that run, so that their shares never exceed it together.
//!
//! Hosts announce themselves in the store and renew their announcements. Each host counts the
//! announced hosts and may use one of that many equal shares. The shares add up to the limit at
//! most, also while hosts are cut off from each other, restart, are replaced or count differently:
//!
//! - A host that has not read the announcements for [`MAX_READ_AGE`], or has not renewed its own
//!   for [`LEASE`], has no share.
//! - A new incarnation has no share until all other hosts must have read its announcement or have
//!   lost theirs, and until what they used before has left the window of the limit.
//! - A host is counted until its lease has ended and its uses have left the window.
//!
//! When the whole fleet starts for the first time, there are no earlier uses. Each host that has
//! announced itself may make [`STARTING_USES`] at once, which the later shares leave room for, and
//! has its share as soon as it must have read the announcements of all hosts that started with it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::name::Host;

/// Time between two reads of the announcements.
pub const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Age of the last read at which a host loses its share: two reads have failed.
pub const MAX_READ_AGE: Duration = Duration::from_secs(22);
/// Time between two renewals of a host's own announcement.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// Time after its last renewal at which a host loses its share: two renewals have failed.
pub const LEASE: Duration = Duration::from_secs(75);

/// Uses of the limit by a host of a fleet that starts for the first time. Each share is smaller by
/// this number.
pub const STARTING_USES: f64 = 2.0;
/// Time after the start of a host in which it may make its [`STARTING_USES`]. A host that announces
/// itself later joins like one of a later start.
const STARTING_PERIOD: Duration = Duration::from_secs(10);
/// Time after a host's announcement at which all hosts that started with it, and may make their
/// [`STARTING_USES`], have announced themselves. Hosts of a fleet start within a second.
const STARTED_TOGETHER: Duration = Duration::from_secs(11);

/// How a host starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// With the whole fleet, for the first time.
    First,
    /// Alone or with others, in a fleet that has run before.
    Later,
}

/// A host's announcement in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the host.
    pub host: Host,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Number of renewals by this incarnation.
    pub renewal: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Member {
    incarnation: u64,
    renewal: u64,
    /// Time at which this renewal was first read, or of the last datagram if that is later.
    seen_at: Instant,
}

/// The hosts that share a limit, as one host counts them.
#[derive(Clone, Debug)]
pub struct Fleet {
    own: Host,
    incarnation: u64,
    /// Number of announcements of this incarnation.
    renewal: u64,
    /// Length of the window in which the limit applies.
    window: Duration,
    /// End of the time in which the starting uses may be made, in a fleet's first start.
    starting_until: Option<Instant>,
    /// The other hosts, including those whose lease has ended: the store still lists these.
    members: BTreeMap<Host, Member>,
    read_at: Option<Instant>,
    /// Time of the first announcement under the current lease.
    announced_at: Option<Instant>,
    renewed_at: Option<Instant>,
    /// Whether this host announced itself in time for a fleet's first start.
    started_together: bool,
    /// Whether the store has lost announcements, so that there may be hosts that nobody counts.
    store_restored: bool,
}

impl Fleet {
    /// Creates the count of the host `own`, which starts now and has not announced itself yet.
    #[must_use]
    pub fn new(own: Host, incarnation: u64, window: Duration, start: Start, now: Instant) -> Self {
        let first = start == Start::First;
        Self {
            own,
            incarnation,
            renewal: 0,
            window,
            starting_until: first.then(|| now + STARTING_PERIOD),
            members: BTreeMap::new(),
            read_at: None,
            announced_at: None,
            renewed_at: None,
            started_together: false,
            store_restored: false,
        }
    }

    /// Returns the announcement to write next.
    pub fn next_announcement(&mut self) -> Announcement {
        self.renewal += 1;
        Announcement {
            host: self.own.clone(),
            incarnation: self.incarnation,
            renewal: self.renewal,
        }
    }

    /// Records that the store acknowledged the last announcement, which was sent at `sent_at`.
    ///
    /// A host whose lease had ended joins like a new one, because others may no longer count it.
    pub fn record_renewed(&mut self, sent_at: Instant, now: Instant) {
        if !self.holds_lease(now) {
            self.announced_at = Some(now);
            self.started_together = self.starting_until.is_some_and(|until| now < until);
        }
        self.renewed_at = Some(sent_at);
    }

    /// Whether this host has renewed its announcement in time, so that the others count it.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.renewed_at.is_some_and(|at| now.since(at) < LEASE)
    }

    /// Whether this host's announcement must be written or renewed.
    #[must_use]
    pub fn renewal_due(&self, now: Instant) -> bool {
        let renewed_at = self.renewed_at;
        renewed_at.is_none_or(|at| now.since(at) >= RENEWAL_INTERVAL)
    }

    /// Records the announcements in the store, from a read that was sent at `sent_at`.
    ///
    /// Returns whether this host's last announcement is among them.
    pub fn record_read(
        &mut self,
        announcements: &[Announcement],
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let mut listed = false;
        for announcement in announcements {
            if announcement.host == self.own {
                listed |= announcement.incarnation == self.incarnation
                    && announcement.renewal == self.renewal;
            } else {
                self.record_announcement(announcement, now);
            }
        }
        self.read_at = Some(sent_at);
        listed
    }

    fn record_announcement(&mut self, announcement: &Announcement, now: Instant) {
        let known = self.members.get(&announcement.host);
        let unchanged = known.is_some_and(|member| {
            member.incarnation == announcement.incarnation && member.renewal == announcement.renewal
        });
        if unchanged {
            return;
        }
        let member = Member {
            incarnation: announcement.incarnation,
            renewal: announcement.renewal,
            seen_at: now,
        };
        self.members.insert(announcement.host.clone(), member);
    }

    /// Records a datagram of another host.
    pub fn record_heard(&mut self, host: &Host, incarnation: u64, now: Instant) {
        if *host == self.own {
            return;
        }
        match self.members.get_mut(host) {
            Some(member) if member.incarnation == incarnation => member.seen_at = now,
            _ => {
                let member = Member {
                    incarnation,
                    renewal: 0,
                    seen_at: now,
                };
                self.members.insert(host.clone(), member);
            }
        }
    }

    /// Records that the store has returned from an older copy. Hosts whose announcements it lost
    /// may be unknown to all others until they announce themselves again.
    pub const fn record_restored(&mut self) {
        self.store_restored = true;
    }

    /// Returns the other hosts that may have a share, or may have used one within the window.
    fn counted(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let longest = LEASE + self.window;
        let members = self.members.values();
        members.filter(move |member| now.since(member.seen_at) < longest)
    }

    /// Returns the number of hosts that are announced or were heard, this one included, or `None`
    /// before the first read of the announcements.
    ///
    /// While the announcements cannot be read, no host is taken as gone: it may run where it is not
    /// heard.
    #[must_use]
    pub fn size(&self, now: Instant) -> Option<u32> {
        let read_at = self.read_at?;
        let others = if now.since(read_at) < MAX_READ_AGE {
            self.counted(now).count()
        } else {
            self.members.len()
        };
        Some(u32::try_from(others + 1).unwrap_or(u32::MAX))
    }

    /// Returns how many uses of a limit this host may make within a window, if all hosts together
    /// may make `limit`.
    #[must_use]
    pub fn allowance(&self, limit: f64, now: Instant) -> f64 {
        if let Some(sharers) = self.sharers(now) {
            return (limit / f64::from(sharers) - STARTING_USES).max(0.0);
        }
        let starting = self.starting_until.is_some_and(|until| now < until);
        if starting && self.announced_at.is_some() {
            STARTING_USES
        } else {
            0.0
        }
    }

    /// Returns the number of hosts that share the limit, or `None` if this host has no share.
    #[must_use]
    pub fn sharers(&self, now: Instant) -> Option<u32> {
        let read_at = self.read_at.filter(|at| now.since(*at) < MAX_READ_AGE)?;
        let announced_at = self.announced_at.filter(|at| *at <= read_at)?;
        let joined = now.since(announced_at) >= MAX_READ_AGE + self.window;
        let knows_all = self.started_together
            && !self.store_restored
            && read_at.since(announced_at) >= STARTED_TOGETHER;
        let count = u32::try_from(self.counted(now).count() + 1).unwrap_or(u32::MAX);
        (self.holds_lease(now) && (joined || knows_all)).then_some(count)
    }
}
