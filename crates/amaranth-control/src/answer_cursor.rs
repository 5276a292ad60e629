//! Reader's state of one answer: what to request next, and which chunks to forward.
//!
//! The cursor forwards each chunk once and in order, whatever the agents send. After a lost
//! connection it resumes at the next sequence number. It fails over to another endpoint only
//! before the first chunk was forwarded, because two runs of a completion may differ.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerChunk, AnswerEnd};
use smallvec::SmallVec;

/// Chunks that one batch adds to the answer, to be forwarded in order.
pub type ForwardedChunks = SmallVec<[AnswerChunk; 4]>;

/// Limits on the retries of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CursorLimits {
    /// Maximum number of consecutive lost connections without a reply in between.
    pub lost_connections: u32,
    /// Maximum number of endpoints that are tried, including the first.
    pub endpoints: u32,
}

impl Default for CursorLimits {
    fn default() -> Self {
        Self {
            lost_connections: 3,
            endpoints: 3,
        }
    }
}

/// Result of the last [`CursorStep`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CursorEvent {
    /// The agent replied with a batch.
    Batch(AnswerBatch),
    /// The agent replied with an error.
    Refused(Error),
    /// The connection closed or timed out for the given cause; the result of the step is unknown.
    ConnectionLost(String),
}

/// Next action of the reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CursorStep {
    /// Opens the answer at the same endpoint, on a new connection if the last one was lost.
    Open,
    /// Reads from this sequence number, on a new connection if the last one was lost.
    Read(Sequence),
    /// Selects another endpoint and opens the answer there; the error is that of the last endpoint.
    FailOver(Error),
    /// Ends the answer, which is complete.
    Complete,
    /// Ends the answer with an error.
    Fail(Error),
}

/// Chunks to forward and next action after one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CursorUpdate {
    /// Chunks to forward, in order.
    pub chunks: ForwardedChunks,
    /// Action to take after the chunks are forwarded.
    pub step: CursorStep,
}

/// Tracks how far one answer was read and decides how to continue after each event.
#[derive(Debug, Clone)]
pub struct AnswerCursor {
    id: RequestId,
    limits: CursorLimits,
    next: Sequence,
    /// Whether the answer is open at the current endpoint, so that a retry reads instead of opens.
    opened: bool,
    consecutive_losses: u32,
    endpoints_tried: u32,
}

impl AnswerCursor {
    /// Creates a cursor whose first step is [`CursorStep::Open`].
    pub const fn new(id: RequestId, limits: CursorLimits) -> Self {
        Self {
            id,
            limits,
            next: Sequence(0),
            opened: false,
            consecutive_losses: 0,
            endpoints_tried: 1,
        }
    }

    /// Creates a cursor that continues an answer of another reader at `from`.
    ///
    /// The first step is [`CursorStep::Read`]. The cursor never fails over to another endpoint.
    pub const fn attach(id: RequestId, limits: CursorLimits, from: Sequence) -> Self {
        Self {
            id,
            limits,
            next: from,
            opened: true,
            consecutive_losses: 0,
            endpoints_tried: limits.endpoints,
        }
    }

    /// Returns the sequence number of the next chunk to forward.
    pub const fn next_sequence(&self) -> Sequence {
        self.next
    }

    /// Returns whether a chunk was forwarded.
    pub const fn has_forwarded(&self) -> bool {
        self.next.0 > 0
    }

    /// Handles the result of the last step and returns the next one.
    pub fn handle(&mut self, event: CursorEvent) -> CursorUpdate {
        match event {
            CursorEvent::Batch(batch) => self.handle_batch(batch),
            CursorEvent::Refused(error) => self.step_only(|cursor| cursor.handle_refusal(error)),
            CursorEvent::ConnectionLost(cause) => {
                self.step_only(|cursor| cursor.handle_connection_loss(cause))
            }
        }
    }

    fn step_only(&mut self, decide: impl FnOnce(&mut Self) -> CursorStep) -> CursorUpdate {
        CursorUpdate {
            chunks: ForwardedChunks::new(),
            step: decide(self),
        }
    }

    fn handle_batch(&mut self, batch: AnswerBatch) -> CursorUpdate {
        // A batch of another answer says nothing about this one, so the batch is dropped and the
        // step repeated.
        if batch.id != self.id {
            let cause = format!(
                "received a batch of answer {} instead of {}",
                batch.id, self.id
            );
            return self.step_only(|cursor| cursor.handle_connection_loss(cause));
        }
        self.opened = true;
        self.consecutive_losses = 0;
        let mut chunks = ForwardedChunks::new();
        for chunk in batch.chunks {
            if chunk.sequence > self.next {
                return CursorUpdate {
                    chunks,
                    step: CursorStep::Fail(self.gap_error(chunk.sequence)),
                };
            }
            if chunk.sequence == self.next {
                self.next = self.next.next();
                chunks.push(chunk);
            }
        }
        let step = match batch.end {
            None => CursorStep::Read(self.next),
            Some(AnswerEnd::Complete) => CursorStep::Complete,
            Some(AnswerEnd::Failed(error)) => self.handle_refusal(error),
        };
        CursorUpdate { chunks, step }
    }

    fn gap_error(&self, found: Sequence) -> Error {
        Error::new(
            ErrorKind::EndpointFailed,
            format!(
                "answer {} has a gap: expected chunk {}, received {found}",
                self.id, self.next
            ),
        )
    }

    fn handle_refusal(&mut self, error: Error) -> CursorStep {
        let exhausted = self.endpoints_tried >= self.limits.endpoints;
        if self.has_forwarded() || exhausted || !is_retryable_elsewhere(error.kind) {
            return CursorStep::Fail(error);
        }
        self.opened = false;
        self.consecutive_losses = 0;
        self.endpoints_tried += 1;
        CursorStep::FailOver(error)
    }

    fn handle_connection_loss(&mut self, cause: String) -> CursorStep {
        self.consecutive_losses += 1;
        if self.consecutive_losses > self.limits.lost_connections {
            return self.handle_refusal(Error::new(ErrorKind::EndpointUnreachable, cause));
        }
        if self.opened {
            CursorStep::Read(self.next)
        } else {
            CursorStep::Open
        }
    }
}

/// Returns whether another endpoint may succeed after an error of this kind.
const fn is_retryable_elsewhere(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::Draining
            | ErrorKind::NoEndpoint
            | ErrorKind::NotFound
            | ErrorKind::LoadFailed
            | ErrorKind::EndpointFailed
            | ErrorKind::EndpointUnreachable
            | ErrorKind::WrongAdapter
            | ErrorKind::Fenced
            | ErrorKind::NotReady
            | ErrorKind::Internal
    )
}
