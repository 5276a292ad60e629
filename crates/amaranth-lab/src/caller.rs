//! HTTP clients of an entry that parse answers as common client libraries do.

pub mod client;
pub mod completion;
pub mod service_call;
