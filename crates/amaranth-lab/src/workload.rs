//! The load that callers put on a fleet, and what they record.

pub mod evidence_sampler;
pub mod popularity;
pub mod runner;
pub mod stall_report;
