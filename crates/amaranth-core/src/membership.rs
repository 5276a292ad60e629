//! What agents tell entries about themselves and their endpoints.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::{
    AdapterRef, ConfigRevision, DataCentreName, EndpointId, Incarnation, ModelName, ProcessId,
    RegionName, ServiceName,
};

/// Where a process runs and how to reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// The process.
    pub process: ProcessId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// The address of its tarpc service.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its region.
    pub region: RegionName,
}

/// What an endpoint offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointOffer {
    /// A model engine.
    Engine {
        /// The base models it serves.
        bases: SmallVec<[ModelName; 2]>,
        /// Adapters that can be resident at once.
        adapter_slots: u16,
        /// Requests that the engine batches at once.
        batch_slots: u16,
    },
    /// An instance of a plain service.
    Service(ServiceName),
}

/// The load of one endpoint as its agent counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests dispatched to the endpoint and not ended.
    pub in_flight: u16,
    /// Requests waiting at the agent.
    pub queued: u16,
    /// Adapter loads waiting for a permit or in transit.
    pub loads_pending: u16,
    /// Adapter slots that a further load could take.
    pub spare_slots: u16,
    /// Demand that the next eviction loses, in requests per million seconds.
    pub eviction_cost: u32,
}

/// Everything an agent says about one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it offers.
    pub offer: EndpointOffer,
    /// Whether the agent holds the lease and the endpoint answers.
    pub ready: bool,
    /// The load.
    pub load: EndpointLoad,
    /// Resident adapters, sorted.
    pub resident: Vec<AdapterRef>,
    /// Adapters that are loading, sorted.
    pub loading: Vec<AdapterRef>,
}

/// One announcement of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentAnnouncement {
    /// Who announces.
    pub identity: ProcessIdentity,
    /// Counts the announcements of one incarnation, so that crossed ones are dropped.
    pub sequence: u64,
    /// Whether the agent takes no new work.
    pub leaving: bool,
    /// The configuration revision in force at the agent.
    pub revision: ConfigRevision,
    /// The endpoints.
    pub endpoints: Vec<EndpointReport>,
}
