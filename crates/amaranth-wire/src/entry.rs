//! The service of an entry.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::Result;
use amaranth_core::ids::{AdapterRef, ConfigRevision, DataCentreName, EndpointId, ModelName};
use amaranth_core::membership::{AgentAnnouncement, ProcessIdentity};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::transport;

/// What an agent learns from announcing itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// Whether the entry lacks a base for the announcement and wants a full one next.
    pub wants_full: bool,
    /// The configuration revision in force at the entry.
    pub revision: ConfigRevision,
}

/// What entries of one data centre tell those of another, in place of each endpoint's detail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// The entry that speaks.
    pub identity: ProcessIdentity,
    /// Counts the summaries of one incarnation.
    pub sequence: u64,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// One row for each base model.
    pub bases: Vec<BaseSummary>,
}

/// The room that a data centre has for one base model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseSummary {
    /// The base model.
    pub base: ModelName,
    /// Ready engines.
    pub engines: u32,
    /// Batch slots that are free.
    pub free_slots: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Asks the load broker for leave to load an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The engine that would load.
    pub endpoint: EndpointId,
    /// The adapter.
    pub adapter: AdapterRef,
    /// Waiting that the load would save, in milliseconds over all waiting requests.
    pub saved_wait_ms: u64,
    /// Whether this renews a permit whose load is still in transit.
    pub renewal: bool,
}

/// The load broker's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The load may start; the permit lapses after this time unless renewed or returned.
    Granted(Duration),
    /// Others come first; ask again after this time.
    Wait(Duration),
    /// The broker's duty is held by another entry.
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
    /// The bytes.
    pub data: Bytes,
}

/// What an entry says of itself to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The process.
    pub identity: ProcessIdentity,
    /// The configuration revision in force.
    pub revision: ConfigRevision,
    /// Whether the entry is caught up and takes requests.
    pub ready: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// The agents it knows, by their last announcement.
    pub agents: Vec<AgentAnnouncement>,
    /// Recent decisions, newest last, one line of key=value pairs each.
    pub decisions: Vec<String>,
}

/// The calls that an entry answers.
#[tarpc::service]
pub trait EntryRpc {
    /// Takes an agent's announcement.
    async fn announce(announcement: AgentAnnouncement) -> Result<AnnouncementReply>;

    /// Takes another data centre's summary.
    async fn summarize(summary: DataCentreSummary) -> Result<()>;

    /// Asks for leave to load an adapter.
    async fn request_permit(request: PermitRequest) -> Result<PermitReply>;

    /// Returns a permit whose load has ended.
    async fn return_permit(endpoint: EndpointId, adapter: AdapterRef) -> Result<()>;

    /// Returns one part of the configuration snapshot.
    async fn snapshot_part(revision: Option<ConfigRevision>, index: u32) -> Result<SnapshotPart>;

    /// Returns the entry's state.
    async fn status() -> EntryStatus;

    /// Stops admission for good; the entry ends when nothing is in flight.
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
