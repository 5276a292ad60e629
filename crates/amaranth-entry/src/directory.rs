//! The agents and endpoints that this entry knows.
//!
//! One control task owns the [`DirectoryOwner`] and publishes immutable snapshots; traffic reads
//! the latest one and never waits for control.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use amaranth_control::detector::FixedDetector;
use amaranth_control::membership::{
    DirectoryOptions, MemberChange, MemberDirectory, MemberEvent, MemberState,
};
use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::ids::{EndpointId, ProcessId, ServiceName};
use amaranth_core::membership::{AgentAnnouncement, ProcessIdentity};
use amaranth_core::time::Timestamp;
use amaranth_placement::router::{EndpointRouter, RouteQuery, RouteReason};
use arc_swap::ArcSwap;

use crate::agent_link::AgentLink;
use crate::settings::PeerTimes;

/// An endpoint with the way to it.
#[derive(Clone)]
pub struct EndpointHandle {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The agent beside it.
    pub agent: ProcessIdentity,
    /// The connection to the agent.
    pub link: Arc<AgentLink>,
    in_flight: Arc<AtomicU32>,
}

impl EndpointHandle {
    /// Counts a request at the endpoint until the returned guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            count: Arc::clone(&self.in_flight),
        }
    }
}

/// One request in flight at an endpoint.
pub struct InFlightGuard {
    count: Arc<AtomicU32>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What traffic sees of the agents.
#[derive(Clone, Default)]
pub struct DirectorySnapshot {
    router: EndpointRouter,
    endpoints: BTreeMap<EndpointId, EndpointHandle>,
    agents: BTreeMap<ProcessId, (ProcessIdentity, Arc<AgentLink>)>,
    announcements: Vec<AgentAnnouncement>,
}

impl DirectorySnapshot {
    /// Returns the endpoint for a completion and why it was chosen.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if none that is left serves the base model.
    pub fn route(
        &self,
        now: Timestamp,
        query: &RouteQuery,
    ) -> Result<(EndpointHandle, RouteReason)> {
        let no_endpoint = || {
            let base = query.target.base();
            Error::new(
                ErrorKind::NoEndpoint,
                format!("no reachable endpoint serves model {base}"),
            )
        };
        let choice = self.router.route(now, query).ok_or_else(no_endpoint)?;
        let handle = self
            .endpoints
            .get(&choice.endpoint)
            .ok_or_else(no_endpoint)?;
        Ok((handle.clone(), choice.reason))
    }

    /// Returns an instance of a plain service.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if none is left.
    pub fn route_service(
        &self,
        service: &ServiceName,
        excluded: &[EndpointId],
    ) -> Result<EndpointHandle> {
        self.router
            .route_service(service, excluded)
            .and_then(|endpoint| self.endpoints.get(&endpoint))
            .cloned()
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::NoEndpoint,
                    format!("no reachable instance of service {service}"),
                )
            })
    }

    /// Returns the connection to an agent, if it is known.
    pub fn agent(&self, process: &ProcessId) -> Option<&(ProcessIdentity, Arc<AgentLink>)> {
        self.agents.get(process)
    }

    /// Returns the connections to all agents.
    pub fn agents(&self) -> impl Iterator<Item = &Arc<AgentLink>> {
        self.agents.values().map(|(_, link)| link)
    }

    /// Returns the number of endpoints that agents have announced.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the last announcement of each agent.
    pub fn announcements(&self) -> &[AgentAnnouncement] {
        &self.announcements
    }
}

/// The snapshot that is current now.
pub type CurrentDirectory = Arc<ArcSwap<DirectorySnapshot>>;

/// The agents by their announcements.
type AgentDirectory = MemberDirectory<AgentAnnouncement, FixedDetector>;

/// The connection to one life of an agent.
struct AgentWay {
    identity: ProcessIdentity,
    link: Arc<AgentLink>,
}

