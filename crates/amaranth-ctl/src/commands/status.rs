//! `status`: shows every daemon with its revision.

use std::fmt;

use amaranth_core::ids::ConfigRevision;
use serde::Serialize;

use crate::daemons::{DaemonFleet, DaemonReport, DaemonState};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::log_history::LogHistory;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

#[derive(Debug, Serialize)]
struct StatusReport {
    /// The revision that the log makes, if its address is given.
    revision: Option<ConfigRevision>,
    daemons: Vec<DaemonReport>,
}

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(revision) = self.revision {
            writeln!(formatter, "revision {revision} by the log")?;
        }
        for daemon in &self.daemons {
            let revision = daemon
                .revision
                .map_or("-".to_owned(), |known| known.to_string());
            let data_centre = daemon
                .data_centre
                .as_ref()
                .map_or("-", |name| name.as_str());
            writeln!(
                formatter,
                "{:<6} {:<24} {:<22} {:<14} revision {:<8} in flight {:<5} {}",
                daemon.role.to_string(),
                daemon.name(),
                daemon.address.to_string(),
                data_centre,
                revision,
                daemon.in_flight,
                daemon.state
            )?;
        }
        Ok(())
    }
}

/// Ends with a failure when a daemon does not answer, and as lagging when one is behind the log.
pub(super) async fn run(
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let fleet = DaemonFleet::open(settings)?;
    let revision = match settings.log_address {
        Some(_) => Some(LogHistory::open(settings).await?.history().revision()),
        None => None,
    };
    let daemons = fleet.survey().await?;
    let silent = daemons
        .iter()
        .any(|daemon| daemon.state == DaemonState::Unreachable);
    let lagging = daemons
        .iter()
        .any(|daemon| revision.is_some_and(|revision| !daemon.is_up_to(revision)));
    output.print(&StatusReport { revision, daemons });
    Ok(match (silent, lagging) {
        (true, _) => ExitStatus::Failure,
        (false, true) => ExitStatus::Lagging,
        (false, false) => ExitStatus::Success,
    })
}
