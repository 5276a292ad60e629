//! The agent's shared state and its tarpc service.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind, Result, not_found};
use amaranth_core::ids::{EndpointId, RequestId, Sequence};
use amaranth_core::membership::{
    AgentAnnouncement, EndpointLoad, EndpointOffer, EndpointReport, ProcessIdentity,
};
use amaranth_core::request::{
    AnswerBatch, CompletionRequest, ServiceAnswer, ServiceClaim, ServiceRequest,
};
use amaranth_ports::service::ServicePort;
use amaranth_wire::agent::{AgentRpc, AgentStatus, AnswerRead, ClaimStatus};
use futures::future::join_all;
use tarpc::context::Context;
use tokio::time::timeout;

use crate::announcer::{ChangeSignal, LatestRevision};
use crate::answer_store::AnswerStore;
use crate::engine_control::{EngineEvent, EngineHandle};
use crate::entry_directory::EntryDirectory;
use crate::lease_task::LeaseHandle;
use crate::service_executor::ServiceExecutor;
use crate::settings::AgentLimits;
use amaranth_telemetry::decision_log::DecisionLog;

/// One instance of a plain service behind the agent.
pub struct ServiceEndpoint {
    /// The service that the instance offers.
    pub offer: EndpointOffer,
    /// The client of the instance.
    pub port: Arc<dyn ServicePort>,
    /// Whether the instance answered the last probe.
    pub ready: AtomicBool,
    /// The number of calls in flight.
    pub in_flight: Arc<AtomicU64>,
}

/// State that the agent's tasks share.
pub struct AgentCore {
    /// The identity of the agent's process.
    pub identity: ProcessIdentity,
    /// The limits on memory and time.
    pub limits: AgentLimits,
    /// The handles of the engines' control tasks.
    pub engines: HashMap<EndpointId, EngineHandle>,
    /// The instances of plain services.
    pub services: HashMap<EndpointId, ServiceEndpoint>,
    /// The answers that are running or unread.
    pub answers: AnswerStore,
    /// The executor of calls to plain services.
    pub service_executor: Arc<ServiceExecutor>,
    /// The handle of the lease task.
    pub lease: LeaseHandle,
    /// The known entries.
    pub entries: Arc<EntryDirectory>,
    /// The recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// The signal that makes the agent announce a change at once.
    pub change_signal: Arc<ChangeSignal>,
    /// The newest configuration revision that an entry reported.
    pub revision: LatestRevision,
    /// Whether the agent accepts no new work.
    pub draining: AtomicBool,
    /// The endpoints that were ready at least once in this incarnation.
    pub announced: Mutex<HashSet<EndpointId>>,
    /// The number of announcements so far, which is the sequence of the next one.
    pub announcements: AtomicU64,
}

impl AgentCore {
    /// Returns the next announcement.
    pub fn announcement(&self) -> AgentAnnouncement {
        AgentAnnouncement {
            identity: self.identity.clone(),
            sequence: self.announcements.fetch_add(1, Ordering::Relaxed),
            draining: self.draining.load(Ordering::Acquire),
            revision: self.revision.get(),
            endpoints: self.announced_reports(),
        }
    }

    /// Returns the reports of the endpoints that were ready at least once in this incarnation.
    /// Entries can't use other endpoints, but would count them among the known ones.
    fn announced_reports(&self) -> Vec<EndpointReport> {
        let mut announced = self
            .announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut reports = self.reports();
        let ready = reports.iter().filter(|report| report.ready);
        announced.extend(ready.map(|report| report.endpoint.clone()));
        reports.retain(|report| announced.contains(&report.endpoint));
        reports
    }

    /// Returns the reports of all endpoints in the order of their names.
    pub fn reports(&self) -> Vec<EndpointReport> {
        let engines = self
            .engines
            .values()
            .map(|engine| EndpointReport::clone(&engine.report()));
        let services = self
            .services
            .iter()
            .map(|(id, service)| service.report(id.clone()));
        let mut reports: Vec<_> = engines.chain(services).collect();
        reports.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
        reports
    }

    /// Starts the drain: announces it, refuses new work from here on, and refuses the requests
    /// that were not dispatched, so that their entries send them to other endpoints. Repeated
    /// calls have no effect.
    pub async fn start_draining(&self) {
        if self.draining.swap(true, Ordering::AcqRel) {
            return;
        }
        self.decisions
            .record(format!("event=leaving process={}", self.identity.process));
        self.change_signal.notify();
        for engine in self.engines.values() {
            engine.send(EngineEvent::Drain).await;
        }
    }

