//! Which claims of others the agents are asked about, and when.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::{ClaimId, IdempotencyKey};
use amaranth_core::time::Timestamp;

use crate::claim_event::SettleOutcome;
use crate::claim_record::ClaimProposal;

/// Time that the entry of a claim has to dispatch it before others ask, because asking seals a
/// claim that has not come.
const DISPATCH_GRACE: Duration = Duration::from_millis(500);

/// Pause between two questions about one claim.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
struct ClaimWatch {
    proposal: ClaimProposal,
    due: Option<Timestamp>,
    running: bool,
}

/// Schedules the questions.
#[derive(Debug, Clone, Default)]
pub struct ClaimWatches {
    watches: HashMap<ClaimId, ClaimWatch>,
}

impl ClaimWatches {
    /// Opens a schedule without questions.
    pub fn open() -> Self {
        Self::default()
    }

    /// Asks about a claim of another entry after a grace.
    pub fn start(&mut self, now: Timestamp, claim: ClaimId, proposal: ClaimProposal) {
        self.start_at(now + DISPATCH_GRACE, claim, proposal);
    }

    /// Asks about a claim at `due`, unless it is watched already.
    pub fn start_at(&mut self, due: Timestamp, claim: ClaimId, proposal: ClaimProposal) {
        self.watches.entry(claim).or_insert(ClaimWatch {
            proposal,
            due: Some(due),
            running: false,
        });
    }

    /// Stops asking about a claim.
    pub fn stop(&mut self, claim: ClaimId) {
        self.watches.remove(&claim);
    }

    /// Returns whether the agent said last that the claim runs.
    pub fn is_running(&self, claim: ClaimId) -> bool {
        self.watches.get(&claim).is_some_and(|watch| watch.running)
    }

    /// Returns the claims that are to be asked about now. Each is due again when it was answered.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(ClaimId, ClaimProposal)> {
        let due = self
            .watches
            .iter_mut()
            .filter(|(_, watch)| watch.due.is_some_and(|due| due <= now));
        due.map(|(claim, watch)| {
            watch.due = None;
            (*claim, watch.proposal.clone())
        })
        .collect()
    }

    /// Takes the answer about a claim and returns its key, or nothing if nobody watches it.
    pub fn settled(
        &mut self,
        now: Timestamp,
        claim: ClaimId,
        outcome: &SettleOutcome,
    ) -> Option<IdempotencyKey> {
        let watch = self.watches.get_mut(&claim)?;
        let key = watch.proposal.key.clone();
        match outcome {
            SettleOutcome::Running | SettleOutcome::Unreachable => {
                watch.running = *outcome == SettleOutcome::Running;
                watch.due = Some(now + ASK_INTERVAL);
            }
            SettleOutcome::Sealed | SettleOutcome::Done(_) | SettleOutcome::Unknown => {
                self.watches.remove(&claim);
            }
        }
        Some(key)
    }
}
