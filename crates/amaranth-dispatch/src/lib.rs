//! Decision logic of the serving layer: which route a call takes, which endpoint serves it, when
//! it is refused or retried, and which adapters an engine holds.
//!
//! Nothing here does I/O or reads a clock; callers pass in the current time. The only random number
//! is the process's key for digests of API keys ([`team_table`]).
//! Entries use [`routes`], [`endpoint_table`], [`engine_selector`], [`service_selector`],
//! [`attempts`] and [`retry_quota`]; an agent uses one [`adapter_manager`].

pub mod adapter_demand;
pub mod adapter_manager;
pub mod admission_queue;
pub mod answer_pace;
pub mod attempts;
pub mod call;
pub mod call_limiter;
pub mod call_quarantine;
pub mod endpoint_health;
pub mod endpoint_table;
pub mod engine_estimate;
pub mod engine_selector;
pub mod engine_speed;
pub mod engine_tokens;
pub mod engine_view;
pub mod exchange_policy;
pub mod findings_hub;
pub mod fleet_size;
pub mod holder_ranking;
pub mod load_limiter;
pub mod memory_budget;
pub mod not_run_proof;
pub mod pause_forecast;
pub mod prefill_turns;
pub mod quota_agents;
pub mod quota_grantor;
pub mod quota_lease;
pub mod quota_shards;
pub mod refusal;
pub mod retry_quota;
pub mod routes;
pub mod service_selector;
pub mod shared_speed;
pub mod slot_wait;
pub mod software_history;
pub mod stop_policy;
pub mod store_table;
pub mod stream_origins;
pub mod team_table;
pub mod teams;
pub mod token_bucket;
pub mod version_table;
