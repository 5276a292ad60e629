//! Applies the records of the log's configuration stream.
//!
//! All readers arrive at the same result, because the outcome of a record depends on the records
//! before it and on nothing else. A reader can't determine an outcome in three cases: the log
//! dropped earlier records that the reader has not read, and no snapshot replaces them; the
//! record or an earlier one has a format that this release does not know; or the reader has not
//! reached the record yet.

use std::collections::BTreeSet;
use std::sync::Arc;

use amaranth_core::ids::{ConfigRevision, LogOffset};

use crate::catalogue::{Catalogue, ConfigEdit};
use crate::change::{ChangeId, ConfigChange};
use crate::entries::ConfigKey;
use crate::envelope::{ConfigRecord, RecordError};
use crate::recent_changes::RecentChanges;
use crate::recent_deletions::RecentDeletions;
use crate::snapshot::{
    MAX_SNAPSHOT_PARTS, SnapshotAssembly, SnapshotId, SnapshotRecord, SnapshotState,
};

pub use crate::outcome::{
    AcceptedChange, MAX_REPORTED_PROBLEMS, RecordOutcome, RefusalReason, RefusedChange,
    SnapshotInfo,
};

/// Maximum number of snapshots whose parts are collected or counted at the same time.
const MAX_ASSEMBLIES: usize = 4;

/// The completeness of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryStatus {
    /// Every record before the next offset has been applied.
    Complete,
    /// The log dropped records before this offset that were not read; a snapshot must replace
    /// them.
    AwaitingSnapshot(LogOffset),
    /// The record at this offset has a format that this release does not know.
    Blocked(LogOffset),
}

/// The configuration state that results from the records applied so far.
#[derive(Debug)]
pub struct ConfigHistory {
    catalogue: Arc<Catalogue>,
    deletions: RecentDeletions,
    recent: RecentChanges,
    next: LogOffset,
    status: HistoryStatus,
    assemblies: Vec<SnapshotAssembly>,
    part_counters: Vec<PartCounter>,
    last_snapshot: Option<SnapshotInfo>,
}

impl Default for ConfigHistory {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigHistory {
    /// Creates an empty history whose next offset is zero.
    pub fn new() -> Self {
        Self {
            catalogue: Arc::default(),
            deletions: RecentDeletions::default(),
            recent: RecentChanges::default(),
            next: LogOffset::default(),
            status: HistoryStatus::Complete,
            assemblies: Vec::new(),
            part_counters: Vec::new(),
            last_snapshot: None,
        }
    }

    /// Returns the catalogue in force.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.catalogue.revision()
    }

    /// Returns the offset from which records are to be read next.
    ///
    /// The offset moves back when the history is restored from a snapshot in the log.
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the completeness of the history.
    pub const fn status(&self) -> HistoryStatus {
        self.status
    }

    /// Returns the newest complete snapshot that was read from the log.
    pub const fn last_snapshot(&self) -> Option<&SnapshotInfo> {
        self.last_snapshot.as_ref()
    }

    /// Returns the state for writing a snapshot, or `None` while the history is not complete.
    pub fn snapshot_state(&self) -> Option<SnapshotState> {
        (self.status == HistoryStatus::Complete).then(|| SnapshotState {
            catalogue: Catalogue::clone(&self.catalogue),
            deletions: self.deletions.clone(),
            recent: self.recent.clone(),
            covers: self.next,
        })
    }

    /// Updates the oldest offset that the log retains, as reported by each page of a read.
    ///
    /// When the log dropped records that were not read, the history awaits a snapshot.
    pub fn update_first_kept(&mut self, first_kept: LogOffset) {
        if first_kept <= self.next {
            return;
        }
        self.next = first_kept;
        self.status = HistoryStatus::AwaitingSnapshot(first_kept);
        // The log may have dropped other parts of the snapshots that were being collected.
        self.assemblies.clear();
        self.part_counters.clear();
    }

