//! Rules the records of the log's configuration stream.
//!
//! All readers rule alike, because the outcome of a record depends on the records before it and
//! on nothing else. Three things can keep a history from ruling: the log no longer keeps records
//! that it has not read, and no snapshot makes up for them; a record has a format that this
//! release does not know; or it has simply not read far enough yet.

use std::collections::BTreeSet;
use std::sync::Arc;

use amaranth_core::ids::{ConfigRevision, LogOffset};

use crate::catalogue::{Catalogue, ConfigEdit};
use crate::change::{ChangeId, ConfigChange};
use crate::deletions::DeletionLedger;
use crate::entries::ConfigKey;
use crate::envelope::{ConfigRecord, RecordFault};
use crate::recent::RecentChanges;
use crate::snapshot::{
    MAX_SNAPSHOT_PARTS, SnapshotAssembly, SnapshotId, SnapshotRecord, SnapshotState,
};

pub use crate::verdict::{
    AcceptedChange, MAX_NAMED_FAULTS, RecordVerdict, RefusalReason, RefusedChange, SnapshotNote,
};

/// Snapshots whose parts are collected at once.
const MAX_ASSEMBLIES: usize = 4;

/// How far a history can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryStanding {
    /// Every record before the next offset is ruled.
    Complete,
    /// Records before this offset are gone unread; a snapshot must make up for them.
    Seeking(LogOffset),
    /// The record at this offset has a format that this release does not know.
    Blocked(LogOffset),
}

/// The state that the records so far have made.
#[derive(Debug)]
pub struct ConfigHistory {
    catalogue: Arc<Catalogue>,
    deletions: DeletionLedger,
    recent: RecentChanges,
    next: LogOffset,
    standing: HistoryStanding,
    assemblies: Vec<SnapshotAssembly>,
    tallies: Vec<PartTally>,
    last_snapshot: Option<SnapshotNote>,
}

impl Default for ConfigHistory {
    fn default() -> Self {
        Self::open()
    }
}

impl ConfigHistory {
    /// Opens an empty history that wants the record at offset zero next.
    pub fn open() -> Self {
        Self {
            catalogue: Arc::default(),
            deletions: DeletionLedger::default(),
            recent: RecentChanges::default(),
            next: LogOffset::default(),
            standing: HistoryStanding::Complete,
            assemblies: Vec::new(),
            tallies: Vec::new(),
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
    /// It moves back when a snapshot from the log is taken over.
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns how far the history can be relied on.
    pub const fn standing(&self) -> HistoryStanding {
        self.standing
    }

    /// Returns the last snapshot that stands in the log whole.
    pub const fn last_snapshot(&self) -> Option<&SnapshotNote> {
        self.last_snapshot.as_ref()
    }

    /// Returns the state, from which a snapshot can be written.
    ///
    /// Returns nothing while the history is not complete.
    pub fn snapshot_state(&self) -> Option<SnapshotState> {
        (self.standing == HistoryStanding::Complete).then(|| SnapshotState {
            catalogue: Catalogue::clone(&self.catalogue),
            deletions: self.deletions.clone(),
            recent: self.recent.clone(),
            covers: self.next,
        })
    }

    /// Notes the oldest offset that the log still keeps, which each page of a read tells.
    ///
    /// When records were lost unread, the history seeks a snapshot from there on.
    pub fn note_first_kept(&mut self, first_kept: LogOffset) {
        if first_kept <= self.next {
            return;
        }
        self.next = first_kept;
        self.standing = HistoryStanding::Seeking(first_kept);
        // Parts of a snapshot that stand before the gap may be gone.
        self.assemblies.clear();
        self.tallies.clear();
    }

    /// Rules the record at `offset`.
    pub fn apply_record(&mut self, offset: LogOffset, bytes: &[u8]) -> RecordVerdict {
        if offset < self.next {
            return RecordVerdict::Passed;
        }
        let record = match ConfigRecord::decode(bytes) {
            Ok(record) => record,
            Err(RecordFault::UnknownFormat(format)) => {
                self.standing = HistoryStanding::Blocked(offset);
                return RecordVerdict::Blocked(format);
            }
            Err(fault) => {
                self.next = offset.next();
                return RecordVerdict::Malformed(fault);
            }
        };
        self.next = offset.next();
        match (record, self.standing) {
            (ConfigRecord::Change(change), HistoryStanding::Complete) => self.rule(change),
            (ConfigRecord::Snapshot(part), HistoryStanding::Complete) => self.tally(&part),
            (ConfigRecord::Snapshot(part), HistoryStanding::Seeking(since)) => {
                self.assemble(&part, since)
            }
            (ConfigRecord::Change(_), _) | (_, HistoryStanding::Blocked(_)) => {
                RecordVerdict::Unruled
            }
        }
    }

    /// Takes over the state of a peer's snapshot, and returns whether it was of use.
    ///
    /// A state that is older than this history's, or that leaves out records which the log no
    /// longer keeps, is not taken.
    pub fn adopt(&mut self, state: SnapshotState) -> bool {
        let reaches = match self.standing {
            HistoryStanding::Complete => state.covers > self.next,
            HistoryStanding::Seeking(since) => state.covers >= since,
            HistoryStanding::Blocked(_) => false,
        };
        if !reaches || state.catalogue.revision() < self.revision() {
            return false;
        }
        self.catalogue = Arc::new(state.catalogue);
        self.deletions = state.deletions;
        self.recent = state.recent;
        self.next = state.covers;
        self.standing = HistoryStanding::Complete;
        self.assemblies.clear();
        true
    }

    fn rule(&mut self, change: ConfigChange) -> RecordVerdict {
        let id = change.id();
        if let Some(revision) = self.recent.revision(id) {
            return RecordVerdict::Duplicate {
                change: id,
                revision,
            };
        }
        match self.judge(&change) {
            Ok(catalogue) => self.accept(id, change, catalogue),
            Err(reason) => RecordVerdict::Refused(RefusedChange {
                change: id,
                origin: change.origin,
                base: change.base,
                revision: self.revision(),
                reason,
            }),
        }
    }

    /// Returns the catalogue that the change makes, or why it is refused.
    fn judge(&self, change: &ConfigChange) -> Result<Catalogue, RefusalReason> {
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
                problems.truncate(MAX_NAMED_FAULTS);
                RefusalReason::Invalid(problems)
            })
    }

