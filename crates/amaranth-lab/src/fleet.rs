//! A whole fleet in one process on loopback: stand-ins, agents and entries, under load.

pub mod configuration;
pub mod demo_fleet;
pub mod fleet_run;
pub mod member;
pub mod shape;
