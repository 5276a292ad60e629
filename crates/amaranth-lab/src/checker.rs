//! Judges a run by what callers, services and engines recorded.
//!
//! The checker sees no state of amaranthfield itself. Each promise of the brief is counted: how
//! often it was put to the test, and how often it broke.

pub mod evidence;
pub mod promise;
pub mod verdict;
