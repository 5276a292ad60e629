//! Executes calls to plain services, and runs a call with a claim at most once.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_control::claim_table::{BeginOutcome, ClaimTable};
use amaranth_core::errors::{Error, ErrorKind, Result, internal};
use amaranth_core::ids::{ClaimId, Incarnation};
use amaranth_core::request::{ServiceAnswer, ServiceClaim, ServiceRequest};
use amaranth_ports::PortError;
use amaranth_ports::service::ServicePort;
use amaranth_wire::agent::ClaimStatus;
use tokio::sync::watch;

use crate::claim_outcomes::OutcomeRecorder;
use crate::clock::AgentClock;
use crate::server::ServiceEndpoint;
use crate::task_group::TaskGroup;

/// Receives the outcome of a running claim.
type OutcomeReceiver = watch::Receiver<Option<Result<ServiceAnswer>>>;

/// The claims of this incarnation of the agent, and the outcomes of those that run.
#[derive(Debug)]
struct ClaimState {
    table: ClaimTable,
    outcomes: HashMap<ClaimId, OutcomeReceiver>,
}

/// Executes calls to plain services. A call with a claim runs at most once.
#[derive(Debug)]
pub struct ServiceExecutor {
    incarnation: Incarnation,
    clock: AgentClock,
    tasks: TaskGroup,
    recorder: OutcomeRecorder,
    claims: Mutex<ClaimState>,
}

impl ServiceExecutor {
    /// Creates an executor of claims on `incarnation`, which keeps their outcomes for `window`
    /// and passes the outcomes to `recorder`.
    pub fn new(
        incarnation: Incarnation,
        window: Duration,
        tasks: TaskGroup,
        recorder: OutcomeRecorder,
    ) -> Self {
        Self {
            incarnation,
            clock: AgentClock::start(),
            tasks,
            recorder,
            claims: Mutex::new(ClaimState {
                table: ClaimTable::new(window),
                outcomes: HashMap::new(),
            }),
        }
    }

    /// Calls a service. A call with a claim runs at most once, and its repetitions get the same
    /// outcome.
    ///
    /// # Errors
    ///
    /// Returns an error whose kind says whether the call ran.
    pub async fn call(
        self: &Arc<Self>,
        service: &ServiceEndpoint,
        request: ServiceRequest,
    ) -> Result<ServiceAnswer> {
        let call = InFlightCall::start(service);
        let Some(claim) = request.claim.clone() else {
            return call.send(&request).await;
        };
        self.check_incarnation(&claim)?;
        let mut outcome = self.begin(&claim)?;
        if let Some(sender) = outcome.sender.take() {
            let executor = self.clone();
            // A call with a claim runs to its end even if its caller has disconnected.
            self.tasks.spawn(async move {
                let result = call.send(&request).await;
                executor.end(claim.id, result.clone());
                if let Ok(answer) = &result {
                    executor.recorder.record(&claim, answer);
                }
                sender.send_replace(Some(result));
            });
        }
        outcome.wait().await
    }

    /// Waits until the log has every outcome, but no longer than `max_wait`.
    pub async fn flush(&self, max_wait: Duration) {
        self.recorder.flush(max_wait).await;
    }

    /// Returns whether `claim` may have been received and run before, so that it must not be
    /// refused as not run.
    pub fn may_have_seen(&self, claim: &ServiceClaim) -> bool {
        claim.agent_incarnation == self.incarnation && self.lock().table.may_have_seen(claim.id)
    }

    /// Returns the status of a claim, and seals a claim that was never received.
    ///
    /// # Errors
    ///
    /// Returns `Fenced` for a claim on another incarnation of this agent, which may have run it.
    pub fn settle(&self, claim: &ServiceClaim) -> Result<ClaimStatus> {
        self.check_incarnation(claim)?;
        Ok(self.lock().table.settle(self.clock.now(), claim.id))
    }

    /// Returns the number of running claims.
    pub fn running(&self) -> usize {
        self.lock().table.running()
    }

    fn lock(&self) -> MutexGuard<'_, ClaimState> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_incarnation(&self, claim: &ServiceClaim) -> Result<()> {
        if claim.agent_incarnation == self.incarnation {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::Fenced,
            format!("claim {} names another incarnation of this agent", claim.id),
        ))
    }

    fn begin(&self, claim: &ServiceClaim) -> Result<ClaimOutcome> {
        let mut claims = self.lock();
        match claims.table.begin(self.clock.now(), claim.id) {
            BeginOutcome::Run => {
                let (sender, receiver) = watch::channel(None);
                claims.outcomes.insert(claim.id, receiver.clone());
                let mut outcome = ClaimOutcome::attached(receiver);
                outcome.sender = Some(sender);
                Ok(outcome)
            }
            BeginOutcome::Attach => match claims.outcomes.get(&claim.id) {
                Some(receiver) => Ok(ClaimOutcome::attached(receiver.clone())),
                None => Err(internal(format!(
                    "claim {} runs but has no outcome receiver",
                    claim.id
                ))),
            },
            BeginOutcome::Ended(result) => result.map(ClaimOutcome::known),
        }
    }

    fn end(&self, claim: ClaimId, result: Result<ServiceAnswer>) {
        let mut claims = self.lock();
        claims.table.end(self.clock.now(), claim, result);
        claims.outcomes.remove(&claim);
    }
}

/// The outcome of a claim, for one caller that waits for it. The caller that has to run the call
/// gets the sender as well.
struct ClaimOutcome {
    sender: Option<watch::Sender<Option<Result<ServiceAnswer>>>>,
    receiver: OutcomeReceiver,
}

impl ClaimOutcome {
    const fn attached(receiver: OutcomeReceiver) -> Self {
        Self {
            sender: None,
            receiver,
        }
    }

    fn known(answer: ServiceAnswer) -> Self {
        let (_, receiver) = watch::channel(Some(Ok(answer)));
        Self::attached(receiver)
    }

    async fn wait(mut self) -> Result<ServiceAnswer> {
        let ended = self.receiver.wait_for(Option::is_some).await;
        match ended.ok().and_then(|outcome| outcome.clone()) {
            Some(result) => result,
            None => Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the agent stopped while the call ran",
            )),
        }
    }
}

/// A call to a service, which counts as in flight until this value is dropped.
struct InFlightCall {
    port: Arc<dyn ServicePort>,
    in_flight: Arc<AtomicU64>,
}

impl InFlightCall {
    fn start(service: &ServiceEndpoint) -> Self {
        service.in_flight.fetch_add(1, Ordering::AcqRel);
        Self {
            port: service.port.clone(),
            in_flight: service.in_flight.clone(),
        }
    }

    async fn send(&self, request: &ServiceRequest) -> Result<ServiceAnswer> {
        self.port
            .call(request, request.time_left)
            .await
            .map_err(|error| service_error(&error))
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the error that a caller gets for a failed call to a service.
fn service_error(error: &PortError) -> Error {
    let kind = match error {
        PortError::Uncertain(_) => ErrorKind::OutcomeUnknown,
        PortError::Limited(_) => ErrorKind::Overloaded,
        PortError::Unreachable(_) | PortError::Refused(_) | PortError::Fenced(_) => {
            ErrorKind::NoEndpoint
        }
    };
    Error::new(kind, error.to_string())
}