/// Owns what is known of the agents.
pub struct DirectoryOwner {
    times: PeerTimes,
    agents: AgentDirectory,
    ways: BTreeMap<ProcessId, AgentWay>,
    counts: BTreeMap<EndpointId, Arc<AtomicU32>>,
    published: CurrentDirectory,
}

impl DirectoryOwner {
    /// Opens a directory that knows no agent.
    pub fn open(times: PeerTimes) -> Self {
        let detector = FixedDetector::open(times.announcement_timeout);
        Self {
            times,
            agents: AgentDirectory::open(DirectoryOptions::unscoped(), detector),
            ways: BTreeMap::new(),
            counts: BTreeMap::new(),
            published: Arc::default(),
        }
    }

    /// Returns where snapshots are published.
    pub fn published(&self) -> CurrentDirectory {
        Arc::clone(&self.published)
    }

    /// Takes an announcement, unless the directory knows a newer one.
    pub fn announce(&mut self, now: Timestamp, announcement: AgentAnnouncement) {
        self.handle(now, MemberEvent::Announced(announcement.into()));
    }

    /// Looks for agents that were silent for too long.
    pub fn tick(&mut self, now: Timestamp) {
        self.handle(now, MemberEvent::Tick);
    }

    fn handle(&mut self, now: Timestamp, event: MemberEvent<AgentAnnouncement>) {
        let changes = self.agents.handle(now, event);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            log_change(change);
        }
        self.keep_ways();
        self.publish(now);
    }

    /// Keeps one connection to the present life of each known agent.
    fn keep_ways(&mut self) {
        let agents = &self.agents;
        self.ways.retain(|process, _| agents.get(process).is_some());
        for agent in agents.known() {
            let identity = agent.identity();
            let known = self.ways.get(&identity.process);
            if known.is_some_and(|way| way.identity == *identity) {
                continue;
            }
            let way = AgentWay {
                identity: identity.clone(),
                link: Arc::new(AgentLink::open(
                    identity.address,
                    self.times.connect_timeout,
                )),
            };
            self.ways.insert(identity.process.clone(), way);
        }
    }

    fn publish(&mut self, now: Timestamp) {
        let mut snapshot = DirectorySnapshot {
            router: EndpointRouter::open(),
            ..DirectorySnapshot::default()
        };
        for agent in self.agents.known() {
            let identity = agent.identity();
            let Some(way) = self.ways.get(&identity.process) else {
                continue;
            };
            // A suspected or leaving agent gets no new work, but can still be asked about old.
            let link = (identity.clone(), Arc::clone(&way.link));
            snapshot.agents.insert(identity.process.clone(), link);
            snapshot.announcements.push(agent.payload().clone());
            if agent.state() != MemberState::Live {
                continue;
            }
            for report in &agent.payload().endpoints {
                let count = self.counts.entry(report.endpoint.clone()).or_default();
                let handle = EndpointHandle {
                    endpoint: report.endpoint.clone(),
                    agent: identity.clone(),
                    link: Arc::clone(&way.link),
                    in_flight: Arc::clone(count),
                };
                snapshot.endpoints.insert(report.endpoint.clone(), handle);
                snapshot.router.report(now, report.clone());
            }
        }
        self.published.store(Arc::new(snapshot));
    }
}

/// Logs a change that operators look for.
fn log_change(change: &MemberChange) {
    match change {
        MemberChange::Updated(_) => {}
        MemberChange::Joined(agent) => log::info!("event=agent_joined agent={agent}"),
        MemberChange::Replaced(agent) => log::info!("event=agent_replaced agent={agent}"),
        MemberChange::Leaving(agent) => log::info!("event=agent_leaving agent={agent}"),
        MemberChange::Restored(agent) => log::info!("event=agent_restored agent={agent}"),
        MemberChange::Suspected(agent) => log::warn!("event=agent_suspected agent={agent}"),
        MemberChange::Gone(agent) => log::warn!("event=agent_gone agent={agent}"),
    }
}
