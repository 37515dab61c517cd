//! Cuts a stream of server-sent events into whole events.

/// Longest event that is kept while it is incomplete, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Holds back the torn end of a stream and remembers the identifier of the last whole event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl Splitter {
    /// A splitter for a stream that goes on after the event `last_id`.
    #[must_use]
    pub fn resume_after(last_id: Option<&str>) -> Self {
        Self {
            last_id: last_id.map(str::to_owned),
            ..Self::default()
        }
    }

    /// Takes bytes and returns the whole events that they complete, as they came.
    ///
    /// Returns `None` when an event grows beyond every bound.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial) else {
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

    /// The identifier of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The number of whole events.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Whether an event is incomplete.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the torn end: the stream goes on elsewhere after the last whole event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the last whole event of `bytes`, which begin with a line, ends.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len())
        .rev()
        .find(|index| ends_event(bytes, *index))
        .map(|index| index + 1)
}

/// Whether the byte at `index` ends an empty line. Empty lines between events pass as they come.
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

/// Whether the event is an empty line alone.
fn is_blank(event: &[u8]) -> bool {
    matches!(event, b"\n" | b"\r\n")
}

fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(str::trim)
}
