//! Errors of calls whose deadline has passed.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::RequestId;
use amaranth_core::time::Timestamp;

use super::outcomes::outcome_unknown;
use super::{CallPhase, ClaimCoordinator, OUTCOME_RETRY_AFTER};
use crate::claim_event::ClaimCommands;

impl ClaimCoordinator {
    /// Refuses the calls whose deadline has passed.
    pub(super) fn expire(&mut self, now: Timestamp, commands: &mut ClaimCommands) {
        let expired: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, pending)| pending.call.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            if let Some(error) = self.deadline_error(request) {
                self.answer(request, Err(error), commands);
            }
        }
    }

    /// Returns the error of an expired call, by how far the call had progressed.
    fn deadline_error(&self, request: RequestId) -> Option<Error> {
        let pending = self.calls.get(&request)?;
        let error = match pending.phase {
            CallPhase::Waiting
            | CallPhase::SelectingTarget
            | CallPhase::Claiming
            | CallPhase::AwaitingRelease(_) => match &pending.refusal {
                Some(refusal) => refusal.clone(),
                None => self.unclaimed_error(),
            },
            CallPhase::Dispatched(_) => Error::new(
                ErrorKind::DeadlineAfterStart,
                "the deadline passed while the call was running; retry with the same key",
            )
            .with_retry_after(OUTCOME_RETRY_AFTER),
            CallPhase::Attached(claim) if self.poller.is_running(claim) => Error::new(
                ErrorKind::KeyBusy,
                "a call with this key is running; retry with the same key",
            )
            .with_retry_after(OUTCOME_RETRY_AFTER),
            CallPhase::Attached(_) => {
                outcome_unknown("its agent did not reply before the deadline")
            }
        };
        Some(error)
    }

    /// Returns the error of a call that was not dispatched and never will be.
    fn unclaimed_error(&self) -> Error {
        if self.log_reachable {
            return Error::new(
                ErrorKind::DeadlineBeforeStart,
                "the deadline passed before the call was claimed",
            );
        }
        Error::new(
            ErrorKind::LogUnavailable,
            "the platform's log could not be reached before the deadline",
        )
        .with_retry_after(self.outbox.backoff().max(OUTCOME_RETRY_AFTER))
    }
}
