//! Calls of plain services, those with a claim at most once.

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

/// Where the readers of a claim that runs learn its outcome.
type OutcomeReceiver = watch::Receiver<Option<Result<ServiceAnswer>>>;

/// The claims of this life of the agent.
#[derive(Debug)]
struct DeskBook {
    book: ClaimTable,
    outcomes: HashMap<ClaimId, OutcomeReceiver>,
}

/// Calls plain services.
#[derive(Debug)]
pub struct ServiceDesk {
    incarnation: Incarnation,
    clock: AgentClock,
    tasks: TaskGroup,
    recorder: OutcomeRecorder,
    book: Mutex<DeskBook>,
}

impl ServiceDesk {
    /// Opens a desk that runs claims made for `incarnation` and remembers ended ones for `window`.
    ///
    /// Outcomes go to `recorder` as well.
    pub fn open(
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
            book: Mutex::new(DeskBook {
                book: ClaimTable::new(window),
                outcomes: HashMap::new(),
            }),
        }
    }

    /// Calls a service, with a claim at most once.
    ///
    /// # Errors
    ///
    /// The kind says whether the call ran.
    pub async fn call(
        self: &Arc<Self>,
        service: &ServiceEndpoint,
        request: ServiceRequest,
    ) -> Result<ServiceAnswer> {
        let flight = CallFlight::start(service);
        let Some(claim) = request.claim.clone() else {
            return flight.send(&request).await;
        };
        self.check_incarnation(&claim)?;
        let mut outcome = self.begin(&claim)?;
        if let Some(sender) = outcome.sender.take() {
            let desk = self.clone();
            // The call outlives its reader: a claim that began ends, whoever still listens.
            self.tasks.spawn(async move {
                let result = flight.send(&request).await;
                desk.end(claim.id, result.clone());
                if let Ok(answer) = &result {
                    desk.recorder.record(&claim, answer);
                }
                sender.send_replace(Some(result));
            });
        }
        outcome.wait().await
    }

    /// Returns when the log has every outcome, or after `limit` without some of them.
    pub async fn flush(&self, limit: Duration) {
        self.recorder.flush(limit).await;
    }

    /// Returns whether `claim` came before, so that refusing it as not run would be untrue.
    pub fn knows(&self, claim: &ServiceClaim) -> bool {
        claim.agent_incarnation == self.incarnation && self.lock().book.may_have_seen(claim.id)
    }

    /// Returns what became of a claim, and seals it if it never came.
    ///
    /// # Errors
    ///
    /// Returns `Fenced` for a claim of another life of this agent, which may have run it.
    pub fn settle(&self, claim: &ServiceClaim) -> Result<ClaimStatus> {
        self.check_incarnation(claim)?;
        Ok(self.lock().book.settle(self.clock.now(), claim.id))
    }

    /// Returns the number of claims that run.
    pub fn running(&self) -> usize {
        self.lock().book.running()
    }

    fn lock(&self) -> MutexGuard<'_, DeskBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_incarnation(&self, claim: &ServiceClaim) -> Result<()> {
        if claim.agent_incarnation == self.incarnation {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::Fenced,
            format!("claim {} names another life of this agent", claim.id),
        ))
    }

    fn begin(&self, claim: &ServiceClaim) -> Result<ClaimOutcome> {
        let mut desk = self.lock();
        match desk.book.begin(self.clock.now(), claim.id) {
            BeginOutcome::Run => {
                let (sender, receiver) = watch::channel(None);
                desk.outcomes.insert(claim.id, receiver.clone());
                let mut outcome = ClaimOutcome::attached(receiver);
                outcome.sender = Some(sender);
                Ok(outcome)
            }
            BeginOutcome::Attach => match desk.outcomes.get(&claim.id) {
                Some(receiver) => Ok(ClaimOutcome::attached(receiver.clone())),
                None => Err(internal(format!("claim {} runs unseen", claim.id))),
            },
            BeginOutcome::Ended(result) => result.map(ClaimOutcome::known),
        }
    }

    fn end(&self, claim: ClaimId, result: Result<ServiceAnswer>) {
        let mut desk = self.lock();
        desk.book.end(self.clock.now(), claim, result);
        desk.outcomes.remove(&claim);
    }
}

/// The outcome of a claim as one reader waits for it.
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

/// A call that counts as in flight until this is dropped.
struct CallFlight {
    port: Arc<dyn ServicePort>,
    in_flight: Arc<AtomicU64>,
}

impl CallFlight {
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

impl Drop for CallFlight {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the error that a caller gets for a failed call of a service.
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
