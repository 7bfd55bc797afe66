//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use derive_more::Error;
use displaydoc::Display;

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Number of bytes of the longest event end.
const EVENT_END_BYTES: usize = 3;

/// Field of an event with its id.
const ID_FIELD: &[u8] = b"id:";

/// too many bytes without the end of an event
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct OversizedEvent;

/// Holds back the start of an event until the event is complete, so that a client receives whole
/// events only.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Bytes after the last complete event; contains no event end.
    partial: BytesMut,
    first_id: Option<u64>,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Adds received bytes and returns all events that are complete now; `None` if there are none.
    ///
    /// # Errors
    /// [`OversizedEvent`] if an event is too large.
    pub fn push(&mut self, chunk: Bytes) -> Result<Option<Bytes>, OversizedEvent> {
        // An event end may begin with the last bytes that are held back.
        let scan_from = self.partial.len().saturating_sub(EVENT_END_BYTES - 1);
        let is_whole = self.partial.is_empty() && ends_event(&chunk);
        let events = if is_whole {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            match last_event_end(&self.partial, scan_from) {
                Some(end) => self.partial.split_to(end).freeze(),
                None => Bytes::new(),
            }
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        if events.is_empty() {
            return Ok(None);
        }
        self.first_id = self.first_id.or_else(|| event_ids(&events).next());
        self.last_id = event_ids(&events).next_back().or(self.last_id);
        Ok(Some(events))
    }

    /// Whether bytes follow the last complete event. A stream that ends there was broken off.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Id of the first complete event that had one.
    #[must_use]
    pub const fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Id of the last complete event that had one.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Whether the bytes end with an empty line, which ends an event.
fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

/// Position after the last event end that begins at `scan_from` or later.
fn last_event_end(bytes: &[u8], scan_from: usize) -> Option<usize> {
    let ends = (scan_from + 2..=bytes.len()).rev();
    ends.into_iter().find(|end| ends_event(&bytes[..*end]))
}

/// The ids of events; an id that is no number does not count.
fn event_ids(events: &[u8]) -> impl DoubleEndedIterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n');
    lines.filter_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(ID_FIELD)?).ok()?;
        text.trim().parse().ok()
    })
}
