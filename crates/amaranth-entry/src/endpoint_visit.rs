//! One request at one endpoint, as this entry counts it.

use std::sync::{Arc, Mutex};

use amaranth_control::breaker::{CallOutcome, CallPermit, CircuitBreaker};
use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;

use crate::agent_link::AgentLink;
use crate::directory::{Directory, EndpointHandle, lock_breaker};

/// A request at an endpoint. Dropping it ends the visit.
pub struct EndpointVisit {
    directory: Arc<Directory>,
    endpoint: EndpointId,
    link: Arc<AgentLink>,
    breaker: Arc<Mutex<CircuitBreaker>>,
    permit: Option<CallPermit>,
    outcome: CallOutcome,
}

impl EndpointVisit {
    /// Begins a visit, unless the endpoint's breaker is open. The caller counts it.
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

    /// Returns the connection to its agent.
    pub const fn link(&self) -> &Arc<AgentLink> {
        &self.link
    }

    /// Notes that the endpoint answered.
    pub const fn answered(&mut self) {
        self.outcome = CallOutcome::Answered;
    }

    /// Notes how the endpoint refused or failed.
    pub fn failed(&mut self, kind: ErrorKind) {
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

impl Drop for EndpointVisit {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let now = self.directory.now();
            lock_breaker(&self.breaker).record_outcome(now, permit, self.outcome);
        }
        self.directory.finished(&self.endpoint);
    }
}
