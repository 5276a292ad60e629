//! An attempt to serve a request at one endpoint.

use std::sync::{Arc, Mutex};

use amaranth_control::breaker::{CallOutcome, CallPermit, CircuitBreaker};
use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;

use crate::agent_link::AgentLink;
use crate::directory::{Directory, EndpointHandle, lock_breaker};

/// An attempt at one endpoint, which the router counts as in flight. Dropping it ends the attempt
/// and reports its outcome to the endpoint's circuit breaker.
pub struct EndpointAttempt {
    directory: Arc<Directory>,
    endpoint: EndpointId,
    link: Arc<AgentLink>,
    breaker: Arc<Mutex<CircuitBreaker>>,
    permit: Option<CallPermit>,
    outcome: CallOutcome,
}

impl EndpointAttempt {
    /// Begins an attempt, or returns `None` if the endpoint's breaker is open. The caller records
    /// the start with the router.
    pub(crate) fn begin(
        directory: &Arc<Directory>,
        handle: &EndpointHandle,
        now: Timestamp,
    ) -> Option<Self> {
        let permit = lock_breaker(&handle.breaker).acquire(now)?;
        Some(Self {
            directory: Arc::clone(directory),
            endpoint: handle.endpoint.clone(),
            link: Arc::clone(&handle.link),
            breaker: Arc::clone(&handle.breaker),
            permit: Some(permit),
            outcome: CallOutcome::Inconclusive,
        })
    }

    /// Returns the endpoint.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Returns the link to the endpoint's agent.
    pub const fn link(&self) -> &Arc<AgentLink> {
        &self.link
    }

    /// Records that the endpoint answered.
    pub const fn record_answer(&mut self) {
        self.outcome = CallOutcome::Answered;
    }

    /// Records the kind of error with which the endpoint refused or failed.
    pub fn record_failure(&mut self, kind: ErrorKind) {
        self.outcome = match kind {
            ErrorKind::EndpointFailed
            | ErrorKind::EndpointUnreachable
            | ErrorKind::WrongAdapter
            | ErrorKind::LoadFailed => CallOutcome::Failed,
            ErrorKind::Cancelled
            | ErrorKind::DeadlineBeforeStart
            | ErrorKind::DeadlineAfterStart => CallOutcome::Inconclusive,
            _ => CallOutcome::Answered,
        };
    }
}

impl Drop for EndpointAttempt {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let now = self.directory.now();
            lock_breaker(&self.breaker).record_outcome(now, permit, self.outcome);
        }
        self.directory.record_finished(&self.endpoint);
    }
}
