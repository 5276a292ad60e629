//! Settings, faults and counters of the engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use amaranth_core::ids::ModelName;
use amaranth_ports::engine::EngineRole;
use serde::{Deserialize, Serialize};

use crate::faults::CommonFaults;

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Base models.
    pub bases: Vec<ModelName>,
    /// Adapters that can be resident or loading at once.
    pub adapter_slots: u16,
    /// Requests batched at once.
    pub batch_slots: u16,
    /// Requests that wait at once; more are refused.
    pub waiting_limit: u16,
    /// The role at the start.
    pub role: EngineRole,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The weight store; without one a load takes `load_time`.
    pub store: Option<SocketAddr>,
    /// How long a load takes without a store.
    #[serde(with = "humantime_serde")]
    pub load_time: Duration,
    /// Time of one step of the batch, which yields one token to each of its requests.
    #[serde(with = "humantime_serde")]
    pub step_time: Duration,
    /// Time that each request in the batch adds to a step.
    #[serde(with = "humantime_serde")]
    pub step_time_per_request: Duration,
    /// Time to read one token of a prompt that is not cached.
    #[serde(with = "humantime_serde")]
    pub prefill_time_per_token: Duration,
    /// Prompt prefixes that the cache holds.
    pub cached_prefixes: u16,
    /// How long the events of an ended request can be fetched again.
    #[serde(with = "humantime_serde")]
    pub resume_window: Duration,
    /// Faults from the start.
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

/// Faults of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Faults of any stand-in.
    pub common: CommonFaults,
    /// Loads, from the next one on, that fail after their transfer.
    pub failed_loads: u32,
    /// Orders, from the next one on, whose answer is lost after they took effect.
    pub lost_order_answers: u32,
    /// Time between taking an order and checking and executing it, which its sender can't stop.
    #[serde(with = "humantime_serde")]
    pub order_delay: Duration,
    /// How old the load report is, at most a minute.
    #[serde(with = "humantime_serde")]
    pub load_report_lag: Duration,
    /// How late cache events are published.
    #[serde(with = "humantime_serde")]
    pub cache_event_lag: Duration,
    /// Every how many cache events one is never published; 0 loses none.
    pub cache_event_gap: u64,
    /// Faults of answers.
    pub streams: StreamFaults,
}

/// Faults of an engine's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StreamFaults {
    /// Answers, from the next one on, whose events name another model.
    pub wrong_echoes: u32,
    /// Answers, from the next one on, whose header names another model.
    pub wrong_headers: u32,
    /// Answers, from the next one on, whose connection breaks off while generation goes on.
    pub broken: u32,
    /// Answers, from the next one on, whose connection goes silent while generation goes on.
    pub silent: u32,
    /// Answers, from the next one on, that the engine gives up; they can't be resumed.
    pub failed: u32,
    /// Events that are sent before one of these happens.
    pub after_events: u32,
}

/// What an engine did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Completions accepted.
    pub accepted: u64,
    /// Completions that ended whole.
    pub completed: u64,
    /// Completions cancelled by order.
    pub cancelled: u64,
    /// Completions refused because their adapter was not resident.
    pub not_resident: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Steps of the batch.
    pub steps: u64,
    /// Requests in the batch, summed over its steps.
    pub step_requests: u64,
    /// Adapters loaded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Adapters unloaded.
    pub unloads: u64,
    /// Adapters unloaded while a request was running on them.
    pub unloads_in_use: u64,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
    /// Orders with an old fencing number that were executed because numbers are ignored.
    pub stale_orders: u64,
    /// Streams that were fetched again.
    pub resumes: u64,
    /// Restarts.
    pub restarts: u64,
}
