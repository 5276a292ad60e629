//! Settings, faults and counters of an engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use amaranth_core::ids::ModelName;
use amaranth_ports::engine::EngineRole;
use serde::{Deserialize, Serialize};

use crate::faults::CommonFaults;

/// Settings of an [`EngineStandin`](super::EngineStandin).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Address on which the stand-in listens.
    pub listen: SocketAddr,
    /// Loaded base models.
    pub bases: Vec<ModelName>,
    /// Number of adapters that can be resident or loading at the same time.
    pub adapter_slots: u16,
    /// Largest number of requests in the batch.
    pub batch_slots: u16,
    /// Largest number of waiting requests; further ones are refused.
    pub waiting_limit: u16,
    /// Role when the stand-in starts.
    pub role: EngineRole,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fencing: bool,
    /// Address of the weight store; without one a load takes `load_time`.
    pub store: Option<SocketAddr>,
    /// Duration of a load without a weight store.
    #[serde(with = "humantime_serde")]
    pub load_time: Duration,
    /// Duration of one step of an empty batch; a step generates one token for each request.
    #[serde(with = "humantime_serde")]
    pub step_time: Duration,
    /// Time that each request in the batch adds to a step.
    #[serde(with = "humantime_serde")]
    pub step_time_per_request: Duration,
    /// Prefill time for each token of a prompt whose prefix is not cached.
    #[serde(with = "humantime_serde")]
    pub prefill_time_per_token: Duration,
    /// Capacity of the prefix cache, in prefixes.
    pub cached_prefixes: u16,
    /// Time for which the events of an ended request can be fetched again.
    #[serde(with = "humantime_serde")]
    pub resume_window: Duration,
    /// Faults when the stand-in starts.
    pub faults: EngineFaults,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            bases: Vec::new(),
            adapter_slots: 8,
            batch_slots: 16,
            waiting_limit: 1_024,
            role: EngineRole::Mixed,
            checks_fencing: true,
            store: None,
            load_time: Duration::from_millis(250),
            step_time: Duration::from_millis(10),
            step_time_per_request: Duration::from_micros(500),
            prefill_time_per_token: Duration::from_micros(20),
            cached_prefixes: 64,
            resume_window: Duration::from_secs(5),
            faults: EngineFaults::default(),
        }
    }
}

/// Faults of an [`EngineStandin`](super::EngineStandin).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Faults that every HTTP stand-in supports.
    pub common: CommonFaults,
    /// Number of next loads that fail after their transfer.
    pub failed_loads: u32,
    /// Number of next orders that are carried out but whose answer is lost.
    pub lost_order_answers: u32,
    /// Delay between accepting an order and checking and executing it.
    ///
    /// The order is executed even if its sender closes the connection meanwhile.
    #[serde(with = "humantime_serde")]
    pub order_delay: Duration,
    /// Age of the load report, at most a minute.
    #[serde(with = "humantime_serde")]
    pub load_report_lag: Duration,
    /// Delay of the publication of cache events.
    #[serde(with = "humantime_serde")]
    pub cache_event_lag: Duration,
    /// Interval of cache events that are never published: 3 skips every third, 0 skips none.
    pub cache_event_gap: u64,
    /// Faults of answers to completions.
    pub streams: StreamFaults,
}

/// Faults of an engine's answers to completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StreamFaults {
    /// Number of next answers whose events name another model.
    pub wrong_echoes: u32,
    /// Number of next answers whose header names another model.
    pub wrong_headers: u32,
    /// Number of next answers whose connection is aborted while generation continues.
    pub broken: u32,
    /// Number of next answers whose connection goes silent while generation continues.
    pub silent: u32,
    /// Number of next answers that the engine aborts; a resumption can't complete them.
    pub failed: u32,
    /// Number of events that are sent before a connection or the engine fails.
    pub after_events: u32,
}

/// Counters of an [`EngineStandin`](super::EngineStandin).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Number of accepted completions.
    pub accepted: u64,
    /// Number of completions with all tokens generated.
    pub completed: u64,
    /// Number of cancelled completions.
    pub cancelled: u64,
    /// Number of completions refused because their adapter was not resident.
    pub not_resident: u64,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Number of steps of the batch.
    pub steps: u64,
    /// Number of requests in the batch, summed over its steps.
    pub step_requests: u64,
    /// Number of loaded adapters.
    pub loads: u64,
    /// Number of failed loads.
    pub failed_loads: u64,
    /// Number of unloaded adapters.
    pub unloads: u64,
    /// Number of adapters unloaded while a request for them waited or ran.
    pub unloads_in_use: u64,
    /// Number of orders refused because of an outdated fencing token.
    pub fenced_orders: u64,
    /// Number of orders with an outdated fencing token that were executed, because the engine does
    /// not check tokens.
    pub stale_orders: u64,
    /// Number of resumed streams.
    pub resumes: u64,
    /// Number of restarts.
    pub restarts: u64,
}
