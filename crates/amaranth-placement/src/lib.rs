//! Decisions on where requests run and which adapters engines hold.
//!
//! Every decision is a state machine: it is handed the time and an event and returns commands.
//! Nothing here does I/O, reads a clock or draws random numbers.
//!
//! [`router`] runs in an entry and ranks endpoints; [`planner`] runs in an agent, one for each
//! engine, and owns its queue, loads, evictions and pins; [`broker`] runs in the entry that holds
//! the duty and shares out the store's load rate.

pub mod admission;
pub mod asks;
pub mod broker;
pub mod copies;
pub mod decision;
pub mod demand;
pub mod eviction;
pub mod planner;
pub mod presets;
pub mod queue;
pub mod ranking;
pub mod routed_endpoint;
pub mod router;
pub mod slots;
