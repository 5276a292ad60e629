//! The cache of encoded snapshots from which peers are served.

use std::time::Duration;

use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::SnapshotId;
use amaranth_core::Result;
use amaranth_core::errors::{Error, ErrorKind, internal, not_found};
use amaranth_core::ids::ConfigRevision;
use amaranth_wire::entry::SnapshotPart;
use bytes::Bytes;
use tokio::time::Instant;

/// Maximum number of cached snapshots: a new snapshot must not interrupt a peer that is still
/// fetching the previous one.
const MAX_SNAPSHOTS: usize = 2;

/// Time without a request after which a snapshot is evicted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A cache of the encoded parts of the newest snapshots, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCache {
    snapshots: Vec<CachedSnapshot>,
}

/// The encoded parts of one snapshot, with the time of the last request.
#[derive(Debug)]
struct CachedSnapshot {
    revision: ConfigRevision,
    records: Vec<Bytes>,
    last_requested: Instant,
}

impl SnapshotCache {
    /// Returns one part, and encodes the current state when a new snapshot is started.
    pub(crate) fn serve(
        &mut self,
        history: &ConfigHistory,
        writer: &str,
        revision: Option<ConfigRevision>,
        index: u32,
    ) -> Result<SnapshotPart> {
        let requested = revision.unwrap_or(history.revision());
        let cached = self
            .snapshots
            .iter()
            .position(|snapshot| snapshot.revision == requested);
        let position = match (cached, revision) {
            (Some(position), _) => position,
            (None, None) => self.insert(CachedSnapshot::encode(history, writer)?),
            (None, Some(revision)) => {
                return Err(not_found(format!(
                    "no snapshot of revision {revision} is cached; request one without a revision"
                )));
            }
        };
        let snapshot = &mut self.snapshots[position];
        snapshot.last_requested = Instant::now();
        snapshot.part(index)
    }

    /// Evicts the snapshots that no peer has requested for [`IDLE_TIMEOUT`].
    pub(crate) fn evict_idle(&mut self) {
        self.snapshots
            .retain(|snapshot| snapshot.last_requested.elapsed() < IDLE_TIMEOUT);
    }

    /// Inserts a snapshot and returns its position. The oldest one is evicted if there are too
    /// many.
    fn insert(&mut self, snapshot: CachedSnapshot) -> usize {
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.remove(0);
        }
        self.snapshots.push(snapshot);
        self.snapshots.len() - 1
    }
}

impl CachedSnapshot {
    fn encode(history: &ConfigHistory, writer: &str) -> Result<Self> {
        let state = history.snapshot_state().ok_or_else(|| {
            Error::new(ErrorKind::NotReady, "the configuration has not caught up")
        })?;
        let revision = history.revision();
        let id = SnapshotId::derive(&format!("{writer} peers {revision}"));
        let records = state
            .to_records(id)
            .map_err(|error| internal(error.to_string()))?;
        Ok(Self {
            revision,
            records,
            last_requested: Instant::now(),
        })
    }

    fn part(&self, index: u32) -> Result<SnapshotPart> {
        let data = usize::try_from(index)
            .ok()
            .and_then(|index| self.records.get(index))
            .ok_or_else(|| not_found(format!("the snapshot has no part {index}")))?;
        Ok(SnapshotPart {
            revision: self.revision,
            index,
            count: u32::try_from(self.records.len()).unwrap_or(u32::MAX),
            data: data.clone(),
        })
    }
}
