//! The port to the platform's list of live and draining VMs, which lags behind their state.

use std::net::SocketAddr;

use amaranth_core::ids::{DataCentreName, RegionName, VmId};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::errors::PortResult;

/// The role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// A VM that runs an entry.
    Entry,
    /// A VM with endpoints and an agent.
    Endpoint,
}

/// The state of a VM as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be stopped.
    #[strum(serialize = "leaving")]
    #[serde(rename = "leaving")]
    Draining,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The id of the VM.
    pub vm: VmId,
    /// The role of the VM.
    pub role: VmRole,
    /// The state of the VM.
    pub state: VmState,
    /// The address at which the entry or agent on the VM listens for its peers.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The region of the VM.
    pub region: RegionName,
}

/// Reads the list of VMs.
#[async_trait]
pub trait VmListPort: Send + Sync {
    /// Returns the list as the platform has it now, which may be outdated or wrong.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached.
    async fn list(&self) -> PortResult<Vec<VmRecord>>;
}
