//! The configuration as the log tells it.

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

/// Records of one read.
const PAGE_RECORDS: usize = 64;

/// One record with what became of it.
#[derive(Debug, Clone, PartialEq)]
pub struct RuledRecord {
    /// The offset.
    pub offset: LogOffset,
    /// The verdict.
    pub verdict: RecordOutcome,
}

/// The log with the history that was read from it.
pub struct LogHistory {
    log: HttpLog,
    history: ConfigHistory,
}

impl LogHistory {
    /// Reads the log to its end, starting from an entry's snapshot if the log has lost its
    /// beginning.
    ///
    /// # Errors
    ///
    /// Returns an error when the log's address is not given, when it can't be read, or when
    /// neither a snapshot in it nor an entry makes up for what it has lost.
    pub async fn open(settings: &CtlSettings) -> Result<Self, CommandError> {
        Self::open_with(settings, |_| true).await
    }

    /// Reads the log as [`LogHistory::open`] does, and shows each record to `keep_on`.
    ///
    /// # Errors
    ///
    /// As for [`LogHistory::open`].
    pub async fn open_with(
        settings: &CtlSettings,
        keep_on: impl FnMut(RuledRecord) -> bool,
    ) -> Result<Self, CommandError> {
        let address = settings
            .log_address
            .ok_or_else(|| CommandError::usage("the log's address is missing; give --log"))?;
        let mut opened = Self {
            log: HttpLog::new(address),
            history: ConfigHistory::new(),
        };
        opened.catch_up(keep_on).await?;
        if opened.history.status() != HistoryStatus::Complete {
            opened.start_from_entries(settings).await?;
        }
        Ok(opened)
    }

    /// Returns the history read so far.
    pub const fn history(&self) -> &ConfigHistory {
        &self.history
    }

    /// Returns the log.
    pub fn log(&self) -> &dyn LogPort {
        &self.log
    }

    /// Reads to the log's end, and stops early when `keep_on` returns false for a record.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be read or holds a record of an unknown format.
    pub async fn catch_up(
        &mut self,
        mut keep_on: impl FnMut(RuledRecord) -> bool,
    ) -> Result<(), CommandError> {
        loop {
            let page = self.read_page().await?;
            self.history.update_first_kept(page.first_kept);
            for record in &page.records {
                let ruled = self.rule_record(record)?;
                let restored = matches!(ruled.verdict, RecordOutcome::Restored(_));
                if !keep_on(ruled) {
                    return Ok(());
                }
                // Reading goes on elsewhere after a snapshot was taken over.
                if restored {
                    break;
                }
            }
            if self.history.next_offset() >= page.end {
                return Ok(());
            }
        }
    }

    /// Reads until the history is of `revision`, and returns the catalogue of that revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the log no longer leads through that revision.
    pub async fn catalogue_at(
        &self,
        revision: ConfigRevision,
    ) -> Result<Arc<Catalogue>, CommandError> {
        let mut earlier = Self {
            log: self.log.clone(),
            history: ConfigHistory::new(),
        };
        let mut reached = revision == ConfigRevision::default();
        if !reached {
            earlier
                .catch_up(|ruled| {
                    reached |= revision_of(&ruled.verdict) == Some(revision);
                    !reached
                })
                .await?;
        }
        if reached {
            return Ok(earlier.history.catalogue());
        }
        let message = format!(
            "the log no longer shows revision {revision}; compare the folder with the present \
             one and apply it without --base"
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

    fn rule_record(&mut self, record: &LogRecord) -> Result<RuledRecord, CommandError> {
        let offset = record.offset;
        let verdict = self.history.apply_record(offset, &record.data);
        if let RecordOutcome::Blocked(format) = verdict {
            let message = format!(
                "the record at offset {offset} has format {format}; use a newer amaranthctl"
            );
            return Err(CommandError::new(ExitStatus::Failure, message));
        }
        Ok(RuledRecord { offset, verdict })
    }

    async fn start_from_entries(&mut self, settings: &CtlSettings) -> Result<(), CommandError> {
        let peers = PeerSnapshotSource::new(settings.entries.clone());
        let adopted = match peers.fetch().await {
            Some(state) => self.history.restore(state),
            None => false,
        };
        if adopted {
            self.catch_up(|_| true).await?;
        }
        if self.history.status() == HistoryStatus::Complete {
            return Ok(());
        }
        let since = self.history.next_offset();
        let message = format!(
            "the log has lost records before offset {since}, and neither a snapshot in it nor an \
             entry makes up for them; give --entry with the address of an entry that runs"
        );
        Err(CommandError::new(ExitStatus::Failure, message))
    }
}

const fn revision_of(verdict: &RecordOutcome) -> Option<ConfigRevision> {
    match verdict {
        RecordOutcome::Accepted(accepted) => Some(accepted.revision),
        RecordOutcome::Restored(revision) => Some(*revision),
        _ => None,
    }
}
