//! Results of appends to the log and of reads from it.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{IdempotencyKey, LogOffset, RequestId};
use amaranth_core::time::Timestamp;

use super::{CallPhase, ClaimCoordinator, is_open};
use crate::claim_event::{AppendOutcome, ClaimCommand, ClaimCommands, ClaimPage};
use crate::claim_ledger::{AppliedClaim, AppliedRecords, KeyStatus};
use crate::claim_record::{ClaimBatch, ClaimRecord};

impl ClaimCoordinator {
    pub(super) fn end_append(
        &mut self,
        now: Timestamp,
        outcome: AppendOutcome,
        commands: &mut ClaimCommands,
    ) {
        self.log_reachable = matches!(outcome, AppendOutcome::Appended(_));
        match outcome {
            AppendOutcome::Appended(offset) => {
                let batch = self.outbox.complete_append(now);
                // The batch is applied at once if all batches before it have been applied.
                // Otherwise the reader delivers it in order.
                if self.caught_up && self.ledger.next_offset() == offset {
                    self.apply_batch(now, offset, batch, commands);
                }
            }
            AppendOutcome::Uncertain => {
                self.outbox.suspend_append(now);
                commands.push(ClaimCommand::CatchUp);
            }
            AppendOutcome::Failed => self.retry_append(now),
            AppendOutcome::Refused => self.end_refused_append(now, commands),
        }
    }

    /// Queues the records of a failed append again, except claims that no call waits for.
    fn retry_append(&mut self, now: Timestamp) {
        let (calls, issued) = (&self.calls, &mut self.issued);
        let is_claiming = |request: &RequestId| {
            let pending = calls.get(request);
            pending.is_some_and(|pending| pending.phase == CallPhase::Claiming)
        };
        self.outbox.fail_append(now, |record| match record {
            ClaimRecord::Claim(proposal) => is_claiming(&proposal.request),
            ClaimRecord::Done { .. } | ClaimRecord::Released { .. } => true,
        });
        issued.retain(is_claiming);
    }

    /// Answers the call whose claim the log refuses, once that claim was appended alone.
    fn end_refused_append(&mut self, now: Timestamp, commands: &mut ClaimCommands) {
        if let Some(ClaimRecord::Claim(proposal)) = self.outbox.refuse_append(now) {
            self.issued.remove(&proposal.request);
            let error = Error::new(
                ErrorKind::LogUnavailable,
                "the platform's log refused the claim of this call",
            );
            self.answer(proposal.request, Err(error), commands);
        }
    }

    /// Applies a page of the log, and decides on all pending calls when the end of the log is
    /// reached for the first time.
    pub(super) fn apply_page(
        &mut self,
        now: Timestamp,
        page: ClaimPage,
        commands: &mut ClaimCommands,
    ) {
        self.log_reachable = true;
        self.ledger.remove_before(page.first_kept);
        for (offset, batch) in page.batches {
            self.apply_batch(now, offset, batch, commands);
        }
        if self.ledger.next_offset() < page.end {
            return;
        }
        if !self.caught_up {
            self.caught_up = true;
            let requests: Vec<_> = self.calls.keys().copied().collect();
            for request in requests {
                self.decide(now, request, commands);
            }
        }
        self.resolve_append(now, page.started);
    }

    /// Selects the records to append again after a lost reply, once the log was read to its end.
    fn resolve_append(&mut self, now: Timestamp, started: Timestamp) {
        let (calls, issued, ledger) = (&self.calls, &self.issued, &self.ledger);
        self.outbox
            .resolve_append(now, started, |record| match record {
                ClaimRecord::Claim(proposal) => {
                    let pending = calls.get(&proposal.request);
                    issued.contains(&proposal.request)
                        && pending.is_some_and(|pending| pending.phase == CallPhase::Claiming)
                }
                ClaimRecord::Done { key, claim, .. } | ClaimRecord::Released { key, claim } => {
                    is_open(ledger, key, *claim)
                }
            });
    }

    fn apply_batch(
        &mut self,
        now: Timestamp,
        offset: LogOffset,
        batch: ClaimBatch,
        commands: &mut ClaimCommands,
    ) {
        let applied = self.ledger.apply(offset, batch);
        self.record_own_claims(&applied);
        for record in applied {
            self.decide_key(now, &record.key, commands);
        }
    }

    fn record_own_claims(&mut self, applied: &AppliedRecords) {
        for record in applied {
            if let Some(claim) = record.claim {
                self.record_own_claim(&record.key, claim);
            }
        }
    }

    /// Updates a call of this entry after its claim was read from the log as won or lost.
    ///
    /// If the claim lost, its call waits again. If it won but its call no longer needs it, the
    /// claim is released, because this entry will never dispatch it.
    fn record_own_claim(&mut self, key: &IdempotencyKey, claim: AppliedClaim) {
        let pending = self.calls.get_mut(&claim.request);
        let claiming = pending.filter(|pending| pending.phase == CallPhase::Claiming);
        match (claim.won, claiming) {
            (None, Some(pending)) => {
                pending.phase = CallPhase::Waiting;
                self.issued.remove(&claim.request);
            }
            (Some(id), None) if self.issued.remove(&claim.request) => {
                self.outbox.push(ClaimRecord::Released {
                    key: key.clone(),
                    claim: id,
                });
            }
            (None, None) | (Some(_), _) => {}
        }
    }

    /// Decides again on every pending call with `key`.
    pub(super) fn decide_key(
        &mut self,
        now: Timestamp,
        key: &IdempotencyKey,
        commands: &mut ClaimCommands,
    ) {
        let status = self.ledger.status(key);
        if let Some(KeyStatus::Done { claim, .. }) = status {
            self.unrecorded.remove(claim);
        }
        let held_by = match status {
            Some(KeyStatus::Claimed { claim, .. }) => Some(*claim),
            _ => None,
        };
        let requests = self.by_key.get(key).cloned().unwrap_or_default();
        for request in requests {
            if let Some(pending) = self.calls.get_mut(&request)
                && let CallPhase::Attached(claim) | CallPhase::AwaitingRelease(claim) =
                    pending.phase
                && held_by != Some(claim)
            {
                pending.phase = CallPhase::Waiting;
            }
            self.decide(now, request, commands);
        }
    }
}
