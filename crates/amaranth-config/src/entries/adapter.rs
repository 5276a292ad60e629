//! Base models and adapters.

use amaranth_core::ids::{AdapterName, AdapterVersion, ModelName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::bounded;

/// Maximum number of versions of one adapter.
pub const MAX_ADAPTER_VERSIONS: usize = 64;

/// A base model that engines serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The name of the base model.
    pub name: ModelName,
}

/// An adapter with the versions that may be requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterEntry {
    /// The name of the adapter.
    pub name: AdapterName,
    /// The base model that the adapter was trained on.
    pub base: ModelName,
    /// The available versions in ascending order.
    #[serde(deserialize_with = "bounded::list::<MAX_ADAPTER_VERSIONS, _, _, _>")]
    pub versions: SmallVec<[AdapterVersion; 2]>,
    /// The version for requests that do not name a version.
    pub current: AdapterVersion,
}
