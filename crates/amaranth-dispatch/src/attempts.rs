//! What may follow when a call was sent to an endpoint and did not succeed there.

use amaranth_control::retry_budget::{RetryBudget, RetryBudgetOptions};
use smallvec::SmallVec;
use strum::Display;

use crate::refusal::RefusalCause;
use crate::routes::RouteRule;
use amaranth_core::ids::EndpointId;

/// How a send to an endpoint ended without a success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendFailure {
    /// No byte of the call reached the endpoint.
    NotSent,
    /// The endpoint said that it did not run the call.
    NotRun,
    /// The endpoint lacks the adapter or the version, or is another one. It did not run the call.
    Misdirected,
    /// The endpoint ran the call and answered with a failure.
    Failed,
    /// The call was sent, and no answer that can be trusted came back.
    Ambiguous,
}

impl SendFailure {
    /// Returns whether the call certainly did not run at the endpoint.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun | Self::Misdirected)
    }
}

/// What to do after a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the call again.
    SendAgain,
    /// Pass the endpoint's own failure on.
    PassOn,
    /// Answer for the endpoint.
    Refuse(RefusalCause),
}

/// The most sends of one call, whatever became of them.
const MAX_SENDS: u32 = 4;

/// The history of one call.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    sends: u32,
    runs: u32,
    tried: SmallVec<[EndpointId; 2]>,
    uncertain: bool,
}

impl AttemptHistory {
    /// Returns the endpoints that failed the call.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Returns the number of sends.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether the call may have run somewhere.
    pub const fn may_have_run(&self) -> bool {
        self.uncertain || self.runs > 0
    }

    /// Returns whether a call that was sent may be given up there and be sent to another endpoint.
    pub fn may_move(&self, route: &RouteRule, budget: &RetryBudget) -> bool {
        route.is_repeatable()
            && self.runs + 1 < route.max_attempts
            && self.sends + 1 < MAX_SENDS
            && budget.saved() > 0
    }

    /// Notes a failed send and decides what follows. `budget` is asked only where the endpoint
    /// saw the call.
    pub fn after_failure(
        &mut self,
        route: &RouteRule,
        endpoint: &EndpointId,
        failure: SendFailure,
        budget: &mut RetryBudget,
    ) -> NextStep {
        self.sends += 1;
        if failure != SendFailure::Misdirected {
            self.tried.push(endpoint.clone());
        }
        if !failure.is_not_run() {
            self.runs += 1;
            self.uncertain |= failure == SendFailure::Ambiguous;
        }
        if self.may_send_again(route, failure) && self.has_budget(failure, budget) {
            return NextStep::SendAgain;
        }
        self.final_answer(failure)
    }

    fn may_send_again(&self, route: &RouteRule, failure: SendFailure) -> bool {
        if self.sends >= MAX_SENDS {
            return false;
        }
        if failure.is_not_run() && !self.may_have_run() {
            return true;
        }
        route.is_repeatable() && self.runs < route.max_attempts
    }

    fn has_budget(&self, failure: SendFailure, budget: &mut RetryBudget) -> bool {
        failure == SendFailure::NotSent || budget.withdraw()
    }

    fn final_answer(&self, failure: SendFailure) -> NextStep {
        if failure == SendFailure::Failed {
            return NextStep::PassOn;
        }
        if self.may_have_run() {
            return NextStep::Refuse(RefusalCause::OutcomeUnknown);
        }
        NextStep::Refuse(RefusalCause::EndpointsRefused)
    }
}

/// Creates the part of the fleet's retry budget that one entry may spend.
///
/// Entries don't talk about retries. Each earns from its own calls at less than the fleet's ratio,
/// and starts with a fixed part of the fleet's slack that stays within it for `entries` entries
/// which each start again once within a window.
pub fn open_retry_share(fleet_ratio: f64, fleet_slack: u32, entries: u32) -> RetryBudget {
    /// Part of the fleet's ratio that entries spend; the rest covers calls that a window misses.
    const RATIO_PART: f64 = 0.7;
    /// Starts of one entry within a window that the slack covers.
    const STARTS_COVERED: u32 = 2;
    RetryBudget::open(RetryBudgetOptions {
        retries_per_request: fleet_ratio * RATIO_PART,
        saved_retries: (fleet_slack / (entries.max(1) * STARTS_COVERED)).max(1),
    })
}
