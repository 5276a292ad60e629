//! Settings of the `amaranth-standin` program.

use std::net::SocketAddr;

use amaranth_telemetry::settings::{CheckedSettings, SettingFault};
use log::LevelFilter;
use serde::{Deserialize, Serialize};

use crate::{EngineOptions, LogOptions, ServiceOptions, StoreOptions, VmListOptions};

/// Example settings, which `--help` prints.
pub const EXAMPLE: &str = include_str!("../../../examples/standin.toml");

/// Settings of a process, which runs one stand-in for each table that is present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinSettings {
    /// Address of the health and metrics pages.
    pub admin: SocketAddr,
    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: LevelFilter,
    /// Settings of the log.
    pub log: Option<LogOptions>,
    /// Settings of the weight store.
    pub store: Option<StoreOptions>,
    /// Settings of the VM list.
    pub vm_list: Option<VmListOptions>,
    /// Settings of an engine.
    pub engine: Option<EngineOptions>,
    /// Settings of a plain service.
    pub service: Option<ServiceOptions>,
}

const fn default_log_level() -> LevelFilter {
    LevelFilter::Info
}

impl StandinSettings {
    const fn is_empty(&self) -> bool {
        self.log.is_none()
            && self.store.is_none()
            && self.vm_list.is_none()
            && self.engine.is_none()
            && self.service.is_none()
    }

    fn engine_setting_faults(options: &EngineOptions) -> Vec<SettingFault> {
        let mut faults = Vec::new();
        if options.bases.is_empty() {
            faults.push(SettingFault::new(
                "engine.bases",
                "[]",
                "one base model or more",
            ));
        }
        if options.batch_slots == 0 {
            faults.push(SettingFault::new("engine.batch_slots", 0, "1 or more"));
        }
        if options.step_time.is_zero() {
            faults.push(SettingFault::new("engine.step_time", "0s", "more than 0s"));
        }
        faults
    }
}

impl CheckedSettings for StandinSettings {
    fn faults(&self) -> Vec<SettingFault> {
        if self.is_empty() {
            let tables = "one of the tables log, store, vm_list, engine, service, or more";
            return vec![SettingFault::new("(tables)", "none", tables)];
        }
        self.engine
            .iter()
            .flat_map(Self::engine_setting_faults)
            .collect()
    }
}
