//! A naive reader, in which the last write wins and every complete snapshot is restored.

use amaranth_config::catalogue::ConfigEdit;
use amaranth_config::envelope::ConfigRecord;
use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::SnapshotAssembly;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;

use crate::oracle::EntryStates;
use crate::scenario::LogReader;

/// A reader without conflict detection, tracking of deletions or detection of lost records.
#[derive(Debug, Default)]
pub struct LastWriteReader {
    next: u64,
    revision: ConfigRevision,
    states: EntryStates,
    /// The correct history, from which operators and snapshot writers of the scenario work.
    correct: ConfigHistory,
    assemblies: Vec<SnapshotAssembly>,
}

impl LastWriteReader {
    fn apply(&mut self, record: ConfigRecord) {
        match record {
            ConfigRecord::Change(change) => {
                self.revision = self.revision.next();
                for edit in change.edits {
                    match edit {
                        ConfigEdit::Put(entry) => {
                            self.states.insert(entry.key(), (self.revision, entry));
                        }
                        ConfigEdit::Remove(key) => {
                            self.states.remove(&key);
                        }
                    }
                }
            }
            ConfigRecord::Snapshot(part) => {
                let existing = self
                    .assemblies
                    .iter()
                    .position(|assembly| assembly.id() == part.id);
                let index = existing.unwrap_or_else(|| {
                    let assembly = SnapshotAssembly::new(&part).expect("the part is valid");
                    self.assemblies.push(assembly);
                    self.assemblies.len() - 1
                });
                self.assemblies[index]
                    .add(&part)
                    .expect("the part is valid");
                if self.assemblies[index].is_complete() {
                    let assembly = self.assemblies.remove(index);
                    let state = assembly.finish().expect("the snapshot is valid");
                    self.revision = state.catalogue.revision();
                    let entries = state.catalogue.entries();
                    self.states = entries
                        .map(|(revision, entry)| (entry.key(), (revision, entry)))
                        .collect();
                }
            }
        }
    }
}

impl LogReader for LastWriteReader {
    fn new() -> Self {
        Self::default()
    }

    fn read(&mut self, first_kept: u64, records: &[Bytes]) {
        self.correct.update_first_kept(LogOffset(first_kept));
        self.next = self.next.max(first_kept);
        let Some(record) = records.get(usize::try_from(self.next).unwrap_or(usize::MAX)) else {
            return;
        };
        self.correct.apply_record(LogOffset(self.next), record);
        if let Ok(decoded) = ConfigRecord::decode(record) {
            self.apply(decoded);
        }
        self.next += 1;
    }

    fn next(&self) -> u64 {
        self.next
    }

    fn served(&self) -> Option<EntryStates> {
        Some(self.states.clone())
    }

    fn history(&self) -> Option<&ConfigHistory> {
        Some(&self.correct)
    }

    fn restore_from(&mut self, peer: &Self) {
        self.next = peer.next;
        self.revision = peer.revision;
        self.states = peer.states.clone();
        if let Some(state) = peer.correct.snapshot_state() {
            self.correct.restore(state);
        }
    }
}
