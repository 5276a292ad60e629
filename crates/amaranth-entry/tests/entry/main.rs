//! Tests of the entry through its library, with fakes of the agent and the log.

mod claims;
mod completions;
mod streams;
mod support;
