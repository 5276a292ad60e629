//! Outcomes of claims that agents report.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{ClaimId, IdempotencyKey, RequestId};
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;

use super::{CallPhase, ClaimCoordinator, OUTCOME_RETRY_AFTER, RunningClaim, is_open};
use crate::claim_event::{ClaimCommand, ClaimCommands, DispatchOutcome, SettleOutcome};
use crate::claim_record::ClaimRecord;

/// Maximum number of claims for one call, each made after proof that the previous one never ran.
const MAX_CLAIMS_PER_CALL: u32 = 3;

/// Maximum size in bytes of an answer that is recorded in the log. Only the agent retains a larger
/// answer.
const MAX_RECORDED_ANSWER_BYTES: usize = 64 << 10;

impl ClaimCoordinator {
    pub(super) fn end_dispatch(
        &mut self,
        now: Timestamp,
        request: RequestId,
        outcome: DispatchOutcome,
        commands: &mut ClaimCommands,
    ) {
        let Some(RunningClaim { claim, proposal }) = self.running.remove(&request) else {
            return;
        };
        match outcome {
            DispatchOutcome::Answered(answer) => {
                self.record_done(now, &proposal.key, claim, answer, commands);
            }
            DispatchOutcome::NotRun(error) => {
                self.release(&proposal.key, claim);
                self.retry_or_refuse(request, claim, error, commands);
            }
            DispatchOutcome::Lost => {
                self.attach(request, claim);
                self.poller.start_at(now, claim, proposal);
            }
        }
    }

    fn attach(&mut self, request: RequestId, claim: ClaimId) {
        if let Some(pending) = self.calls.get_mut(&request) {
            pending.phase = CallPhase::Attached(claim);
        }
    }

    /// Prepares another claim for a call that an agent refused, to be made once the log shows that
    /// the key is free. Refuses the call if it has no claims left or the error is final.
    fn retry_or_refuse(
        &mut self,
        request: RequestId,
        claim: ClaimId,
        error: Error,
        commands: &mut ClaimCommands,
    ) {
        let Some(pending) = self.calls.get_mut(&request) else {
            return;
        };
        if pending.claim_count >= MAX_CLAIMS_PER_CALL || !is_retryable_elsewhere(error.kind) {
            return self.answer(request, Err(error), commands);
        }
        pending.phase = CallPhase::AwaitingRelease(claim);
        pending.refusal = Some(error);
    }

    /// Releases a claim that provably never runs.
    fn release(&mut self, key: &IdempotencyKey, claim: ClaimId) {
        for request in self.attached_to(key, claim) {
            if let Some(pending) = self.calls.get_mut(&request) {
                pending.phase = CallPhase::AwaitingRelease(claim);
            }
        }
        if is_open(&self.ledger, key, claim) {
            let key = key.clone();
            self.outbox.push(ClaimRecord::Released { key, claim });
        }
    }

    /// Handles the outcome of settling a claim of another entry, or of one whose answer was lost.
    pub(super) fn record_settled(
        &mut self,
        now: Timestamp,
        claim: ClaimId,
        outcome: SettleOutcome,
        commands: &mut ClaimCommands,
    ) {
        let Some(key) = self.poller.record_outcome(now, claim, &outcome) else {
            return;
        };
        match outcome {
            SettleOutcome::Sealed => self.release(&key, claim),
            SettleOutcome::Done(answer) => self.record_done(now, &key, claim, answer, commands),
            SettleOutcome::Running | SettleOutcome::Unreachable => {}
            SettleOutcome::Unknown => {
                for request in self.attached_to(&key, claim) {
                    let error = outcome_unknown("its agent does not know the outcome");
                    self.answer(request, Err(error), commands);
                }
            }
        }
    }

    /// Answers all calls that wait for `claim`, and queues the outcome to be appended to the log.
    fn record_done(
        &mut self,
        now: Timestamp,
        key: &IdempotencyKey,
        claim: ClaimId,
        answer: ServiceAnswer,
        commands: &mut ClaimCommands,
    ) {
        let is_recordable = answer.body.len() <= MAX_RECORDED_ANSWER_BYTES;
        let is_new = !self.unrecorded.contains_key(&claim) && is_open(&self.ledger, key, claim);
        if is_new && is_recordable {
            self.unrecorded.insert(claim, answer.clone());
            self.outbox.push(ClaimRecord::Done {
                key: key.clone(),
                claim,
                answer: answer.clone(),
            });
        }
        self.poller.stop(claim);
        let requests = self.by_key.get(key).cloned().unwrap_or_default();
        for request in requests {
            let phase = self.calls.get(&request).map(|pending| pending.phase);
            let waiting_phases = [CallPhase::Dispatched(claim), CallPhase::Attached(claim)];
            if phase.is_some_and(|phase| waiting_phases.contains(&phase)) {
                self.answer(request, Ok(answer.clone()), commands);
            }
        }
        self.decide_key(now, key, commands);
    }

    /// Settles the claims that are due to be polled and that a call still waits for.
    pub(super) fn settle_due(&mut self, now: Timestamp, commands: &mut ClaimCommands) {
        for (claim, proposal) in self.poller.take_due(now) {
            if self.attached_to(&proposal.key, claim).is_empty() {
                self.poller.stop(claim);
            } else {
                commands.push(ClaimCommand::Settle(claim, proposal));
            }
        }
    }
}

/// Returns whether another agent may run a call that was refused with an error of this kind.
const fn is_retryable_elsewhere(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Draining | ErrorKind::NoEndpoint | ErrorKind::Fenced | ErrorKind::NotReady
    )
}

pub(super) fn outcome_unknown(cause: &str) -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!("the call may have run: {cause}; retry with the same key"),
    )
    .with_retry_after(OUTCOME_RETRY_AFTER)
}
