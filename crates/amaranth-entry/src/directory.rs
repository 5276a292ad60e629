//! The agents and endpoints that this entry knows.
//!
//! The control thread owns the membership and publishes who can be reached as immutable
//! snapshots. The router's own counts must be exact between two requests, so it stands beside the
//! snapshots behind a lock that is held for one decision or one report at a time.

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
use crate::endpoint_visit::EndpointVisit;
use crate::settings::PeerTimes;

/// When a caller should come back if no endpoint is reachable: breakers probe again by then.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// An endpoint with the way to it.
#[derive(Clone)]
pub struct EndpointHandle {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The agent beside it.
    pub agent: ProcessIdentity,
    /// The connection to the agent.
    pub link: Arc<AgentLink>,
    /// Keeps calls away while the endpoint fails.
    pub breaker: Arc<Mutex<CircuitBreaker>>,
}

/// An agent with the way to it.
#[derive(Clone)]
pub struct AgentHandle {
    /// Who it is.
    pub identity: ProcessIdentity,
    /// The connection to it.
    pub link: Arc<AgentLink>,
}

/// Who can be reached.
#[derive(Default)]
struct DirectorySnapshot {
    endpoints: BTreeMap<EndpointId, EndpointHandle>,
    agents: BTreeMap<ProcessId, AgentHandle>,
}

/// What traffic sees of the agents.
pub struct Directory {
    clock: MonotonicClock,
    snapshot: ArcSwap<DirectorySnapshot>,
    router: Mutex<EndpointRouter>,
}

impl Directory {
    fn open(clock: MonotonicClock) -> Self {
        Self {
            clock,
            snapshot: ArcSwap::default(),
            router: Mutex::new(EndpointRouter::new()),
        }
    }

    /// Chooses the endpoint of a completion, and counts the request there until the visit ends.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if none that is left serves the base model.
    pub fn visit(self: &Arc<Self>, query: &RouteQuery) -> Result<(EndpointVisit, RouteReason)> {
        let now = self.clock.now();
        let snapshot = self.snapshot.load();
        let mut query = query.clone();
        let mut router = self.lock_router();
        while let Some(choice) = router.route(now, &query) {
            let handle = snapshot.endpoints.get(&choice.endpoint);
            let passed = handle.and_then(|handle| EndpointVisit::begin(self, handle, now));
            if let Some(visit) = passed {
                router.record_started_for(now, &choice.endpoint, &query.target);
                return Ok((visit, choice.reason));
            }
            query.excluded.push(choice.endpoint);
        }
        Err(no_endpoint_for(query.target.base()))
    }

    /// Chooses an instance of a plain service.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if none is left.
    pub fn choose_service(
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
        Err(Error::new(ErrorKind::NoEndpoint, message).with_retry_after(NO_ENDPOINT_RETRY))
    }

    /// Returns the endpoint of that name, if its agent is not taken for dead.
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<EndpointHandle> {
        self.snapshot.load().endpoints.get(endpoint).cloned()
    }

    /// Counts a call at `handle` until the visit ends, or returns nothing if its breaker is open.
    pub fn visit_service(self: &Arc<Self>, handle: &EndpointHandle) -> Option<EndpointVisit> {
        let visit = EndpointVisit::begin(self, handle, self.clock.now())?;
        self.lock_router().record_started(&handle.endpoint);
        Some(visit)
    }

    /// Returns the agent of that name, if it is not taken for dead.
    pub fn agent(&self, process: &ProcessId) -> Option<AgentHandle> {
        self.snapshot.load().agents.get(process).cloned()
    }

    /// Returns the connections to all agents.
    pub fn links(&self) -> Vec<Arc<AgentLink>> {
        let snapshot = self.snapshot.load();
        let agents = snapshot.agents.values();
        agents.map(|agent| Arc::clone(&agent.link)).collect()
    }

    /// Returns the number of endpoints that can be reached.
    pub fn endpoint_count(&self) -> usize {
        self.snapshot.load().endpoints.len()
    }

    /// Returns the time as the directory sees it.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Notes that a visit ended.
    pub(crate) fn finished(&self, endpoint: &EndpointId) {
        self.lock_router().record_finished(endpoint);
    }

    fn lock_router(&self) -> MutexGuard<'_, EndpointRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Locks a breaker for one decision.
pub(crate) fn lock_breaker(breaker: &Mutex<CircuitBreaker>) -> MutexGuard<'_, CircuitBreaker> {
    breaker.lock().unwrap_or_else(PoisonError::into_inner)
}

fn no_endpoint_for(base: &ModelName) -> Error {
    let message = format!("no reachable endpoint serves model {base}");
    Error::new(ErrorKind::NoEndpoint, message).with_retry_after(NO_ENDPOINT_RETRY)
}

