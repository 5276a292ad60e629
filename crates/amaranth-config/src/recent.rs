//! The changes that were accepted last, so that a duplicated append is told from a conflict.

use std::collections::VecDeque;

use amaranth_core::ids::ConfigRevision;

use crate::change::ChangeId;

/// Changes that are remembered.
pub const MAX_RECENT_CHANGES: usize = 1_024;

/// The latest accepted changes with the revisions that they made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecentChanges {
    changes: VecDeque<(ConfigRevision, ChangeId)>,
}

impl RecentChanges {
    /// Opens the list of a snapshot, which is in the order of its revisions.
    pub fn restore(changes: impl IntoIterator<Item = (ConfigRevision, ChangeId)>) -> Self {
        Self {
            changes: changes.into_iter().collect(),
        }
    }

    /// Returns the changes, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &(ConfigRevision, ChangeId)> {
        self.changes.iter()
    }

    /// Returns the revision that `change` made, if it is remembered.
    pub fn revision(&self, change: ChangeId) -> Option<ConfigRevision> {
        self.changes
            .iter()
            .rev()
            .find(|(_, known)| *known == change)
            .map(|(revision, _)| *revision)
    }

    /// Notes that `change` made `revision`.
    pub fn note(&mut self, revision: ConfigRevision, change: ChangeId) {
        self.changes.push_back((revision, change));
        if self.changes.len() > MAX_RECENT_CHANGES {
            self.changes.pop_front();
        }
    }
}
