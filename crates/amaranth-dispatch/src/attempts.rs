//! Retry decisions for calls that were sent to an endpoint and failed there.

use smallvec::SmallVec;
use strum::Display;

use crate::not_run_proof::{NotRunProof, NotRunReason};
use crate::refusal::RefusalCause;
use crate::retry_quota::RetryAllowance;
use crate::routes::RouteRule;
use amaranth_core::ids::EndpointId;

/// The way in which a send to an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SendFailure {
    /// The call did not run at the endpoint.
    #[strum(to_string = "{0}")]
    NotRun(NotRunProof),
    /// The endpoint ran the call and answered with a failure.
    Failed,
    /// The call was sent, and no trustworthy answer came back.
    Ambiguous,
    /// The call was sent and then abandoned: the caller is about to disconnect, and the endpoint
    /// has fallen silent or sent no event yet.
    #[strum(to_string = "given-up")]
    Abandoned,
}

impl SendFailure {
    /// Returns whether it is certain that the call did not run at the endpoint.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun(_))
    }

    /// Returns whether the call did not run for this reason.
    fn is_not_run_for(self, reason: NotRunReason) -> bool {
        matches!(self, Self::NotRun(proof) if proof.reason() == reason)
    }
}

/// The action after a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the call again.
    SendAgain,
    /// Forward the endpoint's own failure answer.
    Forward,
    /// Answer the call with a refusal.
    Refuse(RefusalCause),
}

/// Largest number of sends of one call, whatever their outcomes.
const MAX_SENDS: u32 = 4;

/// The sends of one call and their outcomes, which bound its retries.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    sends: u32,
    runs: u32,
    tried: SmallVec<[EndpointId; 2]>,
    outcome_unknown: bool,
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
        self.outcome_unknown || self.runs > 0
    }

    /// Returns whether a call in flight may be abandoned at its endpoint and sent to another one.
    pub fn may_retry_elsewhere(&self, route: &RouteRule, allowance: &RetryAllowance<'_>) -> bool {
        route.is_repeatable()
            && self.runs + 1 < route.max_attempts
            && self.sends + 1 < MAX_SENDS
            && allowance.has_remaining()
    }

    /// Records a failed send and returns the next step. A retry is spent from `allowance` unless no
    /// byte of the call reached the endpoint.
    pub fn record_failure(
        &mut self,
        route: &RouteRule,
        endpoint: &EndpointId,
        failure: SendFailure,
        allowance: &mut RetryAllowance<'_>,
    ) -> NextStep {
        self.sends += 1;
        if !failure.is_not_run_for(NotRunReason::Misdirected) {
            self.tried.push(endpoint.clone());
        }
        if !failure.is_not_run() {
            self.runs += 1;
            self.outcome_unknown |= failure != SendFailure::Failed;
        }
        if self.may_send_again(route, failure) && self.acquire_retry(failure, allowance) {
            return NextStep::SendAgain;
        }
        self.final_answer(failure)
    }

    fn may_send_again(&self, route: &RouteRule, failure: SendFailure) -> bool {
        if self.sends >= MAX_SENDS || failure == SendFailure::Abandoned {
            return false;
        }
        if failure.is_not_run() && !self.may_have_run() {
            return true;
        }
        route.is_repeatable() && self.runs < route.max_attempts
    }

    fn acquire_retry(&self, failure: SendFailure, allowance: &mut RetryAllowance<'_>) -> bool {
        failure.is_not_run_for(NotRunReason::NotSent) || allowance.acquire()
    }

    fn final_answer(&self, failure: SendFailure) -> NextStep {
        if failure == SendFailure::Failed {
            return NextStep::Forward;
        }
        if failure == SendFailure::Abandoned {
            return NextStep::Refuse(RefusalCause::TimedOut);
        }
        if self.may_have_run() {
            return NextStep::Refuse(RefusalCause::OutcomeUnknown);
        }
        NextStep::Refuse(RefusalCause::EndpointsRefused)
    }
}
