//! The placement of requests on endpoints and of adapters on engines.
//!
//! Decisions are made by deterministic state machines: callers pass the time and an event, and
//! get commands back. This crate performs no I/O, reads no clock and draws no random numbers.
//!
//! The [`router`] runs in an entry and selects endpoints. The [`planner`] runs in an agent, once
//! for each engine, and manages the engine's queue, loads, evictions and pins. The [`broker`] runs
//! in the one entry that is responsible for it, and limits loads to the rate of the adapter store.

pub mod admission;
pub mod broker;
pub mod copy_index;
pub mod decision;
pub mod demand;
pub mod eviction;
pub mod pending_loads;
pub mod planner;
pub mod presets;
pub mod queue;
pub mod ranking;
pub mod routed_endpoint;
pub mod router;
pub mod slots;
