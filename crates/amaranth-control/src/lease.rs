//! Leases: which process may give an endpoint orders.
//!
//! A process takes its endpoints by a record on the log's stream of leases, and the offset of
//! that record is the fencing token of its orders. Nothing is ruled by the answer to an append:
//! a record counts when it is read back at its offset, so lost answers need no special case.
//!
//! [`record`] holds the records, [`ledger`] rules them alike in every reader, [`stage`] is the
//! life cycle of one endpoint's lease as typestate, and [`keeper`] decides when to take, renew
//! and release.

pub mod keeper;
pub mod ledger;
pub mod record;
pub mod stage;