/// Owns what is known of the agents. It lives on the control thread.
pub struct DirectoryOwner {
    times: PeerTimes,
    policy: RouterOptions,
    members: MemberDirectory<AgentAnnouncement, FixedDetector>,
    links: BTreeMap<ProcessId, AgentHandle>,
    breakers: BTreeMap<EndpointId, Arc<Mutex<CircuitBreaker>>>,
    directory: Arc<Directory>,
}

impl DirectoryOwner {
    /// Opens a directory that knows no agent.
    pub fn open(times: PeerTimes, clock: MonotonicClock) -> Self {
        let detector = FixedDetector::new(times.announcement_timeout);
        Self {
            times,
            policy: RouterOptions::default(),
            members: MemberDirectory::new(DirectoryOptions::unscoped(), detector),
            links: BTreeMap::new(),
            breakers: BTreeMap::new(),
            directory: Arc::new(Directory::open(clock)),
        }
    }

    /// Returns what traffic sees.
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory)
    }

    /// Returns the last announcement of each agent that is not taken for dead.
    pub fn announcements(&self) -> Vec<AgentAnnouncement> {
        let known = self.members.known();
        known.map(|member| member.payload().clone()).collect()
    }

    /// Takes an announcement, unless a later one of the same agent came before it.
    pub fn announce(&mut self, now: Timestamp, announcement: AgentAnnouncement) {
        self.handle(now, MemberEvent::Announced(announcement.into()));
    }

    /// Weighs by another policy from now on. The router starts anew from the known reports.
    pub fn set_policy(&mut self, now: Timestamp, options: RouterOptions) {
        if self.policy == options {
            return;
        }
        self.policy = options;
        *self.directory.lock_router() = EndpointRouter::with_options(options);
        let known: Vec<_> = self.links.keys().cloned().collect();
        for process in &known {
            self.put_reports(now, process);
        }
    }

    /// Looks for agents that were silent for too long.
    pub fn tick(&mut self, now: Timestamp) {
        self.handle(now, MemberEvent::Tick);
    }

    fn handle(&mut self, now: Timestamp, event: MemberEvent<AgentAnnouncement>) {
        let changes = self.members.handle(now, event);
        for change in &changes {
            self.take_change(now, change);
        }
        if changes.iter().any(|change| self.alters_snapshot(change)) {
            self.publish();
        }
    }

    /// Returns whether a change concerns who can be reached. A usual update tells load and
    /// adapters only, which the router takes: the endpoints of one life of an agent are fixed.
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

    fn take_change(&mut self, now: Timestamp, change: &MemberChange) {
        match change {
            MemberChange::Joined(process) | MemberChange::Replaced(process) => {
                log::info!("event=agent_found agent={process}");
                self.links.remove(process);
                self.put_reports(now, process);
            }
            MemberChange::Updated(process) => self.put_reports(now, process),
            MemberChange::Restored(process) => {
                log::info!("event=agent_restored agent={process}");
                self.put_reports(now, process);
            }
            MemberChange::Draining(process) => {
                log::info!("event=agent_leaving agent={process}");
                self.drop_reports(process);
            }
            MemberChange::Suspected(process) => {
                log::warn!("event=agent_suspected agent={process}");
                self.drop_reports(process);
            }
            MemberChange::Removed(process) => {
                log::warn!("event=agent_lost agent={process}");
                self.drop_reports(process);
                self.links.remove(process);
            }
        }
    }

    /// Gives the router the reports of an agent that takes new work.
    fn put_reports(&mut self, now: Timestamp, process: &ProcessId) {
        let Some(member) = self.members.get(process) else {
            return;
        };
        if member.state() != MemberState::Live {
            return self.drop_reports(process);
        }
        let mut router = self.directory.lock_router();
        for report in &member.payload().endpoints {
            router.apply_report(now, report.clone());
        }
    }

    fn drop_reports(&self, process: &ProcessId) {
        let snapshot = self.directory.snapshot.load();
        let mut router = self.directory.lock_router();
        for handle in snapshot.endpoints.values() {
            if handle.agent.process == *process {
                router.remove(&handle.endpoint);
            }
        }
    }

    /// Publishes who can be reached, if that changed.
    fn publish(&mut self) {
        let mut snapshot = DirectorySnapshot::default();
        for member in self.members.known() {
            let identity = member.identity();
            let agent = self
                .links
                .entry(identity.process.clone())
                .or_insert_with(|| AgentHandle {
                    identity: identity.clone(),
                    link: Arc::new(AgentLink::open(
                        identity.address,
                        self.times.connect_timeout,
                    )),
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
        self.directory.snapshot.store(Arc::new(snapshot));
    }
}

/// Returns the query for the first try of a request.
pub fn first_query(target: ModelTarget) -> RouteQuery {
    RouteQuery {
        target,
        excluded: smallvec::SmallVec::new(),
    }
}
