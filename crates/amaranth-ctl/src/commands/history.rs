//! `history`: shows the changes that the log retains, with their outcomes.

use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

use amaranth_config::change::{ChangeId, ChangeOrigin};
use amaranth_config::history::RecordOutcome;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use serde::Serialize;
use strum::Display;

use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::log_history::{AppliedRecord, LogHistory};
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

/// The outcome of a change in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
enum ListedOutcome {
    Accepted,
    Refused,
    Duplicate,
}

/// One change in the log.
#[derive(Debug, Serialize)]
struct HistoryLine {
    offset: LogOffset,
    #[serde(rename = "ruling")]
    outcome: ListedOutcome,
    change: String,
    revision: ConfigRevision,
    author: Option<String>,
    stated_at: Option<String>,
    edits: Option<usize>,
    reason: Option<String>,
}

impl HistoryLine {
    fn of(applied: &AppliedRecord) -> Option<Self> {
        let offset = applied.offset;
        match &applied.outcome {
            RecordOutcome::Accepted(accepted) => Some(Self {
                edits: Some(accepted.edits),
                ..Self::with_outcome(
                    offset,
                    ListedOutcome::Accepted,
                    accepted.change,
                    accepted.revision,
                    Some(&accepted.origin),
                )
            }),
            RecordOutcome::Refused(refused) => Some(Self {
                reason: Some(refused.reason.to_string()),
                ..Self::with_outcome(
                    offset,
                    ListedOutcome::Refused,
                    refused.change,
                    refused.revision,
                    Some(&refused.origin),
                )
            }),
            RecordOutcome::Duplicate { change, revision } => {
                let outcome = ListedOutcome::Duplicate;
                Some(Self::with_outcome(
                    offset, outcome, *change, *revision, None,
                ))
            }
            _ => None,
        }
    }

    fn with_outcome(
        offset: LogOffset,
        outcome: ListedOutcome,
        change: ChangeId,
        revision: ConfigRevision,
        origin: Option<&ChangeOrigin>,
    ) -> Self {
        Self {
            offset,
            outcome,
            change: change.to_string(),
            revision,
            author: origin.map(|origin| origin.author.to_string()),
            stated_at: origin.map(stated_at),
            edits: None,
            reason: None,
        }
    }
}

fn stated_at(origin: &ChangeOrigin) -> String {
    let since_epoch = Duration::from_millis(origin.stated_at_ms);
    match UNIX_EPOCH.checked_add(since_epoch) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => origin.stated_at_ms.to_string(),
    }
}

impl fmt::Display for HistoryLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            offset,
            outcome,
            change,
            revision,
            ..
        } = self;
        write!(
            formatter,
            "{offset} {outcome} revision {revision} change {change}"
        )?;
        if let (Some(author), Some(stated_at)) = (&self.author, &self.stated_at) {
            write!(formatter, " by {author} at {stated_at}")?;
        }
        if let Some(edits) = self.edits {
            write!(formatter, ", {edits} edits")?;
        }
        if let Some(reason) = &self.reason {
            write!(formatter, ": {reason}")?;
        }
        Ok(())
    }
}

#[derive(Debug, Serialize)]
struct HistoryReport {
    revision: ConfigRevision,
    changes: VecDeque<HistoryLine>,
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.changes {
            writeln!(formatter, "{line}")?;
        }
        write!(formatter, "revision {} is in force", self.revision)
    }
}

pub(super) async fn run(
    limit: usize,
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let mut changes = VecDeque::new();
    let log = LogHistory::open_with(settings, |applied| {
        if let Some(line) = HistoryLine::of(&applied) {
            changes.push_back(line);
        }
        if changes.len() > limit {
            changes.pop_front();
        }
        true
    })
    .await?;
    output.print(&HistoryReport {
        revision: log.history().revision(),
        changes,
    });
    Ok(ExitStatus::Success)
}
