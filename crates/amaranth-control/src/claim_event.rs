//! Events and commands of the [`crate::claim_coordinator`], and the calls that it runs.

use amaranth_core::errors::{Error, Result};
use amaranth_core::ids::{
    ClaimId, EndpointId, IdempotencyKey, Incarnation, LogOffset, ProcessId, RequestId,
};
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::claim_record::{ClaimBatch, ClaimProposal};

/// Non-idempotent call whose caller waits for the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimCall {
    /// Id of the request.
    pub request: RequestId,
    /// Idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub body_digest: u128,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
}

/// The single agent incarnation that may run a claim, and its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTarget {
    /// Process id of the agent.
    pub agent: ProcessId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Endpoint behind the agent.
    pub endpoint: EndpointId,
}

/// Outcome of an append to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log stores the batch at this offset.
    Appended(LogOffset),
    /// The log may store the batch, now or later, because the reply was lost.
    Uncertain,
    /// The log did not store the batch; the append can be retried.
    Failed,
    /// The log refuses the batch permanently.
    Refused,
}

/// Page of batches that was read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimPage {
    /// Time at which the read was sent.
    pub started: Timestamp,
    /// Batches in the order of their offsets.
    pub batches: Vec<(LogOffset, ClaimBatch)>,
    /// Oldest offset that the log retains.
    pub first_kept: LogOffset,
    /// Offset that the next append would have received at the time of the read.
    pub end: LogOffset,
}

/// Outcome of a dispatch to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The service answered the call.
    Answered(ServiceAnswer),
    /// The call did not run and never will: it was not sent, or the agent refused it.
    NotRun(Error),
    /// The call was sent and its answer was lost.
    Lost,
}

/// Outcome of settling a claim, that is, of requesting its status from its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The claim did not run, and the agent will never run it.
    Sealed,
    /// The claim is running.
    Running,
    /// The claim ended with this answer.
    Done(ServiceAnswer),
    /// The claim may have run: its answer was lost, or its agent incarnation has ended.
    Unknown,
    /// The agent did not reply.
    Unreachable,
}

/// Input of the claim coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A call arrived.
    Arrived(ClaimCall),
    /// The caller of a call disconnected.
    Cancelled(RequestId),
    /// The target of a call was selected, or there is none.
    TargetSelected(RequestId, Result<ClaimTarget>),
    /// The append in flight ended.
    AppendEnded(AppendOutcome),
    /// A read of the log returned a page.
    Read(ClaimPage),
    /// A read of the log failed.
    ReadFailed,
    /// The dispatch of a call ended.
    DispatchEnded(RequestId, DispatchOutcome),
    /// A request to settle a claim ended.
    Settled(ClaimId, SettleOutcome),
    /// Time passed. The entry sends this event periodically.
    Tick,
}

/// Action that the entry carries out for the claim coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Selects the target of a call.
    SelectTarget(RequestId),
    /// Appends the batch to the log. Only one append is in flight at a time.
    Append(ClaimBatch),
    /// Reads the log without waiting for new records.
    CatchUp,
    /// Sends the call to the agent that its claim names, once for each claim.
    Dispatch(RequestId, ClaimId, ClaimProposal),
    /// Requests the status of a claim from the agent that the claim names. The agent seals the
    /// claim if it never arrived.
    Settle(ClaimId, ClaimProposal),
    /// Sends the result of a call to its caller.
    Answer(RequestId, Result<ServiceAnswer>),
}

/// Commands that one event causes.
pub type ClaimCommands = SmallVec<[ClaimCommand; 4]>;
