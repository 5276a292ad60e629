//! The agents and endpoints that this entry knows.
//!
//! One control task owns the [`DirectoryOwner`] and publishes immutable snapshots; traffic reads
//! the latest one and never waits for control.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

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

/// One agent as its last announcement describes it.
struct KnownAgent {
    announcement: AgentAnnouncement,
    heard: Timestamp,
    link: Arc<AgentLink>,
}

/// Owns what is known of the agents.
pub struct DirectoryOwner {
    times: PeerTimes,
    agents: BTreeMap<ProcessId, KnownAgent>,
    counts: BTreeMap<EndpointId, Arc<AtomicU32>>,
    published: CurrentDirectory,
}

impl DirectoryOwner {
    /// Opens a directory that knows no agent.
    pub fn open(times: PeerTimes) -> Self {
        Self {
            times,
            agents: BTreeMap::new(),
            counts: BTreeMap::new(),
            published: Arc::default(),
        }
    }

    /// Returns where snapshots are published.
    pub fn published(&self) -> CurrentDirectory {
        Arc::clone(&self.published)
    }

    /// Takes an announcement, unless a later one of the same agent came before it.
    pub fn announce(&mut self, now: Timestamp, announcement: AgentAnnouncement) {
        let process = announcement.identity.process.clone();
        let known = self.agents.get(&process);
        if known.is_some_and(|known| is_older(&announcement, &known.announcement)) {
            return;
        }
        let link = match known {
            Some(known) if known.announcement.identity == announcement.identity => {
                Arc::clone(&known.link)
            }
            _ => {
                let identity = &announcement.identity;
                log::info!(
                    "event=agent_found agent={process} incarnation={} address={}",
                    identity.incarnation,
                    identity.address
                );
                Arc::new(AgentLink::open(
                    identity.address,
                    self.times.connect_timeout,
                ))
            }
        };
        let agent = KnownAgent {
            announcement,
            heard: now,
            link,
        };
        self.agents.insert(process, agent);
        self.publish(now);
    }

    /// Drops the agents that were silent for too long.
    pub fn tick(&mut self, now: Timestamp) {
        let limit = self.times.announcement_timeout;
        let count = self.agents.len();
        self.agents.retain(|process, agent| {
            let alive = now.since(agent.heard) < limit;
            if !alive {
                log::warn!("event=agent_lost agent={process}");
            }
            alive
        });
        if self.agents.len() != count {
            self.publish(now);
        }
    }

    fn publish(&mut self, now: Timestamp) {
        let mut snapshot = DirectorySnapshot {
            router: EndpointRouter::open(),
            ..DirectorySnapshot::default()
        };
        for (process, agent) in &self.agents {
            let identity = agent.announcement.identity.clone();
            let way = (identity.clone(), Arc::clone(&agent.link));
            snapshot.agents.insert(process.clone(), way);
            snapshot.announcements.push(agent.announcement.clone());
            if agent.announcement.leaving {
                continue;
            }
            for report in &agent.announcement.endpoints {
                let count = self.counts.entry(report.endpoint.clone()).or_default();
                let handle = EndpointHandle {
                    endpoint: report.endpoint.clone(),
                    agent: identity.clone(),
                    link: Arc::clone(&agent.link),
                    in_flight: Arc::clone(count),
                };
                snapshot.endpoints.insert(report.endpoint.clone(), handle);
                snapshot.router.report(now, report.clone());
            }
        }
        self.published.store(Arc::new(snapshot));
    }
}

/// Returns whether `announcement` was made before `known` by the same life of the agent.
fn is_older(announcement: &AgentAnnouncement, known: &AgentAnnouncement) -> bool {
    announcement.identity.incarnation == known.identity.incarnation
        && announcement.sequence <= known.sequence
}
