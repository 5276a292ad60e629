//! Recently accepted changes, by which a duplicated append is distinguished from a conflict.

use std::collections::VecDeque;

use amaranth_core::ids::ConfigRevision;

use crate::change::ChangeId;

/// Maximum number of changes that are retained.
pub const MAX_RECENT_CHANGES: usize = 1_024;

/// The most recently accepted changes, each with the revision that it created.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecentChanges {
    changes: VecDeque<(ConfigRevision, ChangeId)>,
}

impl RecentChanges {
    /// Creates the list from the changes of a snapshot, which must be in revision order.
    pub fn restore(changes: impl IntoIterator<Item = (ConfigRevision, ChangeId)>) -> Self {
        Self {
            changes: changes.into_iter().collect(),
        }
    }

    /// Returns the changes, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &(ConfigRevision, ChangeId)> {
        self.changes.iter()
    }

    /// Returns the revision that `change` created, if that change is retained.
    pub fn revision(&self, change: ChangeId) -> Option<ConfigRevision> {
        self.changes
            .iter()
            .rev()
            .find(|(_, retained)| *retained == change)
            .map(|(revision, _)| *revision)
    }

    /// Records that `change` created `revision`.
    pub fn record(&mut self, revision: ConfigRevision, change: ChangeId) {
        self.changes.push_back((revision, change));
        if self.changes.len() > MAX_RECENT_CHANGES {
            self.changes.pop_front();
        }
    }
}
