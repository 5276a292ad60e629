//! What callers are told when their deadline passes.

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::RequestId;
use amaranth_core::time::Timestamp;

use super::outcomes::outcome_unknown;
use super::{ASK_AGAIN, CallPhase, ClaimDesk};
use crate::claim_call::DeskCommands;

impl ClaimDesk {
    /// Refuses the calls whose deadline has passed.
    pub(super) fn expire(&mut self, now: Timestamp, commands: &mut DeskCommands) {
        let expired: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, waiting)| waiting.call.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            if let Some(error) = self.deadline_error(request) {
                self.answer(request, Err(error), commands);
            }
        }
    }

    fn deadline_error(&self, request: RequestId) -> Option<Error> {
        let waiting = self.calls.get(&request)?;
        let error = match waiting.phase {
            CallPhase::Waiting | CallPhase::Placing | CallPhase::Claiming | CallPhase::Freed(_) => {
                match &waiting.refusal {
                    Some(refusal) => refusal.clone(),
                    None => self.unclaimed_error(),
                }
            }
            CallPhase::Dispatched(_) => Error::new(
                ErrorKind::DeadlineAfterStart,
                "the deadline passed while the call ran; ask again with the same key",
            )
            .with_retry_after(ASK_AGAIN),
            CallPhase::Attached(claim) if self.watches.is_running(claim) => Error::new(
                ErrorKind::KeyBusy,
                "a call with this key is running; ask again with the same key",
            )
            .with_retry_after(ASK_AGAIN),
            CallPhase::Attached(_) => {
                outcome_unknown("its agent did not reply before the deadline")
            }
        };
        Some(error)
    }

    /// The call was not dispatched and never will be.
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
        .with_retry_after(self.outbox.backoff().max(ASK_AGAIN))
    }
}
