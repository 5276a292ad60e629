//! Claims of non-idempotent calls under arbitrary interleavings of messages and faults.

mod ledger;
mod naive_coordinator;
mod properties;
mod simulation;
