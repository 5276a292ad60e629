//! Rules the records of the log's configuration stream.
//!
//! All readers rule alike, because the outcome of a record depends on the records before it and
//! on nothing else. Three things can keep a history from ruling: the log no longer keeps records
//! that it has not read, and no snapshot makes up for them; a record has a format that this
//! release does not know; or it has simply not read far enough yet.

use std::sync::Arc;

use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;

use crate::catalogue::{Catalogue, CatalogueProblem, ConfigEdit};
use crate::change::{ChangeId, ChangeOrigin, ConfigChange};
use crate::deletions::DeletionLedger;
use crate::entries::ConfigKey;
use crate::envelope::{ConfigRecord, RecordFault};
use crate::recent::RecentChanges;
use crate::snapshot::{SnapshotAssembly, SnapshotId, SnapshotRecord, SnapshotState};

/// Snapshots whose parts are collected at once.
const MAX_ASSEMBLIES: usize = 4;

/// Most conflicting keys and problems that one verdict names.
pub const MAX_NAMED_FAULTS: usize = 16;

/// What became of one record.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordVerdict {
    /// The change is in force.
    Accepted(AcceptedChange),
    /// The change was accepted before; this is a duplicated append.
    Duplicate {
        /// The change.
        change: ChangeId,
        /// The revision that it made.
        revision: ConfigRevision,
    },
    /// The change was refused. Nothing changed.
    Refused(RefusedChange),
    /// The record is a part of a snapshot.
    Snapshot(SnapshotNote),
    /// The state of a snapshot was taken over; reading goes on at its offset.
    Restored(ConfigRevision),
    /// The record was ruled before.
    Passed,
    /// The record can't be ruled, since older records are missing.
    Unruled,
    /// The bytes are no record; every reader passes them over.
    Malformed(RecordFault),
    /// The record's format is unknown; the history stops before it.
    Blocked(u8),
}

/// A change that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The change.
    pub change: ChangeId,
    /// Who made it.
    pub origin: ChangeOrigin,
    /// The revision that it made.
    pub revision: ConfigRevision,
    /// The number of entries that it edited.
    pub edits: usize,
}

/// A change that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedChange {
    /// The change.
    pub change: ChangeId,
    /// Who made it.
    pub origin: ChangeOrigin,
    /// The revision that it was made against.
    pub base: ConfigRevision,
    /// The revision in force.
    pub revision: ConfigRevision,
    /// Why.
    pub reason: RefusalReason,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// Entries were changed since the revision that the change was made against.
    #[error("another change was first: {}", join(.0))]
    Conflict(Vec<ConfigKey>),
    /// The base revision is so old that deletions since then are forgotten.
    #[error("it was made against a revision before {0}, which is too old to be ruled")]
    TooOld(ConfigRevision),
    /// The base revision does not exist yet.
    #[error("it was made against a revision that does not exist")]
    FutureBase,
    /// The change edits nothing.
    #[error("it edits nothing")]
    Empty,
    /// The outcome would not be valid.
    #[error("{}", join(.0))]
    Invalid(Vec<CatalogueProblem>),
}

fn join<T: ToString>(items: &[T]) -> String {
    let texts: Vec<_> = items.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

/// What a part of a snapshot tells a reader that is up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotNote {
    /// The snapshot.
    pub id: SnapshotId,
    /// Its revision.
    pub revision: ConfigRevision,
    /// The offset of the first record that it does not include.
    pub covers: LogOffset,
    /// Whether all parts of it are in the log now.
    pub complete: bool,
}

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
    seen: std::collections::BTreeSet<u32>,
}

impl PartTally {
    /// Counts a part, and returns whether it makes its snapshot whole.
    fn count(tallies: &mut Vec<Self>, part: &SnapshotRecord) -> bool {
        if part.index >= part.count || part.count > crate::snapshot::MAX_SNAPSHOT_PARTS {
            return false;
        }
        let known = tallies.iter().position(|tally| tally.id == part.id);
        let index = known.unwrap_or_else(|| {
            if tallies.len() >= MAX_ASSEMBLIES {
                tallies.remove(0);
            }
            tallies.push(Self {
                id: part.id,
                seen: std::collections::BTreeSet::new(),
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

/// Returns the records of a snapshot of `history`.
///
/// # Errors
///
/// Returns an error when the history is not complete or an entry is too large for a record.
pub fn snapshot_records(
    history: &ConfigHistory,
    id: SnapshotId,
) -> Result<Vec<Bytes>, RecordFault> {
    let state = history
        .snapshot_state()
        .ok_or_else(|| RecordFault::Malformed("the history is not complete".to_owned()))?;
    state.to_records(id)
}
