//! What an agent tells entries of its engine, and what entries tell an agent of their use of it.

use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use serde::{Deserialize, Serialize};

/// Returns a key that stands for an adapter, or for its model alone.
pub fn adapter_key(model: &ModelName, adapter: Option<&AdapterName>) -> u64 {
    let name = adapter.map_or("", |name| name.as_str());
    hash64(hash64(0, model.as_str().as_bytes()), name.as_bytes())
}

/// An adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The model that it belongs to.
    pub model: ModelName,
    /// The adapter.
    pub name: AdapterName,
    /// Its version.
    pub version: u64,
}

/// An engine's load and contents.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineContents {
    /// The models that it holds.
    pub models: Vec<ModelName>,
    /// The adapters that it holds.
    pub adapters: Vec<HeldAdapter>,
    /// The adapters that are being loaded.
    pub coming: Vec<HeldAdapter>,
    /// Requests that wait for the batch.
    pub queued: u32,
    /// Requests in the batch.
    pub active: u32,
    /// Requests whose first token has not come: those that wait, and those whose prompt is read.
    pub unread: u32,
    /// Tokens of memory that can't yield.
    pub cache_used: u64,
    /// Tokens of memory in all.
    pub cache_total: u64,
    /// Orders that the engine has accepted since it started.
    pub order_count: u64,
    /// When the engine started, in milliseconds of its own wall clock.
    pub started_ms: Option<u64>,
    /// Whether the engine carries out an order for a model.
    pub busy: bool,
}

impl EngineContents {
    /// Returns whether it holds an adapter, in `version` or later if one is given.
    pub fn holds(&self, model: &ModelName, adapter: &AdapterName, version: Option<u64>) -> bool {
        self.adapters
            .iter()
            .any(|held| held.is_for(model, adapter) && version.is_none_or(|v| held.version >= v))
    }
}

impl HeldAdapter {
    /// Returns whether this is a version of the given adapter.
    pub fn is_for(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        self.name == *adapter && self.model == *model
    }
}

/// How many of an entry's calls use an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub name: AdapterName,
    /// Calls in flight.
    pub calls: u32,
}

/// An entry's use of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The name of the entry's process.
    pub entry: String,
    /// The endpoint that it means.
    pub endpoint: EndpointId,
    /// When that endpoint started, in milliseconds of its own wall clock, if it says so.
    pub started_ms: Option<u64>,
    /// Its calls in flight, by adapter.
    pub uses: Vec<AdapterUse>,
    /// Calls in flight, with and without an adapter.
    pub calls: u32,
}

/// What an agent knows of its engine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineView {
    /// The revision of the view; it grows with each change of the contents.
    pub revision: u64,
    /// Contents and load.
    pub contents: EngineContents,
    /// The adapters that some entry uses.
    pub in_use: Vec<(ModelName, AdapterName)>,
    /// The keys of adapters that the engine holds or has held so recently that it loads them again
    /// without the weight store, oldest first.
    pub remembered: Vec<u64>,
    /// Loads that wait for a place.
    pub waiting_loads: u32,
}

/// A wish that an engine holds an adapter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadWish {
    /// The endpoint that is meant.
    pub endpoint: EndpointId,
    /// The model.
    pub model: ModelName,
    /// The adapter; none asks for the model alone.
    pub adapter: Option<AdapterName>,
    /// The version that is needed, if one was named.
    pub version: Option<u64>,
    /// The most adapters that the engine may hold.
    pub adapter_places: u32,
    /// Whether the whole weights and the adapters fit the engine's memory.
    pub fits_memory: bool,
    /// How long the wish may wait.
    pub patience: Duration,
}

/// What became of a wish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadOutcome {
    /// The engine holds it.
    Held,
    /// It was not loaded in time.
    TimedOut,
    /// Every place is in use.
    NoPlace,
    /// The agent does not know its engine or can't give it orders now.
    Unavailable,
}
