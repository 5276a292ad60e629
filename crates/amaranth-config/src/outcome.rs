//! Outcomes of applying records of the log to a history.

use amaranth_core::ids::{ConfigRevision, LogOffset};

use crate::catalogue::CatalogueProblem;
use crate::change::{ChangeId, ChangeOrigin};
use crate::entries::ConfigKey;
use crate::envelope::RecordError;
use crate::snapshot::SnapshotId;

/// Maximum number of conflicting keys or problems that one outcome lists.
pub const MAX_REPORTED_PROBLEMS: usize = 16;

/// The outcome of applying one record to a history.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordOutcome {
    /// The change was accepted and is in force.
    Accepted(AcceptedChange),
    /// The change was accepted before; the record is a duplicated append.
    Duplicate {
        /// The identity of the change.
        change: ChangeId,
        /// The revision that the change created.
        revision: ConfigRevision,
    },
    /// The change was refused, and the catalogue is unchanged.
    Refused(RefusedChange),
    /// The record is a part of a snapshot.
    Snapshot(SnapshotInfo),
    /// The state was restored from a snapshot; reading continues at the snapshot's offset.
    Restored(ConfigRevision),
    /// The record precedes the next offset and was ignored.
    AlreadyApplied,
    /// The record can't be evaluated because older records are missing.
    Undetermined,
    /// The bytes are not a valid record; every reader skips them.
    Malformed(RecordError),
    /// The record has this unknown format; the history stops before it.
    Blocked(u8),
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The identity of the change.
    pub change: ChangeId,
    /// The author and the time of the change.
    pub origin: ChangeOrigin,
    /// The revision that the change created.
    pub revision: ConfigRevision,
    /// The number of entries that the change edited.
    pub edits: usize,
}

/// A change that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedChange {
    /// The identity of the change.
    pub change: ChangeId,
    /// The author and the time of the change.
    pub origin: ChangeOrigin,
    /// The revision that the change was made against.
    pub base: ConfigRevision,
    /// The revision that was in force when the change was refused.
    pub revision: ConfigRevision,
    /// The reason for the refusal.
    pub reason: RefusalReason,
}

/// The reason why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// Other changes have edited the same entries since the base revision.
    #[error("another change was first: {}", join(.0))]
    Conflict(Vec<ConfigKey>),
    /// The base revision is so old that deletions since then may have been discarded.
    #[error("its base revision is older than {0}, so conflicts can no longer be detected")]
    TooOld(ConfigRevision),
    /// The base revision does not exist yet.
    #[error("its base revision does not exist")]
    FutureBase,
    /// The change contains no edits.
    #[error("it contains no edits")]
    Empty,
    /// The resulting catalogue would not be valid.
    #[error("{}", join(.0))]
    Invalid(Vec<CatalogueProblem>),
}

fn join<T: ToString>(items: &[T]) -> String {
    let texts: Vec<_> = items.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

/// The metadata of a snapshot in the log, as known from its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotInfo {
    /// The identity of the snapshot.
    pub id: SnapshotId,
    /// The revision of the snapshot's state.
    pub revision: ConfigRevision,
    /// The offset of the first record that the snapshot does not include.
    pub covers: LogOffset,
    /// Whether all parts of the snapshot have been read from the log.
    pub complete: bool,
}
