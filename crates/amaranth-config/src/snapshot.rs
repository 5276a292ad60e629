//! The whole state of a history, in parts of bounded size.
//!
//! A part travels as a record of the log and from peer to peer in the same form. Its rows are
//! decoded one at a time, so that a part takes no more memory than its rows need.

use std::collections::BTreeSet;

use amaranth_core::digest::body_digest;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::catalogue::{Catalogue, CatalogueBuilder, MAX_ENTRIES};
use crate::change::ChangeId;
use crate::deletions::{DeletionLedger, MAX_DELETIONS};
use crate::entries::{ConfigEntry, ConfigKey};
use crate::envelope::{ConfigRecord, RecordFault};
use crate::recent::{MAX_RECENT_CHANGES, RecentChanges};

/// Bytes of rows after which a part is closed.
pub const PART_BYTES: usize = 128 << 10;

/// Most parts of one snapshot.
pub const MAX_SNAPSHOT_PARTS: u32 = 1 << 10;

/// The identity of one attempt to write a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SnapshotId(u128);

impl SnapshotId {
    /// Derives the identity from a text that no other attempt has, such as the writer's name,
    /// incarnation and a count.
    pub fn derive(attempt: &str) -> Self {
        Self(body_digest(attempt.as_bytes()))
    }
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The snapshot.
    pub id: SnapshotId,
    /// The revision of its state.
    pub revision: ConfigRevision,
    /// The offset of the first record that the state does not include.
    pub covers: LogOffset,
    /// The index of this part, counted from 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The rows, one after the other.
    pub rows: Bytes,
}

/// One row of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum SnapshotRow {
    Entry(ConfigRevision, ConfigEntry),
    Deletion(ConfigRevision, ConfigKey),
    Floor(ConfigRevision),
    Recent(ConfigRevision, ChangeId),
}

/// The state that a snapshot carries.
#[derive(Debug, Clone, Default)]
pub struct SnapshotState {
    /// The catalogue.
    pub catalogue: Catalogue,
    /// The deletions that may still matter.
    pub deletions: DeletionLedger,
    /// The changes that were accepted last.
    pub recent: RecentChanges,
    /// The offset of the first record that the state does not include.
    pub covers: LogOffset,
}

impl SnapshotState {
    /// Encodes the state as records of about [`PART_BYTES`], in the order of their indexes.
    ///
    /// # Errors
    ///
    /// Returns an error when an entry is too large for a record.
    pub fn to_records(&self, id: SnapshotId) -> Result<Vec<Bytes>, RecordFault> {
        self.to_sized_records(id, PART_BYTES)
    }

    /// Encodes the state as records of about `part_bytes`, in the order of their indexes.
    ///
    /// # Errors
    ///
    /// Returns an error when an entry is too large for a record.
    pub fn to_sized_records(
        &self,
        id: SnapshotId,
        part_bytes: usize,
    ) -> Result<Vec<Bytes>, RecordFault> {
        let mut parts = PartWriter::open(part_bytes);
        for row in self.rows() {
            parts.push(&row)?;
        }
        let parts = parts.finish();
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        (0..)
            .zip(parts)
            .map(|(index, rows)| {
                let record = SnapshotRecord {
                    id,
                    revision: self.catalogue.revision(),
                    covers: self.covers,
                    index,
                    count,
                    rows: rows.into(),
                };
                ConfigRecord::Snapshot(record).encode()
            })
            .collect()
    }

    fn rows(&self) -> impl Iterator<Item = SnapshotRow> {
        let floor = [SnapshotRow::Floor(self.deletions.floor())];
        let entries = self
            .catalogue
            .entries()
            .map(|(revision, entry)| SnapshotRow::Entry(revision, entry));
        let deletions = self
            .deletions
            .iter()
            .map(|(revision, key)| SnapshotRow::Deletion(*revision, key.clone()));
        let recent = self
            .recent
            .iter()
            .map(|(revision, change)| SnapshotRow::Recent(*revision, *change));
        floor
            .into_iter()
            .chain(entries)
            .chain(deletions)
            .chain(recent)
    }
}

/// Fills parts with encoded rows.
#[derive(Debug)]
struct PartWriter {
    part_bytes: usize,
    full: Vec<Vec<u8>>,
    open: Vec<u8>,
}

impl PartWriter {
    const fn open(part_bytes: usize) -> Self {
        Self {
            part_bytes,
            full: Vec::new(),
            open: Vec::new(),
        }
    }

    fn push(&mut self, row: &SnapshotRow) -> Result<(), RecordFault> {
        let open = std::mem::take(&mut self.open);
        self.open = postcard::to_extend(row, open)
            .map_err(|error| RecordFault::Malformed(error.to_string()))?;
        if self.open.len() >= self.part_bytes {
            self.full.push(std::mem::take(&mut self.open));
        }
        Ok(())
    }

