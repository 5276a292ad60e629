//! The chunks of one answer, kept until its reader acknowledges them.

use std::collections::VecDeque;

use amaranth_core::digest::hash64;
use amaranth_core::errors::{Error, ErrorKind, Result, not_found};
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerChunk, AnswerEnd};
use bytes::Bytes;

/// The seed of the digests by which a rerun is compared with the first run.
const CHUNK_SEED: u64 = 0;

/// Holds an answer between its engine and its reader.
///
/// A read acknowledges the chunks before its start. The writer stops while the rest
/// [`AnswerBuffer::is_full`], so a slow reader bounds the memory. Acknowledged chunks are kept up
/// to the same limit, newest first: a caller whose entry died may lack what that entry had read.
///
/// When the engine's stream breaks, the request can be run again: the buffer then compares the
/// chunks that a reader may have seen with those of the first run, and takes only new ones. A
/// rerun that differs is refused, so that a reader gets one run's bytes or an error.
#[derive(Debug, Clone)]
pub struct AnswerBuffer {
    id: RequestId,
    chunks: VecDeque<AnswerChunk>,
    /// One digest for each chunk that was produced, whether or not it is still held.
    digests: Vec<u64>,
    /// Chunks of the present run that were compared with the digests.
    compared: usize,
    /// Chunks that were handed to a reader at least once.
    handed_out: usize,
    /// Bytes of the chunks that are not acknowledged.
    held_bytes: usize,
    /// Bytes of the acknowledged chunks that are kept.
    kept_bytes: usize,
    acknowledged: Sequence,
    limit_bytes: usize,
    end: Option<AnswerEnd>,
}

impl AnswerBuffer {
    /// Opens a buffer that is full when it holds `limit_bytes`.
    pub const fn open(id: RequestId, limit_bytes: usize) -> Self {
        Self {
            id,
            chunks: VecDeque::new(),
            digests: Vec::new(),
            compared: 0,
            handed_out: 0,
            held_bytes: 0,
            kept_bytes: 0,
            acknowledged: Sequence(0),
            limit_bytes,
            end: None,
        }
    }

    /// Returns whether the writer must wait for an acknowledgement.
    pub const fn is_full(&self) -> bool {
        self.held_bytes >= self.limit_bytes
    }

    /// Returns the bytes that wait to be acknowledged.
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether the answer has ended.
    pub const fn is_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Returns how the answer ended.
    pub const fn end(&self) -> Option<&AnswerEnd> {
        self.end.as_ref()
    }

    /// Returns the sequence of the next new chunk.
    pub const fn next_sequence(&self) -> Sequence {
        Sequence(self.digests.len() as u64)
    }

    /// Appends the next chunk, or compares it during a rerun. An ended answer takes none.
    ///
    /// # Errors
    ///
    /// Returns `EndpointFailed` when a rerun differs from what a reader may have seen.
    pub fn push(&mut self, data: Bytes) -> Result<()> {
        if self.is_ended() {
            return Ok(());
        }
        let digest = hash64(CHUNK_SEED, &data);
        if let Some(expected) = self.digests.get(self.compared) {
            if *expected != digest {
                return Err(self.diverged());
            }
            self.compared += 1;
            return Ok(());
        }
        let sequence = self.next_sequence();
        self.digests.push(digest);
        self.compared = self.digests.len();
        self.held_bytes += data.len();
        self.chunks.push_back(AnswerChunk { sequence, data });
        Ok(())
    }

    /// Prepares for the chunks of another run of the same request.
    ///
    /// Chunks that no reader was handed are forgotten: they need not come again.
    pub fn rerun(&mut self) {
        while self.digests.len() > self.handed_out {
            self.digests.pop();
            if let Some(chunk) = self.chunks.pop_back() {
                self.held_bytes -= chunk.data.len();
            }
        }
        self.compared = 0;
    }

    /// Ends the answer as whole.
    ///
    /// # Errors
    ///
    /// Returns `EndpointFailed` when a rerun ended before what a reader may have seen.
    pub fn complete(&mut self) -> Result<()> {
        if self.compared < self.digests.len() {
            return Err(self.diverged());
        }
        self.finish(AnswerEnd::Complete);
        Ok(())
    }

    /// Ends the answer. The first end stands.
    pub fn finish(&mut self, end: AnswerEnd) {
        self.end.get_or_insert(end);
    }

    /// Acknowledges every chunk before `from` and returns those from it on.
    ///
    /// Returns nothing when there is neither a chunk nor the end to report.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` when the chunk at `from` was acknowledged long ago and is gone, and
    /// `InvalidRequest` when the answer has not come that far.
    pub fn read(&mut self, from: Sequence) -> Result<Option<AnswerBatch>> {
        let first = self
            .chunks
            .front()
            .map_or(self.next_sequence(), |chunk| chunk.sequence);
        if from < first {
            let id = self.id;
            return Err(not_found(format!(
                "chunk {from} of answer {id} was acknowledged and is gone"
            )));
        }
        if from > self.next_sequence() {
            return Err(Error::new(
                ErrorKind::InvalidRequest,
                format!(
                    "answer {} has {} chunks and was read from chunk {from}",
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
        self.handed_out = self.digests.len();
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
        let newly = self.index_of(self.acknowledged)..self.index_of(from);
        let bytes: usize = self.chunks.range(newly).map(|chunk| chunk.data.len()).sum();
        self.held_bytes -= bytes;
        self.kept_bytes += bytes;
        self.acknowledged = from;
        self.drop_oldest();
    }

    /// Returns where the chunk of that sequence is among those that are held.
    fn index_of(&self, sequence: Sequence) -> usize {
        let first = self.chunks.front().map_or(sequence, |chunk| chunk.sequence);
        let index = sequence.0.saturating_sub(first.0);
        usize::try_from(index)
            .unwrap_or(usize::MAX)
            .min(self.chunks.len())
    }

    /// Drops the oldest acknowledged chunks beyond the limit.
    fn drop_oldest(&mut self) {
        while self.kept_bytes > self.limit_bytes
            && let Some(chunk) = self.chunks.pop_front()
        {
            self.kept_bytes -= chunk.data.len();
        }
    }

    fn diverged(&self) -> Error {
        Error::new(
            ErrorKind::EndpointFailed,
            format!(
                "the engine broke off and its second run differs from chunk {} on",
                self.compared
            ),
        )
    }
}
