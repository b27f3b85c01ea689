use bytes::{Bytes, BytesMut};

use super::BodyError;

/// Maximum size of an event that is not complete.
const MAX_EVENT_BYTES: usize = 256 << 10;
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream of server-sent events at event boundaries.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// Bytes of an event that is not complete yet.
    partial: BytesMut,
    /// Id of the last complete event that has one.
    last_id: Option<Bytes>,
}

impl EventSplitter {
    /// Adds bytes and returns those not yet returned up to the end of the last complete event;
    /// `None` if no event is complete.
    ///
    /// # Errors
    /// [`BodyError::EventTooLarge`] if an event has more bytes than are kept for it.
    ///
    /// ```
    /// # use ebonyusher::net::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// assert_eq!(splitter.push("id: 1\n\nid: 2".into()).unwrap().unwrap(), "id: 1\n\n");
    /// assert_eq!(splitter.last_id().unwrap(), "1");
    /// assert!(!splitter.is_at_boundary());
    /// ```
    pub fn push(&mut self, data: Bytes) -> Result<Option<Bytes>, BodyError> {
        let Some(events) = self.complete_events(data) else {
            let is_too_large = self.partial.len() > MAX_EVENT_BYTES;
            return if is_too_large { Err(BodyError::EventTooLarge) } else { Ok(None) };
        };
        let id = events.split(|byte| *byte == b'\n').rev().find_map(|l| l.strip_prefix(ID_FIELD));
        if let Some(id) = id {
            self.last_id = Some(Bytes::copy_from_slice(id.trim_ascii()));
        }
        Ok(Some(events))
    }

    fn complete_events(&mut self, data: Bytes) -> Option<Bytes> {
        if self.partial.is_empty() && data.ends_with(EVENT_END) {
            return Some(data);
        }
        // Only the new bytes can complete an event, together with the last one before them.
        let from = self.partial.len().saturating_sub(EVENT_END.len() - 1);
        self.partial.extend_from_slice(&data);
        let end = from + rfind(&self.partial[from..], EVENT_END)? + EVENT_END.len();
        Some(self.partial.split_to(end).freeze())
    }

    /// Returns the id of the last complete event that has one.
    pub const fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Whether the bytes added so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the number of bytes of an event that is not complete yet.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Drops the bytes of an event that will not be completed.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}
