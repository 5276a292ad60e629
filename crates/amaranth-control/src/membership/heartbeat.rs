//! What a directory hears.

use std::net::SocketAddr;

use amaranth_core::ids::DataCentreName;
use amaranth_core::membership::{AgentAnnouncement, ProcessIdentity};

/// One announcement of a process, whatever else it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat<Payload> {
    /// Who announces.
    pub identity: ProcessIdentity,
    /// Counts the announcements of one life.
    pub sequence: u64,
    /// Whether the process takes no new work. It never does again in this life.
    pub leaving: bool,
    /// The rest.
    pub payload: Payload,
}

impl From<AgentAnnouncement> for Heartbeat<AgentAnnouncement> {
    fn from(announcement: AgentAnnouncement) -> Self {
        Self {
            identity: announcement.identity.clone(),
            sequence: announcement.sequence,
            leaving: announcement.draining,
            payload: announcement,
        }
    }
}

/// One row of the platform's list, as far as a directory needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Where the process on it listens for its peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Whether the platform will stop it.
    pub leaving: bool,
}
