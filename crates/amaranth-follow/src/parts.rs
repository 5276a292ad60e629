//! The snapshots that peers are being served from.

use std::time::Duration;

use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::SnapshotId;
use amaranth_core::Result;
use amaranth_core::errors::{Error, ErrorKind, internal, not_found};
use amaranth_core::ids::ConfigRevision;
use amaranth_wire::entry::SnapshotPart;
use bytes::Bytes;
use tokio::time::Instant;

/// Snapshots that are held at once, so that one who fetches is not cut off by the next.
const MAX_HELD: usize = 2;

/// Time without a request after which a snapshot is dropped.
const HOLD_TIME: Duration = Duration::from_secs(30);

/// Holds the encoded parts of the revisions that were asked for last, the newest one last.
#[derive(Debug, Default)]
pub(crate) struct ServedParts {
    held: Vec<HeldParts>,
}

#[derive(Debug)]
struct HeldParts {
    revision: ConfigRevision,
    records: Vec<Bytes>,
    asked: Instant,
}

impl ServedParts {
    /// Returns one part, encoding the present state when a new snapshot is begun.
    pub(crate) fn serve(
        &mut self,
        history: &ConfigHistory,
        writer: &str,
        revision: Option<ConfigRevision>,
        index: u32,
    ) -> Result<SnapshotPart> {
        let wanted = revision.unwrap_or(history.revision());
        let known = self.held.iter().position(|held| held.revision == wanted);
        let place = match (known, revision) {
            (Some(place), _) => place,
            (None, None) => self.hold(HeldParts::encode(history, writer)?),
            (None, Some(revision)) => {
                return Err(not_found(format!(
                    "no snapshot of revision {revision} is held; begin one without a revision"
                )));
            }
        };
        let held = &mut self.held[place];
        held.asked = Instant::now();
        held.part(index)
    }

    /// Drops the snapshots that nobody fetches any more.
    pub(crate) fn drop_idle(&mut self) {
        self.held.retain(|held| held.asked.elapsed() < HOLD_TIME);
    }

    /// Holds one more snapshot, in the place of the oldest if there are too many.
    fn hold(&mut self, parts: HeldParts) -> usize {
        if self.held.len() >= MAX_HELD {
            self.held.remove(0);
        }
        self.held.push(parts);
        self.held.len() - 1
    }
}

impl HeldParts {
    fn encode(history: &ConfigHistory, writer: &str) -> Result<Self> {
        let state = history.snapshot_state().ok_or_else(|| {
            Error::new(ErrorKind::NotReady, "the configuration has not caught up")
        })?;
        let revision = history.revision();
        let id = SnapshotId::derive(&format!("{writer} peers {revision}"));
        let records = state
            .to_records(id)
            .map_err(|fault| internal(fault.to_string()))?;
        Ok(Self {
            revision,
            records,
            asked: Instant::now(),
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
