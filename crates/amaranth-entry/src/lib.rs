//! The entry: meets callers over HTTP, resolves what they name, routes to agents, claims
//! non-idempotent calls and resumes broken answers.
//!
//! [`process::EntryProcess`] is a running entry. Its control thread owns the directory of agents
//! and publishes snapshots; the [`http`] routes read them and pull answers from agents.

pub mod agent_link;
pub mod answer_reader;
pub mod claim_client;
pub mod claim_dispatch;
pub mod claim_tail;
pub mod claim_task;
pub mod config_tail;
pub mod control_thread;
pub mod directory;
pub mod endpoint_visit;
pub mod entry_state;
pub mod http;
pub mod load_duty;
pub mod peer_service;
pub mod process;
pub mod readiness;
pub mod retry_budget;
pub mod settings;

pub use process::{EntryPorts, EntryProcess};
pub use settings::EntrySettings;
