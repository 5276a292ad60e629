//! Which entries were removed, and at which revision.
//!
//! Without it a change that adds an entry could be repeated by a duplicated append after the
//! entry was removed.

use std::collections::{HashMap, VecDeque};

use amaranth_core::ids::ConfigRevision;

use crate::entries::ConfigKey;

/// Deletions that are remembered one by one.
pub const MAX_DELETIONS: usize = 4_096;

/// The latest deletions, and the revision below which they are forgotten.
#[derive(Debug, Clone, Default)]
pub struct DeletionLedger {
    floor: ConfigRevision,
    in_order: VecDeque<(ConfigRevision, ConfigKey)>,
    by_key: HashMap<ConfigKey, ConfigRevision>,
}

impl DeletionLedger {
    /// Opens a ledger with the deletions of a snapshot.
    pub fn restore(
        floor: ConfigRevision,
        deletions: impl IntoIterator<Item = (ConfigRevision, ConfigKey)>,
    ) -> Self {
        let mut ledger = Self {
            floor,
            ..Self::default()
        };
        for (revision, key) in deletions {
            ledger.note(revision, key);
        }
        ledger
    }

    /// Returns the revision that a change must at least be made against.
    pub const fn floor(&self) -> ConfigRevision {
        self.floor
    }

    /// Returns the revision that removed `key`, if it is remembered.
    pub fn revision(&self, key: &ConfigKey) -> Option<ConfigRevision> {
        self.by_key.get(key).copied()
    }

    /// Returns the remembered deletions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &(ConfigRevision, ConfigKey)> {
        self.in_order.iter()
    }

    /// Notes that `revision` removed `key`.
    pub fn note(&mut self, revision: ConfigRevision, key: ConfigKey) {
        self.by_key.insert(key.clone(), revision);
        self.in_order.push_back((revision, key));
        if self.in_order.len() > MAX_DELETIONS {
            self.forget_oldest();
        }
    }

    /// A change made before a forgotten deletion can no longer be ruled, so the floor rises.
    fn forget_oldest(&mut self) {
        let Some((revision, key)) = self.in_order.pop_front() else {
            return;
        };
        self.floor = self.floor.max(revision);
        if self.by_key.get(&key) == Some(&revision) {
            self.by_key.remove(&key);
        }
    }
}
