//! `drain`: stops admission at one process.

use std::fmt;

use serde::Serialize;
use tokio::time::{Duration, Instant, sleep};

use crate::arguments::DrainOptions;
use crate::daemons::{DaemonFleet, DaemonReport, DaemonState, drain_daemon};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

/// Wait between two looks at the process.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

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
                "{name} takes no new work; {in_flight} requests were in flight"
            )
        }
    }
}

/// Ends as lagging when the process has not ended in time.
pub(super) async fn run(
    options: &DrainOptions,
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let fleet = DaemonFleet::open(settings)?;
    let daemon = find(&fleet, &options.name).await?.ok_or_else(|| {
        let name = &options.name;
        CommandError::new(
            ExitStatus::Failure,
            format!("no daemon is called {name:?}; amaranthctl status shows them"),
        )
    })?;
    drain_daemon(&daemon).await.map_err(|reason| {
        let name = daemon.name();
        CommandError::new(
            ExitStatus::Failure,
            format!("{name} was not drained: {reason}"),
        )
    })?;
    let ended = options.wait && await_end(&fleet, &daemon, options.timeout).await?;
    output.print(&DrainReport { daemon, ended });
    Ok(if options.wait && !ended {
        ExitStatus::Lagging
    } else {
        ExitStatus::Success
    })
}

async fn find(fleet: &DaemonFleet, name: &str) -> Result<Option<DaemonReport>, CommandError> {
    let daemons = fleet.survey().await?;
    Ok(daemons
        .into_iter()
        .find(|daemon| daemon.name() == name || daemon.address.to_string() == name))
}

/// Returns whether the process has ended within `timeout`.
async fn await_end(
    fleet: &DaemonFleet,
    daemon: &DaemonReport,
    timeout: Duration,
) -> Result<bool, CommandError> {
    let deadline = Instant::now() + timeout;
    loop {
        let daemons = fleet.survey().await?;
        let runs = daemons.iter().any(|known| {
            known.address == daemon.address && known.state != DaemonState::Unreachable
        });
        if !runs || Instant::now() >= deadline {
            return Ok(!runs);
        }
        sleep(LOOK_INTERVAL).await;
    }
}
