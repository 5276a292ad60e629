//! Entries that forward HTTP calls to endpoints, and agents that load adapters on engines.
//!
//! An entry accepts a caller's HTTP call, finds its route, has the agent of the selected engine
//! load the adapter, sends the call there and streams the answer back. Decisions are made in
//! `amaranth-dispatch`; the platform's headers, records and orders are read and written by the
//! implementations of [`call_codec::CallCodec`], [`feed::FeedSource`] and
//! [`engine_port::EnginePort`].

pub mod admission;
pub mod agent;
pub mod agent_link;
pub mod agent_stop;
pub mod answer_body;
pub mod answer_classification;
pub mod call_codec;
pub mod call_record;
pub mod call_task;
pub mod caller_memory;
pub mod caller_server;
pub mod carried_calls;
pub mod crash_watch;
pub mod endpoint_body;
pub mod endpoint_pool;
pub mod endpoint_selection;
pub mod endpoint_send;
pub mod engine_port;
pub mod entry;
pub mod entry_stage;
pub mod entry_stop;
pub mod entry_tasks;
pub mod event_sequence;
pub mod event_splitter;
pub mod feed;
pub mod findings_exchange;
pub mod findings_task;
pub mod leased_read;
pub mod limited_stream;
pub mod order_loop;
pub mod origin_exchange;
pub mod place_search;
pub mod prefill_turn;
pub mod quota_exchange;
pub mod read_ahead;
pub mod routed_call;
pub mod send_guard;
pub mod shared_loads;
pub mod silence_watch;
pub mod software_memory;
pub mod store_reader;
pub mod stream_relay;
pub mod suspend_clock;
pub mod table_relay;
pub mod team_access;
