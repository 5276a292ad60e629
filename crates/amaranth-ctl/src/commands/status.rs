//! `status`: shows every daemon with its revision.

use std::fmt;

use amaranth_core::ids::ConfigRevision;
use serde::Serialize;

use crate::daemons::{DaemonDirectory, DaemonReport, DaemonState};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::log_history::LogHistory;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

#[derive(Debug, Serialize)]
struct StatusReport {
    /// The current revision of the log, if its address is given.
    revision: Option<ConfigRevision>,
    daemons: Vec<DaemonReport>,
}

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(revision) = self.revision {
            writeln!(formatter, "revision {revision} in the log")?;
        }
        for daemon in &self.daemons {
            let revision = daemon
                .revision
                .map_or("-".to_owned(), |revision| revision.to_string());
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

/// Reports every daemon.
///
/// Returns [`ExitStatus::Failure`] when a daemon does not answer, else [`ExitStatus::Lagging`] when
/// one is behind the log.
pub(super) async fn run(
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let directory = DaemonDirectory::new(settings)?;
    let revision = match settings.log_address {
        Some(_) => Some(LogHistory::open(settings).await?.history().revision()),
        None => None,
    };
    let daemons = directory.collect_reports().await?;
    let has_unreachable = daemons
        .iter()
        .any(|daemon| daemon.state == DaemonState::Unreachable);
    let has_lagging = daemons
        .iter()
        .any(|daemon| revision.is_some_and(|revision| !daemon.has_reached(revision)));
    output.print(&StatusReport { revision, daemons });
    Ok(match (has_unreachable, has_lagging) {
        (true, _) => ExitStatus::Failure,
        (false, true) => ExitStatus::Lagging,
        (false, false) => ExitStatus::Success,
    })
}
