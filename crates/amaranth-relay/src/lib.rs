//! Entries that pass calls on unchanged, and agents that give engines their orders.
//!
//! An entry accepts callers' HTTP, finds the route, has the engine that should answer hold the
//! adapter, sends the call there and passes the answer on as it arrives. What to do is decided in
//! `amaranth-dispatch`; how a platform spells headers, records and orders comes from the
//! implementations of [`dialect::CallDialect`], [`feed::FeedSource`] and [`engine_port::EnginePort`].

pub mod agent;
pub mod agent_link;
pub mod answer_body;
pub mod call_record;
pub mod call_task;
pub mod caller_server;
pub mod dialect;
pub mod endpoint_choice;
pub mod endpoint_pool;
pub mod endpoint_send;
pub mod engine_port;
pub mod entry;
pub mod entry_tasks;
pub mod event_splitter;
pub mod feed;
pub mod load_waits;
pub mod order_loop;
pub mod readiness;
pub mod routed_call;
pub mod send_guard;
pub mod silence_watch;
pub mod stream_relay;
pub mod suspend_clock;