    /// Stops sending orders to the engines and releases their leases.
    ///
    /// The wait for an order whose answer was lost ends when the order can no longer take effect.
    /// If its result stays unknown, the leases are not released and expire.
    pub async fn release_endpoints(&self) {
        let quiesce = self.engines.values().map(EngineHandle::quiesce);
        let quiesced = timeout(self.limits.order_timeout * 2, join_all(quiesce)).await;
        if quiesced.is_ok() {
            self.lease.release().await;
        }
    }

    /// Returns whether nothing is in flight or unread.
    pub fn is_idle(&self) -> bool {
        self.answers.undelivered() == 0 && self.calls_in_flight() == 0
    }

    fn calls_in_flight(&self) -> u64 {
        self.services
            .values()
            .map(|service| service.in_flight.load(Ordering::Acquire))
            .sum()
    }

    fn check_admission(&self) -> Result<()> {
        if self.draining.load(Ordering::Acquire) {
            return Err(Error::new(
                ErrorKind::Draining,
                format!(
                    "agent {} is draining and accepts no new work",
                    self.identity.process
                ),
            ));
        }
        Ok(())
    }

    fn engine(&self, endpoint: &EndpointId) -> Result<&EngineHandle> {
        self.engines
            .get(endpoint)
            .ok_or_else(|| self.unknown_endpoint("engine", endpoint))
    }

    fn unknown_endpoint(&self, role: &str, endpoint: &EndpointId) -> Error {
        let process = &self.identity.process;
        not_found(format!("agent {process} has no {role} \"{endpoint}\""))
    }
}

impl ServiceEndpoint {
    fn report(&self, endpoint: EndpointId) -> EndpointReport {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        EndpointReport {
            endpoint,
            offer: self.offer.clone(),
            ready: self.ready.load(Ordering::Relaxed),
            load: EndpointLoad {
                in_flight: u16::try_from(in_flight).unwrap_or(u16::MAX),
                ..EndpointLoad::default()
            },
            resident: Vec::new(),
            loading: Vec::new(),
        }
    }
}

/// The RPC server of an agent: answers the calls of entries and operators.
#[derive(Clone)]
pub struct AgentServer {
    core: Arc<AgentCore>,
}

impl AgentServer {
    /// Creates a server of `core`.
    pub const fn new(core: Arc<AgentCore>) -> Self {
        Self { core }
    }
}

impl AgentRpc for AgentServer {
    async fn open_answer(
        self,
        _: Context,
        request: CompletionRequest,
        wait: Duration,
    ) -> Result<AnswerBatch> {
        let id = request.id;
        let known = self.core.answers.slot(id).ok();
        if let Some(slot) = known.filter(|slot| *slot.endpoint() == request.endpoint) {
            return slot.read(Sequence(0), wait).await;
        }
        self.core.check_admission()?;
        let endpoint = request.endpoint.clone();
        let engine = self.core.engine(&endpoint)?;
        if let Some(slot) = self.core.answers.open_slot(id, &endpoint, engine).await? {
            let event = EngineEvent::Arrived(Box::new(request), slot);
            engine.send(event).await;
        }
        self.core.answers.slot(id)?.read(Sequence(0), wait).await
    }

    async fn read_answer(self, _: Context, read: AnswerRead) -> Result<AnswerBatch> {
        let slot = self.core.answers.slot(read.id)?;
        slot.read(read.from, read.wait).await
    }

    async fn cancel_answer(self, _: Context, id: RequestId, endpoint: EndpointId) -> Result<()> {
        self.core.answers.cancel(id, &endpoint).await;
        Ok(())
    }

    async fn call_service(self, _: Context, request: ServiceRequest) -> Result<ServiceAnswer> {
        // A claim that was seen before is answered with its outcome, even during a drain.
        let seen = |claim: &ServiceClaim| self.core.service_executor.may_have_seen(claim);
        if !request.claim.as_ref().is_some_and(seen) {
            self.core.check_admission()?;
        }
        let endpoint = &request.endpoint;
        let Some(service) = self.core.services.get(endpoint) else {
            return Err(self.core.unknown_endpoint("service", endpoint));
        };
        self.core.service_executor.call(service, request).await
    }

    async fn settle_claim(self, _: Context, claim: ServiceClaim) -> Result<ClaimStatus> {
        self.core.service_executor.settle(&claim)
    }

    async fn status(self, _: Context) -> AgentStatus {
        AgentStatus {
            identity: self.core.identity.clone(),
            revision: self.core.revision.get(),
            draining: self.core.draining.load(Ordering::Acquire),
            endpoints: self.core.reports(),
            decisions: self.core.decisions.recent(),
        }
    }

    async fn drain(self, _: Context) -> Result<()> {
        self.core.start_draining().await;
        Ok(())
    }
}
