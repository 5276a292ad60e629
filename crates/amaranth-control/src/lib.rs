//! Outcomes and membership as state machines without I/O.
//!
//! [`answer_buffer`] keeps an agent's answers until they are acknowledged, and [`answer_cursor`]
//! follows one from the entry. [`claim_coordinator`] runs non-idempotent calls at most once from an
//! entry, [`claim_table`] at an agent; [`claim_ledger`] rules the records of both. [`lease`]
//! decides which process may give an endpoint orders, and [`pins`] keeps adapters in flight from
//! being evicted. [`membership`] knows which processes are alive, by the heartbeats that a
//! [`detector`] judges, and [`ranking`] gives them their duties. [`retry_budget`], [`breaker`]
//! and [`deadline`] bound what is tried again.

pub mod answer_buffer;
pub mod answer_cursor;
pub mod breaker;
pub mod claim_codec;
pub mod claim_coordinator;
pub mod claim_event;
pub mod claim_ledger;
pub mod claim_outbox;
pub mod claim_poller;
pub mod claim_record;
pub mod claim_table;
pub mod deadline;
pub mod detector;
pub mod key_window;
pub mod lease;
pub mod membership;
pub mod pins;
pub mod ranking;
pub mod retry_budget;
