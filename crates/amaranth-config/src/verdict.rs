//! What became of one record of the log.

use amaranth_core::ids::{ConfigRevision, LogOffset};

use crate::catalogue::CatalogueProblem;
use crate::change::{ChangeId, ChangeOrigin};
use crate::entries::ConfigKey;
use crate::envelope::RecordFault;
use crate::snapshot::SnapshotId;

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
