//! The entry: serves callers over HTTP, resolves model and service names, routes requests to
//! agents, claims non-idempotent calls and resumes interrupted answers.
//!
//! [`process::EntryProcess`] is a running entry. Its control thread owns the directory of agents
//! and publishes snapshots of it. The [`http`] routes read the snapshots and pull answers from
//! agents.

pub mod agent_link;
pub mod answer_reader;
pub mod claim_client;
pub mod claim_dispatch;
pub mod claim_reader;
pub mod claim_task;
pub mod config_follower;
pub mod control_thread;
pub mod directory;
pub mod endpoint_attempt;
pub mod entry_state;
pub mod http;
pub mod load_broker;
pub mod peer_service;
pub mod process;
pub mod readiness;
pub mod retry_budget;
pub mod settings;

pub use process::{EntryPorts, EntryProcess};
pub use settings::EntrySettings;
