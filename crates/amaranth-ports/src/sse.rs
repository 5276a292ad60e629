//! Server-sent events as engines stream them.

use bytes::{Bytes, BytesMut};

/// The data of the event that closes a stream.
pub const DONE: &[u8] = b"[DONE]";

/// Cuts a byte stream into the data of its events.
///
/// Source: WHATWG HTML, section on server-sent events. Fields other than `data` are skipped.
#[derive(Debug, Default)]
pub struct SseDecoder {
    pending: BytesMut,
    data: BytesMut,
    has_data: bool,
}

impl SseDecoder {
    /// Opens a decoder at the start of a stream.
    pub fn open() -> Self {
        Self::default()
    }

    /// Takes bytes as they arrive and returns the data of every event that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line = self.pending.split_to(end + 1);
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            events.extend(self.take_line(line));
        }
        events
    }

    /// Takes one line and returns the event that it closes.
    fn take_line(&mut self, line: &[u8]) -> Option<Bytes> {
        if line.is_empty() {
            let closed = std::mem::take(&mut self.has_data);
            return closed.then(|| self.data.split().freeze());
        }
        let value = line.strip_prefix(b"data:")?;
        if std::mem::replace(&mut self.has_data, true) {
            self.data.extend_from_slice(b"\n");
        }
        let value = value.strip_prefix(b" ").unwrap_or(value);
        self.data.extend_from_slice(value);
        None
    }
}
