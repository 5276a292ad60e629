//! Schedule for polling agents about claims whose outcomes are not known.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::{ClaimId, IdempotencyKey};
use amaranth_core::time::Timestamp;

use crate::claim_event::SettleOutcome;
use crate::claim_record::ClaimProposal;

/// Time that the entry of a claim has to dispatch it before other entries poll its agent, because
/// polling seals a claim that has not arrived.
const DISPATCH_GRACE: Duration = Duration::from_millis(500);

/// Delay between the end of one poll about a claim and the next.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Claim that is polled, with the time of the next poll.
#[derive(Debug, Clone)]
struct PolledClaim {
    proposal: ClaimProposal,
    /// Time of the next poll, or `None` while a poll is in flight.
    due: Option<Timestamp>,
    /// Whether the agent last reported the claim as running.
    running: bool,
}

/// Schedules polls of agents about claims, one in flight for each claim.
#[derive(Debug, Clone, Default)]
pub struct ClaimPoller {
    claims: HashMap<ClaimId, PolledClaim>,
}

impl ClaimPoller {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts polling about a claim of another entry, after the grace period for its dispatch.
    pub fn start(&mut self, now: Timestamp, claim: ClaimId, proposal: ClaimProposal) {
        self.start_at(now + DISPATCH_GRACE, claim, proposal);
    }

    /// Starts polling about a claim at `due`, unless it is polled already.
    pub fn start_at(&mut self, due: Timestamp, claim: ClaimId, proposal: ClaimProposal) {
        self.claims.entry(claim).or_insert(PolledClaim {
            proposal,
            due: Some(due),
            running: false,
        });
    }

    /// Stops polling about a claim.
    pub fn stop(&mut self, claim: ClaimId) {
        self.claims.remove(&claim);
    }

    /// Returns whether the agent last reported the claim as running.
    pub fn is_running(&self, claim: ClaimId) -> bool {
        self.claims.get(&claim).is_some_and(|polled| polled.running)
    }

    /// Returns the claims to poll now. A returned claim is due again only after
    /// [`Self::record_outcome`] reported it as running or unreachable.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(ClaimId, ClaimProposal)> {
        let due = self
            .claims
            .iter_mut()
            .filter(|(_, polled)| polled.due.is_some_and(|due| due <= now));
        due.map(|(claim, polled)| {
            polled.due = None;
            (*claim, polled.proposal.clone())
        })
        .collect()
    }

    /// Records the outcome of a poll and returns the claim's key, or `None` if the claim is not
    /// polled.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        claim: ClaimId,
        outcome: &SettleOutcome,
    ) -> Option<IdempotencyKey> {
        let polled = self.claims.get_mut(&claim)?;
        let key = polled.proposal.key.clone();
        match outcome {
            SettleOutcome::Running | SettleOutcome::Unreachable => {
                polled.running = *outcome == SettleOutcome::Running;
                polled.due = Some(now + POLL_INTERVAL);
            }
            SettleOutcome::Sealed | SettleOutcome::Done(_) | SettleOutcome::Unknown => {
                self.claims.remove(&claim);
            }
        }
        Some(key)
    }
}
