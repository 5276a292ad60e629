//! Generates the load of callers on a fleet and records the outcomes of the calls.

pub mod evidence_sampler;
pub mod popularity;
pub mod runner;
pub mod time_histogram;
