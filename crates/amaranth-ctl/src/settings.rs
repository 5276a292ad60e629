//! Where the log and the daemons are.

use std::net::SocketAddr;

use amaranth_core::ids::OperatorName;
use amaranth_telemetry::settings::{CheckedSettings, SettingFault};
use serde::Deserialize;

/// What a settings file may say. Options of the command line come first.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CtlSettings {
    /// The platform's log.
    pub log_address: Option<SocketAddr>,
    /// The platform's list of VMs.
    pub vm_list_address: Option<SocketAddr>,
    /// Entries, by the addresses of their tarpc services.
    pub entries: Vec<SocketAddr>,
    /// Who applies changes.
    pub author: Option<OperatorName>,
}

impl CheckedSettings for CtlSettings {
    fn faults(&self) -> Vec<SettingFault> {
        Vec::new()
    }
}

impl CtlSettings {
    /// Fills in what `fallback` has and these settings lack.
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
