//! Read position in one topic of a store that may return from an older copy.
//!
//! The store numbers its eras: each return from an older copy starts the next one. Positions of one
//! era mean nothing in another, because the store assigns the positions of lost records again.

/// How a batch of records must be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Changes since the previous batch.
    Changes,
    /// The newest record of each key.
    Newest,
    /// The newest record of each key of a store that has returned from an older copy since the
    /// previous batch.
    Restored,
    /// Records of another era at a position of an earlier one. They must not be applied, and the
    /// newest record of each key must be read next.
    Discard,
}

/// How a read by another host relates to this position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The records from the given index on are new, and none before them are missing.
    Current(usize),
    /// The read is older than this position and says nothing new.
    Outdated,
    /// Records between this position and the read are missing, or the read is of another era. The
    /// store must be read.
    Gap,
}

/// Position of the next read, and the era to which it belongs.
///
/// At most one read may be in progress at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    next: Option<u64>,
    era: Option<u64>,
}

impl Position {
    /// Returns where the next read starts, or `None` if it must return the newest record of each
    /// key.
    #[must_use]
    pub const fn next(&self) -> Option<u64> {
        self.next
    }

    /// Makes the next read return the newest record of each key. The era stays known, so that a
    /// restore in the meantime is noticed.
    pub const fn reset(&mut self) {
        self.next = None;
    }

    /// Moves past a batch that was read at this position and ends at `next`, and returns how the
    /// batch must be applied.
    ///
    /// Without an `era`, the store is taken to be in the same one as before. A lower era than
    /// before is a change like a higher one: the read was sent after the higher era was seen, so
    /// that one was wrong.
    pub fn advance(&mut self, era: Option<u64>, next: u64) -> Reading {
        let restored = matches!((self.era, era), (Some(known), Some(era)) if known != era);
        let newest = self.next.is_none();
        if restored && !newest {
            self.next = None;
            return Reading::Discard;
        }
        self.next = Some(next);
        self.era = era.or(self.era);
        match (newest, restored) {
            (false, _) => Reading::Changes,
            (true, false) => Reading::Newest,
            (true, true) => Reading::Restored,
        }
    }

    /// Compares this position with a read by another host, which began at `from` and ended at
    /// `next`.
    #[must_use]
    pub fn compare(&self, era: Option<u64>, from: u64, next: u64) -> Report {
        let Some(own) = self.next else {
            return Report::Gap;
        };
        match (self.era, era) {
            (Some(known), Some(era)) if era < known => return Report::Outdated,
            (known, era) if known != era => return Report::Gap,
            _ => {}
        }
        if next < own {
            return Report::Outdated;
        }
        if from > own {
            return Report::Gap;
        }
        Report::Current(usize::try_from(own - from).unwrap_or(usize::MAX))
    }

    /// Moves past the records of a read by another host that ended at `next`.
    pub const fn move_to(&mut self, next: u64) {
        self.next = Some(next);
    }
}
