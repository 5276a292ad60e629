//! What goes into and comes out of the [`crate::claim_desk`].

use amaranth_core::errors::{Error, Result};
use amaranth_core::ids::{
    ClaimId, EndpointId, IdempotencyKey, Incarnation, LogOffset, ProcessId, RequestId,
};
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::claim_record::{ClaimBatch, ClaimWish};

/// A non-idempotent call that a caller waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimCall {
    /// The request.
    pub request: RequestId,
    /// The key.
    pub key: IdempotencyKey,
    /// The digest of method, path and body.
    pub body_digest: u128,
    /// When the caller gives up.
    pub deadline: Timestamp,
}

/// The one life of one agent that may run a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPlace {
    /// The agent.
    pub agent: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The endpoint behind it.
    pub endpoint: EndpointId,
}

/// How an append ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The batch stands at this offset.
    Appended(LogOffset),
    /// The batch may stand in the log, now or later.
    Uncertain,
    /// The batch does not stand in the log, which may take it later.
    Failed,
    /// The log refuses the batch for good.
    Refused,
}

/// Records that were read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPage {
    /// When the read was sent.
    pub started: Timestamp,
    /// Batches in the order of their offsets.
    pub batches: Vec<(LogOffset, ClaimBatch)>,
    /// The oldest offset that the log keeps.
    pub first_kept: LogOffset,
    /// The offset that the next append would have got.
    pub end: LogOffset,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The service answered.
    Answered(ServiceAnswer),
    /// The call was not sent, or the agent refused it: it did not run and never will.
    NotRun(Error),
    /// The call was sent and its answer lost.
    Lost,
}

/// What asking the agent of a claim told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleOutcome {
    /// It never came, and now never will run.
    Sealed,
    /// It runs.
    Running,
    /// It ended.
    Done(ServiceAnswer),
    /// It was sent to the service and the answer was lost, or the agent that knew is gone.
    Unknown,
    /// The agent did not reply.
    Unreachable,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeskEvent {
    /// A call came.
    Arrived(ClaimCall),
    /// The caller of a call left.
    Left(RequestId),
    /// The place for a call was chosen, or there is none.
    Placed(RequestId, Result<ClaimPlace>),
    /// The append in flight ended.
    AppendEnded(AppendOutcome),
    /// The log was read.
    Read(ClaimPage),
    /// The log could not be read.
    ReadFailed,
    /// The dispatch of a call ended.
    DispatchEnded(RequestId, DispatchOutcome),
    /// The agent of a claim was asked.
    Settled(ClaimId, SettleOutcome),
    /// Time passed.
    Tick,
}

/// What the entry is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeskCommand {
    /// Choose where a call would run.
    Place(RequestId),
    /// Append the batch; one append is in flight at a time.
    Append(ClaimBatch),
    /// Read the log without waiting for new records.
    CatchUp,
    /// Send the call to the agent that its claim names. A request is sent once for each claim.
    Dispatch(RequestId, ClaimId, ClaimWish),
    /// Ask the agent that a claim names what became of it.
    Settle(ClaimId, ClaimWish),
    /// Answer a call.
    Answer(RequestId, Result<ServiceAnswer>),
}

/// The commands that one event causes.
pub type DeskCommands = SmallVec<[DeskCommand; 4]>;