    /// Applies the record at `offset` and returns its outcome.
    pub fn apply_record(&mut self, offset: LogOffset, bytes: &[u8]) -> RecordOutcome {
        if offset < self.next {
            return RecordOutcome::AlreadyApplied;
        }
        let record = match ConfigRecord::decode(bytes) {
            Ok(record) => record,
            Err(RecordError::UnknownFormat(format)) => {
                self.status = HistoryStatus::Blocked(offset);
                return RecordOutcome::Blocked(format);
            }
            Err(error) => {
                self.next = offset.next();
                return RecordOutcome::Malformed(error);
            }
        };
        self.next = offset.next();
        match (record, self.status) {
            (ConfigRecord::Change(change), HistoryStatus::Complete) => self.apply_change(change),
            (ConfigRecord::Snapshot(part), HistoryStatus::Complete) => self.count_part(&part),
            (ConfigRecord::Snapshot(part), HistoryStatus::AwaitingSnapshot(since)) => {
                self.assemble_part(&part, since)
            }
            (ConfigRecord::Change(_), _) | (_, HistoryStatus::Blocked(_)) => {
                RecordOutcome::Undetermined
            }
        }
    }

    /// Restores the state of a snapshot, and returns whether it was applied.
    ///
    /// A state is ignored if it is older than the state of this history, or if it does not
    /// include records that the log no longer contains.
    pub fn restore(&mut self, state: SnapshotState) -> bool {
        let is_usable = match self.status {
            HistoryStatus::Complete => state.covers > self.next,
            HistoryStatus::AwaitingSnapshot(since) => state.covers >= since,
            HistoryStatus::Blocked(_) => false,
        };
        if !is_usable || state.catalogue.revision() < self.revision() {
            return false;
        }
        self.catalogue = Arc::new(state.catalogue);
        self.deletions = state.deletions;
        self.recent = state.recent;
        self.next = state.covers;
        self.status = HistoryStatus::Complete;
        // The records up to the restored state are not read, so the parts among them are missing.
        self.assemblies.clear();
        self.part_counters.clear();
        true
    }

    fn apply_change(&mut self, change: ConfigChange) -> RecordOutcome {
        let id = change.id();
        if let Some(revision) = self.recent.revision(id) {
            return RecordOutcome::Duplicate {
                change: id,
                revision,
            };
        }
        match self.evaluate(&change) {
            Ok(catalogue) => self.accept(id, change, catalogue),
            Err(reason) => RecordOutcome::Refused(RefusedChange {
                change: id,
                origin: change.origin,
                base: change.base,
                revision: self.revision(),
                reason,
            }),
        }
    }

    /// Returns the catalogue that results from the change, or the reason to refuse the change.
    fn evaluate(&self, change: &ConfigChange) -> Result<Catalogue, RefusalReason> {
        if change.edits.is_empty() {
            return Err(RefusalReason::Empty);
        }
        if change.base > self.revision() {
            return Err(RefusalReason::FutureBase);
        }
        if change.base < self.deletions.floor() {
            return Err(RefusalReason::TooOld(self.deletions.floor()));
        }
        let conflicts = self.conflicts(change);
        if !conflicts.is_empty() {
            return Err(RefusalReason::Conflict(conflicts));
        }
        self.catalogue
            .with_edits(self.revision().next(), &change.edits)
            .map_err(|mut problems| {
                problems.truncate(MAX_REPORTED_PROBLEMS);
                RefusalReason::Invalid(problems)
            })
    }

    /// Returns the first entries that were changed after the base revision of `change`.
    fn conflicts(&self, change: &ConfigChange) -> Vec<ConfigKey> {
        change
            .edits
            .iter()
            .map(ConfigEdit::key)
            .filter(|key| self.last_changed(key) > Some(change.base))
            .take(MAX_REPORTED_PROBLEMS)
            .collect()
    }

    fn last_changed(&self, key: &ConfigKey) -> Option<ConfigRevision> {
        self.catalogue
            .entry_revision(key)
            .or_else(|| self.deletions.revision(key))
    }

