//! Splitting of a stream of server-sent events into complete events, with their bytes unchanged.

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

/// Limit on the size of an incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A batch of complete events with their original bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events, blank lines included.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
    /// The ids of the events. Blocks of comments only are left out.
    pub ids: SmallVec<[Option<u64>; 4]>,
    /// The number of events. Blocks of comments only are not counted.
    pub events: u32,
}

/// An event that exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    line_start: usize,
    has_content: bool,
    id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event grows beyond the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        let mut ids = SmallVec::new();
        let mut line_start = self.line_start;
        while let Some(length) = line_length(&self.pending[line_start..]) {
            let line = &self.pending[line_start..line_start + length];
            line_start += length;
            // Blank lines after a complete event belong to it.
            if matches!(line, b"\n" | b"\r\n") {
                let id = self.id.take();
                if std::mem::take(&mut self.has_content) {
                    ids.push(id);
                }
                end = line_start;
            } else {
                self.has_content |= !line.starts_with(b":");
                self.id = parse_id(line).or(self.id);
            }
        }
        self.line_start = line_start - end;
        if end == 0 {
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        }
        let bytes = self.pending.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Ok(Some(EventBatch {
            bytes,
            last_id,
            events: u32::try_from(ids.len()).unwrap_or(u32::MAX),
            ids,
        }))
    }

    /// Returns the length of the incomplete event that is buffered.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_within_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Returns the length of the first line with its line end, if the line is complete.
fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .map(|end| end + 1)
}

/// Returns the last `id` field of a batch of events.
fn last_id(bytes: &[u8]) -> Option<u64> {
    bytes.split(|byte| *byte == b'\n').rev().find_map(parse_id)
}

/// Returns the number in a line with the `id` field.
fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
