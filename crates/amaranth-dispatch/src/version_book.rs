//! The newest version of each adapter that the operator has named.

use std::collections::HashMap;

use amaranth_core::ids::{AdapterName, ModelName};

/// Remembers the newest version of adapters. Versions never go back.
#[derive(Debug, Default)]
pub struct VersionBook {
    newest: HashMap<(ModelName, AdapterName), u64>,
}

impl VersionBook {
    /// Takes a version and returns whether it is newer than the known one.
    pub fn offer(&mut self, model: ModelName, adapter: AdapterName, version: u64) -> bool {
        let newest = self.newest.entry((model, adapter)).or_insert(0);
        if version <= *newest {
            return false;
        }
        *newest = version;
        true
    }

    /// Returns the version that calls for an adapter need, if one was named.
    pub fn newest(&self, model: &ModelName, adapter: &AdapterName) -> Option<u64> {
        self.newest.get(&(model.clone(), adapter.clone())).copied()
    }
}
