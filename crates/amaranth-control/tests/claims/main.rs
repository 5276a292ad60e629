//! Claims of non-idempotent calls under arbitrary interleavings of messages and faults.

mod ledger;
mod naive_desk;
mod properties;
mod world;
