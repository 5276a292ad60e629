//! Directory of the agents and endpoints that this entry knows.
//!
//! The control thread owns the membership and publishes the known agents and endpoints as immutable
//! snapshots. The router's own counts must be exact between two requests, so the router is kept
//! apart from the snapshots, behind a lock that is held for one decision or one report at a time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_control::breaker::{BreakerOptions, CircuitBreaker};
use amaranth_control::detector::FixedDetector;
use amaranth_control::membership::{
    DirectoryOptions, MemberChange, MemberDirectory, MemberEvent, MemberState,
};
use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::ids::{EndpointId, ModelName, ProcessId, ServiceName};
use amaranth_core::membership::{AgentAnnouncement, EndpointReport, ProcessIdentity};
use amaranth_core::request::ModelTarget;
use amaranth_core::time::{MonotonicClock, Timestamp};
use amaranth_placement::router::{EndpointRouter, RouteQuery, RouteReason, RouterOptions};
use arc_swap::ArcSwap;

use crate::agent_link::AgentLink;
use crate::endpoint_attempt::EndpointAttempt;
use crate::settings::PeerTimes;

/// Delay after which a caller should retry if no endpoint is reachable. Open breakers admit a probe
/// by then.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handle of a known endpoint, with the link to its agent and its circuit breaker.
#[derive(Clone)]
pub struct EndpointHandle {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The identity of the endpoint's agent.
    pub agent: ProcessIdentity,
    /// The link to the agent.
    pub link: Arc<AgentLink>,
    /// The circuit breaker of the endpoint.
    pub breaker: Arc<Mutex<CircuitBreaker>>,
}

/// Handle of a known agent, with the link to it.
#[derive(Clone)]
pub struct AgentHandle {
    /// The identity of the agent.
    pub identity: ProcessIdentity,
    /// The link to the agent.
    pub link: Arc<AgentLink>,
}

/// Immutable snapshot of the agents that were not removed and of their endpoints.
#[derive(Default)]
struct DirectorySnapshot {
    endpoints: BTreeMap<EndpointId, EndpointHandle>,
    agents: BTreeMap<ProcessId, AgentHandle>,
}

/// The directory as requests use it: the published snapshot and the router.
pub struct Directory {
    clock: MonotonicClock,
    snapshot: ArcSwap<DirectorySnapshot>,
    router: Mutex<EndpointRouter>,
}

impl Directory {
    fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            snapshot: ArcSwap::default(),
            router: Mutex::new(EndpointRouter::new()),
        }
    }

    /// Selects the endpoint of a completion and starts an attempt there, which counts as in flight
    /// until it is dropped.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if every reachable endpoint of the base model is excluded or its breaker is
    /// open.
    pub fn start_attempt(
        self: &Arc<Self>,
        query: &RouteQuery,
    ) -> Result<(EndpointAttempt, RouteReason)> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        let mut query = query.clone();
        let mut router = self.lock_router();
        while let Some(choice) = router.route(now, &query) {
            let handle = snapshot.endpoints.get(&choice.endpoint);
            let started = handle.and_then(|handle| EndpointAttempt::begin(self, handle, now));
            if let Some(attempt) = started {
                router.record_started_for(now, &choice.endpoint, &query.target);
                return Ok((attempt, choice.reason));
            }
            query.excluded.push(choice.endpoint);
        }
        Err(no_endpoint_for(query.target.base()))
    }

    /// Selects an instance of a plain service.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if every reachable instance is excluded or its breaker is open.
    pub fn select_service(
        &self,
        service: &ServiceName,
        excluded: &[EndpointId],
    ) -> Result<EndpointHandle> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        let mut excluded = excluded.to_vec();
        let router = self.lock_router();
        while let Some(endpoint) = router.route_service(service, &excluded) {
            match snapshot.endpoints.get(&endpoint) {
                Some(handle) if lock_breaker(&handle.breaker).is_call_permitted(now) => {
                    return Ok(handle.clone());
                }
                _ => excluded.push(endpoint),
            }
        }
        let message = format!("no reachable instance of service {service}");
        Err(Error::new(ErrorKind::NoEndpoint, message).with_retry_after(NO_ENDPOINT_RETRY_AFTER))
    }

    /// Returns the endpoint with this id, unless its agent was removed.
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<EndpointHandle> {
        self.snapshot.load().endpoints.get(endpoint).cloned()
    }

    /// Starts an attempt at the service instance `handle`, which counts as in flight until it is
    /// dropped. Returns `None` if its breaker is open.
    pub fn start_service_attempt(
        self: &Arc<Self>,
        handle: &EndpointHandle,
    ) -> Option<EndpointAttempt> {
        let attempt = EndpointAttempt::begin(self, handle, self.clock.now())?;
        self.lock_router().record_started(&handle.endpoint);
        Some(attempt)
    }

    /// Returns the agent with this process id, unless it was removed.
    pub fn agent(&self, process: &ProcessId) -> Option<AgentHandle> {
        self.snapshot.load().agents.get(process).cloned()
    }

    /// Returns the links to all agents.
    pub fn links(&self) -> Vec<Arc<AgentLink>> {
        let snapshot = self.snapshot.load();
        let agents = snapshot.agents.values();
        agents.map(|agent| Arc::clone(&agent.link)).collect()
    }

    /// Returns the number of endpoints of the known agents.
    pub fn endpoint_count(&self) -> usize {
        self.snapshot.load().endpoints.len()
    }

    /// Returns the current time of the directory's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Records that an attempt at `endpoint` ended.
    pub(crate) fn record_finished(&self, endpoint: &EndpointId) {
        self.lock_router().record_finished(endpoint);
    }

    fn lock_router(&self) -> MutexGuard<'_, EndpointRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Locks a circuit breaker for one decision or one report.
