//! Appends a change and reads back what became of it.

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
use crate::log_history::{LogHistory, RuledRecord};

/// Wait between two attempts to append or to read back.
const RETRY: Duration = Duration::from_millis(200);

/// What the readers ruled on the change.
#[derive(Debug)]
pub(super) enum ChangeOutcome {
    /// It is in force.
    Accepted(ConfigRevision),
    /// It was refused.
    Refused(RefusedChange),
}

impl ChangeOutcome {
    fn of(verdict: RecordOutcome, wanted: ChangeId) -> Option<Self> {
        match verdict {
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

/// Whether the record may be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendState {
    NotAppended,
    MayStand,
}

/// Appends `record` and returns what the log says of the change, which alone makes it accepted.
///
/// An append whose answer is lost is looked for in the log and, if it is not there, repeated:
/// readers accept the same change once.
///
/// # Errors
///
/// Returns an error when the log can't be reached until `deadline`; its status tells whether the
/// change may be in the log.
pub(super) async fn append_change(
    log: &mut LogHistory,
    record: &Bytes,
    change: ChangeId,
    deadline: Instant,
) -> Result<ChangeOutcome, CommandError> {
    let mut state = AppendState::NotAppended;
    loop {
        match append_once(log, record).await? {
            AppendState::MayStand => state = AppendState::MayStand,
            AppendState::NotAppended => {}
        }
        if state == AppendState::MayStand {
            match read_back(log, change).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(error) if error.status == ExitStatus::Failure => {}
                Err(error) => return Err(error),
            }
        }
        if Instant::now() >= deadline {
            return Err(give_up(state, change));
        }
        sleep(RETRY).await;
    }
}

async fn append_once(log: &LogHistory, record: &Bytes) -> Result<AppendState, CommandError> {
    let appended = log
        .log()
        .append(LogStream::Configuration, record.clone())
        .await;
    match appended {
        Ok(_) | Err(PortError::Uncertain(_)) => Ok(AppendState::MayStand),
        Err(PortError::Limited(delay)) => {
            sleep(delay).await;
            Ok(AppendState::NotAppended)
        }
        Err(PortError::Unreachable(_)) => Ok(AppendState::NotAppended),
        Err(error) => Err(CommandError::platform("appending the change", &error)),
    }
}

/// Reads on to the end of the log, and returns the outcome if the change is there.
async fn read_back(
    log: &mut LogHistory,
    change: ChangeId,
) -> Result<Option<ChangeOutcome>, CommandError> {
    let mut outcome = None;
    log.catch_up(|RuledRecord { verdict, .. }| {
        outcome = ChangeOutcome::of(verdict, change);
        outcome.is_none()
    })
    .await?;
    Ok(outcome)
}

fn give_up(state: AppendState, change: ChangeId) -> CommandError {
    match state {
        AppendState::NotAppended => CommandError::new(
            ExitStatus::Failure,
            "the log could not be reached in time; nothing was appended",
        ),
        AppendState::MayStand => CommandError::new(
            ExitStatus::OutcomeUnknown,
            format!(
                "change {change} may be in the log, which can't be read now; look for it with \
                 amaranthctl history before applying again"
            ),
        ),
    }
}
