//! Appends a change to the log and reads back its outcome.

use std::time::Duration;

use amaranth_config::change::ChangeId;
use amaranth_config::history::{RecordOutcome, RefusedChange};
use amaranth_core::ids::ConfigRevision;
use amaranth_ports::PortError;
use amaranth_ports::log::LogStream;
use bytes::Bytes;
use tokio::time::{Instant, sleep};

use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::log_history::{AppliedRecord, LogHistory};

/// Delay between two attempts to append or to read back.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The outcome of a change, which every reader of the log derives alike.
#[derive(Debug)]
pub(super) enum ChangeOutcome {
    /// The change was accepted at this revision.
    Accepted(ConfigRevision),
    /// The change was refused.
    Refused(RefusedChange),
}

impl ChangeOutcome {
    fn of(outcome: RecordOutcome, wanted: ChangeId) -> Option<Self> {
        match outcome {
            RecordOutcome::Accepted(accepted) if accepted.change == wanted => {
                Some(Self::Accepted(accepted.revision))
            }
            RecordOutcome::Duplicate { change, revision } if change == wanted => {
                Some(Self::Accepted(revision))
            }
            RecordOutcome::Refused(refused) if refused.change == wanted => {
                Some(Self::Refused(refused))
            }
            _ => None,
        }
    }
}

/// The state of an append: whether the record may be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendState {
    NotAppended,
    MayBeAppended,
}

/// Appends `record` and returns the outcome of the change, which is read back from the log.
///
/// After an append whose answer was lost, the record is searched for in the log and, if it is not
/// there, appended again: readers accept the same change only once.
///
/// # Errors
///
/// Returns an error when the log can't be reached before `deadline`; its exit status shows whether
/// the change may be in the log.
pub(super) async fn append_change(
    log: &mut LogHistory,
    record: &Bytes,
    change: ChangeId,
    deadline: Instant,
) -> Result<ChangeOutcome, CommandError> {
    let mut state = AppendState::NotAppended;
    loop {
        match append_once(log, record).await? {
            AppendState::MayBeAppended => state = AppendState::MayBeAppended,
            AppendState::NotAppended => {}
        }
        if state == AppendState::MayBeAppended {
            match read_back(log, change).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(error) if error.status == ExitStatus::Failure => {}
                Err(error) => return Err(error),
            }
        }
        if Instant::now() >= deadline {
            return Err(timeout_error(state, change));
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn append_once(log: &LogHistory, record: &Bytes) -> Result<AppendState, CommandError> {
    let appended = log
        .log()
        .append(LogStream::Configuration, record.clone())
        .await;
    match appended {
        Ok(_) | Err(PortError::Uncertain(_)) => Ok(AppendState::MayBeAppended),
        Err(PortError::Limited(delay)) => {
            sleep(delay).await;
            Ok(AppendState::NotAppended)
        }
        Err(PortError::Unreachable(_)) => Ok(AppendState::NotAppended),
        Err(error) => Err(CommandError::platform("appending the change", &error)),
    }
}

/// Reads to the end of the log and returns the outcome of the change if its record is there.
async fn read_back(
    log: &mut LogHistory,
    change: ChangeId,
) -> Result<Option<ChangeOutcome>, CommandError> {
    let mut found = None;
    log.catch_up(|AppliedRecord { outcome, .. }| {
        found = ChangeOutcome::of(outcome, change);
        found.is_none()
    })
    .await?;
    Ok(found)
}

fn timeout_error(state: AppendState, change: ChangeId) -> CommandError {
    match state {
        AppendState::NotAppended => CommandError::new(
            ExitStatus::Failure,
            "the log could not be reached before the timeout; nothing was appended",
        ),
        AppendState::MayBeAppended => CommandError::new(
            ExitStatus::OutcomeUnknown,
            format!(
                "change {change} may be in the log, which can't be read; search for the change with \
                 amaranthctl history before applying again"
            ),
        ),
    }
}
