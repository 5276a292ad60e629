//! Buffer for the chunks of one answer until its reader acknowledges them.

use std::collections::VecDeque;

use amaranth_core::digest::hash64;
use amaranth_core::errors::{Error, ErrorKind, Result, not_found};
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerChunk, AnswerEnd};
use bytes::Bytes;

/// Seed of the digests that compare a rerun with the first run.
const CHUNK_DIGEST_SEED: u64 = 0;

/// Buffers the chunks of one answer between its engine and its reader.
///
/// A read acknowledges all chunks before its start. The writer pauses while
/// [`AnswerBuffer::is_full`], so a slow reader cannot grow the buffer without bound. The newest
/// acknowledged chunks are retained up to the same limit, because an entry may fail after it has
/// read chunks that it has not sent to the caller.
///
/// When the engine's stream breaks, the request can be run again. The buffer then compares the
/// rerun with the chunks that a reader may have received, and appends only the chunks after them.
/// A rerun that differs is refused, so a reader gets the bytes of a single run or an error.
#[derive(Debug, Clone)]
pub struct AnswerBuffer {
    id: RequestId,
    chunks: VecDeque<AnswerChunk>,
    /// Digests of all chunks appended so far, including those that have been dropped.
    digests: Vec<u64>,
    /// Number of chunks of the current run that match `digests`.
    compared: usize,
    /// Number of chunks that were returned to a reader at least once.
    delivered: usize,
    /// Bytes of unacknowledged chunks.
    unacknowledged_bytes: usize,
    /// Bytes of acknowledged chunks that are still retained.
    retained_bytes: usize,
    /// Sequence up to which chunks are acknowledged, exclusive.
    acknowledged: Sequence,
    limit_bytes: usize,
    end: Option<AnswerEnd>,
}

impl AnswerBuffer {
    /// Creates an empty buffer that is full at `limit_bytes` of unacknowledged chunks.
    pub const fn new(id: RequestId, limit_bytes: usize) -> Self {
        Self {
            id,
            chunks: VecDeque::new(),
            digests: Vec::new(),
            compared: 0,
            delivered: 0,
            unacknowledged_bytes: 0,
            retained_bytes: 0,
            acknowledged: Sequence(0),
            limit_bytes,
            end: None,
        }
    }

    /// Returns whether the writer must wait for an acknowledgement before the next chunk.
    pub const fn is_full(&self) -> bool {
        self.unacknowledged_bytes >= self.limit_bytes
    }

    /// Returns the number of unacknowledged bytes.
    pub const fn unacknowledged_bytes(&self) -> usize {
        self.unacknowledged_bytes
    }

    /// Returns whether the answer has ended.
    pub const fn is_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Returns how the answer ended, or `None` while it is running.
    pub const fn end(&self) -> Option<&AnswerEnd> {
        self.end.as_ref()
    }

    /// Returns the sequence number of the next new chunk.
    pub const fn next_sequence(&self) -> Sequence {
        Sequence(self.digests.len() as u64)
    }

    /// Appends the next chunk, or compares it with the first run during a rerun.
    ///
    /// Chunks of an answer that has ended are ignored.
    ///
    /// # Errors
    ///
    /// Returns `EndpointFailed` if a rerun differs from chunks that a reader may have received.
    pub fn push(&mut self, data: Bytes) -> Result<()> {
        if self.is_ended() {
            return Ok(());
        }
        let digest = hash64(CHUNK_DIGEST_SEED, &data);
        if let Some(expected) = self.digests.get(self.compared) {
            if *expected != digest {
                return Err(self.rerun_mismatch());
            }
            self.compared += 1;
            return Ok(());
        }
        let sequence = self.next_sequence();
        self.digests.push(digest);
        self.compared = self.digests.len();
        self.unacknowledged_bytes += data.len();
        self.chunks.push_back(AnswerChunk { sequence, data });
        Ok(())
    }

    /// Prepares the buffer for another run of the same request.
    ///
    /// Chunks that no reader has received are dropped, as the rerun need not repeat them.
    pub fn rerun(&mut self) {
        while self.digests.len() > self.delivered {
            self.digests.pop();
            if let Some(chunk) = self.chunks.pop_back() {
                self.unacknowledged_bytes -= chunk.data.len();
            }
        }
        self.compared = 0;
    }

    /// Ends the answer as complete.
    ///
    /// # Errors
    ///
    /// Returns `EndpointFailed` if a rerun ended before all chunks that a reader may have received.
    pub fn complete(&mut self) -> Result<()> {
        if self.compared < self.digests.len() {
            return Err(self.rerun_mismatch());
        }
        self.finish(AnswerEnd::Complete);
        Ok(())
    }

    /// Ends the answer. Only the first end takes effect.
    pub fn finish(&mut self, end: AnswerEnd) {
        self.end.get_or_insert(end);
    }

    /// Acknowledges all chunks before `from` and returns the chunks from there on.
    ///
    /// Returns `None` if there are no new chunks and the answer has not ended.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the chunk at `from` was acknowledged and has been dropped, and
    /// `InvalidRequest` if `from` lies beyond the next chunk.
    pub fn read(&mut self, from: Sequence) -> Result<Option<AnswerBatch>> {
        let first = self
            .chunks
            .front()
            .map_or(self.next_sequence(), |chunk| chunk.sequence);
        if from < first {
            let id = self.id;
            return Err(not_found(format!(
                "chunk {from} of answer {id} was acknowledged and has been dropped"
            )));
        }
        if from > self.next_sequence() {
            return Err(Error::new(
                ErrorKind::InvalidRequest,
                format!(
                    "answer {} has only {} chunks, but a read started at chunk {from}",
                    self.id,
                    self.next_sequence()
                ),
            ));
        }
        self.acknowledge(from);
        let chunks: Vec<_> = self.chunks.range(self.index_of(from)..).cloned().collect();
        if chunks.is_empty() && self.end.is_none() {
            return Ok(None);
        }
        self.delivered = self.digests.len();
        Ok(Some(AnswerBatch {
            id: self.id,
            chunks,
            end: self.end.clone(),
        }))
    }

    fn acknowledge(&mut self, from: Sequence) {
        if from <= self.acknowledged {
            return;
        }
        let newly_acknowledged = self.index_of(self.acknowledged)..self.index_of(from);
        let bytes: usize = self
            .chunks
            .range(newly_acknowledged)
            .map(|chunk| chunk.data.len())
            .sum();
        self.unacknowledged_bytes -= bytes;
        self.retained_bytes += bytes;
        self.acknowledged = from;
        self.trim_retained();
    }

    /// Returns the index in `chunks` of the chunk with this sequence number.
    fn index_of(&self, sequence: Sequence) -> usize {
        let first = self.chunks.front().map_or(sequence, |chunk| chunk.sequence);
        let index = sequence.0.saturating_sub(first.0);
        usize::try_from(index)
            .unwrap_or(usize::MAX)
            .min(self.chunks.len())
    }

    /// Drops the oldest acknowledged chunks while they exceed the limit.
    fn trim_retained(&mut self) {
        while self.retained_bytes > self.limit_bytes
            && let Some(chunk) = self.chunks.pop_front()
        {
            self.retained_bytes -= chunk.data.len();
        }
    }

    fn rerun_mismatch(&self) -> Error {
        Error::new(
            ErrorKind::EndpointFailed,
            format!(
                "the engine's stream broke and the rerun differs from the first run at chunk {}",
                self.compared
            ),
        )
    }
}
