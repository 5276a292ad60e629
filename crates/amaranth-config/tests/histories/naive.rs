//! A reader that takes the last write, and every snapshot as it comes.

use amaranth_config::catalogue::ConfigEdit;
use amaranth_config::envelope::ConfigRecord;
use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::SnapshotAssembly;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;

use crate::oracle::EntryStates;
use crate::scenario::FollowingReader;

/// A reader without compare-and-set, revisions of deletions or a notion of what is missing.
#[derive(Debug, Default)]
pub struct LastWriteReader {
    next: u64,
    revision: ConfigRevision,
    states: EntryStates,
    /// The sound reader, from which writers of the scenario take their snapshots.
    sound: ConfigHistory,
    assemblies: Vec<SnapshotAssembly>,
}

impl LastWriteReader {
    fn take(&mut self, record: ConfigRecord) {
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
                let known = self
                    .assemblies
                    .iter()
                    .position(|known| known.id() == part.id);
                let index = known.unwrap_or_else(|| {
                    let opened = SnapshotAssembly::open(&part).expect("parts are sound");
                    self.assemblies.push(opened);
                    self.assemblies.len() - 1
                });
                self.assemblies[index].add(&part).expect("parts are sound");
                if self.assemblies[index].is_complete() {
                    let assembly = self.assemblies.remove(index);
                    let state = assembly.finish().expect("snapshots are sound");
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

impl FollowingReader for LastWriteReader {
    fn open() -> Self {
        Self::default()
    }

    fn read(&mut self, first_kept: u64, records: &[Bytes]) {
        self.sound.note_first_kept(LogOffset(first_kept));
        self.next = self.next.max(first_kept);
        let Some(record) = records.get(usize::try_from(self.next).unwrap_or(usize::MAX)) else {
            return;
        };
        self.sound.apply_record(LogOffset(self.next), record);
        if let Ok(decoded) = ConfigRecord::decode(record) {
            self.take(decoded);
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
        Some(&self.sound)
    }

    fn adopt_from(&mut self, peer: &Self) {
        self.next = peer.next;
        self.revision = peer.revision;
        self.states = peer.states.clone();
        if let Some(state) = peer.sound.snapshot_state() {
            self.sound.adopt(state);
        }
    }
}
