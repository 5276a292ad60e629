//! The platform's list of live and leaving VMs. It lags.

use std::net::SocketAddr;

use amaranth_core::ids::{DataCentreName, RegionName, VmId};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::errors::PortResult;

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry VM.
    Entry,
    /// A VM with endpoints and an agent.
    Endpoint,
}

/// What the platform believes of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be stopped.
    Leaving,
}

/// One row of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// What it is for.
    pub role: VmRole,
    /// Its state.
    pub state: VmState,
    /// Where the system's process on it listens for its peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its region.
    pub region: RegionName,
}

/// Reads the list of VMs.
#[async_trait]
pub trait VmListPort: Send + Sync {
    /// Returns the list as the platform has it now, which may be old or wrong.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached.
    async fn list(&self) -> PortResult<Vec<VmRecord>>;
}
