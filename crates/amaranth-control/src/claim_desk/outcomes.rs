//! What agents tell.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{ClaimId, IdempotencyKey, RequestId};
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;

use super::{ASK_AGAIN, CallPhase, ClaimDesk, RunningClaim, is_open};
use crate::claim_call::{DeskCommand, DeskCommands, DispatchOutcome, SettleOutcome};
use crate::claim_record::ClaimRecord;

/// Claims that one call makes at most, each after proof that the last one never ran.
const MAX_CLAIMS: u32 = 3;

/// Largest answer that is recorded in the log, in bytes. A larger one stays at its agent alone.
const MAX_RECORDED_ANSWER: usize = 64 << 10;

impl ClaimDesk {
    pub(super) fn end_dispatch(
        &mut self,
        now: Timestamp,
        request: RequestId,
        outcome: DispatchOutcome,
        commands: &mut DeskCommands,
    ) {
        let Some(RunningClaim { claim, wish }) = self.running.remove(&request) else {
            return;
        };
        match outcome {
            DispatchOutcome::Answered(answer) => {
                self.record_done(now, &wish.key, claim, answer, commands);
            }
            DispatchOutcome::NotRun(error) => {
                self.free(&wish.key, claim);
                self.refuse_dispatched(request, claim, error, commands);
            }
            DispatchOutcome::Lost => {
                self.attach(request, claim);
                self.watches.start_at(now, claim, wish);
            }
        }
    }

    fn attach(&mut self, request: RequestId, claim: ClaimId) {
        if let Some(waiting) = self.calls.get_mut(&request) {
            waiting.phase = CallPhase::Attached(claim);
        }
    }

    /// The call claims its key again once the log shows that it is free, or is refused.
    fn refuse_dispatched(
        &mut self,
        request: RequestId,
        claim: ClaimId,
        error: Error,
        commands: &mut DeskCommands,
    ) {
        let Some(waiting) = self.calls.get_mut(&request) else {
            return;
        };
        if waiting.claims >= MAX_CLAIMS || !is_worth_another_claim(error.kind) {
            return self.answer(request, Err(error), commands);
        }
        waiting.phase = CallPhase::Freed(claim);
        waiting.refusal = Some(error);
    }

    /// Releases a claim of which it is proved that it never runs.
    fn free(&mut self, key: &IdempotencyKey, claim: ClaimId) {
        for request in self.attached_to(key, claim) {
            if let Some(waiting) = self.calls.get_mut(&request) {
                waiting.phase = CallPhase::Freed(claim);
            }
        }
        if is_open(&self.ledger, key, claim) {
            let key = key.clone();
            self.outbox.push(ClaimRecord::Released { key, claim });
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Timestamp,
        claim: ClaimId,
        outcome: SettleOutcome,
        commands: &mut DeskCommands,
    ) {
        let Some(key) = self.watches.settled(now, claim, &outcome) else {
            return;
        };
        match outcome {
            SettleOutcome::Sealed => self.free(&key, claim),
            SettleOutcome::Done(answer) => self.record_done(now, &key, claim, answer, commands),
            SettleOutcome::Running | SettleOutcome::Unreachable => {}
            SettleOutcome::Unknown => {
                for request in self.attached_to(&key, claim) {
                    let error = outcome_unknown("its agent can't tell what became of the call");
                    self.answer(request, Err(error), commands);
                }
            }
        }
    }

    /// Answers every call that waits for `claim`, and has the outcome appended.
    fn record_done(
        &mut self,
        now: Timestamp,
        key: &IdempotencyKey,
        claim: ClaimId,
        answer: ServiceAnswer,
        commands: &mut DeskCommands,
    ) {
        let is_recordable = answer.body.len() <= MAX_RECORDED_ANSWER;
        let is_new = !self.unrecorded.contains_key(&claim) && is_open(&self.ledger, key, claim);
        if is_new && is_recordable {
            self.unrecorded.insert(claim, answer.clone());
            self.outbox.push(ClaimRecord::Done {
                key: key.clone(),
                claim,
                answer: answer.clone(),
            });
        }
        self.watches.stop(claim);
        let requests = self.by_key.get(key).cloned().unwrap_or_default();
        for request in requests {
            let phase = self.calls.get(&request).map(|waiting| waiting.phase);
            let waits = [CallPhase::Dispatched(claim), CallPhase::Attached(claim)];
            if phase.is_some_and(|phase| waits.contains(&phase)) {
                self.answer(request, Ok(answer.clone()), commands);
            }
        }
        self.rule_key(now, key, commands);
    }

    pub(super) fn ask_agents(&mut self, now: Timestamp, commands: &mut DeskCommands) {
        for (claim, wish) in self.watches.take_due(now) {
            if self.attached_to(&wish.key, claim).is_empty() {
                self.watches.stop(claim);
            } else {
                commands.push(DeskCommand::Settle(claim, wish));
            }
        }
    }
}

/// Returns whether another agent may run what this one refused.
const fn is_worth_another_claim(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Draining | ErrorKind::NoEndpoint | ErrorKind::Fenced | ErrorKind::NotReady
    )
}

pub(super) fn outcome_unknown(what: &str) -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!("the call may have run: {what}; ask again with the same key"),
    )
    .with_retry_after(ASK_AGAIN)
}
