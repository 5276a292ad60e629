//! The newest version of each adapter that the operator has named.

use std::collections::HashMap;

use amaranth_core::ids::{AdapterName, ModelName};

/// Records the newest named version of each adapter. Versions never decrease.
#[derive(Debug, Default)]
pub struct VersionTable {
    newest: HashMap<(ModelName, AdapterName), u64>,
}

impl VersionTable {
    /// Records a version and returns whether it is newer than the known one.
    pub fn update(&mut self, model: ModelName, adapter: AdapterName, version: u64) -> bool {
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
