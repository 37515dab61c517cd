//! The failure domains that the operator has evacuated, to whose endpoints nothing new is sent.
//!
//! The store holds the truth. A host keeps the newest view of it, by era and position, whether it
//! read that itself or was told by another host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::name::Domain;

/// Time for which a view without evacuated domains is still repeated to the other hosts after its
/// last change. Longer than the time for which an unstable store may refuse a host.
const REPEATED: Duration = Duration::from_secs(10);

/// The evacuated domains at one position of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Era of the store, if it is known.
    pub era: Option<u64>,
    /// Position in the store up to which the records are known.
    pub position: u64,
    /// The evacuated domains.
    pub domains: BTreeSet<Domain>,
}

/// A change of one domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The domain is evacuated.
    Evacuated(Domain),
    /// The evacuation of the domain has ended.
    TakenBack(Domain),
}

/// How a read of changes relates to the current view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The domains that changed, if any.
    Changed(Vec<Change>),
    /// The changes belong to another era than the view. The newest records must be read.
    Unrelated,
}

/// The current view, and when each of its domains was evacuated or taken back.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    current: Option<Current>,
    /// Whether this host has read all records itself.
    read: bool,
    /// Evacuated domains, and when this host learnt of it.
    evacuated: BTreeMap<Domain, Instant>,
    /// Domains that were evacuated earlier, and when this host learnt of the end.
    taken_back: BTreeMap<Domain, Instant>,
    /// Time until which the view is repeated to the other hosts, if no domain is evacuated.
    repeated_until: Option<Instant>,
}

/// Era and position of the current view.
#[derive(Clone, Copy, Debug)]
struct Current {
    era: Option<u64>,
    position: u64,
    learnt_at: Instant,
}

impl Evacuations {
    /// Applies a read of all records that was sent at `sent_at`, and returns the domains that
    /// changed.
    ///
    /// The read replaces an older view of its era. It replaces a view of another era if its own era
    /// is later, or if the read was sent after that view was learnt: eras are known from the
    /// store's responses, of which one may be wrong. The same holds for stores without eras, whose
    /// positions may start again.
    pub fn replace(&mut self, view: View, sent_at: Instant, now: Instant) -> Vec<Change> {
        self.read = true;
        if let Some(current) = self.current {
            let era = view.era.or(current.era);
            let newer = (era, view.position) >= (current.era, current.position);
            let comparable = era == current.era && era.is_some();
            let overrides = !comparable && sent_at >= current.learnt_at;
            if !newer && !overrides {
                return Vec::new();
            }
            return self.set(View { era, ..view }, now);
        }
        self.set(view, now)
    }

    /// Applies changes that were read from the store up to `position`.
    ///
    /// Changes that end before the view's position are part of it already. Of changes that end after
    /// it, the last one of each domain decides, so that earlier ones need not be left out.
    pub fn apply(
        &mut self,
        era: Option<u64>,
        position: u64,
        changes: impl IntoIterator<Item = Change>,
        now: Instant,
    ) -> Applied {
        let Some(current) = self.current else {
            return Applied::Unrelated;
        };
        let era = era.or(current.era);
        if era != current.era {
            return Applied::Unrelated;
        }
        if position < current.position {
            return Applied::Changed(Vec::new());
        }
        let mut domains: BTreeSet<_> = self.evacuated.keys().cloned().collect();
        for change in changes {
            match change {
                Change::Evacuated(domain) => domains.insert(domain),
                Change::TakenBack(domain) => domains.remove(&domain),
            };
        }
        let view = View {
            era,
            position,
            domains,
        };
        Applied::Changed(self.set(view, now))
    }

    /// Applies the view of another host if it is newer, and returns the domains that changed.
    ///
    /// If it is older and has other domains, the current view is repeated for the sender.
    pub fn merge(&mut self, view: View, now: Instant) -> Vec<Change> {
        if let Some(current) = self.current {
            let known = (current.era, current.position);
            let told = (view.era, view.position);
            if told <= known {
                if told < known && !view.domains.iter().eq(self.evacuated.keys()) {
                    self.repeated_until = Some(now + REPEATED);
                }
                return Vec::new();
            }
        }
        self.set(view, now)
    }

    fn set(&mut self, view: View, now: Instant) -> Vec<Change> {
        self.current = Some(Current {
            era: view.era,
            position: view.position,
            learnt_at: now,
        });
        let mut changes = Vec::new();
        for (domain, _) in self
            .evacuated
            .extract_if(.., |domain, _| !view.domains.contains(domain))
        {
            self.taken_back.insert(domain.clone(), now);
            changes.push(Change::TakenBack(domain));
        }
        for domain in view.domains {
            if !self.evacuated.contains_key(&domain) {
                self.taken_back.remove(&domain);
                self.evacuated.insert(domain.clone(), now);
                changes.push(Change::Evacuated(domain));
            }
        }
        if !changes.is_empty() {
            self.repeated_until = Some(now + REPEATED);
        }
        changes
    }

    /// Whether this host has read all records itself.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        self.read
    }

    /// Whether nothing new may be sent to the endpoints of `domain`.
    #[must_use]
    pub fn contains(&self, domain: &Domain) -> bool {
        self.evacuated.contains_key(domain)
    }

    /// Returns the evacuated domains, and when this host learnt of each evacuation.
    pub fn evacuated(&self) -> impl Iterator<Item = (&Domain, Instant)> {
        self.evacuated
            .iter()
            .map(|(domain, since)| (domain, *since))
    }

    /// Returns the domains that were evacuated earlier, and when this host learnt of the end.
    pub fn taken_back(&self) -> impl Iterator<Item = (&Domain, Instant)> {
        self.taken_back
            .iter()
            .map(|(domain, since)| (domain, *since))
    }

    /// Returns the current view, or `None` before the first one.
    #[must_use]
    pub fn view(&self) -> Option<View> {
        let current = self.current?;
        Some(View {
            era: current.era,
            position: current.position,
            domains: self.evacuated.keys().cloned().collect(),
        })
    }

    /// Returns the view if it is to be sent to the other hosts with each snapshot: while a domain is
    /// evacuated, for some time after that, and after a host has sent an older view.
    #[must_use]
    pub fn repeated(&self, now: Instant) -> Option<View> {
        let recent = self.repeated_until.is_some_and(|until| until > now);
        let due = recent || !self.evacuated.is_empty();
        self.view().filter(|_| due)
    }
}