    /// Returns the first entries that were changed after the change's base.
    fn conflicts(&self, change: &ConfigChange) -> Vec<ConfigKey> {
        change
            .edits
            .iter()
            .map(ConfigEdit::key)
            .filter(|key| self.last_changed(key) > Some(change.base))
            .take(MAX_NAMED_FAULTS)
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
    ) -> RecordVerdict {
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
            self.deletions.note(revision, key);
        }
        self.recent.note(revision, id);
        self.catalogue = Arc::new(catalogue);
        RecordVerdict::Accepted(AcceptedChange {
            change: id,
            origin: change.origin,
            revision,
            edits,
        })
    }

    /// Notes a part of a snapshot that this history has no need of.
    fn tally(&mut self, part: &SnapshotRecord) -> RecordVerdict {
        let complete = PartTally::count(&mut self.tallies, part);
        let note = note_of(part, complete);
        if complete
            && self
                .last_snapshot
                .is_none_or(|last| last.covers < note.covers)
        {
            self.last_snapshot = Some(note);
        }
        RecordVerdict::Snapshot(note)
    }

    /// Collects a part of a snapshot, and takes the snapshot over when it is whole.
    fn assemble(&mut self, part: &SnapshotRecord, since: LogOffset) -> RecordVerdict {
        let note = note_of(part, false);
        // Records between the snapshot and what was read are gone, so it can't make up for them.
        if part.covers < since {
            return RecordVerdict::Snapshot(note);
        }
        match self.collect_part(part) {
            Ok(Some(state)) => {
                let revision = state.catalogue.revision();
                if self.adopt(state) {
                    self.last_snapshot = Some(note_of(part, true));
                    RecordVerdict::Restored(revision)
                } else {
                    RecordVerdict::Snapshot(note)
                }
            }
            Ok(None) => RecordVerdict::Snapshot(note),
            Err(fault) => RecordVerdict::Malformed(fault),
        }
    }

    fn collect_part(
        &mut self,
        part: &SnapshotRecord,
    ) -> Result<Option<SnapshotState>, RecordFault> {
        let known = self
            .assemblies
            .iter()
            .position(|assembly| assembly.id() == part.id);
        let index = match known {
            Some(index) => index,
            None => self.open_assembly(part)?,
        };
        let assembly = &mut self.assemblies[index];
        if let Err(fault) = assembly.add(part) {
            self.assemblies.remove(index);
            return Err(fault);
        }
        if assembly.is_complete() {
            return self.assemblies.remove(index).finish().map(Some);
        }
        Ok(None)
    }

    /// Opens an assembly in the place of the oldest one, if there are too many.
    fn open_assembly(&mut self, part: &SnapshotRecord) -> Result<usize, RecordFault> {
        let assembly = SnapshotAssembly::open(part)?;
        if self.assemblies.len() >= MAX_ASSEMBLIES {
            self.assemblies.remove(0);
        }
        self.assemblies.push(assembly);
        Ok(self.assemblies.len() - 1)
    }
}

const fn note_of(part: &SnapshotRecord, complete: bool) -> SnapshotNote {
    SnapshotNote {
        id: part.id,
        revision: part.revision,
        covers: part.covers,
        complete,
    }
}

/// Which parts of a snapshot stand in the log.
#[derive(Debug)]
struct PartTally {
    id: SnapshotId,
    seen: BTreeSet<u32>,
}

impl PartTally {
    /// Counts a part, and returns whether it makes its snapshot whole.
    fn count(tallies: &mut Vec<Self>, part: &SnapshotRecord) -> bool {
        if part.index >= part.count || part.count > MAX_SNAPSHOT_PARTS {
            return false;
        }
        let known = tallies.iter().position(|tally| tally.id == part.id);
        let index = known.unwrap_or_else(|| {
            if tallies.len() >= MAX_ASSEMBLIES {
                tallies.remove(0);
            }
            tallies.push(Self {
                id: part.id,
                seen: BTreeSet::new(),
            });
            tallies.len() - 1
        });
        let tally = &mut tallies[index];
        tally.seen.insert(part.index);
        let complete = u32::try_from(tally.seen.len()).is_ok_and(|seen| seen == part.count);
        if complete {
            tallies.remove(index);
        }
        complete
    }
}
