//! Leases on endpoints. Only the holder of an endpoint's lease may send orders to the endpoint.
//!
//! A process acquires its endpoints by a record on the log's stream of leases, and the offset of
//! that record is the fencing token of its orders. The reply to an append decides nothing: a
//! record counts when it is read back at its offset, so lost replies need no special case.
//!
//! [`record`] defines the records, and [`ledger`] replays them with the same result in every
//! reader. [`state`] is the life cycle of one endpoint's lease as typestate, and [`manager`]
//! decides when to acquire, renew and release.

pub mod ledger;
pub mod manager;
pub mod record;
pub mod state;
