//! What the log tells.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{IdempotencyKey, LogOffset, RequestId};
use amaranth_core::time::Timestamp;

use super::{CallPhase, ClaimDesk, is_open};
use crate::claim_call::{AppendOutcome, ClaimPage, DeskCommand, DeskCommands};
use crate::claim_ledger::{BatchRulings, ClaimRuling, KeyStanding};
use crate::claim_record::{ClaimBatch, ClaimRecord};

impl ClaimDesk {
    pub(super) fn end_append(
        &mut self,
        now: Timestamp,
        outcome: AppendOutcome,
        commands: &mut DeskCommands,
    ) {
        self.log_reachable = matches!(outcome, AppendOutcome::Appended(_));
        match outcome {
            AppendOutcome::Appended(offset) => {
                let batch = self.outbox.appended(now);
                // The batch is ruled at once if everything before it is known; otherwise the
                // reader brings it in its place.
                if self.caught_up && self.ledger.next_offset() == offset {
                    self.apply(now, offset, batch, commands);
                }
            }
            AppendOutcome::Uncertain => {
                self.outbox.uncertain(now);
                commands.push(DeskCommand::CatchUp);
            }
            AppendOutcome::Failed => self.retry_append(now),
            AppendOutcome::Refused => self.end_refused_append(now, commands),
        }
    }

    /// Claims that nobody waits for any more are not appended again.
    fn retry_append(&mut self, now: Timestamp) {
        let (calls, issued) = (&self.calls, &mut self.issued);
        let is_claiming = |request: &RequestId| {
            let waiting = calls.get(request);
            waiting.is_some_and(|waiting| waiting.phase == CallPhase::Claiming)
        };
        self.outbox.failed(now, |record| match record {
            ClaimRecord::Claim(wish) => is_claiming(&wish.request),
            ClaimRecord::Done { .. } | ClaimRecord::Released { .. } => true,
        });
        issued.retain(is_claiming);
    }

    fn end_refused_append(&mut self, now: Timestamp, commands: &mut DeskCommands) {
        if let Some(ClaimRecord::Claim(wish)) = self.outbox.refused(now) {
            self.issued.remove(&wish.request);
            let error = Error::new(
                ErrorKind::LogUnavailable,
                "the platform's log refuses the claim of this call",
            );
            self.answer(wish.request, Err(error), commands);
        }
    }

    pub(super) fn read(&mut self, now: Timestamp, page: ClaimPage, commands: &mut DeskCommands) {
        self.log_reachable = true;
        self.ledger.forget_before(page.first_kept);
        for (offset, batch) in page.batches {
            self.apply(now, offset, batch, commands);
        }
        if self.ledger.next_offset() < page.end {
            return;
        }
        if !self.caught_up {
            self.caught_up = true;
            let requests: Vec<_> = self.calls.keys().copied().collect();
            for request in requests {
                self.rule(now, request, commands);
            }
        }
        self.resolve_append(now, page.started);
    }

    /// Decides what to append again after a lost answer, once the log was read to its end.
    fn resolve_append(&mut self, now: Timestamp, started: Timestamp) {
        let (calls, issued, ledger) = (&self.calls, &self.issued, &self.ledger);
        self.outbox.resolve(now, started, |record| match record {
            ClaimRecord::Claim(wish) => {
                let waiting = calls.get(&wish.request);
                issued.contains(&wish.request)
                    && waiting.is_some_and(|waiting| waiting.phase == CallPhase::Claiming)
            }
            ClaimRecord::Done { key, claim, .. } | ClaimRecord::Released { key, claim } => {
                is_open(ledger, key, *claim)
            }
        });
    }

    fn apply(
        &mut self,
        now: Timestamp,
        offset: LogOffset,
        batch: ClaimBatch,
        commands: &mut DeskCommands,
    ) {
        let rulings = self.ledger.apply(offset, batch);
        self.note_own_claims(&rulings);
        for ruling in rulings {
            self.rule_key(now, &ruling.key, commands);
        }
    }

    fn note_own_claims(&mut self, rulings: &BatchRulings) {
        for ruling in rulings {
            if let Some(claim) = ruling.claim {
                self.note_own_claim(&ruling.key, claim);
            }
        }
    }

    /// A claim of this entry that lost leaves its call waiting; one that won for a call that no
    /// longer wants it is released, because this entry never dispatches it.
    fn note_own_claim(&mut self, key: &IdempotencyKey, claim: ClaimRuling) {
        let waiting = self.calls.get_mut(&claim.request);
        let claiming = waiting.filter(|waiting| waiting.phase == CallPhase::Claiming);
        match (claim.won, claiming) {
            (None, Some(waiting)) => {
                waiting.phase = CallPhase::Waiting;
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

    /// Decides anew on every call with `key`.
    pub(super) fn rule_key(
        &mut self,
        now: Timestamp,
        key: &IdempotencyKey,
        commands: &mut DeskCommands,
    ) {
        let standing = self.ledger.standing(key);
        if let Some(KeyStanding::Done { claim, .. }) = standing {
            self.unrecorded.remove(claim);
        }
        let held_by = match standing {
            Some(KeyStanding::Claimed { claim, .. }) => Some(*claim),
            _ => None,
        };
        let requests = self.by_key.get(key).cloned().unwrap_or_default();
        for request in requests {
            if let Some(waiting) = self.calls.get_mut(&request)
                && let CallPhase::Attached(claim) | CallPhase::Freed(claim) = waiting.phase
                && held_by != Some(claim)
            {
                waiting.phase = CallPhase::Waiting;
            }
            self.rule(now, request, commands);
        }
    }
}
