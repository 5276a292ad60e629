//! The chunks of one answer, kept until its reader acknowledges them.

use std::collections::VecDeque;

use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerChunk, AnswerEnd};
use bytes::Bytes;

/// Holds an answer between its engine and its reader.
///
/// A chunk is dropped when a read that starts behind it acknowledges it. The writer stops
/// while [`AnswerBuffer::is_full`], so a slow reader bounds the memory.
#[derive(Debug, Clone)]
pub struct AnswerBuffer {
    id: RequestId,
    chunks: VecDeque<AnswerChunk>,
    next: Sequence,
    held_bytes: usize,
    limit_bytes: usize,
    end: Option<AnswerEnd>,
}

impl AnswerBuffer {
    /// Opens a buffer that is full when it holds `limit_bytes`.
    pub const fn open(id: RequestId, limit_bytes: usize) -> Self {
        Self {
            id,
            chunks: VecDeque::new(),
            next: Sequence(0),
            held_bytes: 0,
            limit_bytes,
            end: None,
        }
    }

    /// Returns whether the writer must wait for an acknowledgement.
    pub const fn is_full(&self) -> bool {
        self.held_bytes >= self.limit_bytes
    }

    /// Returns whether the answer has ended.
    pub const fn is_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Appends the next chunk. An ended answer takes none.
    pub fn push(&mut self, data: Bytes) {
        if self.is_ended() {
            return;
        }
        self.held_bytes += data.len();
        self.chunks.push_back(AnswerChunk {
            sequence: self.next,
            data,
        });
        self.next = self.next.next();
    }

    /// Ends the answer. The first end stands.
    pub fn finish(&mut self, end: AnswerEnd) {
        self.end.get_or_insert(end);
    }

    /// Acknowledges every chunk before `from` and returns those from it on.
    ///
    /// Returns nothing when there is neither a chunk nor the end to report, or when `from` was
    /// acknowledged before and is gone.
    pub fn read(&mut self, from: Sequence) -> Option<AnswerBatch> {
        self.acknowledge(from);
        let first = self
            .chunks
            .front()
            .map_or(self.next, |chunk| chunk.sequence);
        if first != from || (self.chunks.is_empty() && self.end.is_none()) {
            return None;
        }
        Some(AnswerBatch {
            id: self.id,
            chunks: self.chunks.iter().cloned().collect(),
            end: self.end.clone(),
        })
    }

    fn acknowledge(&mut self, from: Sequence) {
        while let Some(chunk) = self.chunks.front()
            && chunk.sequence < from
        {
            self.held_bytes -= chunk.data.len();
            self.chunks.pop_front();
        }
    }
}
