//! Inputs of a member directory.

use std::net::SocketAddr;

use amaranth_core::ids::DataCentreName;
use amaranth_core::membership::{AgentAnnouncement, ProcessIdentity};

/// One announcement of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat<Payload> {
    /// The process that announces itself.
    pub identity: ProcessIdentity,
    /// Number of the announcement, counted within one incarnation.
    pub sequence: u64,
    /// Whether the process is draining. This is final for its incarnation.
    pub draining: bool,
    /// The content of the announcement that the directory only stores.
    pub payload: Payload,
}

impl From<AgentAnnouncement> for Heartbeat<AgentAnnouncement> {
    fn from(announcement: AgentAnnouncement) -> Self {
        Self {
            identity: announcement.identity.clone(),
            sequence: announcement.sequence,
            draining: announcement.draining,
            payload: announcement,
        }
    }
}

/// One VM of the platform's list, with the fields that a directory needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The address on which the VM's process listens for its peers.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// Whether the platform is about to stop the VM.
    pub draining: bool,
}
