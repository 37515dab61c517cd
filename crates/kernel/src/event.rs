//! Splits a byte stream of server-sent events into complete events.

/// Maximum size of an incomplete event in the buffer.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the incomplete event at the end of a stream and records the ID of the last complete
/// event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    events: u64,
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
    /// Returns `None` if `bytes` complete no event and the incomplete event exceeds 1 MiB.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        // No event ends in the bytes that are already there.
        let searched = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial, searched) else {
            return (self.partial.len() <= MAX_EVENT_BYTES).then(Vec::new);
        };
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        for event in whole.split_inclusive_events() {
            self.events += u64::from(!is_blank(event));
            if let Some(id) = event_id(event) {
                self.last_id = Some(id.to_owned());
            }
        }
        Some(whole)
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

    /// Discards the incomplete event, because the stream resumes at another endpoint after the last
    /// complete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
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

fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(str::trim)
}
