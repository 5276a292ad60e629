//! `history`: shows the changes that the log still keeps, and what became of them.

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
use crate::log_history::{LogHistory, RuledRecord};
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
enum ChangeRuling {
    Accepted,
    Refused,
    Duplicate,
}

#[derive(Debug, Serialize)]
struct HistoryLine {
    offset: LogOffset,
    ruling: ChangeRuling,
    change: String,
    revision: ConfigRevision,
    author: Option<String>,
    stated_at: Option<String>,
    edits: Option<usize>,
    reason: Option<String>,
}

impl HistoryLine {
    fn of(ruled: &RuledRecord) -> Option<Self> {
        let offset = ruled.offset;
        match &ruled.verdict {
            RecordOutcome::Accepted(accepted) => Some(Self {
                edits: Some(accepted.edits),
                ..Self::ruled(
                    offset,
                    ChangeRuling::Accepted,
                    accepted.change,
                    accepted.revision,
                    Some(&accepted.origin),
                )
            }),
            RecordOutcome::Refused(refused) => Some(Self {
                reason: Some(refused.reason.to_string()),
                ..Self::ruled(
                    offset,
                    ChangeRuling::Refused,
                    refused.change,
                    refused.revision,
                    Some(&refused.origin),
                )
            }),
            RecordOutcome::Duplicate { change, revision } => {
                let ruling = ChangeRuling::Duplicate;
                Some(Self::ruled(offset, ruling, *change, *revision, None))
            }
            _ => None,
        }
    }

    fn ruled(
        offset: LogOffset,
        ruling: ChangeRuling,
        change: ChangeId,
        revision: ConfigRevision,
        origin: Option<&ChangeOrigin>,
    ) -> Self {
        Self {
            offset,
            ruling,
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
            ruling,
            change,
            revision,
            ..
        } = self;
        write!(
            formatter,
            "{offset} {ruling} revision {revision} change {change}"
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
    let log = LogHistory::open_with(settings, |ruled| {
        if let Some(line) = HistoryLine::of(&ruled) {
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
