//! Reads server-sent events within limits on their size and on the time without a yield.

use std::fmt::Display;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use quick_error::quick_error;

/// Maximum size of an event, in bytes. An event carries the text of one token.
const MAX_EVENT_BYTES: usize = 256 * 1_024;
const BYTE_ORDER_MARK: &[u8] = &[0xEF, 0xBB, 0xBF];

quick_error! {
    /// Why a stream cannot be read on.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// An event is larger than 256 KiB.
        TooLarge {
            display("an event exceeds {} bytes", MAX_EVENT_BYTES)
        }
        /// The body ended early, with the reason.
        Broken(reason: String) {
            display("{}", reason)
        }
    }
}

/// An event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Type of the event; empty if it has none.
    pub name: String,
    /// Lines of data, joined by line feeds.
    pub data: Option<String>,
    /// Identifier of the event, if it has one that is not empty.
    pub id: Option<String>,
}

/// Reads the events of a body. Each byte is looked at once, and a stream whose events are all there
/// lets other tasks run between them.
pub struct Reader<B> {
    body: B,
    /// Bytes that were read; those before `start` are done.
    buffer: Vec<u8>,
    start: usize,
    /// Number of bytes from `start` that hold no end of a line.
    searched: usize,
    /// Whether the last line ended with a carriage return, so that a line feed belongs to it.
    skips_feed: bool,
    is_first_line: bool,
    has_ended: bool,
    /// The event that is being read, if it has a field.
    event: Option<Event>,
    /// Size of the lines of this event, in bytes.
    event_bytes: usize,
}

impl<B> Reader<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    /// Creates a reader at the beginning of `body`.
    pub const fn new(body: B) -> Self {
        Self {
            body,
            buffer: Vec::new(),
            start: 0,
            searched: 0,
            skips_feed: false,
            is_first_line: true,
            has_ended: false,
            event: None,
            event_bytes: 0,
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        tokio::task::consume_budget().await;
        loop {
            while let Some(end) = self.find_line() {
                let line = self.take_line(end);
                if let Some(event) = self.add_line(&line)? {
                    return Ok(Some(event));
                }
            }
            if self.has_ended {
                return Ok(self.event.take());
            }
            self.buffer.drain(..self.start);
            self.start = 0;
            if self.event_bytes + self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Error::TooLarge);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.buffer.extend_from_slice(bytes);
                    }
                }
                Some(Err(error)) => return Err(Error::Broken(error.to_string())),
                None => {
                    // The last line and the last event need no end.
                    self.has_ended = true;
                    if !self.buffer.is_empty() {
                        self.buffer.push(b'\n');
                    }
                }
            }
        }
    }

    /// Returns the length of the next line if it is complete.
    fn find_line(&mut self) -> Option<usize> {
        if self.skips_feed && self.start < self.buffer.len() {
            self.skips_feed = false;
            self.start += usize::from(self.buffer[self.start] == b'\n');
        }
        let rest = &self.buffer[self.start..];
        let unread = &rest[self.searched..];
        let end = unread
            .iter()
            .position(|byte| matches!(byte, b'\n' | b'\r'))
            .map(|end| self.searched + end);
        self.searched = if end.is_some() { 0 } else { rest.len() };
        end
    }

    /// Takes the next line, which is `length` bytes long, with its end.
    fn take_line(&mut self, length: usize) -> Vec<u8> {
        let end = self.start + length;
        let mut line = &self.buffer[self.start..end];
        if std::mem::take(&mut self.is_first_line) {
            line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        }
        self.skips_feed = self.buffer[end] == b'\r';
        self.start = end + 1;
        line.to_vec()
    }

    /// Adds a line to the event that is being read; returns the event if the line ends it.
    fn add_line(&mut self, line: &[u8]) -> Result<Option<Event>, Error> {
        if line.is_empty() {
            self.event_bytes = 0;
            return Ok(self.event.take());
        }
        if line.starts_with(b":") {
            return Ok(None);
        }
        self.event_bytes += line.len() + 1;
        if self.event_bytes > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        let line = String::from_utf8_lossy(line);
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                let data = &mut self.event.get_or_insert_default().data;
                match data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => *data = Some(value.to_owned()),
                }
            }
            "event" => value.clone_into(&mut self.event.get_or_insert_default().name),
            "id" if !value.contains('\0') => {
                let id = (!value.is_empty()).then(|| value.to_owned());
                self.event.get_or_insert_default().id = id;
            }
            _ => {}
        }
        Ok(None)
    }
}
