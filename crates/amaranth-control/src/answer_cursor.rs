//! The reader's side of one answer: what to ask next, and what may be passed on.
//!
//! The cursor passes every chunk on once and in order, whatever the agents send. It resumes at
//! the next sequence after a connection was lost, and turns to another endpoint only while no
//! chunk was passed on, because two runs of a completion need not agree.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerChunk, AnswerEnd};
use smallvec::SmallVec;

/// Chunks that are passed on together.
pub type PassedChunks = SmallVec<[AnswerChunk; 4]>;

/// How often a reader resumes and repeats before it gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CursorLimits {
    /// Connections that may be lost in a row without a reply in between.
    pub lost_connections: u32,
    /// Endpoints that are tried in all.
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

/// What came back from the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CursorEvent {
    /// The agent replied with a batch.
    Batch(AnswerBatch),
    /// The agent replied with an error.
    Refused(Error),
    /// The connection closed or went silent, so nothing is known of the last step.
    ConnectionLost(String),
}

/// What the reader does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CursorStep {
    /// Open the answer at the same endpoint, on a new connection if the last one was lost.
    Open,
    /// Read from this sequence on, on a new connection if the last one was lost.
    Read(Sequence),
    /// Choose another endpoint and open the answer there; the reason is why the last one failed.
    OpenElsewhere(Error),
    /// The answer is whole.
    Complete,
    /// The answer breaks off.
    Fail(Error),
}

/// What one event led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CursorMove {
    /// Chunks to pass on, in order.
    pub chunks: PassedChunks,
    /// What to do after that.
    pub step: CursorStep,
}

/// Follows one answer.
#[derive(Debug, Clone)]
pub struct AnswerCursor {
    id: RequestId,
    limits: CursorLimits,
    next: Sequence,
    opened: bool,
    lost_in_row: u32,
    endpoints_tried: u32,
}

impl AnswerCursor {
    /// Opens a cursor whose first step is [`CursorStep::Open`].
    pub const fn open(id: RequestId, limits: CursorLimits) -> Self {
        Self {
            id,
            limits,
            next: Sequence(0),
            opened: false,
            lost_in_row: 0,
            endpoints_tried: 1,
        }
    }

    /// Opens a cursor on an answer that another reader began, whose first step is
    /// [`CursorStep::Read`].
    pub const fn attach(id: RequestId, limits: CursorLimits, from: Sequence) -> Self {
        Self {
            id,
            limits,
            next: from,
            opened: true,
            lost_in_row: 0,
            endpoints_tried: limits.endpoints,
        }
    }

    /// Returns the sequence of the next chunk.
    pub const fn next_sequence(&self) -> Sequence {
        self.next
    }

    /// Returns whether a chunk was passed on.
    pub const fn has_passed(&self) -> bool {
        self.next.0 > 0
    }

    /// Takes what came back and returns what to do.
    pub fn handle(&mut self, event: CursorEvent) -> CursorMove {
        match event {
            CursorEvent::Batch(batch) => self.take_batch(batch),
            CursorEvent::Refused(error) => self.without_chunks(|cursor| cursor.refuse(error)),
            CursorEvent::ConnectionLost(what) => {
                self.without_chunks(|cursor| cursor.reconnect(what))
            }
        }
    }

    fn without_chunks(&mut self, decide: impl FnOnce(&mut Self) -> CursorStep) -> CursorMove {
        CursorMove {
            chunks: PassedChunks::new(),
            step: decide(self),
        }
    }

    fn take_batch(&mut self, batch: AnswerBatch) -> CursorMove {
        // A batch of another answer is dropped and the read repeated: it proves nothing about
        // this answer.
        if batch.id != self.id {
            let what = format!("a batch of answer {} came for {}", batch.id, self.id);
            return self.without_chunks(|cursor| cursor.reconnect(what));
        }
        self.opened = true;
        self.lost_in_row = 0;
        let mut chunks = PassedChunks::new();
        for chunk in batch.chunks {
            if chunk.sequence > self.next {
                return CursorMove {
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
            Some(AnswerEnd::Failed(error)) => self.refuse(error),
        };
        CursorMove { chunks, step }
    }

    fn gap_error(&self, found: Sequence) -> Error {
        Error::new(
            ErrorKind::EndpointFailed,
            format!(
                "answer {} jumps from chunk {} to {found}",
                self.id, self.next
            ),
        )
    }

    fn refuse(&mut self, error: Error) -> CursorStep {
        let spent = self.endpoints_tried >= self.limits.endpoints;
        if self.has_passed() || spent || !is_worth_another_endpoint(error.kind) {
            return CursorStep::Fail(error);
        }
        self.opened = false;
        self.lost_in_row = 0;
        self.endpoints_tried += 1;
        CursorStep::OpenElsewhere(error)
    }

    fn reconnect(&mut self, what: String) -> CursorStep {
        self.lost_in_row += 1;
        if self.lost_in_row > self.limits.lost_connections {
            return self.refuse(Error::new(ErrorKind::EndpointUnreachable, what));
        }
        if self.opened {
            CursorStep::Read(self.next)
        } else {
            CursorStep::Open
        }
    }
}

/// Returns whether another endpoint may do what this one refused.
const fn is_worth_another_endpoint(kind: ErrorKind) -> bool {
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