pub(crate) fn lock_breaker(breaker: &Mutex<CircuitBreaker>) -> MutexGuard<'_, CircuitBreaker> {
    breaker.lock().unwrap_or_else(PoisonError::into_inner)
}

fn no_endpoint_for(base: &ModelName) -> Error {
    let message = format!("no reachable endpoint serves model {base}");
    Error::new(ErrorKind::NoEndpoint, message).with_retry_after(NO_ENDPOINT_RETRY_AFTER)
}

/// Owner of the directory on the control thread: applies announcements to the membership, passes
/// reports to the router and publishes snapshots.
pub struct DirectoryOwner {
    times: PeerTimes,
    policy: RouterOptions,
    members: MemberDirectory<AgentAnnouncement, FixedDetector>,
    links: BTreeMap<ProcessId, AgentHandle>,
    breakers: BTreeMap<EndpointId, Arc<Mutex<CircuitBreaker>>>,
    directory: Arc<Directory>,
}

impl DirectoryOwner {
    /// Creates the owner of an empty directory.
    pub fn new(times: PeerTimes, clock: MonotonicClock) -> Self {
        let detector = FixedDetector::new(times.announcement_timeout);
        Self {
            times,
            policy: RouterOptions::default(),
            members: MemberDirectory::new(DirectoryOptions::unscoped(), detector),
            links: BTreeMap::new(),
            breakers: BTreeMap::new(),
            directory: Arc::new(Directory::new(clock)),
        }
    }

