//! The agent: the only process that sends orders and requests to its endpoints.
//!
//! A request passes these stages: [`server`] receives it from an entry, [`engine_control`] plans
//! it on the control thread, [`engine_traffic`] runs it on the engine, and [`answer_store`]
//! buffers the answer until the entry has read it. Calls to plain services go through
//! [`service_executor`]. [`lease_task`] holds the leases that permit orders to engines,
//! [`permit_client`] requests permits for adapter loads, and [`announcer`] reports the agent's
//! endpoints to the entries of the data centre.

pub mod announcer;
pub mod answer_store;
pub mod claim_outcomes;
pub mod clock;
pub mod control_thread;
pub mod engine_control;
pub mod engine_orders;
pub mod engine_traffic;
pub mod entry_directory;
pub mod entry_link;
pub mod lease_task;
pub mod permit_client;
pub mod ports;
pub mod process;
pub mod server;
pub mod service_executor;
pub mod settings;
pub mod task_group;

pub use ports::AgentPorts;
pub use process::{AgentParts, AgentProcess};
pub use settings::AgentSettings;
