//! Endpoints as the registry lists them, and the changes of the registry.

use std::net::SocketAddr;

use amaranth_core::ids::{EndpointId, ServiceName, SoftwareVersion};
use strum::Display;

use crate::engine_view::EngineContents;

/// An endpoint as the registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The id of the endpoint. An endpoint that restarts mostly gets another id.
    pub id: EndpointId,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The data centre of the endpoint.
    pub data_centre: String,
    /// The number of requests that the endpoint processes at once.
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new calls.
    pub draining: bool,
    /// The start time of the endpoint, in milliseconds of its own wall clock, if it states one.
    pub started_ms: Option<u64>,
    /// The sequence number of the announcement.
    pub sequence: u64,
    /// The version of the endpoint's software.
    pub software: SoftwareVersion,
    /// The engine's load and contents, if the endpoint is an engine.
    pub contents: EngineContents,
}

/// A change of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryEvent {
    /// An endpoint announced itself.
    Announced(Box<EndpointRecord>),
    /// An endpoint is no longer listed.
    Removed(EndpointId),
}

/// The change of an endpoint in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointChange {
    /// The endpoint is new.
    Joined,
    /// The endpoint restarted under the same id.
    Restarted,
    /// The endpoint began to drain.
    #[strum(to_string = "leaving")]
    Draining,
    /// The endpoint was removed.
    #[strum(to_string = "gone")]
    Removed,
    /// The removal is delayed: many endpoints were removed at once, as after an outage of the
    /// registry.
    #[strum(to_string = "removal-held")]
    RemovalDelayed,
    /// Nothing relevant changed.
    Unchanged,
}

/// The way in which an engine's agent became unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AgentFailure {
    /// The VM closed the connection or refused a new one: the agent's process ended, and the engine
    /// may still work.
    ProcessEnded,
    /// The VM did not answer in time.
    VmSilent,
}

/// Returns whether `earlier` is another endpoint at the address of `later` that started before
/// `later`.
pub(super) fn started_before(earlier: &EndpointRecord, later: &EndpointRecord) -> bool {
    earlier.address == later.address
        && earlier.id != later.id
        && earlier.started_ms.is_some()
        && earlier.started_ms < later.started_ms
}