    /// Returns the directory that requests use.
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory)
    }

    /// Returns the last announcement of each agent that was not removed.
    pub fn announcements(&self) -> Vec<AgentAnnouncement> {
        let known = self.members.known();
        known.map(|member| member.payload().clone()).collect()
    }

    /// Returns the number of circuit breakers that are kept.
    pub fn breakers(&self) -> usize {
        self.breakers.len()
    }

    /// Applies an announcement, unless a later one of the same agent was applied before it.
    pub fn apply_announcement(&mut self, now: Timestamp, announcement: AgentAnnouncement) {
        self.handle(now, MemberEvent::Announced(announcement.into()));
    }

    /// Sets the options of the router. If they change, the router is rebuilt from the known
    /// reports.
    pub fn set_policy(&mut self, now: Timestamp, options: RouterOptions) {
        if self.policy == options {
            return;
        }
        self.policy = options;
        *self.directory.lock_router() = EndpointRouter::with_options(options);
        let known: Vec<_> = self.links.keys().cloned().collect();
        for process in &known {
            self.apply_reports(now, process);
        }
    }

    /// Detects agents whose announcements have stopped.
    pub fn tick(&mut self, now: Timestamp) {
        self.handle(now, MemberEvent::Tick);
    }

    fn handle(&mut self, now: Timestamp, event: MemberEvent<AgentAnnouncement>) {
        let changes = self.members.handle(now, event);
        for change in &changes {
            self.apply_change(now, change);
        }
        if changes.iter().any(|change| self.alters_snapshot(change)) {
            self.publish();
        }
    }

    /// Returns whether a change alters the snapshot. A usual update carries only load and adapters,
    /// which go to the router: the endpoints of one incarnation of an agent are fixed.
    fn alters_snapshot(&self, change: &MemberChange) -> bool {
        let MemberChange::Updated(process) = change else {
            return true;
        };
        let snapshot = self.directory.snapshot.load();
        let is_new = |report: &EndpointReport| !snapshot.endpoints.contains_key(&report.endpoint);
        self.members
            .get(process)
            .is_some_and(|member| member.payload().endpoints.iter().any(is_new))
    }

    fn apply_change(&mut self, now: Timestamp, change: &MemberChange) {
        match change {
            MemberChange::Joined(process) | MemberChange::Replaced(process) => {
                log::info!("event=agent_found agent={process}");
                self.links.remove(process);
                self.apply_reports(now, process);
            }
            MemberChange::Updated(process) => self.apply_reports(now, process),
            MemberChange::Restored(process) => {
                log::info!("event=agent_restored agent={process}");
                self.apply_reports(now, process);
            }
            MemberChange::Draining(process) => {
                log::info!("event=agent_leaving agent={process}");
                self.remove_reports(process);
            }
            MemberChange::Suspected(process) => {
                log::warn!("event=agent_suspected agent={process}");
                self.remove_reports(process);
            }
            MemberChange::Removed(process) => {
                log::warn!("event=agent_lost agent={process}");
                self.remove_reports(process);
                self.links.remove(process);
            }
        }
    }

    /// Passes the reports of a live agent to the router, and removes those of any other agent.
    fn apply_reports(&mut self, now: Timestamp, process: &ProcessId) {
        let Some(member) = self.members.get(process) else {
            return;
        };
        if member.state() != MemberState::Live {
            return self.remove_reports(process);
        }
        let mut router = self.directory.lock_router();
        for report in &member.payload().endpoints {
            router.apply_report(now, report.clone());
        }
    }

    /// Removes the agent's endpoints from the router.
    fn remove_reports(&self, process: &ProcessId) {
        let snapshot = self.directory.snapshot.load();
        let mut router = self.directory.lock_router();
        for handle in snapshot.endpoints.values() {
            if handle.agent.process == *process {
                router.remove(&handle.endpoint);
            }
        }
    }

    /// Publishes a snapshot of the known agents and their endpoints.
    fn publish(&mut self) {
        let mut snapshot = DirectorySnapshot::default();
        for member in self.members.known() {
            let identity = member.identity();
            let agent = self
                .links
                .entry(identity.process.clone())
                .or_insert_with(|| AgentHandle {
                    identity: identity.clone(),
                    link: Arc::new(AgentLink::new(identity.address, self.times.connect_timeout)),
                })
                .clone();
            for report in &member.payload().endpoints {
                let breaker = self
                    .breakers
                    .entry(report.endpoint.clone())
                    .or_insert_with(|| {
                        Arc::new(Mutex::new(CircuitBreaker::new(BreakerOptions::default())))
                    });
                let handle = EndpointHandle {
                    endpoint: report.endpoint.clone(),
                    agent: identity.clone(),
                    link: Arc::clone(&agent.link),
                    breaker: Arc::clone(breaker),
                };
                snapshot.endpoints.insert(report.endpoint.clone(), handle);
            }
            snapshot.agents.insert(identity.process.clone(), agent);
        }
        // A handle in use keeps the breaker of a removed endpoint until its attempts end.
        self.breakers
            .retain(|endpoint, _| snapshot.endpoints.contains_key(endpoint));
        self.directory.snapshot.store(Arc::new(snapshot));
    }
}

/// Returns the query for the first attempt of a request, which excludes no endpoint.
pub fn first_query(target: ModelTarget) -> RouteQuery {
    RouteQuery {
        target,
        excluded: smallvec::SmallVec::new(),
    }
}
