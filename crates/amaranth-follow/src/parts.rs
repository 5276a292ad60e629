//! The snapshot that peers are being served from.

use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::SnapshotId;
use amaranth_core::Result;
use amaranth_core::errors::{Error, ErrorKind, internal, not_found};
use amaranth_core::ids::ConfigRevision;
use amaranth_wire::entry::SnapshotPart;
use bytes::Bytes;

/// Holds the encoded parts of the revision that was asked for last.
#[derive(Debug, Default)]
pub(crate) struct ServedParts {
    held: Option<HeldParts>,
}

#[derive(Debug)]
struct HeldParts {
    revision: ConfigRevision,
    records: Vec<Bytes>,
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
        let held = match (&self.held, revision) {
            (Some(held), Some(revision)) if held.revision == revision => held,
            (Some(held), None) if held.revision == history.revision() => held,
            (_, None) => self.held.insert(HeldParts::encode(history, writer)?),
            (_, Some(revision)) => {
                return Err(not_found(format!(
                    "no snapshot of revision {revision} is held; begin one without a revision"
                )));
            }
        };
        held.part(index)
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
        Ok(Self { revision, records })
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
