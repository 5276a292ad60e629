//! Decisions of a layer that passes calls on unchanged: which route a call takes, which endpoint
//! answers it, when it is refused, and which adapters an engine holds.
//!
//! Nothing here does I/O, reads a clock or draws random numbers; every decision is handed the
//! time. Entries own [`routes`], [`endpoint_book`], [`engine_placer`], [`service_picker`],
//! [`attempts`] and [`retry_share`]; an agent owns one [`adapter_shelf`].

pub mod adapter_shelf;
pub mod attempts;
pub mod call;
pub mod endpoint_book;
pub mod engine_estimate;
pub mod engine_placer;
pub mod engine_view;
pub mod load_gate;
pub mod place_line;
pub mod refusal;
pub mod retry_share;
pub mod routes;
pub mod service_picker;
pub mod stop_policy;
pub mod version_book;
