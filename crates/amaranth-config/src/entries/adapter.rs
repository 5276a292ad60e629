//! Base models and adapters.

use amaranth_core::ids::{AdapterName, AdapterVersion, ModelName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::bounded;

/// Most versions that one adapter may list.
pub const MAX_ADAPTER_VERSIONS: usize = 64;

/// A base model that engines serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The name.
    pub name: ModelName,
}

/// An adapter with the versions that may be asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterEntry {
    /// The name.
    pub name: AdapterName,
    /// The base model that it was trained on.
    pub base: ModelName,
    /// The versions in ascending order.
    #[serde(deserialize_with = "bounded::list::<MAX_ADAPTER_VERSIONS, _, _, _>")]
    pub versions: SmallVec<[AdapterVersion; 2]>,
    /// The version for requests that name none.
    pub current: AdapterVersion,
}
