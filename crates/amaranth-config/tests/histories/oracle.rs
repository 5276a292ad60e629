//! The plainest ruling of a whole log.

use std::collections::BTreeMap;

use amaranth_config::catalogue::{Catalogue, ConfigEdit};
use amaranth_config::change::ConfigChange;
use amaranth_config::entries::{ConfigEntry, ConfigKey};
use amaranth_config::envelope::ConfigRecord;
use amaranth_core::ids::ConfigRevision;
use bytes::Bytes;

/// Entries with the revisions that last changed them.
pub type EntryStates = BTreeMap<ConfigKey, (ConfigRevision, ConfigEntry)>;

/// Rules records one by one, remembers every deletion and checks every outcome whole.
#[derive(Debug, Default)]
pub struct RevisionOracle {
    revision: ConfigRevision,
    states: EntryStates,
    changed: BTreeMap<ConfigKey, ConfigRevision>,
}

impl RevisionOracle {
    /// Returns the entries after each record of `records`, and before the first.
    pub fn rule_all(records: &[Bytes]) -> Vec<EntryStates> {
        let mut oracle = Self::default();
        let mut after = vec![oracle.states.clone()];
        for record in records {
            if let Ok(ConfigRecord::Change(change)) = ConfigRecord::decode(record) {
                oracle.rule(&change);
            }
            after.push(oracle.states.clone());
        }
        after
    }

    fn rule(&mut self, change: &ConfigChange) {
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
