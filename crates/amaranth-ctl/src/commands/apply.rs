//! `apply`: makes a folder the configuration in force.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use amaranth_config::change::{ChangeOrigin, ConfigChange};
use amaranth_config::history::{RefusalReason, RefusedChange};
use amaranth_core::ids::{ConfigRevision, OperatorName};
use serde::Serialize;
use strum::Display;
use tokio::time::{Duration, Instant, sleep};

use super::append::{ChangeOutcome, append_change};
use super::diff::FolderDelta;
use super::edit_list::ListedEdit;
use crate::arguments::ApplyOptions;
use crate::daemons::{DaemonDirectory, DaemonReport};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::folder_reader::read_folder;
use crate::log_history::LogHistory;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

/// Maximum number of edits that the text report lists; `diff` and `--json` list all of them.
const MAX_LISTED_EDITS: usize = 20;

/// Delay between two queries of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The outcome of applying a folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
enum ApplyOutcome {
    Accepted,
    Unchanged,
    DryRun,
}

#[derive(Debug, Serialize)]
struct ApplyReport {
    outcome: ApplyOutcome,
    /// The revision that the edits were made against.
    base: ConfigRevision,
    /// The revision that contains the folder's configuration.
    revision: Option<ConfigRevision>,
    edits: Vec<ListedEdit>,
    /// The number of daemons that report the revision, if `--wait` is set.
    up_to_date: Option<usize>,
    /// The daemons that don't report the revision yet.
    lagging: Vec<DaemonReport>,
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for edit in self.edits.iter().take(MAX_LISTED_EDITS) {
            writeln!(formatter, "{edit}")?;
        }
        let unlisted = self.edits.len().saturating_sub(MAX_LISTED_EDITS);
        if unlisted > 0 {
            writeln!(formatter, "and {unlisted} more")?;
        }
        write!(formatter, "{}: ", self.outcome)?;
        write!(
            formatter,
            "{} edits against revision {}",
            self.edits.len(),
            self.base
        )?;
        if let Some(revision) = self.revision {
            write!(formatter, ", revision {revision}")?;
        }
        if let Some(up_to_date) = self.up_to_date {
            write!(formatter, ", in force at {up_to_date} daemons")?;
        }
        for daemon in &self.lagging {
            let revision = daemon
                .revision
                .map_or("none".to_owned(), |revision| revision.to_string());
            let name = daemon.name();
            write!(
                formatter,
                "\nlagging: {name} ({}, revision {revision})",
                daemon.state
            )?;
        }
        Ok(())
    }
}

pub(super) async fn run(
    options: &ApplyOptions,
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let set = read_folder(&options.folder)?;
    // With `--wait`, missing addresses of daemons are an error before anything changes.
    let directory = options
        .wait
        .then(|| DaemonDirectory::new(settings))
        .transpose()?;
    let mut log = LogHistory::open(settings).await?;
    let delta = FolderDelta::compute(&set, options.base, &log).await?;
    confirm_deletions(&delta, options)?;
    let mut report = ApplyReport {
        outcome: ApplyOutcome::DryRun,
        base: delta.catalogue.revision(),
        revision: None,
        edits: delta.listed(),
        up_to_date: None,
        lagging: Vec::new(),
    };
    if options.dry_run {
        output.print(&report);
        return Ok(ExitStatus::Success);
    }
    let revision = if delta.edits.is_empty() {
        report.outcome = ApplyOutcome::Unchanged;
        log.history().revision()
    } else {
        report.outcome = ApplyOutcome::Accepted;
        append_delta(&mut log, delta, author(settings)?, options.timeout).await?
    };
    report.revision = Some(revision);
    if let Some(directory) = directory {
        await_daemons(&directory, revision, options.timeout, &mut report).await?;
    }
    output.print(&report);
    if report.lagging.is_empty() {
        Ok(ExitStatus::Success)
    } else {
        Ok(ExitStatus::Lagging)
    }
}

fn author(settings: &CtlSettings) -> Result<OperatorName, CommandError> {
    settings
        .author
        .clone()
        .ok_or_else(|| CommandError::usage("the author of the change is missing; give --author"))
}

/// Returns an error for an unconfirmed change that deletes more than the allowed percentage of all
/// entries.
fn confirm_deletions(delta: &FolderDelta, options: &ApplyOptions) -> Result<(), CommandError> {
    let deletions = delta.deletions();
    let entries = delta.catalogue.len();
    if options.confirmed || deletions == 0 {
        return Ok(());
    }
    let percentage = 100.0 * deletions as f64 / entries as f64;
    if percentage <= options.max_deletions {
        return Ok(());
    }
    let message = format!(
        "the change deletes {deletions} of {entries} entries, which is more than {}%; \
         confirm it with --yes or raise --max-deletions",
        options.max_deletions
    );
    Err(CommandError::new(ExitStatus::Unconfirmed, message))
}

async fn append_delta(
    log: &mut LogHistory,
    delta: FolderDelta,
    author: OperatorName,
    timeout: Duration,
) -> Result<ConfigRevision, CommandError> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let stated_at_ms = since_epoch.map_or(0, |time| time.as_millis());
    let change = ConfigChange {
        origin: ChangeOrigin {
            author,
            stated_at_ms: u64::try_from(stated_at_ms).unwrap_or(u64::MAX),
        },
        base: delta.catalogue.revision(),
        edits: delta.edits,
    };
    let id = change.id();
    let record = change.into_record().map_err(|fault| {
        let message = format!("{fault}; apply the folder in several steps");
        CommandError::new(ExitStatus::ChangeRefused, message)
    })?;
    match append_change(log, &record, id, Instant::now() + timeout).await? {
        ChangeOutcome::Accepted(revision) => Ok(revision),
        ChangeOutcome::Refused(refused) => Err(refusal(&refused)),
    }
}

fn refusal(refused: &RefusedChange) -> CommandError {
    let RefusedChange {
        base,
        revision,
        reason,
        ..
    } = refused;
    let (status, faults) = match reason {
        RefusalReason::Conflict(keys) => {
            let keys = keys.iter().map(ToString::to_string).collect();
            (ExitStatus::Conflict, keys)
        }
        RefusalReason::Invalid(problems) => {
            let problems = problems.iter().map(ToString::to_string).collect();
            (ExitStatus::ChangeRefused, problems)
        }
        _ => (ExitStatus::ChangeRefused, Vec::new()),
    };
    let message =
        format!("the change against revision {base} was refused at revision {revision}: {reason}");
    CommandError {
        faults,
        ..CommandError::new(status, message)
    }
}

/// Waits until every daemon reports `revision`, and records those that don't in time as lagging.
async fn await_daemons(
    directory: &DaemonDirectory,
    revision: ConfigRevision,
    timeout: Duration,
    report: &mut ApplyReport,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + timeout;
    loop {
        let daemons = directory.collect_reports().await?;
        let (current, lagging): (Vec<_>, Vec<_>) = daemons
            .into_iter()
            .partition(|daemon| daemon.has_reached(revision));
        if lagging.is_empty() || Instant::now() >= deadline {
            report.up_to_date = Some(current.len());
            report.lagging = lagging;
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
}
