//! Demo, load generator and experiments of amaranthfield, all in one process on loopback.

pub mod bench;
pub mod caller;
pub mod capacity;
pub mod checker;
pub mod commands;
pub mod config_bench;
pub mod demo;
pub mod detect;
pub mod faults;
pub mod fleet;
pub mod overload;
pub mod policy;
pub mod workload;