    fn accept(
        &mut self,
        id: ChangeId,
        change: ConfigChange,
        catalogue: Catalogue,
    ) -> RecordOutcome {
        let revision = catalogue.revision();
        let edits = change.edits.len();
        let mut removed: Vec<_> = change
            .edits
            .into_iter()
            .filter_map(|edit| match edit {
                ConfigEdit::Remove(key) => Some(key),
                ConfigEdit::Put(_) => None,
            })
            .collect();
        removed.sort();
        for key in removed {
            self.deletions.record(revision, key);
        }
        self.recent.record(revision, id);
        self.catalogue = Arc::new(catalogue);
        RecordOutcome::Accepted(AcceptedChange {
            change: id,
            origin: change.origin,
            revision,
            edits,
        })
    }

    /// Counts a part of a snapshot from which this history need not be restored.
    fn count_part(&mut self, part: &SnapshotRecord) -> RecordOutcome {
        let complete = PartCounter::count(&mut self.part_counters, part);
        let info = snapshot_info(part, complete);
        if complete
            && self
                .last_snapshot
                .is_none_or(|last| last.covers < info.covers)
        {
            self.last_snapshot = Some(info);
        }
        RecordOutcome::Snapshot(info)
    }

    /// Collects a part of a snapshot, and restores the snapshot when all its parts are present.
    fn assemble_part(&mut self, part: &SnapshotRecord, since: LogOffset) -> RecordOutcome {
        let info = snapshot_info(part, false);
        // The log dropped records after this snapshot too, so the snapshot can't replace them.
        if part.covers < since {
            return RecordOutcome::Snapshot(info);
        }
        match self.collect_part(part) {
            Ok(Some(state)) => {
                let revision = state.catalogue.revision();
                if self.restore(state) {
                    self.last_snapshot = Some(snapshot_info(part, true));
                    RecordOutcome::Restored(revision)
                } else {
                    RecordOutcome::Snapshot(info)
                }
            }
            Ok(None) => RecordOutcome::Snapshot(info),
            Err(error) => RecordOutcome::Malformed(error),
        }
    }

    fn collect_part(
        &mut self,
        part: &SnapshotRecord,
    ) -> Result<Option<SnapshotState>, RecordError> {
        let existing = self
            .assemblies
            .iter()
            .position(|assembly| assembly.id() == part.id);
        let index = match existing {
            Some(index) => index,
            None => self.start_assembly(part)?,
        };
        let assembly = &mut self.assemblies[index];
        if let Err(error) = assembly.add(part) {
            self.assemblies.remove(index);
            return Err(error);
        }
        if assembly.is_complete() {
            return self.assemblies.remove(index).finish().map(Some);
        }
        Ok(None)
    }

    /// Adds an assembly for the snapshot of `part` and returns its index. The oldest assembly is
    /// discarded if there are too many.
    fn start_assembly(&mut self, part: &SnapshotRecord) -> Result<usize, RecordError> {
        let assembly = SnapshotAssembly::new(part)?;
        if self.assemblies.len() >= MAX_ASSEMBLIES {
            self.assemblies.remove(0);
        }
        self.assemblies.push(assembly);
        Ok(self.assemblies.len() - 1)
    }
}

const fn snapshot_info(part: &SnapshotRecord, complete: bool) -> SnapshotInfo {
    SnapshotInfo {
        id: part.id,
        revision: part.revision,
        covers: part.covers,
        complete,
    }
}

/// The parts of one snapshot that were read from the log.
#[derive(Debug)]
struct PartCounter {
    id: SnapshotId,
    seen: BTreeSet<u32>,
}

impl PartCounter {
    /// Counts a part, and returns whether it completes its snapshot.
    fn count(counters: &mut Vec<Self>, part: &SnapshotRecord) -> bool {
        if part.index >= part.count || part.count > MAX_SNAPSHOT_PARTS {
            return false;
        }
        let existing = counters.iter().position(|counter| counter.id == part.id);
        let index = existing.unwrap_or_else(|| {
            if counters.len() >= MAX_ASSEMBLIES {
                counters.remove(0);
            }
            counters.push(Self {
                id: part.id,
                seen: BTreeSet::new(),
            });
            counters.len() - 1
        });
        let counter = &mut counters[index];
        counter.seen.insert(part.index);
        let complete = u32::try_from(counter.seen.len()).is_ok_and(|seen| seen == part.count);
        if complete {
            counters.remove(index);
        }
        complete
    }
}
