//! Checks a run by what callers, services and engines recorded.
//!
//! The checker sees no internal state of amaranthfield. For each promise it counts the checks and
//! the violations.

pub mod evidence;
pub mod promise;
pub mod promise_result;
