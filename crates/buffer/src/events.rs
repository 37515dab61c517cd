//! Reads the events of a stream within the memory of the host.

use bytes::Bytes;
use kernel::event::{Defect, Splitter};
use quick_error::quick_error;

use crate::{Buffers, Hold};

/// Size up to which events are returned without a hold on the memory, in bytes.
pub const FREE_BYTES: usize = 4 * 1_024;

quick_error! {
    /// Why a stream cannot go on.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// An event is invalid.
        Invalid(defect: Defect) {
            display("{}", defect)
            from()
        }
        /// There is no room for an event.
        Full {
            display("there is no room in memory for an event")
        }
    }
}

/// Splits a stream into whole events. The incomplete one has a hold on the memory for bodies, and so
/// have large events until the client has them.
pub struct Reader {
    splitter: Splitter,
    buffers: Buffers,
    partial: Hold,
    /// Number of bytes of `partial`.
    held: usize,
}

impl Reader {
    /// Creates a reader of a stream that resumes after the event `last_id`, or starts from the
    /// beginning if it is `None`.
    #[must_use]
    pub fn resume_after(last_id: Option<&str>, buffers: &Buffers) -> Self {
        Self {
            splitter: Splitter::resume_after(last_id),
            partial: buffers.open(),
            buffers: buffers.clone(),
            held: 0,
        }
    }

    /// Appends `bytes` and returns all events that are now complete, unchanged.
    ///
    /// # Errors
    ///
    /// See [`Splitter::feed`], and [`Error::Full`] if there is no room for an event. No event counts as read
    /// then that was not returned.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        // The position moves past the events as they are split off, so there must be room for them before.
        self.require(self.splitter.buffered() + bytes.len())?;
        let events = self.splitter.feed(bytes)?;
        if events.is_empty() {
            // The incomplete event may have more memory than bytes.
            self.require(self.splitter.buffered())?;
            return Ok(Bytes::new());
        }
        let mut hold = std::mem::replace(&mut self.partial, self.buffers.open());
        let covered = std::mem::take(&mut self.held);
        // What is left is a part of `bytes`. If there is no room for it, the next call asks for it again.
        let _ = self.require(self.splitter.buffered());
        if events.len() <= FREE_BYTES {
            return Ok(events.into());
        }
        hold.give_back(covered - events.len());
        Ok(hold.attach(events))
    }

    /// Lets the hold of the incomplete event follow its size.
    fn require(&mut self, size: usize) -> Result<(), Error> {
        let needed = if size > FREE_BYTES { size } else { 0 };
        if needed > self.held && !self.partial.try_take(needed - self.held) {
            return Err(Error::Full);
        }
        if needed < self.held {
            self.partial.give_back(self.held - needed);
        }
        self.held = needed;
        Ok(())
    }

    /// Returns the ID of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Returns the number of complete events so far.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.splitter.events()
    }

    /// Returns whether there is an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        self.splitter.has_partial()
    }

    /// Discards the incomplete event, because the stream resumes at another endpoint after the last
    /// complete event.
    pub fn resume(&mut self) {
        self.splitter.resume();
        // Cannot fail: nothing is buffered now.
        let _ = self.require(self.splitter.buffered());
    }
}
