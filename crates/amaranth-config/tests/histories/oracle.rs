//! A simple reference implementation that applies a whole log.

use std::collections::BTreeMap;

use amaranth_config::catalogue::{Catalogue, ConfigEdit};
use amaranth_config::change::ConfigChange;
use amaranth_config::entries::{ConfigEntry, ConfigKey};
use amaranth_config::envelope::ConfigRecord;
use amaranth_core::ids::ConfigRevision;
use bytes::Bytes;

/// Entries with the revisions that last changed them.
pub type EntryStates = BTreeMap<ConfigKey, (ConfigRevision, ConfigEntry)>;

/// Applies records one by one, retains every deletion and validates every resulting state fully.
#[derive(Debug, Default)]
pub struct RevisionOracle {
    revision: ConfigRevision,
    states: EntryStates,
    changed: BTreeMap<ConfigKey, ConfigRevision>,
}

impl RevisionOracle {
    /// Returns the entries before the first of `records`, and after each of them.
    pub fn apply_all(records: &[Bytes]) -> Vec<EntryStates> {
        let mut oracle = Self::default();
        let mut history = vec![oracle.states.clone()];
        for record in records {
            if let Ok(ConfigRecord::Change(change)) = ConfigRecord::decode(record) {
                oracle.apply(&change);
            }
            history.push(oracle.states.clone());
        }
        history
    }

    fn apply(&mut self, change: &ConfigChange) {
        let stale = |edit: &ConfigEdit| {
            let changed = self.changed.get(&edit.key());
            changed.is_some_and(|revision| *revision > change.base)
        };
        if change.edits.is_empty() || change.base > self.revision || change.edits.iter().any(stale)
        {
            return;
        }
        let revision = self.revision.next();
        let mut states = self.states.clone();
        for edit in &change.edits {
            match edit {
                ConfigEdit::Put(entry) => {
                    states.insert(entry.key(), (revision, entry.clone()));
                }
                ConfigEdit::Remove(key) => {
                    if states.remove(key).is_none() {
                        return;
                    }
                }
            }
        }
        let puts: Vec<_> = states
            .values()
            .map(|(_, entry)| ConfigEdit::Put(entry.clone()))
            .collect();
        if Catalogue::default().with_edits(revision, &puts).is_err() {
            return;
        }
        self.revision = revision;
        self.states = states;
        for edit in &change.edits {
            self.changed.insert(edit.key(), revision);
        }
    }
}
