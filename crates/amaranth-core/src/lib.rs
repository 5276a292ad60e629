//! Shared types of amaranthfield: identifiers, units, error kinds, requests and reports.
//!
//! This crate depends on no other crate of the workspace and performs no I/O. Only
//! [`time::MonotonicClock`] reads a clock.

pub mod digest;
pub mod errors;
pub mod ids;
pub mod membership;
pub mod request;
pub mod store;
pub mod time;
pub mod trace;
pub mod units;

pub use errors::{Error, ErrorKind, Result};
