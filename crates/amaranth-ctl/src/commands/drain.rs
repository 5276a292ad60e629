//! `drain`: stops admission at one process.

use std::fmt;

use serde::Serialize;
use tokio::time::{Duration, Instant, sleep};

use crate::arguments::DrainOptions;
use crate::daemons::{DaemonDirectory, DaemonReport, DaemonState, drain_daemon};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

/// Delay between two queries of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Serialize)]
struct DrainReport {
    daemon: DaemonReport,
    /// Whether the process has ended.
    ended: bool,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.daemon.name();
        if self.ended {
            write!(formatter, "{name} has ended")
        } else {
            let in_flight = self.daemon.in_flight;
            write!(
                formatter,
                "{name} accepts no new work; {in_flight} requests were in flight"
            )
        }
    }
}

/// Drains one process, and returns [`ExitStatus::Lagging`] if `--wait` is set and the process has
/// not ended in time.
pub(super) async fn run(
    options: &DrainOptions,
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let directory = DaemonDirectory::new(settings)?;
    let daemon = find(&directory, &options.name).await?.ok_or_else(|| {
        let name = &options.name;
        CommandError::new(
            ExitStatus::Failure,
            format!("no daemon has the name or address {name:?}; see amaranthctl status"),
        )
    })?;
    drain_daemon(&daemon).await.map_err(|reason| {
        let name = daemon.name();
        CommandError::new(
            ExitStatus::Failure,
            format!("{name} was not drained: {reason}"),
        )
    })?;
    let ended = options.wait && await_end(&directory, &daemon, options.timeout).await?;
    output.print(&DrainReport { daemon, ended });
    Ok(if options.wait && !ended {
        ExitStatus::Lagging
    } else {
        ExitStatus::Success
    })
}

async fn find(
    directory: &DaemonDirectory,
    name: &str,
) -> Result<Option<DaemonReport>, CommandError> {
    let daemons = directory.collect_reports().await?;
    Ok(daemons
        .into_iter()
        .find(|daemon| daemon.name() == name || daemon.address.to_string() == name))
}

/// Returns whether the process has ended within `timeout`.
async fn await_end(
    directory: &DaemonDirectory,
    daemon: &DaemonReport,
    timeout: Duration,
) -> Result<bool, CommandError> {
    let deadline = Instant::now() + timeout;
    loop {
        let daemons = directory.collect_reports().await?;
        let is_running = daemons.iter().any(|report| {
            report.address == daemon.address && report.state != DaemonState::Unreachable
        });
        if !is_running || Instant::now() >= deadline {
            return Ok(!is_running);
        }
        sleep(POLL_INTERVAL).await;
    }
}
