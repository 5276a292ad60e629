//! Snapshots of the state of a history, in parts of bounded size.
//!
//! A part has the same encoding in the log and between peers. Its rows are decoded one at a
//! time, so that decoding a part allocates no more memory than its rows need.

use std::collections::BTreeSet;

use amaranth_core::digest::body_digest;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::catalogue::{Catalogue, CatalogueBuilder, MAX_ENTRIES};
use crate::change::ChangeId;
use crate::entries::{ConfigEntry, ConfigKey};
use crate::envelope::{ConfigRecord, RecordError};
use crate::recent_changes::{MAX_RECENT_CHANGES, RecentChanges};
use crate::recent_deletions::{MAX_DELETIONS, RecentDeletions};

/// Size of the rows of a part, in bytes, at which the next part is started.
pub const PART_BYTES: usize = 128 << 10;

/// Maximum number of parts of one snapshot.
pub const MAX_SNAPSHOT_PARTS: u32 = 1 << 10;

/// The identity of one attempt to write a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SnapshotId(u128);

impl SnapshotId {
    /// Derives the identity from a text that is unique to the attempt, such as the writer's
    /// name, incarnation and a counter.
    pub fn derive(attempt: &str) -> Self {
        Self(body_digest(attempt.as_bytes()))
    }
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The identity of the snapshot.
    pub id: SnapshotId,
    /// The revision of the snapshot's state.
    pub revision: ConfigRevision,
    /// The offset of the first record that the state does not include.
    pub covers: LogOffset,
    /// The index of this part, counted from 0.
    pub index: u32,
    /// The number of parts of the snapshot.
    pub count: u32,
    /// The encoded rows, concatenated.
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

/// The state of a history that a snapshot contains.
#[derive(Debug, Clone, Default)]
pub struct SnapshotState {
    /// The catalogue in force.
    pub catalogue: Catalogue,
    /// The recent deletions, by which conflicts are detected.
    pub deletions: RecentDeletions,
    /// The recently accepted changes, by which duplicates are detected.
    pub recent: RecentChanges,
    /// The offset of the first record that the state does not include.
    pub covers: LogOffset,
}

impl SnapshotState {
    /// Encodes the state as records of about [`PART_BYTES`], in the order of their indexes.
    ///
    /// # Errors
    ///
    /// Returns an error when a row is too large for a record.
    pub fn to_records(&self, id: SnapshotId) -> Result<Vec<Bytes>, RecordError> {
        self.to_sized_records(id, PART_BYTES)
    }

    /// Encodes the state as records of about `part_bytes`, in the order of their indexes.
    ///
    /// # Errors
    ///
    /// Returns an error when a row is too large for a record.
    pub fn to_sized_records(
        &self,
        id: SnapshotId,
        part_bytes: usize,
    ) -> Result<Vec<Bytes>, RecordError> {
        let mut parts = PartWriter::new(part_bytes);
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

/// Encodes rows and distributes them over parts.
#[derive(Debug)]
struct PartWriter {
    part_bytes: usize,
    full: Vec<Vec<u8>>,
    open: Vec<u8>,
}

impl PartWriter {
    const fn new(part_bytes: usize) -> Self {
        Self {
            part_bytes,
            full: Vec::new(),
            open: Vec::new(),
        }
    }

    fn push(&mut self, row: &SnapshotRow) -> Result<(), RecordError> {
        let open = std::mem::take(&mut self.open);
        self.open = postcard::to_extend(row, open)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
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

/// Assembles the parts of one snapshot, which may arrive in any order.
pub struct SnapshotAssembly {
    id: SnapshotId,
    revision: ConfigRevision,
    covers: LogOffset,
    count: u32,
    seen: BTreeSet<u32>,
    builder: CatalogueBuilder,
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
    /// Creates an assembly for the snapshot that `part` belongs to, without adding `part`.
    ///
    /// # Errors
    ///
    /// Returns an error when the number of parts is zero or exceeds [`MAX_SNAPSHOT_PARTS`].
    pub fn new(part: &SnapshotRecord) -> Result<Self, RecordError> {
        if part.count == 0 || part.count > MAX_SNAPSHOT_PARTS {
            let count = part.count;
            return Err(RecordError::Malformed(format!("snapshot of {count} parts")));
        }
        Ok(Self {
            id: part.id,
            revision: part.revision,
            covers: part.covers,
            count: part.count,
            seen: BTreeSet::new(),
            builder: CatalogueBuilder::new(),
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

    /// Returns whether all parts were added.
    pub fn is_complete(&self) -> bool {
        u32::try_from(self.seen.len()).is_ok_and(|seen| seen == self.count)
    }

    /// Adds a part. A part that was added before is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error when the part belongs to another snapshot or can't be decoded. The
    /// assembly must be dropped then.
    pub fn add(&mut self, part: &SnapshotRecord) -> Result<(), RecordError> {
        let belongs = (part.id, part.revision, part.covers, part.count)
            == (self.id, self.revision, self.covers, self.count);
        if !belongs || part.index >= self.count {
            let index = part.index;
            let message = format!("part {index} does not belong to its snapshot");
            return Err(RecordError::Malformed(message));
        }
        if !self.seen.insert(part.index) {
            return Ok(());
        }
        let mut rest = &*part.rows;
        while !rest.is_empty() {
            let (row, remaining) = postcard::take_from_bytes(rest)
                .map_err(|error| RecordError::Malformed(error.to_string()))?;
            self.add_row(row)?;
            rest = remaining;
        }
        Ok(())
    }

    fn add_row(&mut self, row: SnapshotRow) -> Result<(), RecordError> {
        match row {
            SnapshotRow::Entry(revision, entry) => self.builder.add(revision, entry),
            SnapshotRow::Deletion(revision, key) => self.deletions.push((revision, key)),
            SnapshotRow::Floor(revision) => self.floor = revision,
            SnapshotRow::Recent(revision, change) => self.recent.push((revision, change)),
        }
        let too_large = self.builder.len() > MAX_ENTRIES
            || self.deletions.len() > MAX_DELETIONS
            || self.recent.len() > MAX_RECENT_CHANGES;
        if too_large {
            return Err(RecordError::Malformed("snapshot is too large".to_owned()));
        }
        Ok(())
    }

    /// Returns the state of the snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when parts are missing or the entries are not a valid catalogue.
    pub fn finish(mut self) -> Result<SnapshotState, RecordError> {
        if !self.is_complete() {
            return Err(RecordError::Malformed("snapshot lacks parts".to_owned()));
        }
        let catalogue = self.builder.finish(self.revision).map_err(|problems| {
            let first = problems.first().map(ToString::to_string);
            RecordError::Malformed(first.unwrap_or_default())
        })?;
        self.deletions.sort();
        self.recent.sort();
        Ok(SnapshotState {
            catalogue,
            deletions: RecentDeletions::restore(self.floor, self.deletions),
            recent: RecentChanges::restore(self.recent),
            covers: self.covers,
        })
    }
}
