//! Announcements of agents to entries, with reports about their endpoints.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::{
    AdapterRef, ConfigRevision, DataCentreName, EndpointId, Incarnation, ModelName, ProcessId,
    RegionName, ServiceName,
};

/// The identity, address and location of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// The name of the process.
    pub process: ProcessId,
    /// The current incarnation of the process.
    pub incarnation: Incarnation,
    /// The address of the process's tarpc service.
    pub address: SocketAddr,
    /// The data centre in which the process runs.
    pub data_centre: DataCentreName,
    /// The region in which the process runs.
    pub region: RegionName,
}

/// The models or the service that an endpoint offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointOffer {
    /// A model engine.
    Engine {
        /// The base models that the engine serves.
        bases: SmallVec<[ModelName; 2]>,
        /// The number of adapters that can be resident at once.
        adapter_slots: u16,
        /// The number of requests that the engine batches at once.
        batch_slots: u16,
    },
    /// An instance of a plain service.
    Service(ServiceName),
}

/// The load of one endpoint, as its agent counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The number of requests dispatched to the endpoint that have not ended.
    pub in_flight: u16,
    /// The number of requests queued at the agent.
    pub queued: u16,
    /// The number of adapter loads that wait for a permit or are in progress.
    pub loads_pending: u16,
    /// The number of adapter slots that are available for further loads.
    pub spare_slots: u16,
    /// The demand for the next adapter to be evicted, in requests per million seconds.
    pub eviction_cost: u32,
}

/// The report of an agent about one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// The offer of the endpoint.
    pub offer: EndpointOffer,
    /// Whether the agent holds the lease on the endpoint and the endpoint responds.
    pub ready: bool,
    /// The load of the endpoint.
    pub load: EndpointLoad,
    /// The resident adapters, sorted.
    pub resident: Vec<AdapterRef>,
    /// The adapters that wait for a permit or are being loaded, sorted.
    pub loading: Vec<AdapterRef>,
}

/// An announcement of an agent to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentAnnouncement {
    /// The identity of the agent.
    pub identity: ProcessIdentity,
    /// The sequence number within one incarnation, by which announcements out of order are dropped.
    pub sequence: u64,
    /// Whether the agent is draining and accepts no new work.
    pub draining: bool,
    /// The configuration revision that the agent applies.
    pub revision: ConfigRevision,
    /// The reports about the endpoints of the agent.
    pub endpoints: Vec<EndpointReport>,
}
