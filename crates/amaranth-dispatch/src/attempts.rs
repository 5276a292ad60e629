//! What may follow when a call was sent to an endpoint and did not succeed there.

use smallvec::SmallVec;
use strum::Display;

use crate::refusal::RefusalCause;
use crate::retry_share::RetryAllowance;
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
    /// The call was sent, the caller is about to leave, and the endpoint has fallen silent or sent
    /// no event yet.
    GivenUp,
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
    pub fn may_move(&self, route: &RouteRule, allowance: &RetryAllowance<'_>) -> bool {
        route.is_repeatable()
            && self.runs + 1 < route.max_attempts
            && self.sends + 1 < MAX_SENDS
            && allowance.is_open()
    }

    /// Notes a failed send and decides what follows. `allowance` is asked only where the endpoint
    /// saw the call.
    pub fn after_failure(
        &mut self,
        route: &RouteRule,
        endpoint: &EndpointId,
        failure: SendFailure,
        allowance: &mut RetryAllowance<'_>,
    ) -> NextStep {
        self.sends += 1;
        if failure != SendFailure::Misdirected {
            self.tried.push(endpoint.clone());
        }
        if !failure.is_not_run() {
            self.runs += 1;
            self.uncertain |= failure != SendFailure::Failed;
        }
        if self.may_send_again(route, failure) && self.has_budget(failure, allowance) {
            return NextStep::SendAgain;
        }
        self.final_answer(failure)
    }

    fn may_send_again(&self, route: &RouteRule, failure: SendFailure) -> bool {
        if self.sends >= MAX_SENDS || failure == SendFailure::GivenUp {
            return false;
        }
        if failure.is_not_run() && !self.may_have_run() {
            return true;
        }
        route.is_repeatable() && self.runs < route.max_attempts
    }

    fn has_budget(&self, failure: SendFailure, allowance: &mut RetryAllowance<'_>) -> bool {
        failure == SendFailure::NotSent || allowance.withdraw()
    }

    fn final_answer(&self, failure: SendFailure) -> NextStep {
        if failure == SendFailure::Failed {
            return NextStep::PassOn;
        }
        if failure == SendFailure::GivenUp {
            return NextStep::Refuse(RefusalCause::TimedOut);
        }
        if self.may_have_run() {
            return NextStep::Refuse(RefusalCause::OutcomeUnknown);
        }
        NextStep::Refuse(RefusalCause::EndpointsRefused)
    }
}
