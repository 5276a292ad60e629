//! Recently deleted entries and the revisions that deleted them.
//!
//! Without this list, a duplicated append of a change that adds an entry could add the entry
//! again after it was deleted.

use std::collections::{HashMap, VecDeque};

use amaranth_core::ids::ConfigRevision;

use crate::entries::ConfigKey;

/// Maximum number of deletions that are retained.
pub const MAX_DELETIONS: usize = 4_096;

/// The most recent deletions, and the revision up to which older ones were discarded.
#[derive(Debug, Clone, Default)]
pub struct RecentDeletions {
    floor: ConfigRevision,
    in_order: VecDeque<(ConfigRevision, ConfigKey)>,
    by_key: HashMap<ConfigKey, ConfigRevision>,
}

impl RecentDeletions {
    /// Creates the list from the deletions of a snapshot.
    pub fn restore(
        floor: ConfigRevision,
        deletions: impl IntoIterator<Item = (ConfigRevision, ConfigKey)>,
    ) -> Self {
        let mut restored = Self {
            floor,
            ..Self::default()
        };
        for (revision, key) in deletions {
            restored.record(revision, key);
        }
        restored
    }

    /// Returns the oldest base revision that a change may have.
    pub const fn floor(&self) -> ConfigRevision {
        self.floor
    }

    /// Returns the revision that deleted `key`, if that deletion is retained.
    pub fn revision(&self, key: &ConfigKey) -> Option<ConfigRevision> {
        self.by_key.get(key).copied()
    }

    /// Returns the retained deletions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &(ConfigRevision, ConfigKey)> {
        self.in_order.iter()
    }

    /// Records that `revision` deleted `key`.
    pub fn record(&mut self, revision: ConfigRevision, key: ConfigKey) {
        self.by_key.insert(key.clone(), revision);
        self.in_order.push_back((revision, key));
        if self.in_order.len() > MAX_DELETIONS {
            self.discard_oldest();
        }
    }

    /// Discards the oldest deletion and raises the floor to its revision.
    ///
    /// Conflicts of a change with a discarded deletion can no longer be detected, so changes
    /// with an older base are refused.
    fn discard_oldest(&mut self) {
        let Some((revision, key)) = self.in_order.pop_front() else {
            return;
        };
        self.floor = self.floor.max(revision);
        if self.by_key.get(&key) == Some(&revision) {
            self.by_key.remove(&key);
        }
    }
}
