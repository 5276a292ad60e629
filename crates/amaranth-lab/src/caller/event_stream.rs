//! Server-sent events, as far as the interface uses them.

use bytes::{Buf, Bytes, BytesMut};

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Opens an empty splitter.
    pub fn open() -> Self {
        Self::default()
    }

    /// Takes bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the data of the next event that is complete. Comments and empty events are skipped.
    pub fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let end = self.pending.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.pending.split_to(end).freeze();
            self.pending.advance(2);
            if let Some(data) = event.strip_prefix(b"data:") {
                return Some(event.slice_ref(data.trim_ascii_start()));
            }
        }
    }
}
