//! `check`: merges and checks a folder.

use std::fmt;
use std::path::Path;

use amaranth_config::entries::{ConfigEntry, PolicyPreset};
use amaranth_config::folder::ConfigSet;
use serde::Serialize;

use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::folder_reader::read_folder;
use crate::output::CommandOutput;

/// The contents of a valid folder.
#[derive(Debug, Default, Serialize)]
struct CheckReport {
    valid: bool,
    models: usize,
    adapters: usize,
    rules: usize,
    services: usize,
    endpoint_groups: usize,
    policy: PolicyPreset,
}

impl CheckReport {
    fn of(set: &ConfigSet) -> Self {
        let mut report = Self {
            valid: true,
            ..Self::default()
        };
        for entry in set.entries() {
            match entry {
                ConfigEntry::Model(_) => report.models += 1,
                ConfigEntry::Adapter(_) => report.adapters += 1,
                ConfigEntry::Rule(_) => report.rules += 1,
                ConfigEntry::Service(_) => report.services += 1,
                ConfigEntry::EndpointGroup(_) => report.endpoint_groups += 1,
                ConfigEntry::Policy(policy) => report.policy = policy.preset,
                ConfigEntry::Limits(_) => {}
            }
        }
        report
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "valid: {} models, {} adapters, {} rules, {} services, {} endpoint groups, policy {}",
            self.models,
            self.adapters,
            self.rules,
            self.services,
            self.endpoint_groups,
            self.policy
        )
    }
}

pub(super) fn run(folder: &Path, output: &mut CommandOutput) -> Result<ExitStatus, CommandError> {
    let set = read_folder(folder)?;
    output.print(&CheckReport::of(&set));
    Ok(ExitStatus::Success)
}
