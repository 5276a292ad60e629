//! Messages between entries and agents: an engine's state, an entry's usage of it, and requests to
//! load adapters.

use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use serde::{Deserialize, Serialize};

use crate::engine_speed::EngineSpeed;
use crate::pause_forecast::StreamLoad;

/// Returns a hash that identifies an adapter, or a model if no adapter is given.
pub fn adapter_key(model: &ModelName, adapter: Option<&AdapterName>) -> u64 {
    let name = adapter.map_or("", |name| name.as_str());
    hash64(hash64(0, model.as_str().as_bytes()), name.as_bytes())
}

/// A version of an adapter that an engine holds or loads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The model that the adapter belongs to.
    pub model: ModelName,
    /// The name of the adapter.
    pub name: AdapterName,
    /// The version of the adapter.
    pub version: u64,
}

/// The progress of one request in an engine's batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunProgress {
    /// Identifies the request among those of the engine.
    pub run: u64,
    /// The number of events that it has produced.
    pub events: u64,
}

/// An engine's load and contents.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineContents {
    /// The models that the engine holds.
    pub models: Vec<ModelName>,
    /// The adapters that the engine holds.
    pub adapters: Vec<HeldAdapter>,
    /// The adapters that are being loaded.
    pub loading: Vec<HeldAdapter>,
    /// The number of requests that wait for the batch.
    pub queued: u32,
    /// The number of requests in the batch.
    pub active: u32,
    /// The number of requests without a first token yet: those that wait for the batch, and those
    /// in prefill.
    pub pending_prefills: u32,
    /// The cache memory that can't be evicted, in tokens.
    pub cache_used: u64,
    /// The cache memory in total, in tokens.
    pub cache_total: u64,
    /// The number of orders that the engine has accepted since it started.
    pub order_count: u64,
    /// The start time of the engine, in milliseconds of its own wall clock.
    pub started_ms: Option<u64>,
    /// Whether the engine is carrying out an order for a model.
    pub busy: bool,
    /// The progress of the requests in the batch, which only the engine's own agent knows.
    #[serde(skip)]
    pub runs: Vec<RunProgress>,
}

impl EngineContents {
    /// Returns whether the engine holds an adapter, in `version` or later if one is given.
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

/// The number of an entry's calls that use an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUsage {
    /// The model that the adapter belongs to.
    pub model: ModelName,
    /// The name of the adapter.
    pub name: AdapterName,
    /// The number of calls in flight.
    pub calls: u32,
}

/// An entry's usage of one engine, which it reports to the engine's agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The name of the entry's process.
    pub entry: String,
    /// The endpoint that the report is about.
    pub endpoint: EndpointId,
    /// The start time of that endpoint, in milliseconds of its own wall clock, if it is known.
    pub started_ms: Option<u64>,
    /// The calls in flight by adapter, and adapters that were used since the last report.
    pub adapters: Vec<AdapterUsage>,
    /// The number of calls in flight, with and without an adapter.
    pub calls: u32,
    /// What the entry observed of the engine's speed, if it observed anything.
    pub speed: Option<EngineSpeed>,
    /// The entry's streams with a pause objective.
    pub streams: StreamLoad,
    /// The tokens of calls that the engine's last report that the entry knows does not contain.
    pub sent_tokens: u64,
}

/// An agent's view of its engine, which it publishes to entries.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineView {
    /// The revision of the view; it grows with each change of the contents.
    pub revision: u64,
    /// The engine's contents and load.
    pub contents: EngineContents,
    /// The adapters that some entry uses.
    pub in_use: Vec<(ModelName, AdapterName)>,
    /// The keys of adapters that the engine holds or has held so recently that they are still
    /// cached and load without the weight store, oldest first.
    pub cached: Vec<u64>,
    /// The number of load requests that wait for a slot.
    pub waiting_loads: u32,
    /// The number of entries that the agent heard from recently.
    pub entries: u32,
    /// The engine's speed, merged from the observations of all entries.
    pub speed: EngineSpeed,
    /// The streams with a pause objective of all entries.
    pub streams: StreamLoad,
    /// The prompt tokens that wait for a turn or have one and no first token.
    pub turn_tokens: u32,
    /// The age of the engine's own report in `contents`.
    pub report_age: Duration,
    /// The tokens that other entries sent and the engine's report does not contain.
    pub others_tokens: u64,
}

/// An entry's request to an agent that its engine load a model or an adapter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The endpoint that is to load the model or adapter.
    pub endpoint: EndpointId,
    /// The model.
    pub model: ModelName,
    /// The adapter; without one, only the model is loaded.
    pub adapter: Option<AdapterName>,
    /// The lowest version that serves the request, if one was named.
    pub version: Option<u64>,
    /// The number of adapters that the engine may hold.
    pub adapter_slots: u32,
    /// Whether the weights and all adapters fit the engine's memory.
    pub fits_memory: bool,
    /// The time that the request may wait.
    pub max_wait: Duration,
}

/// The outcome of a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadOutcome {
    /// The engine holds the model or adapter.
    Held,
    /// The load did not end in time.
    TimedOut,
    /// Every adapter slot is in use.
    #[strum(to_string = "no-place")]
    NoSlot,
    /// The agent manages another endpoint or can't be reached.
    Unavailable,
}
