//! The configuration history as read from the log.

use std::sync::Arc;
use std::time::Duration;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::history::{ConfigHistory, HistoryStatus, RecordOutcome};
use amaranth_core::ids::{ConfigRevision, LogOffset};
use amaranth_follow::{PeerSnapshotSource, SnapshotSource};
use amaranth_ports::http_log::HttpLog;
use amaranth_ports::log::{LogPage, LogPort, LogRecord, LogStream};

use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::settings::CtlSettings;

/// Maximum number of records in one read.
const PAGE_RECORDS: usize = 64;

/// A record of the log with the outcome of applying it.
#[derive(Debug, Clone, PartialEq)]
pub struct AppliedRecord {
    /// The offset of the record.
    pub offset: LogOffset,
    /// The outcome of applying the record to the history.
    pub outcome: RecordOutcome,
}

/// The log with the configuration history that was read from it.
pub struct LogHistory {
    log: HttpLog,
    history: ConfigHistory,
}

impl LogHistory {
    /// Reads the log to its end, starting from an entry's snapshot if the log no longer retains
    /// its beginning.
    ///
    /// # Errors
    ///
    /// Returns an error when the log's address is missing, when the log can't be read, or when
    /// neither a snapshot in the log nor an entry replaces the records that it no longer retains.
    pub async fn open(settings: &CtlSettings) -> Result<Self, CommandError> {
        Self::open_with(settings, |_| true).await
    }

    /// Reads the log as [`LogHistory::open`] does, and calls `visit` with each record.
    ///
    /// # Errors
    ///
    /// As for [`LogHistory::open`].
    pub async fn open_with(
        settings: &CtlSettings,
        visit: impl FnMut(AppliedRecord) -> bool,
    ) -> Result<Self, CommandError> {
        let address = settings
            .log_address
            .ok_or_else(|| CommandError::usage("the log's address is missing; give --log"))?;
        let mut log_history = Self {
            log: HttpLog::new(address),
            history: ConfigHistory::new(),
        };
        log_history.catch_up(visit).await?;
        if log_history.history.status() != HistoryStatus::Complete {
            log_history.restore_from_entries(settings).await?;
        }
        Ok(log_history)
    }

    /// Returns the history read so far.
    pub const fn history(&self) -> &ConfigHistory {
        &self.history
    }

    /// Returns the client of the log.
    pub fn log(&self) -> &dyn LogPort {
        &self.log
    }

    /// Reads to the end of the log, and stops early when `visit` returns false for a record.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be read or contains a record of an unknown format.
    pub async fn catch_up(
        &mut self,
        mut visit: impl FnMut(AppliedRecord) -> bool,
    ) -> Result<(), CommandError> {
        loop {
            let page = self.read_page().await?;
            self.history.update_first_kept(page.first_kept);
            for record in &page.records {
                let applied = self.apply_record(record)?;
                let is_restored = matches!(applied.outcome, RecordOutcome::Restored(_));
                if !visit(applied) {
                    return Ok(());
                }
                // A restored snapshot moves the offset of the next read.
                if is_restored {
                    break;
                }
            }
            if self.history.next_offset() >= page.end {
                return Ok(());
            }
        }
    }

    /// Reads the log from its oldest record up to `revision` and returns the catalogue of that
    /// revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the revision can no longer be rebuilt from the log.
    pub async fn catalogue_at(
        &self,
        revision: ConfigRevision,
    ) -> Result<Arc<Catalogue>, CommandError> {
        let mut earlier = Self {
            log: self.log.clone(),
            history: ConfigHistory::new(),
        };
        let mut is_reached = revision == ConfigRevision::default();
        if !is_reached {
            earlier
                .catch_up(|applied| {
                    is_reached |= revision_of(&applied.outcome) == Some(revision);
                    !is_reached
                })
                .await?;
        }
        if is_reached {
            return Ok(earlier.history.catalogue());
        }
        let message = format!(
            "the log no longer retains revision {revision}; compare the folder with the \
             configuration in force and apply it without --base"
        );
        Err(CommandError::new(ExitStatus::Failure, message))
    }

    async fn read_page(&self) -> Result<LogPage, CommandError> {
        let from = self.history.next_offset();
        self.log
            .read(LogStream::Configuration, from, PAGE_RECORDS, Duration::ZERO)
            .await
            .map_err(|error| CommandError::platform("reading the log", &error))
    }

    fn apply_record(&mut self, record: &LogRecord) -> Result<AppliedRecord, CommandError> {
        let offset = record.offset;
        let outcome = self.history.apply_record(offset, &record.data);
        if let RecordOutcome::Blocked(format) = outcome {
            let message = format!(
                "the record at offset {offset} has format {format}; use a newer amaranthctl"
            );
            return Err(CommandError::new(ExitStatus::Failure, message));
        }
        Ok(AppliedRecord { offset, outcome })
    }

    async fn restore_from_entries(&mut self, settings: &CtlSettings) -> Result<(), CommandError> {
        let peers = PeerSnapshotSource::new(settings.entries.clone());
        let is_restored = match peers.fetch().await {
            Some(state) => self.history.restore(state),
            None => false,
        };
        if is_restored {
            self.catch_up(|_| true).await?;
        }
        if self.history.status() == HistoryStatus::Complete {
            return Ok(());
        }
        let next = self.history.next_offset();
        let message = format!(
            "the log no longer retains records before offset {next}, and neither a snapshot in it \
             nor an entry replaces them; give --entry with the address of a running entry"
        );
        Err(CommandError::new(ExitStatus::Failure, message))
    }
}

const fn revision_of(outcome: &RecordOutcome) -> Option<ConfigRevision> {
    match outcome {
        RecordOutcome::Accepted(accepted) => Some(accepted.revision),
        RecordOutcome::Restored(revision) => Some(*revision),
        _ => None,
    }
}
