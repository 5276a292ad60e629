//! The settings of `amaranthctl`: the addresses of the log and the daemons.

use std::net::SocketAddr;

use amaranth_core::ids::OperatorName;
use amaranth_telemetry::settings::{CheckedSettings, SettingFault};
use serde::Deserialize;

/// The contents of a settings file. Options of the command line take precedence.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CtlSettings {
    /// The address of the platform's log.
    pub log_address: Option<SocketAddr>,
    /// The address of the platform's list of VMs.
    pub vm_list_address: Option<SocketAddr>,
    /// The peer addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// The author of applied changes.
    pub author: Option<OperatorName>,
}

impl CheckedSettings for CtlSettings {
    fn faults(&self) -> Vec<SettingFault> {
        Vec::new()
    }
}

impl CtlSettings {
    /// Returns these settings, with missing values filled in from `fallback`.
    #[must_use]
    pub fn or(self, fallback: Self) -> Self {
        Self {
            log_address: self.log_address.or(fallback.log_address),
            vm_list_address: self.vm_list_address.or(fallback.vm_list_address),
            entries: if self.entries.is_empty() {
                fallback.entries
            } else {
                self.entries
            },
            author: self.author.or(fallback.author),
        }
    }
}
