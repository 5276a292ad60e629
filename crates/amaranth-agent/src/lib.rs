//! The agent: the only process that gives its endpoints orders and work.
//!
//! A request passes these stages: [`server`] takes it from an entry, [`engine_control`] plans it
//! on the control thread, [`engine_traffic`] runs it on the engine, and [`answer_store`] keeps the
//! answer until the entry has read it. Calls of plain services pass [`service_desk`].
//! [`lease_keeper`] holds the right to order engines about, [`load_permits`] asks for leave to
//! load, and [`announcer`] tells the entries of the data centre what the agent has.

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
pub mod lease_keeper;
pub mod load_permits;
pub mod ports;
pub mod process;
pub mod server;
pub mod service_desk;
pub mod settings;
pub mod task_group;

pub use ports::AgentPorts;
pub use process::{AgentParts, AgentProcess};
pub use settings::AgentSettings;
