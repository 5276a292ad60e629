//! Outcomes and membership as state machines without I/O.
//!
//! [`answer_buffer`] keeps an agent's answers until they are acknowledged; [`claim_record`] and
//! [`claim_ledger`] rule which non-idempotent call may run.

pub mod answer_buffer;
pub mod answer_cursor;
pub mod claim_call;
pub mod claim_desk;
pub mod claim_ledger;
pub mod claim_outbox;
pub mod claim_record;
pub mod claim_watch;
pub mod key_window;
