//! Call outcomes, leases and membership as state machines without I/O.
//!
//! [`answer_buffer`] keeps an agent's answers until they are acknowledged, and [`answer_cursor`]
//! follows an answer from the entry. [`claim_coordinator`] runs non-idempotent calls at most once
//! from an entry and [`claim_table`] at an agent; [`claim_ledger`] replays the records of both.
//! [`lease`] decides which process may send orders to an endpoint, and [`pins`] keeps adapters in
//! use from being evicted. [`membership`] tracks which processes are alive, by heartbeats that a
//! [`detector`] evaluates. [`retry_budget`] and [`breaker`] limit retries.

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
pub mod detector;
pub mod key_window;
pub mod lease;
pub mod membership;
pub mod pins;
pub mod retry_budget;
