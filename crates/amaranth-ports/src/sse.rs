//! The decoder of server-sent events, in which engines stream their answers.

use bytes::{Bytes, BytesMut};

/// The data of the event that closes a stream.
pub const DONE: &[u8] = b"[DONE]";

/// Decodes a byte stream into the data of its server-sent events.
///
/// Follows the WHATWG HTML standard, section on server-sent events. Fields other than `data` are
/// skipped.
#[derive(Debug, Default)]
pub struct SseDecoder {
    pending: BytesMut,
    data: BytesMut,
    has_data: bool,
}

impl SseDecoder {
    /// Creates a decoder at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes the next bytes of the stream and returns the data of every event that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line = self.pending.split_to(end + 1);
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            events.extend(self.decode_line(line));
        }
        events
    }

    /// Decodes one line and returns the data of the event that it completes.
    fn decode_line(&mut self, line: &[u8]) -> Option<Bytes> {
        if line.is_empty() {
            let is_complete = std::mem::take(&mut self.has_data);
            return is_complete.then(|| self.data.split().freeze());
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
