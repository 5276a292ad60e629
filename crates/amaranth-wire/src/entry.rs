//! The RPC service of an entry.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::Result;
use amaranth_core::ids::{AdapterRef, ConfigRevision, DataCentreName, EndpointId, ModelName};
use amaranth_core::membership::{AgentAnnouncement, ProcessIdentity};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::transport;

/// The reply to an announcement of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Whether the entry lacks the base of an incremental announcement and needs a full one next.
    pub wants_full: bool,
    /// The configuration revision in force at the entry.
    pub revision: ConfigRevision,
}

/// A summary of the capacity of one data centre, which entries send to other data centres in place
/// of the details of each endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// The entry that sends the summary.
    pub identity: ProcessIdentity,
    /// The number of the summary within one incarnation.
    pub sequence: u64,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// One row for each base model.
    pub bases: Vec<BaseSummary>,
}

/// The capacity of a data centre for one base model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseSummary {
    /// The base model.
    pub base: ModelName,
    /// The number of ready engines.
    pub engines: u32,
    /// The number of free batch slots.
    pub free_slots: u32,
    /// The number of queued requests.
    pub queued: u32,
}

/// A request to the load broker for a permit to load an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The engine that would load the adapter.
    pub endpoint: EndpointId,
    /// The adapter.
    pub adapter: AdapterRef,
    /// The waiting time that the load would save, in milliseconds summed over all waiting requests.
    pub saved_wait_ms: u64,
    /// Whether this renews a permit whose load is still in transit.
    pub renewal: bool,
}

/// The load broker's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The load may start. The permit expires after this time unless it is renewed or returned.
    Granted(Duration),
    /// Other loads have priority. The request may be repeated after this time.
    Wait(Duration),
    /// Another entry is the load broker.
    NotBroker,
}

/// Part of a configuration snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The revision of the whole snapshot.
    pub revision: ConfigRevision,
    /// The index of this part.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The bytes of this part.
    pub data: Bytes,
}

/// The state of an entry, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The process.
    pub identity: ProcessIdentity,
    /// The configuration revision in force.
    pub revision: ConfigRevision,
    /// Whether the entry is caught up and accepts requests.
    pub ready: bool,
    /// Whether the entry is draining and accepts no new work.
    pub draining: bool,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The last announcement of each known agent.
    pub agents: Vec<AgentAnnouncement>,
    /// Recent decisions, newest last, one line of key=value pairs each.
    pub decisions: Vec<String>,
}

/// The calls that an entry answers.
#[tarpc::service]
pub trait EntryRpc {
    /// Records an announcement of an agent.
    async fn announce(announcement: AgentAnnouncement) -> Result<AnnouncementReply>;

    /// Records a summary of another data centre.
    async fn summarize(summary: DataCentreSummary) -> Result<()>;

    /// Requests a permit to load an adapter.
    async fn request_permit(request: PermitRequest) -> Result<PermitReply>;

    /// Returns a permit whose load has ended.
    async fn return_permit(endpoint: EndpointId, adapter: AdapterRef) -> Result<()>;

    /// Returns one part of the configuration snapshot.
    async fn snapshot_part(revision: Option<ConfigRevision>, index: u32) -> Result<SnapshotPart>;

    /// Returns the entry's state.
    async fn status() -> EntryStatus;

    /// Stops admission permanently. The entry ends when nothing is in flight.
    async fn drain() -> Result<()>;
}

/// Connects to an entry within `timeout` and spawns its client.
///
/// # Errors
///
/// Returns an error when the entry can't be reached in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<EntryRpcClient> {
    let transport = transport::connect(address, timeout).await?;
    Ok(EntryRpcClient::new(tarpc::client::Config::default(), transport).spawn())
}
