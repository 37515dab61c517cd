//! Splits a byte stream of server-sent events into complete events.

use quick_error::quick_error;

/// Maximum size of an incomplete event in the buffer.
const MAX_EVENT_BYTES: usize = 1 << 20;

quick_error! {
    /// Why a stream cannot go on.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Defect {
        /// The incomplete event exceeds 1 MiB.
        Oversized {
            display("an event exceeds the size limit")
        }
        /// The first event after a resumption does not follow the last one before it.
        Misplaced {
            display("the resumed stream does not go on after the last event")
        }
    }
}

/// Buffers the incomplete event at the end of a stream and records the ID of the last complete
/// event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    events: u64,
    /// Whether the next event is the first one of another endpoint.
    is_resumed: bool,
}

impl Splitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`, or starts from the
    /// beginning if it is `None`.
    #[must_use]
    pub fn resume_after(last_id: Option<&str>) -> Self {
        Self {
            last_id: last_id.map(str::to_owned),
            ..Self::default()
        }
    }

    /// Appends `bytes` and returns all events that are now complete, unchanged.
    ///
    /// # Errors
    ///
    /// [`Defect::Oversized`] if `bytes` complete no event and the incomplete event exceeds 1 MiB, and
    /// [`Defect::Misplaced`] if the first event of a resumed stream has no ID or not a higher one than
    /// the last event before it.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Defect> {
        // No event ends in the bytes that are already there.
        let searched = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial, searched) else {
            return if self.partial.len() <= MAX_EVENT_BYTES {
                Ok(Vec::new())
            } else {
                Err(Defect::Oversized)
            };
        };
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        for event in whole.split_inclusive_events() {
            if self.is_resumed && !is_comment(event) {
                self.check_follows(event)?;
                self.is_resumed = false;
            }
            self.events += u64::from(!is_blank(event));
            if let Some(id) = event_id(event) {
                self.last_id = Some(id.to_owned());
            }
        }
        Ok(whole)
    }

    fn check_follows(&self, event: &[u8]) -> Result<(), Defect> {
        let Some(last) = &self.last_id else {
            return Ok(());
        };
        let next = event_id(event).ok_or(Defect::Misplaced)?;
        let follows = match (last.parse::<u64>(), next.parse::<u64>()) {
            (Ok(last), Ok(next)) => next > last,
            _ => next != last,
        };
        if follows {
            Ok(())
        } else {
            Err(Defect::Misplaced)
        }
    }

    /// Returns the ID of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of complete events so far.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the memory of the incomplete event, in bytes.
    #[must_use]
    pub const fn buffered(&self) -> usize {
        self.partial.capacity()
    }

    /// Discards the incomplete event, because the stream resumes at another endpoint after the last
    /// complete event.
    pub fn resume(&mut self) {
        self.partial = Vec::new();
        self.is_resumed = true;
    }
}

/// Returns the end of the last complete event in `bytes` that ends at `from` or later. The bytes
/// start at the beginning of a line.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .rev()
        .find(|index| ends_event(bytes, *index))
        .map(|index| index + 1)
}

/// Returns whether the byte at `index` ends an empty line.
///
/// An additional empty line between two events is passed on unchanged and not counted as an event.
fn ends_event(bytes: &[u8], index: usize) -> bool {
    let before = &bytes[..index];
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    bytes[index] == b'\n' && line.last().is_none_or(|byte| *byte == b'\n')
}

trait Events {
    fn split_inclusive_events(&self) -> Vec<&[u8]>;
}

impl Events for Vec<u8> {
    fn split_inclusive_events(&self) -> Vec<&[u8]> {
        let mut events = Vec::new();
        let mut start = 0;
        for index in 0..self.len() {
            if ends_event(self, index) {
                events.push(&self[start..=index]);
                start = index + 1;
            }
        }
        events
    }
}

/// Returns whether the event is only an empty line.
fn is_blank(event: &[u8]) -> bool {
    matches!(event, b"\n" | b"\r\n")
}

/// Returns whether the event has only comments and empty lines.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, b"" | b"\r") || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(str::trim)
}