    fn finish(mut self) -> Vec<Vec<u8>> {
        if !self.open.is_empty() {
            self.full.push(self.open);
        }
        self.full
    }
}

/// Puts the parts of one snapshot together, in whatever order they come.
pub struct SnapshotAssembly {
    id: SnapshotId,
    revision: ConfigRevision,
    covers: LogOffset,
    count: u32,
    seen: BTreeSet<u32>,
    restore: CatalogueBuilder,
    floor: ConfigRevision,
    deletions: Vec<(ConfigRevision, ConfigKey)>,
    recent: Vec<(ConfigRevision, ChangeId)>,
}

impl std::fmt::Debug for SnapshotAssembly {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("SnapshotAssembly")
            .field("revision", &self.revision)
            .field("covers", &self.covers)
            .field("seen", &self.seen.len())
            .field("count", &self.count)
            .finish_non_exhaustive()
    }
}

impl SnapshotAssembly {
    /// Opens the assembly of the snapshot that `part` belongs to, without taking `part` in.
    ///
    /// # Errors
    ///
    /// Returns an error when the number of parts is absurd.
    pub fn open(part: &SnapshotRecord) -> Result<Self, RecordFault> {
        if part.count == 0 || part.count > MAX_SNAPSHOT_PARTS {
            let count = part.count;
            return Err(RecordFault::Malformed(format!("snapshot of {count} parts")));
        }
        Ok(Self {
            id: part.id,
            revision: part.revision,
            covers: part.covers,
            count: part.count,
            seen: BTreeSet::new(),
            restore: CatalogueBuilder::new(),
            floor: ConfigRevision::default(),
            deletions: Vec::new(),
            recent: Vec::new(),
        })
    }

    /// Returns the identity of the snapshot.
    pub const fn id(&self) -> SnapshotId {
        self.id
    }

    /// Returns the offset of the first record that the snapshot does not include.
    pub const fn covers(&self) -> LogOffset {
        self.covers
    }

    /// Returns whether all parts are in.
    pub fn is_complete(&self) -> bool {
        u32::try_from(self.seen.len()).is_ok_and(|seen| seen == self.count)
    }

    /// Takes a part in. One that is in already is passed over.
    ///
    /// # Errors
    ///
    /// Returns an error when the part belongs elsewhere or does not decode; the assembly is of
    /// no more use then.
    pub fn add(&mut self, part: &SnapshotRecord) -> Result<(), RecordFault> {
        let belongs = (part.id, part.revision, part.covers, part.count)
            == (self.id, self.revision, self.covers, self.count);
        if !belongs || part.index >= self.count {
            let index = part.index;
            let fault = format!("part {index} does not belong to its snapshot");
            return Err(RecordFault::Malformed(fault));
        }
        if !self.seen.insert(part.index) {
            return Ok(());
        }
        let mut rest = &*part.rows;
        while !rest.is_empty() {
            let (row, behind) = postcard::take_from_bytes(rest)
                .map_err(|error| RecordFault::Malformed(error.to_string()))?;
            self.add_row(row)?;
            rest = behind;
        }
        Ok(())
    }

    fn add_row(&mut self, row: SnapshotRow) -> Result<(), RecordFault> {
        match row {
            SnapshotRow::Entry(revision, entry) => self.restore.add(revision, entry),
            SnapshotRow::Deletion(revision, key) => self.deletions.push((revision, key)),
            SnapshotRow::Floor(revision) => self.floor = revision,
            SnapshotRow::Recent(revision, change) => self.recent.push((revision, change)),
        }
        let absurd = self.restore.len() > MAX_ENTRIES
            || self.deletions.len() > MAX_DELETIONS
            || self.recent.len() > MAX_RECENT_CHANGES;
        if absurd {
            return Err(RecordFault::Malformed("snapshot is too large".to_owned()));
        }
        Ok(())
    }

    /// Returns the state, once all parts are in.
    ///
    /// # Errors
    ///
    /// Returns an error when parts are missing or the entries don't fit together.
    pub fn finish(mut self) -> Result<SnapshotState, RecordFault> {
        if !self.is_complete() {
            return Err(RecordFault::Malformed("snapshot lacks parts".to_owned()));
        }
        let catalogue = self.restore.finish(self.revision).map_err(|problems| {
            let first = problems.first().map(ToString::to_string);
            RecordFault::Malformed(first.unwrap_or_default())
        })?;
        self.deletions.sort();
        self.recent.sort();
        Ok(SnapshotState {
            catalogue,
            deletions: DeletionLedger::restore(self.floor, self.deletions),
            recent: RecentChanges::restore(self.recent),
            covers: self.covers,
        })
    }
}
