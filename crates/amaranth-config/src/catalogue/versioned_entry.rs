//! Entries with the revisions that last changed them.

use std::sync::Arc;

use amaranth_core::ids::ConfigRevision;

use crate::entries::{
    AdapterEntry, ConfigEntry, EndpointGroupEntry, LimitsEntry, ModelEntry, PolicyEntry, RuleEntry,
    ServiceEntry,
};
use crate::shared_map::KeyedValue;

/// An entry as the catalogue stores it: by value or behind an [`Arc`].
pub(super) trait StoredEntry: Clone {
    /// Returns an independent copy of the entry.
    fn to_entry(&self) -> ConfigEntry;
}

/// A stored entry with a name, which is its key in a map.
pub(super) trait NamedEntry: StoredEntry {
    /// Returns the name of the entry.
    fn name(&self) -> &str;
}

/// An entry with the revision that last changed it.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct VersionedEntry<E> {
    pub(super) revision: ConfigRevision,
    pub(super) entry: E,
}

impl<E: StoredEntry> VersionedEntry<E> {
    pub(super) const fn revision(&self) -> ConfigRevision {
        self.revision
    }

    pub(super) fn to_entry(&self) -> ConfigEntry {
        self.entry.to_entry()
    }

    pub(super) fn to_pair(&self) -> (ConfigRevision, ConfigEntry) {
        (self.revision, self.to_entry())
    }
}

impl<E: NamedEntry> KeyedValue for VersionedEntry<E> {
    fn key(&self) -> &str {
        self.entry.name()
    }
}

macro_rules! named_entry {
    ($stored:ty) => {
        impl NamedEntry for $stored {
            fn name(&self) -> &str {
                self.name.as_str()
            }
        }
    };
}

macro_rules! stored_entry {
    ($stored:ty, $variant:ident, $copy:expr) => {
        impl StoredEntry for $stored {
            fn to_entry(&self) -> ConfigEntry {
                let copy: fn(&$stored) -> _ = $copy;
                ConfigEntry::$variant(copy(self))
            }
        }
    };
}

stored_entry!(ModelEntry, Model, Clone::clone);
stored_entry!(AdapterEntry, Adapter, Clone::clone);
stored_entry!(LimitsEntry, Limits, Clone::clone);
stored_entry!(PolicyEntry, Policy, Clone::clone);
stored_entry!(Arc<RuleEntry>, Rule, |shared| RuleEntry::clone(shared));
stored_entry!(Arc<ServiceEntry>, Service, |shared| ServiceEntry::clone(
    shared
));
stored_entry!(Arc<EndpointGroupEntry>, EndpointGroup, |shared| {
    EndpointGroupEntry::clone(shared)
});

named_entry!(ModelEntry);
named_entry!(AdapterEntry);
named_entry!(Arc<RuleEntry>);
named_entry!(Arc<ServiceEntry>);
named_entry!(Arc<EndpointGroupEntry>);
